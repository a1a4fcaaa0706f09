use super::{CatchUp, Freshness, SettingsTracker, Source};

const BOUND: u64 = 3_000;

fn name(text: &str) -> comfreyhall_domain::Name {
    text.into()
}

#[test]
fn verdict_nothing_known_is_stale() {
    assert_eq!(
        SettingsTracker::default().freshness(5, BOUND),
        Freshness::Stale
    );
}

#[test]
fn verdict_ages() {
    let mut known = SettingsTracker::default();
    known.apply(7, &Source::Store, 90, 100);
    known.store_confirmed(9, 90);
    assert_eq!(known.freshness(3_090, BOUND), Freshness::Current);
    assert_eq!(known.freshness(3_091, BOUND), Freshness::Stale);
}

#[test]
fn verdict_newer_heard_of_is_stale_until_taken() {
    let mut known = SettingsTracker::default();
    known.apply(7, &Source::Store, 90, 100);
    known.store_confirmed(9, 90);
    known.peer_reported(&name("a"), 12, Some(150), 200);
    assert_eq!(known.freshness(210, BOUND), Freshness::Stale);
    assert_eq!(known.lag_ms(500), 300);
    known.apply(12, &Source::Peer(name("a")), 210, 400);
    assert_eq!(known.freshness(410, BOUND), Freshness::Current);
    let taken = known.last_applied().unwrap();
    assert_eq!((taken.previous, taken.waited_ms), (7, 200));
}

#[test]
fn peer_said_older_confirms_nothing() {
    let mut known = SettingsTracker::default();
    known.apply(7, &Source::Store, 90, 100);
    known.peer_reported(&name("a"), 6, Some(5_000), 5_000);
    assert_eq!(known.age_ms(5_000), u64::MAX);
    known.peer_reported(&name("a"), 7, Some(5_000), 5_000);
    assert_eq!(known.age_ms(5_000), 0);
}

/// The store's answer covers rows that were deleted meanwhile.
#[test]
fn peer_said_version_covered_is_not_newer() {
    let mut known = SettingsTracker::default();
    known.apply(7, &Source::Store, 90, 100);
    known.store_confirmed(20, 90);
    known.peer_reported(&name("a"), 15, None, 200);
    assert_eq!(known.newer_version(), None);
}

#[test]
fn fits_without_gap_only() {
    let mut known = SettingsTracker::default();
    assert!(known.is_contiguous(0));
    assert!(!known.is_contiguous(5));
    known.apply(7, &Source::Store, 90, 100);
    assert!(known.is_contiguous(7));
    assert!(!known.is_contiguous(8));
}

#[test]
fn store_failed_keeps_first_moment() {
    let mut known = SettingsTracker::default();
    known.store_failed(10);
    known.store_failed(20);
    assert_eq!(known.store_down_since(), Some(10));
    known.store_confirmed(1, 30);
    assert_eq!(known.store_down_since(), None);
}

/// Guards against an old configuration that counts as current behind an unreadable
/// one.
#[test]
fn verdict_unreadable_configuration_is_stale() {
    let mut known = SettingsTracker::default();
    known.apply(7, &Source::Store, 90, 100);
    known.store_confirmed(9, 90);
    known.set_readable(false);
    assert_eq!(known.freshness(100, BOUND), Freshness::Stale);
    known.set_readable(true);
    assert_eq!(known.freshness(100, BOUND), Freshness::Current);
}

#[test]
fn step_store_first() {
    let mut known = SettingsTracker::default();
    assert_eq!(known.next_step(0, 500), CatchUp::Idle);
    known.peer_reported(&name("a"), 7, None, 100);
    assert_eq!(known.next_step(200, 500), CatchUp::Wait(400));
    assert_eq!(known.next_step(600, 500), CatchUp::AskPeer);
    known.store_read_started();
    assert_eq!(known.next_step(600, 500), CatchUp::Wait(500));
    known.store_failed(700);
    assert_eq!(known.next_step(700, 500), CatchUp::AskPeer);
    known.peer_completed(7);
    assert_eq!(known.next_step(700, 500), CatchUp::Idle);
}

/// A daemon that the store turns away need not wait for it.
#[test]
fn step_cut_off_asks_at_once() {
    let mut known = SettingsTracker::default();
    known.store_failed(100);
    known.peer_reported(&name("a"), 7, None, 101);
    assert_eq!(known.next_step(101, 500), CatchUp::AskPeer);
}
