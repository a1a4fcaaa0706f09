//! What a change of one daemon costs a large fleet.

use comfreyhall_domain::{EngineConfig, Name};
use comfreyhall_protocol::Daemon;

use super::daemons::Daemons;
use crate::{
    node::Node,
    test_node::{config, target},
};

const HOLDERS: usize = 3;

/// A change of a daemon, with its name.
type Change = (&'static str, fn(&Node));

/// Bytes that a row costs in a message beyond its own: its tag, its length, and the
/// versions that it leads from and to.
const ROW_BYTES: usize = 24;

/// Makes the engines of `node` known to it.
fn set_engines(node: &Node) {
    let mut config = config(1);
    let engine = EngineConfig {
        max_running: 4,
        cache_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 1,
        load_rate: 1.0,
        event_tokens: 1,
        models: Vec::new(),
    };
    if let Some(service) = config.services.get_mut("s") {
        service.engine = Some(engine);
    }
    let mut view = node.view();
    view.config = Some(config.into());
    for id in engines() {
        view.targets.insert(id.clone(), target(&id).into());
    }
}

fn engines() -> [Name; 5] {
    ["t0", "t1", "t2", "t3", "t4"].map(Into::into)
}

fn lose(node: &Node, targets: usize) {
    let now = node.now();
    for id in &engines()[..targets] {
        node.view().contacts.record_lost(id, now);
    }
}

fn isolate(node: &Node) {
    for id in engines() {
        node.record_unreached(&id);
    }
}

fn make_ready(node: &Node) {
    node.life.handle(comfreyhall_life::Event::Synced);
}

/// Guards against gossip that grows with the square of the fleet: 71 MB/s at the busiest
/// of 301 daemons. Each change of one daemon made each holder send each daemon the list
/// of all.
#[tokio::test]
async fn exchange_change_costs_one_row() {
    let changes: [Change; 4] = [
        ("lost_percent", |node| lose(node, 1)),
        ("lost_groups", |node| lose(node, 4)),
        ("isolated", isolate),
        ("ready", make_ready),
    ];
    let mut failures = Vec::new();
    for count in [30, 60] {
        let mut fleet = Daemons::new(count, HOLDERS);
        let changed = count - 1;
        set_engines(&fleet.nodes[changed]);
        for _ in 0..3 {
            fleet.round(&[]);
        }
        fleet.take_sent();
        fleet.round(&[]);
        assert_eq!(fleet.take_sent()["roster"], 0, "nothing has changed");
        for (what, change) in changes {
            let before = fleet.own(changed);
            change(&fleet.nodes[changed]);
            let after = fleet.own(changed);
            assert_ne!(after, before, "{what}");
            // Holders hear of it in the first round, in which some daemons have called
            // already.
            fleet.round(&[]);
            fleet.round(&[]);
            let known = |i: &usize| fleet.known(*i, changed).as_ref() == Some(&after);
            assert_eq!((0..changed).filter(known).count(), changed, "{what}");
            let sent = fleet.take_sent()["roster"];
            let bound = HOLDERS * count * (row_bytes(&after) + ROW_BYTES);
            if sent > bound {
                failures.push(format!(
                    "{what} at {count} daemons: {sent} bytes, {bound} allowed"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

fn row_bytes(daemon: &Daemon) -> usize {
    prost::Message::encoded_len(daemon)
}

/// Guards against a daemon that misses changes: one that was away while another lost its
/// targets, a holder that starts again, and holders that a daemon hears in turn.
#[tokio::test]
async fn exchange_daemons_know_missed_changes() {
    let mut fleet = Daemons::new(20, 2);
    let (away, changed, stopped) = (19, 18, 17);
    set_engines(&fleet.nodes[changed]);
    for _ in 0..3 {
        fleet.round(&[]);
    }
    for lost in 1..4 {
        lose(&fleet.nodes[changed], lost);
        fleet.round(&[away]);
        fleet.round(&[away]);
    }
    let after = fleet.own(changed);
    assert_ne!(fleet.known(away, changed).as_ref(), Some(&after));
    fleet.take_sent();
    fleet.round(&[]);
    assert_eq!(fleet.known(away, changed), Some(after));
    let list_bytes = 20 * row_bytes(&fleet.own(0));
    assert!(fleet.take_sent()["roster"] < list_bytes);
    // The first holder starts again: it knows nobody, and is the only one to hear of a
    // change.
    fleet.restart(0);
    let versions = |fleet: &Daemons| fleet.roster_versions(away);
    let before = versions(&fleet);
    fleet.round(&[1]);
    lose(&fleet.nodes[changed], 5);
    fleet.round(&[1]);
    fleet.round(&[1]);
    assert_eq!(fleet.known(away, changed), Some(fleet.own(changed)));
    assert_ne!(versions(&fleet)[0], before[0]);
    assert_eq!(versions(&fleet)[1], before[1]);
    // Both holders again, and a daemon that stops.
    fleet.round(&[]);
    assert!(fleet.sees(away, stopped));
    for _ in 0..8 {
        fleet.round(&[stopped]);
    }
    assert!(!fleet.sees(away, stopped));
    assert!((0..stopped).all(|i| fleet.sees(away, i)));
    fleet.round(&[]);
    fleet.round(&[]);
    assert!(fleet.sees(away, stopped));
}

/// Guards against a daemon of an older build that takes a few changed rows for all
/// daemons, and forgets the rest.
#[tokio::test]
async fn exchange_older_caller_gets_full_lists() {
    let mut fleet = Daemons::new(20, 1);
    for _ in 0..3 {
        fleet.round(&[]);
    }
    set_engines(&fleet.nodes[18]);
    for lost in 1..4 {
        lose(&fleet.nodes[18], lost);
        fleet.round(&[19]);
        fleet.advance(300);
        let answer = fleet.exchange(19, 0, |call| call.roster_boot = 0);
        assert_eq!((answer.roster_since, answer.roster.len()), (0, 20));
        // It has this list now.
        let answer = fleet.exchange(19, 0, |call| call.roster_boot = 0);
        assert_eq!(answer.roster.len(), 0);
        // Without a version as well.
        let answer = fleet.exchange(19, 0, |call| {
            (call.roster_boot, call.roster_version) = (0, 0);
        });
        assert_eq!((answer.roster_since, answer.roster.len()), (0, 20));
    }
}
