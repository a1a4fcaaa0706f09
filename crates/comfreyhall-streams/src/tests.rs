use crate::*;

const TIMING: Timing = Timing {
    horizon_ms: 60_000,
    max_age_ms: 2_000,
};

fn listed(versions: &[(&str, bool)]) -> Vec<Listing> {
    let listing = |(software, ready): &(&str, bool)| Listing {
        boot: format!("boot of {software}").into(),
        software: (!software.is_empty()).then(|| (*software).into()),
        ready: *ready,
    };
    versions.iter().map(listing).collect()
}

/// Lists `versions` once a second from `from` to `until`.
fn list(history: &mut VersionHistory, versions: &[(&str, bool)], from: u64, until: u64) {
    for now in (from..=until).step_by(1_000) {
        history.observe(&listed(versions), &TIMING, now);
        let seen: Vec<Software> = history.report(now).map(|r| r.software).collect();
        history.mark_stored(&seen);
        history.confirm(now, &TIMING);
    }
}

fn history(first_start: bool, versions: &[(&str, bool)], now: u64) -> VersionHistory {
    let mut history = VersionHistory::new(ListTimes::new(first_start));
    list(&mut history, versions, now, now);
    history
}

fn only(history: &VersionHistory, now: u64) -> Option<String> {
    let version = history.only_version(&TIMING, now);
    version.map(|v| v.to_string())
}

fn held(history: &VersionHistory, now: u64) -> Vec<Software> {
    match history.begin_rule(&TIMING, now) {
        SoftwareRule::Except(held) => held,
        _ => Vec::new(),
    }
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
    let mut history = history(true, &[("v1", true)], 100);
    list(&mut history, &[("v1", true)], 1_100, 3_100);
    assert_eq!(only(&history, 3_200).as_deref(), Some("v1"));
}

/// Guards against a daemon that has just restarted and takes the only listed version
/// for the only one that can have begun a stream.
#[test]
fn only_version_unknown_after_restart() {
    let mut history = history(false, &[("v2", true)], 1_000);
    list(&mut history, &[("v2", true)], 2_000, 60_000);
    assert_eq!(only(&history, 60_000), None);
    list(&mut history, &[("v2", true)], 61_000, 61_000);
    assert_eq!(only(&history, 61_000).as_deref(), Some("v2"));
}

/// Guards against a service whose targets were listed after its daemon had started,
/// and that counts as incomplete since then.
#[test]
fn only_version_of_later_service() {
    let mut list = ListTimes::new(true);
    list.confirm(100, &TIMING);
    list.confirm(1_100, &TIMING);
    let mut history = VersionHistory::new(list);
    for now in (2_000..=5_000).step_by(1_000) {
        history.observe(&listed(&[("v1", true)]), &TIMING, now);
        history.confirm(now, &TIMING);
    }
    assert_eq!(only(&history, 5_000).as_deref(), Some("v1"));
}

/// Guards against a proof from an old list: another version may have appeared since.
#[test]
fn only_version_needs_recent_list() {
    let mut history = history(true, &[("v1", true)], 100);
    list(&mut history, &[("v1", true)], 1_100, 9_100);
    assert_eq!(only(&history, 11_100).as_deref(), Some("v1"));
    assert_eq!(only(&history, 11_101), None);
}

/// Guards against a version that came and went between two lists that are far apart.
#[test]
fn only_version_needs_close_lists() {
    let mut history = history(true, &[("v1", true)], 100);
    list(&mut history, &[("v1", true)], 5_000, 9_000);
    assert_eq!(only(&history, 9_000), None);
}

/// Guards against taking a version that has ended for one that has no streams any more.
#[test]
fn only_version_counts_gone_versions() {
    let mut history = history(true, &[("v1", true)], 100);
    list(&mut history, &[("v2", true)], 1_000, 60_000);
    assert_eq!(only(&history, 60_000), None);
    list(&mut history, &[("v2", true)], 61_000, 61_000);
    assert_eq!(only(&history, 61_000).as_deref(), Some("v2"));
}

/// Guards against a target without a version that passes for one of any version.
#[test]
fn only_version_needs_known_versions() {
    let mut unknown = history(true, &[("", true)], 100);
    list(&mut unknown, &[("", true)], 1_100, 9_100);
    assert_eq!(only(&unknown, 9_100), None);
    let mut both = history(true, &[("", true), ("v1", true)], 100);
    list(&mut both, &[("", true), ("v1", true)], 1_100, 9_100);
    assert_eq!(only(&both, 9_100), None);
}

