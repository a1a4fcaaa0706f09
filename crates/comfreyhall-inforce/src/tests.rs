use super::{InForce, Step, Verdict, Way};

const BOUND: u64 = 3_000;

fn name(text: &str) -> comfreyhall_domain::Name {
    text.into()
}

#[test]
fn verdict_nothing_known_is_stale() {
    assert_eq!(InForce::default().verdict(5, BOUND), Verdict::Stale);
}

#[test]
fn verdict_ages() {
    let mut known = InForce::default();
    known.take(7, &Way::Store, 90, 100);
    known.store_said(9, 90);
    assert_eq!(known.verdict(3_090, BOUND), Verdict::Current);
    assert_eq!(known.verdict(3_091, BOUND), Verdict::Stale);
}

#[test]
fn verdict_newer_heard_of_is_stale_until_taken() {
    let mut known = InForce::default();
    known.take(7, &Way::Store, 90, 100);
    known.store_said(9, 90);
    known.peer_said(&name("a"), 12, Some(150), 200);
    assert_eq!(known.verdict(210, BOUND), Verdict::Stale);
    assert_eq!(known.behind_ms(500), 300);
    known.take(12, &Way::Peer(name("a")), 210, 400);
    assert_eq!(known.verdict(410, BOUND), Verdict::Current);
    let taken = known.taken().unwrap();
    assert_eq!((taken.previous, taken.waited), (7, 200));
}

#[test]
fn peer_said_older_confirms_nothing() {
    let mut known = InForce::default();
    known.take(7, &Way::Store, 90, 100);
    known.peer_said(&name("a"), 6, Some(5_000), 5_000);
    assert_eq!(known.age(5_000), u64::MAX);
    known.peer_said(&name("a"), 7, Some(5_000), 5_000);
    assert_eq!(known.age(5_000), 0);
}

/// The store's answer covers rows that were deleted meanwhile.
#[test]
fn peer_said_version_covered_is_not_newer() {
    let mut known = InForce::default();
    known.take(7, &Way::Store, 90, 100);
    known.store_said(20, 90);
    known.peer_said(&name("a"), 15, None, 200);
    assert_eq!(known.heard(), None);
}

#[test]
fn fits_without_gap_only() {
    let mut known = InForce::default();
    assert!(known.fits(0));
    assert!(!known.fits(5));
    known.take(7, &Way::Store, 90, 100);
    assert!(known.fits(7));
    assert!(!known.fits(8));
}

#[test]
fn store_failed_keeps_first_moment() {
    let mut known = InForce::default();
    known.store_failed(10);
    known.store_failed(20);
    assert_eq!(known.away(), Some(10));
    known.store_said(1, 30);
    assert_eq!(known.away(), None);
}

/// Guards against an old configuration that counts as current behind an unreadable
/// one.
#[test]
fn verdict_unreadable_configuration_is_stale() {
    let mut known = InForce::default();
    known.take(7, &Way::Store, 90, 100);
    known.store_said(9, 90);
    known.set_readable(false);
    assert_eq!(known.verdict(100, BOUND), Verdict::Stale);
    known.set_readable(true);
    assert_eq!(known.verdict(100, BOUND), Verdict::Current);
}

#[test]
fn step_store_first() {
    let mut known = InForce::default();
    assert_eq!(known.step(0, 500), Step::Rest);
    known.peer_said(&name("a"), 7, None, 100);
    assert_eq!(known.step(200, 500), Step::Wait(400));
    assert_eq!(known.step(600, 500), Step::Ask);
    known.store_began();
    assert_eq!(known.step(600, 500), Step::Wait(500));
    known.store_failed(700);
    assert_eq!(known.step(700, 500), Step::Ask);
    known.peer_gave(7);
    assert_eq!(known.step(700, 500), Step::Rest);
}

/// A daemon that the store turns away need not wait for it.
#[test]
fn step_cut_off_asks_at_once() {
    let mut known = InForce::default();
    known.store_failed(100);
    known.peer_said(&name("a"), 7, None, 101);
    assert_eq!(known.step(101, 500), Step::Ask);
}
