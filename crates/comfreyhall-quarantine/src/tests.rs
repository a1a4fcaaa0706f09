use crate::{Change, Evidence, Fingerprint, Observation, Quarantine, Status};

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

fn ended(fingerprint: Fingerprint, target: &str, at: u64) -> Evidence {
    Evidence {
        fingerprint,
        observation: Observation::TargetEnded {
            target: target.into(),
            early: true,
        },
        at_ms: at,
        observer: "n1".into(),
    }
}

fn ran_whole(fingerprint: Fingerprint, at: u64) -> Evidence {
    Evidence {
        observation: Observation::Completed,
        ..ended(fingerprint, "", at)
    }
}

/// A quarantine that knows of `ends`, each a request and a target.
fn knowing(ends: &[(Fingerprint, &str)]) -> Quarantine {
    let mut known = Quarantine::default();
    for (fingerprint, target) in ends {
        known.record(ended(*fingerprint, target, SECOND), SECOND);
    }
    known
}

fn is_held(known: &Quarantine, fingerprint: Fingerprint) -> bool {
    matches!(
        known.status(&fingerprint, 0, SECOND),
        Status::Quarantined { .. }
    )
}

fn of(parts: &[&str]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(|p| p.as_bytes()))
}

#[test]
fn fingerprint_same_request() {
    assert_eq!(of(&["h", "/p", "body"]), of(&["h", "/p", "body"]));
}

#[test]
fn fingerprint_parts_keep_their_bounds() {
    assert_ne!(of(&["h", "/pb", "ody"]), of(&["h", "/p", "body"]));
    assert_ne!(of(&["h", "/p", "body"]), of(&["i", "/p", "body"]));
    assert_ne!(of(&["h", "", "/p"]), of(&["h", "/p", ""]));
}

#[test]
fn fingerprint_told_and_heard() {
    let fingerprint = of(&["h"]);
    assert_eq!(
        Fingerprint::from_bytes(fingerprint.as_bytes()),
        Some(fingerprint)
    );
    assert_eq!(Fingerprint::from_bytes(b"short"), None);
}

#[test]
fn learn_three_ends_hold() {
    let fingerprint = of(&["deadly"]);
    let mut known = Quarantine::default();
    let suspect = [Change::Suspected(fingerprint)];
    assert_eq!(known.record(ended(fingerprint, "a", 1), 1), suspect);
    assert_eq!(known.record(ended(fingerprint, "b", 2), 2), suspect);
    // The same end, told again by another.
    assert!(known.record(ended(fingerprint, "b", 3), 3).is_empty());
    assert_eq!(known.status(&fingerprint, 0, 3), Status::Allowed);
    let changes = known.record(ended(fingerprint, "c", 4), 4);
    assert_eq!(
        changes,
        [
            Change::Suspected(fingerprint),
            Change::Quarantined(fingerprint)
        ]
    );
    assert!(is_held(&known, fingerprint));
}

/// Symptom: a request that harms nobody was held back. Events: it ran beside
/// one that ends its engines, was sent on to the next engine with it, and came
/// again. Cause: each end counted against all that were there.
#[test]
fn learn_bystander_stays_free() {
    let (deadly, beside) = (of(&["deadly"]), of(&["beside"]));
    let mut known = knowing(&[(deadly, "a"), (deadly, "b"), (deadly, "c"), (deadly, "d")]);
    for target in ["a", "b", "c"] {
        known.record(ended(beside, target, SECOND), SECOND);
    }
    assert!(is_held(&known, deadly));
    assert!(!is_held(&known, beside));
}

/// A bystander that was told of first is let go once the cause is known.
#[test]
fn learn_explanation_lets_go() {
    let (deadly, beside) = (of(&["deadly"]), of(&["beside"]));
    let mut known = knowing(&[(beside, "a"), (beside, "b"), (beside, "c")]);
    assert!(is_held(&known, beside));
    let told = ["a", "b", "c", "d"].map(|t| known.record(ended(deadly, t, SECOND), SECOND));
    assert!(told.concat().contains(&Change::Released(beside)));
    assert!(is_held(&known, deadly));
}

