use crate::*;

const TIMING: Timing = Timing {
    horizon_ms: 60_000,
    max_age_ms: 2_000,
};

fn listed(versions: &[(&str, bool)]) -> Vec<Listing> {
    let listing = |(software, ready): &(&str, bool)| Listing {
        software: (!software.is_empty()).then(|| (*software).into()),
        ready: *ready,
    };
    versions.iter().map(listing).collect()
}

fn history(first_start: bool, versions: &[(&str, bool)], now: u64) -> VersionHistory {
    let mut history = VersionHistory::new(first_start);
    history.observe(&listed(versions), TIMING.horizon_ms, now);
    history
}

fn only(history: &VersionHistory, as_of_ms: u64, now: u64) -> Option<String> {
    let version = history.only_version(as_of_ms, &TIMING, now);
    version.map(|v| v.to_string())
}

fn held(history: &VersionHistory, now: u64) -> Vec<Software> {
    history.begin_rule(&TIMING, now).held
}

fn record(software: &str, expires_ms: u64) -> StreamRecord {
    StreamRecord {
        service: "s".into(),
        software: software.into(),
        expires_ms,
    }
}

#[test]
fn only_version_of_first_start() {
    let history = history(true, &[("v1", true)], 100);
    assert_eq!(only(&history, 100, 200).as_deref(), Some("v1"));
}

/// Guards against a daemon that has just restarted and takes the only listed version
/// for the only one that can have begun a stream.
#[test]
fn only_version_unknown_after_restart() {
    let history = history(false, &[("v2", true)], 100);
    assert_eq!(only(&history, 5_000, 5_000), None);
    let later = 100 + TIMING.horizon_ms;
    assert_eq!(only(&history, later, later).as_deref(), Some("v2"));
}

/// Guards against a proof from an old list: another version may have appeared since.
#[test]
fn only_version_needs_recent_list() {
    let history = history(true, &[("v1", true)], 100);
    assert_eq!(only(&history, 1_000, 3_001), None);
}

/// Guards against taking a gone version for one that has no streams any more.
#[test]
fn only_version_counts_gone_versions() {
    let mut history = history(true, &[("v1", true)], 100);
    history.observe(&listed(&[("v2", true)]), TIMING.horizon_ms, 1_000);
    assert_eq!(only(&history, 30_000, 30_000), None);
    history.observe(&listed(&[("v2", true)]), TIMING.horizon_ms, 61_000);
    assert_eq!(only(&history, 61_000, 61_000).as_deref(), Some("v2"));
}

/// Guards against a target without a version that passes for one of any version.
#[test]
fn only_version_needs_known_versions() {
    assert_eq!(only(&history(true, &[("", true)], 100), 100, 200), None);
    let both = history(true, &[("", true), ("v1", true)], 100);
    assert_eq!(only(&both, 100, 200), None);
}

#[test]
fn learn_only_completes_history() {
    let mut history = history(false, &[("v1", true)], 70_000);
    assert!(history.learn_only(&"v1".into(), 5_000));
    assert_eq!(only(&history, 71_000, 71_000).as_deref(), Some("v1"));
    assert!(!history.learn_only(&"v2".into(), 0));
}

/// Guards against streams that begin at a version which other daemons do not know yet.
#[test]
fn begin_rule_holds_new_version() {
    let mut history = history(true, &[("v1", true)], 100);
    history.observe(
        &listed(&[("v1", true), ("v2", true)]),
        TIMING.horizon_ms,
        10_000,
    );
    assert_eq!(held(&history, 10_000), [Some("v2".into())]);
    assert!(held(&history, 10_000 + TIMING.hold_ms()).is_empty());
}

/// Guards against a service that is starved because its only version is new.
#[test]
fn begin_rule_allows_only_version() {
    assert!(held(&history(false, &[("v2", true)], 100), 100).is_empty());
    let mut replaced = history(true, &[("v1", true)], 100);
    replaced.observe(&listed(&[("v1", false)]), TIMING.horizon_ms, 5_000);
    replaced.observe(&listed(&[("v2", true)]), TIMING.horizon_ms, 9_000);
    assert!(held(&replaced, 9_000).is_empty());
}

fn reported(software: &str, first_ago_ms: u64, left_ago_ms: u64) -> Reported {
    Reported {
        software: Some(software.into()),
        first_ago_ms,
        left_ago_ms,
    }
}

#[test]
fn begin_rule_learns_first_listing() {
    let mut history = history(false, &[("v1", true), ("v2", true)], 5_000);
    assert_eq!(held(&history, 5_000).len(), 2);
    history.learn(&reported("v1", 4_000, 0), 5_000);
    history.learn(&reported("v2", 3_000, 0), 5_000);
    assert!(held(&history, 5_000).is_empty());
}

/// Guards against a daemon that starts right after a version has left, and does not
/// know that streams of it may be resumed.
#[test]
fn learn_gone_version_counts() {
    let mut history = history(false, &[("v2", true)], 5_000);
    history.learn(&reported("v1", 9_000, 500), 5_100);
    assert!(history.is_mixed());
    assert_eq!(held(&history, 5_100), [Some("v2".into())]);
}

#[test]
fn find_expired_is_unknown() {
    let mut records = StreamRecords::default();
    records.insert(&"r".into(), record("v1", 500), 100);
    assert_eq!(records.find("r", 400).map(|(_, age)| age), Some(300));
    assert!(records.find("r", 500).is_none());
    records.expire(500);
    assert!(records.is_empty());
}

/// Guards against a guess between two versions that were recorded for one stream.
#[test]
fn find_conflicting_is_unknown() {
    let mut records = StreamRecords::default();
    records.insert(&"r".into(), record("v1", 500), 100);
    records.insert(&"r".into(), record("v1", 500), 110);
    assert!(records.find("r", 120).is_some());
    records.insert(&"r".into(), record("v2", 500), 130);
    assert!(records.find("r", 140).is_none());
}

#[test]
fn conclude_record_goes_first() {
    let recorded = |v: &str| Answer::Recorded {
        software: v.into(),
        age_ms: 1,
    };
    let only = Answer::Only {
        software: "v2".into(),
        age_ms: 5,
        span_ms: 60_000,
    };
    let proof = conclude(&[Answer::Unknown, only.clone(), recorded("v1")]).unwrap();
    assert_eq!(
        (&*proof.software, proof.evidence),
        ("v1", Evidence::PeerRecord)
    );
    assert_eq!(conclude(&[recorded("v1"), recorded("v2")]), None);
    let proof = conclude(&[Answer::Unknown, only]).unwrap();
    assert_eq!(proof.evidence, Evidence::PeerHistory);
    assert_eq!(conclude(&[Answer::Unknown]), None);
}
