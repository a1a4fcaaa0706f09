use comfreyhall_domain::Revision;

use super::{CatchUp, Freshness, SettingsTracker, Source, Verdict};

const BOUND_MS: u64 = 3_000;

fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn name(text: &str) -> comfreyhall_domain::Name {
    text.into()
}

#[test]
fn freshness_nothing_known_is_stale() {
    assert_eq!(
        SettingsTracker::default().freshness(5, BOUND_MS),
        Freshness::Stale
    );
}

#[test]
fn freshness_expires_after_bound() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    assert_eq!(tracker.freshness(3_090, BOUND_MS), Freshness::Current);
    assert_eq!(tracker.freshness(3_091, BOUND_MS), Freshness::Stale);
}

#[test]
fn freshness_newer_version_is_stale_until_applied() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    tracker.peer_reported(&name("a"), rev(12), Some(150), 200);
    assert_eq!(tracker.freshness(210, BOUND_MS), Freshness::Stale);
    assert_eq!(tracker.lag_ms(500), 300);
    tracker.apply(rev(12), &Source::Peer(name("a")), 210, 400);
    assert_eq!(tracker.freshness(410, BOUND_MS), Freshness::Current);
    let applied = tracker.last_applied().unwrap();
    assert_eq!((applied.previous, applied.waited_ms), (rev(7), 200));
}

#[test]
fn peer_reported_older_version_confirms_nothing() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.peer_reported(&name("a"), rev(6), Some(5_000), 5_000);
    assert_eq!(tracker.age_ms(5_000), u64::MAX);
    tracker.peer_reported(&name("a"), rev(7), Some(5_000), 5_000);
    assert_eq!(tracker.age_ms(5_000), 0);
}

/// Guards against waiting for rows that were deleted meanwhile, which the store's
/// answer covers.
#[test]
fn peer_reported_covered_version_is_not_newer() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(20), 90);
    tracker.peer_reported(&name("a"), rev(15), None, 200);
    assert_eq!(tracker.newer_version(), None);
}

#[test]
fn is_contiguous_only_without_gap() {
    let mut tracker = SettingsTracker::default();
    assert!(tracker.is_contiguous(rev(0)));
    assert!(!tracker.is_contiguous(rev(5)));
    tracker.apply(rev(7), &Source::Store, 90, 100);
    assert!(tracker.is_contiguous(rev(7)));
    assert!(!tracker.is_contiguous(rev(8)));
}

#[test]
fn store_failed_keeps_first_time() {
    let mut tracker = SettingsTracker::default();
    tracker.store_failed(10);
    tracker.store_failed(20);
    assert_eq!(tracker.store_down_since(), Some(10));
    tracker.store_confirmed(rev(1), 30);
    assert_eq!(tracker.store_down_since(), None);
}

/// Guards against an old configuration that counts as current because the newest
/// one is unreadable.
#[test]
fn freshness_unreadable_configuration_is_stale() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    tracker.set_readable(false);
    assert_eq!(tracker.freshness(100, BOUND_MS), Freshness::Stale);
    tracker.set_readable(true);
    assert_eq!(tracker.freshness(100, BOUND_MS), Freshness::Current);
}

#[test]
fn next_step_waits_for_store_first() {
    let mut tracker = SettingsTracker::default();
    assert_eq!(tracker.next_step(0, 500), CatchUp::Idle);
    tracker.peer_reported(&name("a"), rev(7), None, 100);
    assert_eq!(tracker.next_step(200, 500), CatchUp::Wait(400));
    assert_eq!(tracker.next_step(600, 500), CatchUp::AskPeer);
    tracker.store_read_started();
    assert_eq!(tracker.next_step(600, 500), CatchUp::Wait(500));
    tracker.store_failed(700);
    assert_eq!(tracker.next_step(700, 500), CatchUp::AskPeer);
    tracker.peer_completed(rev(7));
    assert_eq!(tracker.next_step(700, 500), CatchUp::Idle);
}

/// A daemon that the store does not answer need not wait for it.
#[test]
fn next_step_store_down_asks_peer_at_once() {
    let mut tracker = SettingsTracker::default();
    tracker.store_failed(100);
    tracker.peer_reported(&name("a"), rev(7), None, 101);
    assert_eq!(tracker.next_step(101, 500), CatchUp::AskPeer);
}

/// Guards against requests that run by a version that is known to be outdated.
#[test]
fn verdict_overdue_newer_version_rejects() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    tracker.peer_reported(&name("a"), rev(12), None, 200);
    assert_eq!(tracker.verdict(3_090, BOUND_MS), Verdict::Serve);
    assert_eq!(tracker.verdict(3_091, BOUND_MS), Verdict::Reject);
    tracker.store_failed(3_100);
    assert_eq!(tracker.verdict(3_100, BOUND_MS), Verdict::Reject);
    tracker.apply(rev(12), &Source::Peer(name("a")), 3_200, 3_200);
    assert_eq!(tracker.verdict(3_200, BOUND_MS), Verdict::Serve);
}

/// Guards against a fleet that stops while its store is down.
#[test]
fn verdict_unconfirmed_waits_for_outage() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    assert_eq!(tracker.verdict(3_091, BOUND_MS), Verdict::Hold);
    tracker.store_failed(3_100);
    assert_eq!(tracker.verdict(3_100, BOUND_MS), Verdict::Serve);
}

/// Guards against a start in an outage by the first version that a peer sends.
#[test]
fn may_start_outage_waits_for_reports() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Peer(name("a")), 100, 100);
    assert!(!tracker.may_start(100, BOUND_MS, 1_000));
    tracker.store_failed(100);
    assert!(!tracker.may_start(1_099, BOUND_MS, 1_000));
    assert!(tracker.may_start(1_100, BOUND_MS, 1_000));
    tracker.store_confirmed(rev(7), 1_150);
    assert!(tracker.may_start(1_200, BOUND_MS, 1_000));
}

/// Guards against an answer from the past that confirms what it does not know.
#[test]
fn store_confirmed_older_answer_confirms_nothing() {
    let mut tracker = SettingsTracker::default();
    tracker.apply(rev(7), &Source::Store, 90, 100);
    tracker.store_confirmed(rev(9), 90);
    tracker.store_confirmed(rev(8), 5_000);
    assert_eq!(tracker.age_ms(5_000), 4_910);
    tracker.store_confirmed(rev(9), 5_000);
    assert_eq!(tracker.age_ms(5_000), 0);
}
