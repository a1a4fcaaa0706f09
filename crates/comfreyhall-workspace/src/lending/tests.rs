use comfreyhall_protocol::Map;

use super::*;
use crate::{KeyHasher, RawNumber, Salt, WorkspaceEntry, read_entries};
use crate::{RateLimiter, Workspaces};

const TOLERANCE: Tolerance = Tolerance {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 1_000.0,
};

/// Rate of the only workspace, in units per second.
const RATE: f64 = 10_000.0;

fn process(id: usize) -> PeerProcess {
    PeerProcess {
        peer_addr: format!("10.0.0.{id}:1").into(),
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

/// A request of `size` arrives.
fn try_reserve(lending: &mut LendingLimiter, size: u64, now: u64) -> ReserveOutcome {
    lending.record_demand("w", size, now);
    lending.try_reserve("w", size, now)
}

/// Daemon `id` of a fleet of `members`, with daemon `coordinator` as
/// coordinator.
fn daemon(id: usize, coordinator: usize, members: usize) -> LendingLimiter {
    let mut lending = LendingLimiter::new(process(id), TOLERANCE, 1);
    lending.configure(&workspaces(RATE), &["g".into()], 1);
    update_fleet(&mut lending, coordinator, members, 1);
    lending
}

fn update_fleet(lending: &mut LendingLimiter, coordinator: usize, members: usize, now: u64) {
    let coordinators: Map<Name, PeerProcess> =
        [("g".into(), process(coordinator))].into_iter().collect();
    let fleet = FleetView {
        members,
        confirmed: true,
        stale: false,
    };
    lending.update_fleet(&coordinators, fleet, now);
}

fn settle(borrower: &mut LendingLimiter, lender: &mut LendingLimiter, now: u64) -> SettleReply {
    let group: Name = "g".into();
    let coordinator = lender.local.clone();
    let request = borrower.settle_request(&group, &coordinator, now);
    let reply = lender.handle_settle(&request, 1, now);
    borrower.handle_reply(&group, &coordinator, Some(&reply), now);
    reply
}

/// Both daemons of a fleet of two, after settling for long enough to accrue the
/// burst.
fn settled_pair() -> (LendingLimiter, LendingLimiter, u64) {
    let (mut borrower, mut lender) = (daemon(2, 1, 2), daemon(1, 1, 2));
    let mut now = 1;
    while now < 4_000 {
        now += 400;
        update_fleet(&mut lender, 1, 2, now);
        settle(&mut borrower, &mut lender, now);
    }
    (borrower, lender, now)
}

#[test]
fn try_reserve_borrows_from_coordinator() {
    let (mut borrower, mut lender, now) = settled_pair();
    assert!(matches!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    assert_eq!(borrower.due_settlements(now).len(), 1);
    settle(&mut borrower, &mut lender, now);
    assert_eq!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Granted
    );
}

/// Guards against one call for each request of a workspace that is over its
/// quota.
#[test]
fn try_reserve_refused_is_not_asked_again() {
    let (mut borrower, mut lender, now) = settled_pair();
    assert!(matches!(
        try_reserve(&mut borrower, 90_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    let ReserveOutcome::OverQuota { retry_ms } = try_reserve(&mut borrower, 90_000, now) else {
        panic!("the request exceeds the quota");
    };
    assert!(retry_ms > 0);
    assert!(borrower.due_settlements(now + 1).is_empty());
}

/// Guards against granting credit twice when a request is handled late.
#[test]
fn handle_settle_earlier_request_grants_nothing() {
    let (mut borrower, mut lender, now) = settled_pair();
    let (group, coordinator): (Name, PeerProcess) = ("g".into(), process(1));
    assert!(matches!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    let late = borrower.settle_request(&group, &coordinator, now);
    borrower.handle_reply(&group, &coordinator, None, now);
    settle(&mut borrower, &mut lender, now + 400);
    let reply = lender.handle_settle(&late, 1, now + 450);
    assert!(reply.lines.is_empty());
}

/// Guards against a share that two coordinators lend.
#[test]
fn settle_request_new_coordinator_gets_share_after_term() {
    let (mut borrower, _, now) = settled_pair();
    let group: Name = "g".into();
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now);
    settle(&mut borrower, &mut other, now + 10);
    let early = borrower.settle_request(&group, &process(3), now + 20);
    assert_eq!(early.share, 0.0);
    let late = borrower.settle_request(&group, &process(3), now + SHARE_TERM_MS);
    assert_eq!(late.share, 0.5);
}

/// Guards against waiting for the end of the term of a coordinator that is
/// known to have ended.
#[test]
fn process_ended_frees_share_at_once() {
    let (mut borrower, _, now) = settled_pair();
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now);
    borrower.process_ended(&process(1), now);
    settle(&mut borrower, &mut other, now + 10);
    let request = borrower.settle_request(&"g".into(), &process(3), now + 20);
    assert_eq!(request.share, 0.5);
}

/// Guards against a share that counts longer at the coordinator than its owner
/// assumes, because the request that assigned it was handled late.
#[test]
fn handle_settle_share_term_starts_at_coordinator_clock() {
    let (mut borrower, mut lender, now) = settled_pair();
    let request = borrower.settle_request(&"g".into(), &process(1), now);
    let reply = lender.handle_settle(&request, 1, now + SHARE_TERM_MS);
    // Only the coordinator's own share.
    assert_eq!(reply.lendable_share, 0.5);
}

/// Guards against a 429 response when only the coordinator is unreachable.
#[test]
fn try_reserve_without_coordinator_is_unknown() {
    let mut alone = daemon(2, 2, 40);
    update_fleet(&mut alone, 2, 40, 3_000);
    let outcome = try_reserve(&mut alone, 2_000, 3_000);
    assert!(
        matches!(outcome, ReserveOutcome::UsageUnknown { .. }),
        "{outcome:?}"
    );
}

#[test]
fn refund_returns_credit() {
    let (mut borrower, mut lender, now) = settled_pair();
    assert!(matches!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    assert_eq!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Granted
    );
    borrower.mark_sent("w", 2_000);
    borrower.refund("w", 2_000);
    assert_eq!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Granted
    );
    borrower.release_unsent("w", 2_000);
    assert_eq!(
        try_reserve(&mut borrower, 2_000, now),
        ReserveOutcome::Granted
    );
}

/// Guards against spending a balance that was accrued under a higher quota.
#[test]
fn configure_lower_quota_drops_balance() {
    let (mut borrower, mut lender, now) = settled_pair();
    let groups = ["g".into()];
    for daemon in [&mut borrower, &mut lender] {
        daemon.configure(&workspaces(1_000.0), &groups, now);
    }
    assert!(matches!(
        try_reserve(&mut borrower, 9_000, now),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now);
    let outcome = try_reserve(&mut borrower, 9_000, now);
    assert!(
        matches!(outcome, ReserveOutcome::OverQuota { .. }),
        "{outcome:?}"
    );
}

/// Guards against waiting for terms that calls to a lost coordinator prolong.
#[test]
fn settle_request_unanswered_call_does_not_prolong_term() {
    let (mut borrower, _, now) = settled_pair();
    let group: Name = "g".into();
    for later in [400, 800, 1_200] {
        borrower.settle_request(&group, &process(1), now + later);
        borrower.handle_reply(&group, &process(1), None, now + later + 300);
    }
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now + 1_490);
    settle(&mut borrower, &mut other, now + 1_490);
    let request = borrower.settle_request(&group, &process(3), now + SHARE_TERM_MS);
    assert_eq!(request.share, 0.5);
}

/// Guards against a share that two coordinators lend, because a call that
/// assigned it to the first was answered after the second was known.
#[test]
fn handle_reply_late_answer_frees_no_share() {
    let (mut borrower, mut lender, now) = settled_pair();
    let group: Name = "g".into();
    let assigning = borrower.settle_request(&group, &process(1), now);
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now);
    let reply = lender.handle_settle(&assigning, 1, now + 10);
    borrower.handle_reply(&group, &process(1), Some(&reply), now + 10);
    settle(&mut borrower, &mut other, now + 20);
    let request = borrower.settle_request(&group, &process(3), now + 30);
    assert_eq!(request.share, 0.0);
}

/// Guards against a share that two coordinators lend, because the answer to a call
/// from before the revocation was taken for the revocation's.
#[test]
fn handle_reply_answer_to_earlier_call_frees_no_share() {
    let (mut borrower, mut lender, now) = settled_pair();
    let group: Name = "g".into();
    let earlier = borrower.settle_request(&group, &process(1), now);
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now);
    // The revocation is lost.
    borrower.settle_request(&group, &process(1), now + 5);
    let reply = lender.handle_settle(&earlier, 1, now + 10);
    borrower.handle_reply(&group, &process(1), Some(&reply), now + 10);
    settle(&mut borrower, &mut other, now + 20);
    let request = borrower.settle_request(&group, &process(3), now + 30);
    assert_eq!(request.share, 0.0);
}

/// Guards against two full buckets in one window: a coordinator that loses its role
/// and regains it would keep the credit that its successor has lent meanwhile.
#[test]
fn update_fleet_regained_role_starts_empty() {
    let (mut borrower, mut lender, now) = settled_pair();
    update_fleet(&mut lender, 3, 2, now);
    update_fleet(&mut lender, 1, 2, now + 10);
    settle(&mut borrower, &mut lender, now + 10);
    assert!(matches!(
        try_reserve(&mut borrower, 8_000, now + 20),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut lender, now + 20);
    let outcome = try_reserve(&mut borrower, 8_000, now + 20);
    assert!(
        matches!(outcome, ReserveOutcome::OverQuota { .. }),
        "{outcome:?}"
    );
}

/// Guards against a new coordinator that starts with nothing, although nobody
/// lent for a while.
#[test]
fn handle_settle_credits_time_without_coordinator() {
    let (mut borrower, _, now) = settled_pair();
    let later = now + SHARE_TERM_MS + 1_000;
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, later);
    update_fleet(&mut other, 3, 2, later);
    settle(&mut borrower, &mut other, later);
    // The second call assigns the share and its unlent second.
    settle(&mut borrower, &mut other, later + 10);
    assert!(matches!(
        try_reserve(&mut borrower, 4_000, later + 20),
        ReserveOutcome::Pending(_)
    ));
    settle(&mut borrower, &mut other, later + 20);
    assert_eq!(
        try_reserve(&mut borrower, 4_000, later + 20),
        ReserveOutcome::Granted
    );
}

/// Guards against credit for time in which a restarted daemon's predecessor may
/// have lent.
#[test]
fn settle_request_restarted_daemon_claims_no_time_within_term() {
    let (mut restarted, mut lender) = (daemon(2, 1, 2), daemon(1, 1, 2));
    settle(&mut restarted, &mut lender, 1_000);
    let request = restarted.settle_request(&"g".into(), &process(1), 1_400);
    assert_eq!((request.share, request.unlent_ms), (0.5, 0));
}

/// Guards against an answer that says "over its quota" when the coordinator has
/// only just taken over.
#[test]
fn try_reserve_new_coordinator_is_not_over_quota() {
    let (mut borrower, _, now) = settled_pair();
    let mut other = daemon(3, 3, 2);
    update_fleet(&mut borrower, 3, 2, now);
    settle(&mut borrower, &mut other, now + 10);
    try_reserve(&mut borrower, 8_000, now + 20);
    settle(&mut borrower, &mut other, now + 20);
    let outcome = try_reserve(&mut borrower, 8_000, now + 20);
    assert!(
        matches!(outcome, ReserveOutcome::UsageUnknown { .. }),
        "{outcome:?}"
    );
}
