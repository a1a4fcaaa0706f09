use proptest::prelude::*;

use crate::*;

fn hasher() -> KeyHasher {
    KeyHasher::new(Salt::new([3; 32]))
}

fn key(text: &str) -> KeyHash {
    hasher().hash(text.as_bytes())
}

fn entry(name: &str, keys: &[&str]) -> WorkspaceEntry {
    WorkspaceEntry {
        name: name.to_string(),
        keys: keys.iter().map(|k| key(k)).collect(),
        rate: RawNumber::Number(10.0),
        burst: RawNumber::Number(5.0),
        ..WorkspaceEntry::default()
    }
}

fn owner(found: &Workspaces, text: &str) -> Option<Name> {
    let key = PresentedKey::new(text.as_bytes());
    found.find_by_key(&key).map(|w| w.name.clone())
}

fn allowance(found: &Workspaces, name: &str) -> Allowance {
    let all = found.all().iter();
    let mut named = all.filter(|w| &*w.name == name);
    named.next().expect("it is listed").allowance
}

#[test]
fn of_key_names_workspace() {
    let (found, problems) = read_entries(
        hasher(),
        vec![entry("a", &["k1", "k2"]), entry("b", &["k3"])],
    );
    assert!(problems.is_empty());
    assert_eq!(owner(&found, "k2").as_deref(), Some("a"));
    assert_eq!(owner(&found, "k3").as_deref(), Some("b"));
    assert_eq!(owner(&found, "k4"), None);
    assert_eq!(owner(&found, ""), None);
}

#[test]
fn hash_depends_on_salt() {
    let other = KeyHasher::new(Salt::new([4; 32]));
    assert_ne!(key("k1"), other.hash(b"k1"));
    assert_eq!(key("k1"), hasher().hash(b"k1"));
}

/// Guards against keys that can be read in logs and errors.
#[test]
fn debug_shows_no_key() {
    let (found, problems) = read_entries(
        hasher(),
        vec![entry("a", &["sesame"]), entry("b", &["sesame"])],
    );
    let shown = format!(
        "{found:?} {problems:?} {} {:?} {:?} {:?}",
        problems[0],
        key("sesame"),
        hasher(),
        PresentedKey::new(b"sesame")
    );
    assert!(!shown.contains("sesame"), "{shown}");
    let hash = key("sesame");
    let hex: String = hash.as_bytes().iter().map(|b| format!("{b:02x}")).collect();
    assert!(!shown.contains(&hex), "{shown}");
}

/// Guards against a caller that is served as the wrong one of two workspaces.
#[test]
fn read_shared_key_belongs_to_neither() {
    let entries = vec![entry("a", &["k1", "both"]), entry("b", &["both", "k2"])];
    let (found, problems) = read_entries(hasher(), entries);
    assert_eq!(owner(&found, "both"), None);
    assert_eq!(owner(&found, "k1").as_deref(), Some("a"));
    assert_eq!(owner(&found, "k2").as_deref(), Some("b"));
    let shared = EntryProblem::SharedKey {
        first: "a".into(),
        second: "b".into(),
    };
    assert_eq!(problems, [shared]);
}

/// Guards against a cap that is lifted by a typing error.
#[test]
fn read_odd_cap_allows_nothing() {
    let odd = [
        RawNumber::Invalid,
        RawNumber::Number(-1.0),
        RawNumber::Number(f64::NAN),
    ];
    for odd in odd {
        for field in ["rate", "burst"] {
            let mut a = entry("a", &["k1"]);
            match field {
                "rate" => a.rate = odd,
                _ => a.burst = odd,
            }
            let (found, problems) = read_entries(hasher(), vec![a, entry("b", &["k2"])]);
            assert_eq!(allowance(&found, "a"), Allowance::Denied);
            assert_ne!(allowance(&found, "b"), Allowance::Denied);
            assert_eq!(owner(&found, "k1").as_deref(), Some("a"));
            assert_eq!(problems.len(), 1, "{field} {odd:?}");
        }
    }
    let unit = WorkspaceEntry {
        unit: RawUnit::Invalid,
        ..entry("a", &[])
    };
    let (found, problems) = read_entries(hasher(), vec![unit]);
    assert_eq!(allowance(&found, "a"), Allowance::Denied);
    assert_eq!(problems, [EntryProblem::InvalidUnit("a".into())]);
}

