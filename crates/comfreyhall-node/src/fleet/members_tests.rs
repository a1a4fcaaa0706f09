use comfreyhall_routing::RetryBudget;

use super::state::FORGET_MS;
use crate::test_node::node;

const PEERS: [&str; 2] = ["127.0.0.1:201", "127.0.0.1:202"];
const ALLOWANCE: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;

/// Guards against shares of the retry allowance that add up to more than the whole, after
/// each of three daemons has been cut off from the others for so long that it forgets them.
#[tokio::test]
async fn members_cut_off_takes_no_larger_share() {
    let mut granted = 0;
    for _ in 0..3 {
        let node = node();
        for peer in PEERS {
            node.fleet.add_peer(peer, false);
        }
        node.fleet.mark_members_listed(|_| true);
        let later = node.now() + 2 * FORGET_MS;
        node.fleet.state().forget_silent(later);
        let mut budget = RetryBudget::new(WINDOW_MS, 0.0, ALLOWANCE, 0);
        let members = node.fleet.members(later);
        granted += (0..100)
            .filter(|_| budget.try_retry(later, members))
            .count();
    }
    assert!(granted as f64 <= ALLOWANCE, "{granted} retries");
}

/// Guards against shares that stay small for good after daemons have gone.
#[tokio::test]
async fn members_gone_count_until_listings_lack_them() {
    let node = node();
    for peer in PEERS {
        node.fleet.add_peer(peer, false);
    }
    let later = node.now() + 2 * FORGET_MS;
    node.fleet.state().forget_silent(later);
    let mut counts = Vec::new();
    for listed in [0, 1, 1, 0, 0] {
        let is_listed = |addr: &str| PEERS[..listed].contains(&addr);
        node.fleet.mark_members_listed(is_listed);
        counts.push(node.fleet.members(later).unwrap());
    }
    assert_eq!(counts, [3, 2, 2, 2, 1]);
}