#[test]
fn learn_only_completes_history() {
    let mut history = history(false, &[("v1", true)], 70_000);
    list(&mut history, &[("v1", true)], 71_000, 74_000);
    assert_eq!(only(&history, 74_000), None);
    history.learn_only(&"v2".into(), 5_000);
    assert_eq!(only(&history, 74_000), None);
    history.learn_only(&"v1".into(), 5_000);
    assert_eq!(only(&history, 74_000).as_deref(), Some("v1"));
}

/// Guards against streams that begin at a version which other daemons do not know yet.
#[test]
fn begin_rule_holds_new_version() {
    let mut history = history(true, &[("v1", true)], 1_000);
    list(&mut history, &[("v1", true)], 2_000, 9_000);
    let both = [("v1", true), ("v2", true)];
    list(&mut history, &both, 10_000, 12_000);
    assert_eq!(held(&history, 12_000), [Some("v2".into())]);
    list(&mut history, &both, 13_000, 13_000);
    assert!(held(&history, 13_000).is_empty());
}

/// Guards against streams of a version that nobody knows of after the whole fleet was
/// killed: it has to be stored before it begins streams.
#[test]
fn begin_rule_holds_version_not_stored() {
    let mut history = history(true, &[("v1", true)], 1_000);
    list(&mut history, &[("v1", true)], 2_000, 9_000);
    for now in (10_000..=20_000).step_by(1_000) {
        history.observe(&listed(&[("v1", true), ("v2", true)]), &TIMING, now);
        history.mark_stored(&[Some("v1".into())]);
        history.confirm(now, &TIMING);
    }
    assert_eq!(held(&history, 20_000), [Some("v2".into())]);
}

fn stored(software: &str, established: bool) -> Stored {
    Stored {
        software: Some(software.into()),
        established,
    }
}

/// Guards against a service without streams after the whole fleet was killed in a
/// rollout.
#[test]
fn begin_rule_after_fleet_kill() {
    let mut fresh = VersionHistory::new(ListTimes::new(false));
    fresh.learn_stored(&[stored("v1", true), stored("v2", false)], 50);
    let both = [("v1", true), ("v2", true)];
    list(&mut fresh, &both, 100, 100);
    assert_eq!(held(&fresh, 150), [Some("v2".into())]);
}

/// Guards against rejected resumptions of a service with one version after the whole
/// fleet was killed.
#[test]
fn learn_stored_completes_history() {
    let mut fresh = VersionHistory::new(ListTimes::new(false));
    fresh.learn_stored(&[stored("v1", true)], 50);
    list(&mut fresh, &[("v1", true)], 100, 100);
    assert_eq!(only(&fresh, 150).as_deref(), Some("v1"));
    let mut mixed = VersionHistory::new(ListTimes::new(false));
    mixed.learn_stored(&[stored("v1", true), stored("v2", true)], 50);
    list(&mut mixed, &[("v1", true)], 100, 100);
    assert_eq!(only(&mixed, 150), None);
}

/// Guards against a service that is starved because its only version is new.
#[test]
fn begin_rule_allows_only_version() {
    assert!(held(&history(false, &[("v2", true)], 100), 100).is_empty());
    let mut replaced = history(true, &[("v1", true)], 1_000);
    list(&mut replaced, &[("v1", true)], 2_000, 4_000);
    list(&mut replaced, &[("v1", false)], 5_000, 8_000);
    list(&mut replaced, &[("v2", true)], 9_000, 9_000);
    assert!(held(&replaced, 9_000).is_empty());
}

fn reported(software: &str, left_ago_ms: u64) -> Reported {
    Reported {
        software: Some(software.into()),
        established: true,
        left_ago_ms,
    }
}

#[test]
fn begin_rule_learns_established_versions() {
    let mut history = history(false, &[("v1", true), ("v2", true)], 5_000);
    assert_eq!(held(&history, 5_000).len(), 2);
    history.learn(&reported("v1", 0), 5_000);
    history.learn(&reported("v2", 0), 5_000);
    assert!(held(&history, 5_000).is_empty());
}

/// Guards against a daemon that starts right after a version has left, and does not
/// know that streams of it may be resumed.
#[test]
fn learn_gone_version_counts() {
    let mut history = history(false, &[("v2", true)], 5_000);
    history.learn(&reported("v1", 500), 5_100);
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
        service: "s".into(),
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

#[test]
fn allows_by_rule() {
    let (v1, v2) = (Some("v1".into()), Some("v2".into()));
    assert!(SoftwareRule::Any.allows(&None));
    let except = SoftwareRule::Except(vec![v2.clone()]);
    assert!(except.allows(&v1) && except.allows(&None) && !except.allows(&v2));
    let only = SoftwareRule::Only("v1".into());
    assert!(only.allows(&v1) && !only.allows(&v2) && !only.allows(&None));
}