#[test]
fn read_absent_rate_is_no_cap() {
    for rate in [RawNumber::Absent, RawNumber::Number(0.0)] {
        let open = WorkspaceEntry {
            rate,
            ..entry("a", &["k1"])
        };
        let (found, problems) = read_entries(hasher(), vec![open]);
        assert_eq!(allowance(&found, "a"), Allowance::Unlimited);
        assert!(problems.is_empty());
    }
}

#[test]
fn read_second_entry_lowers_cap() {
    let low = WorkspaceEntry {
        rate: RawNumber::Number(2.0),
        burst: RawNumber::Number(9.0),
        ..entry("a", &["k2"])
    };
    let (found, problems) = read_entries(hasher(), vec![entry("a", &["k1"]), low]);
    let quota = Quota {
        unit: QuotaUnit::Requests,
        rate: 2.0,
        burst: 5.0,
    };
    assert_eq!(allowance(&found, "a"), Allowance::Limited(quota));
    assert_eq!(owner(&found, "k1"), owner(&found, "k2"));
    assert_eq!(problems, [EntryProblem::DuplicateName("a".into())]);
}

#[test]
fn read_odd_rank_comes_last() {
    for rank in [
        RawNumber::Invalid,
        RawNumber::Number(1.5),
        RawNumber::Number(10.0),
        RawNumber::Number(-1.0),
    ] {
        let odd = WorkspaceEntry {
            rank,
            ..entry("a", &[])
        };
        let (found, problems) = read_entries(hasher(), vec![odd]);
        assert_eq!(found.all()[0].rank, Some(9));
        assert_eq!(problems, [EntryProblem::InvalidRank("a".into())]);
    }
    let first = WorkspaceEntry {
        rank: RawNumber::Number(0.0),
        ..entry("a", &[])
    };
    let (found, _) = read_entries(hasher(), vec![first, entry("b", &[])]);
    assert_eq!(found.all()[0].rank, Some(0));
    assert_eq!(found.all()[1].rank, None);
}

#[test]
fn size_counts_by_unit() {
    let tokens = Quota {
        unit: QuotaUnit::Tokens {
            default_tokens: 200,
        },
        rate: 1.0,
        burst: 0.0,
    };
    assert_eq!(tokens.cost(Some(2_448)), 2_448);
    assert_eq!(tokens.cost(None), 200);
    let requests = Quota {
        unit: QuotaUnit::Requests,
        ..tokens
    };
    assert_eq!(requests.cost(Some(2_448)), 1);
}

fn given() -> impl Strategy<Value = RawNumber> {
    prop_oneof![
        Just(RawNumber::Absent),
        Just(RawNumber::Invalid),
        any::<f64>().prop_map(RawNumber::Number),
        (0u8..12).prop_map(|n| RawNumber::Number(n.into())),
    ]
}

fn any_entry() -> impl Strategy<Value = WorkspaceEntry> {
    let unit = prop_oneof![
        Just(RawUnit::Requests),
        Just(RawUnit::Tokens),
        Just(RawUnit::Invalid)
    ];
    let keys = prop::collection::vec("[a-d]", 0..3);
    let numbers = (given(), given(), given(), given());
    ("[a-c]?", keys, unit, numbers).prop_map(|(name, keys, unit, (rank, plain, rate, burst))| {
        WorkspaceEntry {
            name,
            keys: keys.iter().map(|k| key(k)).collect(),
            invalid_keys: 0,
            rank,
            unit,
            default_tokens: plain,
            rate,
            burst,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(20_262),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever an operator writes, a key names one workspace that lists it and
    /// no other does, and a cap is a positive number of units.
    #[test]
    fn read_any_entries(entries in prop::collection::vec(any_entry(), 0..6)) {
        let (found, _) = read_entries(hasher(), entries.clone());
        for text in ["a", "b", "c", "d"] {
            let listed = entries.iter().filter(|e| !e.name.is_empty());
            let mut listed: Vec<&str> = listed
                .filter(|e| e.keys.contains(&key(text)))
                .map(|e| e.name.as_str())
                .collect();
            listed.sort_unstable();
            listed.dedup();
            let expected = (listed.len() == 1).then(|| listed[0]);
            let found = owner(&found, text);
            prop_assert_eq!(found.as_deref(), expected);
        }
        for workspace in found.all() {
            if let Allowance::Limited(quota) = workspace.allowance {
                prop_assert!(quota.rate > 0.0 && quota.rate.is_finite() && quota.burst >= 0.0);
            }
        }
    }
}
