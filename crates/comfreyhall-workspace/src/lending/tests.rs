use comfreyhall_protocol::Map;

use super::*;
use crate::Workspaces;
use crate::{KeyHasher, RawNumber, Salt, WorkspaceEntry, read_entries};

const TOLERANCE: Tolerance = Tolerance {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 1_000.0,
};

/// Units a second of the one workspace.
const RATE: f64 = 10_000.0;

fn home(at: usize) -> PeerProcess {
    PeerProcess {
        peer_addr: format!("10.0.0.{at}:1").into(),
        boot: 1,
    }
}

fn workspaces(rate: f64) -> Workspaces {
    let entry = WorkspaceEntry {
        name: "w".to_string(),
        rate: RawNumber::Number(rate),
        burst: RawNumber::Number(rate),
        ..WorkspaceEntry::default()
    };
    read_entries(KeyHasher::new(Salt::new([0; 32])), vec![entry]).0
}

/// A request of `size` comes.
fn take(lending: &mut LendingLimiter, size: u64, now: u64) -> ReserveOutcome {
    lending.record_demand("w", size, now);
    lending.try_reserve("w", size, now)
}

/// Daemon `at` of a fleet of `members`, whose home is daemon `to`.
fn daemon(at: usize, to: usize, members: usize) -> LendingLimiter {
    let mut lending = LendingLimiter::new(home(at), TOLERANCE, 1);
    lending.configure(&workspaces(RATE), &["g".into()], 1);
    meet(&mut lending, to, members, 1);
    lending
}

fn meet(lending: &mut LendingLimiter, to: usize, members: usize, now: u64) {
    let homes: Map<Name, PeerProcess> = [("g".into(), home(to))].into_iter().collect();
    let fleet = FleetView {
        members,
        confirmed: true,
        stale: false,
    };
    lending.update_fleet(&homes, fleet, now);
}

fn settle(borrower: &mut LendingLimiter, lender: &mut LendingLimiter, now: u64) -> SettleReply {
    let group: Name = "g".into();
    let to = lender.local.clone();
    let call = borrower.settle_request(&group, &to, now);
    let reply = lender.handle_settle(&call, 1, now);
    borrower.handle_reply(&group, &to, Some(&reply), now);
    reply
}

/// Two daemons of two that have settled for as long as the burst takes.
fn pair() -> (LendingLimiter, LendingLimiter, u64) {
    let (mut borrower, mut lender) = (daemon(2, 1, 2), daemon(1, 1, 2));
    let mut now = 1;
    while now < 4_000 {
        now += 400;
        meet(&mut lender, 1, 2, now);
        settle(&mut borrower, &mut lender, now);
    }
    (borrower, lender, now)
}

#[test]
fn take_borrows_from_home() {
    let (mut borrower, mut lender, now) = pair();
    assert!(matches!(
        take(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    assert_eq!(borrower.due_settlements(now).len(), 1);
    settle(&mut borrower, &mut lender, now);
    assert_eq!(take(&mut borrower, 2_000, now), ReserveOutcome::Granted);
}

/// Guards against a call for each request of a workspace that is over its cap.
#[test]
fn take_refused_is_not_asked_again() {
    let (mut borrower, mut lender, now) = pair();
    assert!(matches!(
        take(&mut borrower, 90_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    let ReserveOutcome::OverQuota { retry_ms } = take(&mut borrower, 90_000, now) else {
        panic!("it is over its cap");
    };
    assert!(retry_ms > 0);
    assert!(borrower.due_settlements(now + 1).is_empty());
}

/// Guards against credit that is lent again when a call is read late.
#[test]
fn answer_earlier_call_lends_nothing() {
    let (mut borrower, mut lender, now) = pair();
    let (group, to): (Name, PeerProcess) = ("g".into(), home(1));
    assert!(matches!(
        take(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    let late = borrower.settle_request(&group, &to, now);
    borrower.handle_reply(&group, &to, None, now);
    settle(&mut borrower, &mut lender, now + 400);
    let reply = lender.handle_settle(&late, 1, now + 450);
    assert!(reply.lines.is_empty());
}

/// Guards against a part that two homes lend.
#[test]
fn call_new_home_gets_share_after_term() {
    let (mut borrower, _, now) = pair();
    let group: Name = "g".into();
    let mut other = daemon(3, 3, 2);
    meet(&mut borrower, 3, 2, now);
    settle(&mut borrower, &mut other, now + 10);
    let early = borrower.settle_request(&group, &home(3), now + 20);
    assert_eq!(early.share, 0.0);
    let late = borrower.settle_request(&group, &home(3), now + SHARE_TERM_MS);
    assert_eq!(late.share, 0.5);
}

/// Guards against waiting out the term of a home that is known to have ended.
#[test]
fn ended_frees_share_at_once() {
    let (mut borrower, _, now) = pair();
    let mut other = daemon(3, 3, 2);
    meet(&mut borrower, 3, 2, now);
    borrower.process_ended(&home(1));
    settle(&mut borrower, &mut other, now + 10);
    let call = borrower.settle_request(&"g".into(), &home(3), now + 20);
    assert_eq!(call.share, 0.5);
}

/// Guards against a part that counts longer at its home than its giver thinks,
/// because the call that gave it was read late.
#[test]
fn answer_share_counts_from_home_s_own_clock() {
    let (mut borrower, mut lender, now) = pair();
    let call = borrower.settle_request(&"g".into(), &home(1), now);
    let reply = lender.handle_settle(&call, 1, now + SHARE_TERM_MS);
    // Its own part alone.
    assert_eq!(reply.lendable_share, 0.5);
}

/// Guards against 429 where only the home is out of reach.
#[test]
fn take_without_home_is_unsure() {
    let mut alone = daemon(2, 2, 40);
    meet(&mut alone, 2, 40, 3_000);
    let taken = take(&mut alone, 2_000, 3_000);
    assert!(
        matches!(taken, ReserveOutcome::UsageUnknown { .. }),
        "{taken:?}"
    );
}

#[test]
fn not_run_gives_credit_back() {
    let (mut borrower, mut lender, now) = pair();
    assert!(matches!(
        take(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    assert_eq!(take(&mut borrower, 2_000, now), ReserveOutcome::Granted);
    borrower.mark_sent("w", 2_000);
    borrower.refund("w", 2_000);
    assert_eq!(take(&mut borrower, 2_000, now), ReserveOutcome::Granted);
    borrower.release_unsent("w", 2_000);
    assert_eq!(take(&mut borrower, 2_000, now), ReserveOutcome::Granted);
}

/// Guards against what was saved up under a higher cap.
#[test]
fn configure_lower_cap_drops_stock() {
    let (mut borrower, mut lender, now) = pair();
    let groups = ["g".into()];
    for daemon in [&mut borrower, &mut lender] {
        daemon.configure(&workspaces(1_000.0), &groups, now);
    }
    assert!(matches!(
        take(&mut borrower, 9_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    let taken = take(&mut borrower, 9_000, now);
    assert!(
        matches!(taken, ReserveOutcome::OverQuota { .. }),
        "{taken:?}"
    );
}
