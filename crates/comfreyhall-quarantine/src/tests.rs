use crate::{
    Change, Evidence, Feature, Fingerprint, Observation, Quarantine, Status, process_time,
};

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

fn ended(fingerprint: Fingerprint, target: &str, at: u64) -> Evidence {
    Evidence {
        feature: Feature::request(fingerprint),
        observation: Observation::TargetEnded {
            target: target.into(),
            early: true,
        },
        at_ms: at,
        observer: "n1".into(),
    }
}

fn completed(fingerprint: Fingerprint, at: u64) -> Evidence {
    Evidence {
        observation: Observation::Completed,
        ..ended(fingerprint, "", at)
    }
}

/// A quarantine with the evidence `ends`, each a request and a target.
fn quarantine_with(ends: &[(Fingerprint, &str)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (fingerprint, target) in ends {
        quarantine.record(ended(*fingerprint, target, SECOND), SECOND);
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, fingerprint: Fingerprint) -> bool {
    matches!(
        quarantine.status(&fingerprint, 0, SECOND),
        Status::Quarantined { .. }
    )
}

fn fingerprint_of(parts: &[&str]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(|p| p.as_bytes()))
}

#[test]
fn fingerprint_same_request() {
    assert_eq!(
        fingerprint_of(&["h", "/p", "body"]),
        fingerprint_of(&["h", "/p", "body"])
    );
}

#[test]
fn fingerprint_parts_keep_their_bounds() {
    assert_ne!(
        fingerprint_of(&["h", "/pb", "ody"]),
        fingerprint_of(&["h", "/p", "body"])
    );
    assert_ne!(
        fingerprint_of(&["h", "/p", "body"]),
        fingerprint_of(&["i", "/p", "body"])
    );
    assert_ne!(
        fingerprint_of(&["h", "", "/p"]),
        fingerprint_of(&["h", "/p", ""])
    );
}

#[test]
fn fingerprint_bytes_round_trip() {
    let fingerprint = fingerprint_of(&["h"]);
    assert_eq!(
        Fingerprint::from_bytes(fingerprint.as_bytes()),
        Some(fingerprint)
    );
    assert_eq!(Fingerprint::from_bytes(b"short"), None);
}

#[test]
fn record_three_ends_quarantine() {
    let fingerprint = fingerprint_of(&["deadly"]);
    let mut quarantine = Quarantine::default();
    let suspect = [Change::Suspected(fingerprint)];
    assert_eq!(quarantine.record(ended(fingerprint, "a", 1), 1), suspect);
    assert_eq!(quarantine.record(ended(fingerprint, "b", 2), 2), suspect);
    // The same end, reported again by another daemon.
    assert!(quarantine.record(ended(fingerprint, "b", 3), 3).is_empty());
    assert_eq!(quarantine.status(&fingerprint, 0, 3), Status::Allowed);
    let changes = quarantine.record(ended(fingerprint, "c", 4), 4);
    assert_eq!(
        changes,
        [
            Change::Suspected(fingerprint),
            Change::Quarantined(fingerprint)
        ]
    );
    assert!(is_quarantined(&quarantine, fingerprint));
}

/// Guards against quarantining a harmless request that ran beside one that ends
/// its engines, was sent with it to the next engine, and came again: an end is
/// evidence against all requests that were there.
#[test]
fn record_bystander_stays_allowed() {
    let (deadly, bystander) = (fingerprint_of(&["deadly"]), fingerprint_of(&["beside"]));
    let mut quarantine =
        quarantine_with(&[(deadly, "a"), (deadly, "b"), (deadly, "c"), (deadly, "d")]);
    for target in ["a", "b", "c"] {
        quarantine.record(ended(bystander, target, SECOND), SECOND);
    }
    assert!(is_quarantined(&quarantine, deadly));
    assert!(!is_quarantined(&quarantine, bystander));
}

/// A bystander whose evidence arrived first is released once the cause is
/// known.
#[test]
fn record_explanation_releases() {
    let (deadly, bystander) = (fingerprint_of(&["deadly"]), fingerprint_of(&["beside"]));
    let mut quarantine = quarantine_with(&[(bystander, "a"), (bystander, "b"), (bystander, "c")]);
    assert!(is_quarantined(&quarantine, bystander));
    let changes = ["a", "b", "c", "d"].map(|t| quarantine.record(ended(deadly, t, SECOND), SECOND));
    assert!(changes.concat().contains(&Change::Released(bystander)));
    assert!(is_quarantined(&quarantine, deadly));
}

/// Ends that one request explains do not clear another of the unexplained ones.
#[test]
fn record_two_deadly_requests_both_quarantined() {
    let (one, two) = (fingerprint_of(&["one"]), fingerprint_of(&["two"]));
    let quarantine = quarantine_with(&[
        (one, "a"),
        (one, "b"),
        (one, "c"),
        (one, "d"),
        (two, "c"),
        (two, "e"),
        (two, "f"),
        (two, "g"),
    ]);
    assert!(is_quarantined(&quarantine, one));
    assert!(is_quarantined(&quarantine, two));
}

#[test]
fn record_completion_releases() {
    let fingerprint = fingerprint_of(&["beside"]);
    let mut quarantine =
        quarantine_with(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    let changes = quarantine.record(completed(fingerprint, 2 * SECOND), 2 * SECOND);
    assert_eq!(changes, [Change::Released(fingerprint)]);
    // Older evidence that arrives late changes nothing.
    assert!(
        quarantine
            .record(ended(fingerprint, "d", SECOND), 2 * SECOND)
            .is_empty()
    );
    assert!(!quarantine.is_suspect(&fingerprint));
}

/// Guards against two daemons that send each other the same observation for
/// ever because their clocks round differently.
#[test]
fn record_completion_once() {
    let fingerprint = fingerprint_of(&["beside"]);
    let mut quarantine = quarantine_with(&[(fingerprint, "a")]);
    quarantine.record(completed(fingerprint, 2 * SECOND), 2 * SECOND);
    let serial = quarantine.serial();
    quarantine.record(completed(fingerprint, 2 * SECOND + 7), 2 * SECOND + 7);
    assert_eq!(quarantine.serial(), serial);
}

#[test]
fn status_one_trial_in_turn() {
    let fingerprint = fingerprint_of(&["deadly"]);
    let mut quarantine =
        quarantine_with(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    assert_eq!(
        quarantine.status(&fingerprint, 0, 31 * SECOND),
        Status::Trial
    );
    // The next daemon waits for the first.
    assert_ne!(
        quarantine.status(&fingerprint, 1, 31 * SECOND),
        Status::Trial
    );
    assert_eq!(
        quarantine.status(&fingerprint, 1, 36 * SECOND),
        Status::Trial
    );
    quarantine.record(ended(fingerprint, "d", 31 * SECOND), 31 * SECOND);
    // No further trial until it is dropped.
    assert_ne!(
        quarantine.status(&fingerprint, 0, 62 * SECOND),
        Status::Trial
    );
    assert_ne!(
        quarantine.status(&fingerprint, 0, 3_000 * SECOND),
        Status::Trial
    );
    let changes = quarantine.expire(31 * SECOND + HOUR);
    assert_eq!(changes, [Change::Released(fingerprint)]);
    assert!(quarantine.is_empty());
}

#[test]
fn status_quarantined_caller_retries_late() {
    let fingerprint = fingerprint_of(&["deadly"]);
    let quarantine = quarantine_with(&[(fingerprint, "a"), (fingerprint, "b"), (fingerprint, "c")]);
    let status = quarantine.status(&fingerprint, 0, 2 * SECOND);
    assert_eq!(
        status,
        Status::Quarantined {
            retry_ms: 29 * SECOND
        }
    );
}

#[test]
fn evidence_since_returns_each_once() {
    let fingerprint = fingerprint_of(&["deadly"]);
    let mut quarantine = quarantine_with(&[(fingerprint, "a"), (fingerprint, "b")]);
    let (returned, last) = quarantine.evidence_since(0);
    assert_eq!(returned.len(), 2);
    assert!(quarantine.evidence_since(last).0.is_empty());
    quarantine.record(ended(fingerprint, "c", SECOND), SECOND);
    let (returned, _) = quarantine.evidence_since(last);
    assert_eq!(returned, [ended(fingerprint, "c", SECOND)]);
}

/// Guards against unbounded memory: a caller sends thousands of bodies that
/// each end a target. Requests that are not quarantined are dropped first, the
/// oldest before the others.
#[test]
fn record_many_fingerprints_bounded() {
    let deadly = fingerprint_of(&["deadly"]);
    let mut quarantine = quarantine_with(&[(deadly, "a"), (deadly, "b"), (deadly, "c")]);
    let first = fingerprint_of(&["body", "0"]);
    for i in 0..6_000_u64 {
        let fingerprint = fingerprint_of(&["body", &i.to_string()]);
        let at = 10 * SECOND + i;
        quarantine.record(ended(fingerprint, &format!("t{}", i / 64), at), at);
    }
    let (mut returned, mut serial) = (0, 0);
    loop {
        let (some, last) = quarantine.evidence_since(serial);
        returned += some.len();
        if some.is_empty() {
            break;
        }
        serial = last;
    }
    assert!(returned <= 4_096, "{returned} observations are kept");
    assert!(!quarantine.is_suspect(&first));
    assert!(is_quarantined(&quarantine, deadly));
}

/// Guards against evidence from before a daemon's start that has one and the same time
/// there: ends of a series would count as ends that many targets share.
#[test]
fn from_wire_older_than_process_keeps_order() {
    let poison = fingerprint_of(&["poison"]);
    let sender_ms = process_time(HOUR);
    let mut others = Quarantine::default();
    for i in 0..12 {
        let ended_ms = sender_ms - 120 * SECOND + i * 5 * SECOND;
        let target = format!("t{i}");
        let fingerprint = match i % 3 {
            0 => poison,
            _ => fingerprint_of(&[&target]),
        };
        others.record(ended(fingerprint, &target, ended_ms), sender_ms);
    }
    let now = process_time(SECOND);
    let mut started = Quarantine::default();
    for evidence in others.evidence_since(0).0 {
        let message = evidence.to_wire(sender_ms);
        started.record(Evidence::from_wire(&message, now).unwrap(), now);
    }
    assert!(started.is_quarantined(&poison));
}