/// What one request explains does not free it from what nothing explains.
#[test]
fn learn_two_deadly_requests_both_held() {
    let (one, two) = (of(&["one"]), of(&["two"]));
    let known = knowing(&[
        (one, "a"),
        (one, "b"),
        (one, "c"),
        (one, "d"),
        (two, "c"),
        (two, "e"),
        (two, "f"),
        (two, "g"),
    ]);
    assert!(is_held(&known, one));
    assert!(is_held(&known, two));
}

#[test]
fn learn_ran_whole_lets_go() {
    let fingerprint = of(&["beside"]);
    let mut known = knowing(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    let changes = known.record(ran_whole(fingerprint, 2 * SECOND), 2 * SECOND);
    assert_eq!(changes, [Change::Released(fingerprint)]);
    // Older evidence that comes late changes nothing.
    assert!(
        known
            .record(ended(fingerprint, "d", SECOND), 2 * SECOND)
            .is_empty()
    );
    assert!(!known.is_suspect(&fingerprint));
}

/// Two daemons whose clocks round differently stop telling each other.
#[test]
fn learn_ran_whole_once() {
    let fingerprint = of(&["beside"]);
    let mut known = knowing(&[(fingerprint, "a")]);
    known.record(ran_whole(fingerprint, 2 * SECOND), 2 * SECOND);
    let serial = known.serial();
    known.record(ran_whole(fingerprint, 2 * SECOND + 7), 2 * SECOND + 7);
    assert_eq!(known.serial(), serial);
}

#[test]
fn status_one_trial_in_turn() {
    let fingerprint = of(&["deadly"]);
    let mut known = knowing(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    assert_eq!(known.status(&fingerprint, 0, 31 * SECOND), Status::Trial);
    // The next daemon waits for the first.
    assert_ne!(known.status(&fingerprint, 1, 31 * SECOND), Status::Trial);
    assert_eq!(known.status(&fingerprint, 1, 36 * SECOND), Status::Trial);
    known.record(ended(fingerprint, "d", 31 * SECOND), 31 * SECOND);
    // No trial any more until it is forgotten.
    assert_ne!(known.status(&fingerprint, 0, 62 * SECOND), Status::Trial);
    assert_ne!(known.status(&fingerprint, 0, 3_000 * SECOND), Status::Trial);
    let changes = known.expire(31 * SECOND + HOUR);
    assert_eq!(changes, [Change::Released(fingerprint)]);
    assert!(known.is_empty());
}

#[test]
fn status_held_caller_comes_back_late() {
    let fingerprint = of(&["deadly"]);
    let known = knowing(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    let held = known.status(&fingerprint, 0, 2 * SECOND);
    assert_eq!(
        held,
        Status::Quarantined {
            retry_ms: 29 * SECOND
        }
    );
}

#[test]
fn since_tells_each_finding_once() {
    let fingerprint = of(&["deadly"]);
    let mut known = knowing(&[(fingerprint, "a"), (fingerprint, "b")]);
    let (told, last) = known.evidence_since(0);
    assert_eq!(told.len(), 2);
    assert!(known.evidence_since(last).0.is_empty());
    known.record(ended(fingerprint, "c", SECOND), SECOND);
    let (told, _) = known.evidence_since(last);
    assert_eq!(told, [ended(fingerprint, "c", SECOND)]);
}

/// Symptom: a daemon grows until it is killed. Events: a caller sends a million
/// bodies that each end a target. Cause: what is remembered had no bound. What
/// is not held back falls out first, the oldest before the others.
#[test]
fn learn_million_bodies_bounded() {
    let deadly = of(&["deadly"]);
    let mut known = knowing(&[(deadly, "a"), (deadly, "b"), (deadly, "c")]);
    let first = of(&["body", "0"]);
    for i in 0..6_000_u64 {
        let fingerprint = of(&["body", &i.to_string()]);
        let at = 10 * SECOND + i;
        known.record(ended(fingerprint, &format!("t{}", i / 64), at), at);
    }
    let (mut told, mut serial) = (0, 0);
    loop {
        let (some, last) = known.evidence_since(serial);
        told += some.len();
        if some.is_empty() {
            break;
        }
        serial = last;
    }
    assert!(told <= 4_096, "{told} findings are kept");
    assert!(!known.is_suspect(&first));
    assert!(is_held(&known, deadly));
}
