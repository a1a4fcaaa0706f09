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

fn owner(workspaces: &Workspaces, text: &str) -> Option<Name> {
    let key = PresentedKey::new(text.as_bytes());
    workspaces.find_by_key(&key).map(|w| w.name.clone())
}

fn allowance(workspaces: &Workspaces, name: &str) -> Allowance {
    let all = workspaces.all().iter();
    let mut named = all.filter(|w| &*w.name == name);
    named.next().expect("it is listed").allowance
}

#[test]
fn find_by_key_returns_workspace() {
    let (workspaces, problems) = read_entries(
        hasher(),
        vec![entry("a", &["k1", "k2"]), entry("b", &["k3"])],
    );
    assert!(problems.is_empty());
    assert_eq!(owner(&workspaces, "k2").as_deref(), Some("a"));
    assert_eq!(owner(&workspaces, "k3").as_deref(), Some("b"));
    assert_eq!(owner(&workspaces, "k4"), None);
    assert_eq!(owner(&workspaces, ""), None);
}

#[test]
fn hash_depends_on_salt() {
    let other = KeyHasher::new(Salt::new([4; 32]));
    assert_ne!(key("k1"), other.hash(b"k1"));
    assert_eq!(key("k1"), hasher().hash(b"k1"));
}

/// Guards against keys that can be read in logs and error messages.
#[test]
fn debug_shows_no_key() {
    let (workspaces, problems) = read_entries(
        hasher(),
        vec![entry("a", &["sesame"]), entry("b", &["sesame"])],
    );
    let printed = format!(
        "{workspaces:?} {problems:?} {} {:?} {:?} {:?}",
        problems[0],
        key("sesame"),
        hasher(),
        PresentedKey::new(b"sesame")
    );
    assert!(!printed.contains("sesame"), "{printed}");
    let hash = key("sesame");
    let hex: String = hash.as_bytes().iter().map(|b| format!("{b:02x}")).collect();
    assert!(!printed.contains(&hex), "{printed}");
}

/// Guards against a client that is served as the wrong one of two workspaces.
#[test]
fn read_entries_shared_key_belongs_to_neither() {
    let entries = vec![entry("a", &["k1", "both"]), entry("b", &["both", "k2"])];
    let (workspaces, problems) = read_entries(hasher(), entries);
    assert_eq!(owner(&workspaces, "both"), None);
    assert_eq!(owner(&workspaces, "k1").as_deref(), Some("a"));
    assert_eq!(owner(&workspaces, "k2").as_deref(), Some("b"));
    let shared = EntryProblem::SharedKey {
        first: "a".into(),
        second: "b".into(),
    };
    assert_eq!(problems, [shared]);
}

/// Guards against a quota that a typing error lifts.
#[test]
fn read_entries_invalid_quota_allows_nothing() {
    let invalid = [
        RawNumber::Invalid,
        RawNumber::Number(-1.0),
        RawNumber::Number(f64::NAN),
    ];
    for invalid in invalid {
        for field in ["rate", "burst"] {
            let mut a = entry("a", &["k1"]);
            match field {
                "rate" => a.rate = invalid,
                _ => a.burst = invalid,
            }
            let (workspaces, problems) = read_entries(hasher(), vec![a, entry("b", &["k2"])]);
            assert_eq!(allowance(&workspaces, "a"), Allowance::Denied);
            assert_ne!(allowance(&workspaces, "b"), Allowance::Denied);
            assert_eq!(owner(&workspaces, "k1").as_deref(), Some("a"));
            assert_eq!(problems.len(), 1, "{field} {invalid:?}");
        }
    }
    let unit = WorkspaceEntry {
        unit: RawUnit::Invalid,
        ..entry("a", &[])
    };
    let (workspaces, problems) = read_entries(hasher(), vec![unit]);
    assert_eq!(allowance(&workspaces, "a"), Allowance::Denied);
    assert_eq!(problems, [EntryProblem::InvalidUnit("a".into())]);
}

#[test]
fn read_entries_absent_rate_is_unlimited() {
    for rate in [RawNumber::Absent, RawNumber::Number(0.0)] {
        let open = WorkspaceEntry {
            rate,
            ..entry("a", &["k1"])
        };
        let (workspaces, problems) = read_entries(hasher(), vec![open]);
        assert_eq!(allowance(&workspaces, "a"), Allowance::Unlimited);
        assert!(problems.is_empty());
    }
}

#[test]
fn read_entries_duplicate_name_lowers_quota() {
    let low = WorkspaceEntry {
        rate: RawNumber::Number(2.0),
        burst: RawNumber::Number(9.0),
        ..entry("a", &["k2"])
    };
    let (workspaces, problems) = read_entries(hasher(), vec![entry("a", &["k1"]), low]);
    let quota = Quota {
        unit: QuotaUnit::Requests,
        rate: 2.0,
        burst: 5.0,
    };
    assert_eq!(allowance(&workspaces, "a"), Allowance::Limited(quota));
    assert_eq!(owner(&workspaces, "k1"), owner(&workspaces, "k2"));
    assert_eq!(problems, [EntryProblem::DuplicateName("a".into())]);
}

#[test]
fn read_entries_invalid_rank_comes_last() {
    for rank in [
        RawNumber::Invalid,
        RawNumber::Number(1.5),
        RawNumber::Number(10.0),
        RawNumber::Number(-1.0),
    ] {
        let invalid = WorkspaceEntry {
            rank,
            ..entry("a", &[])
        };
        let (workspaces, problems) = read_entries(hasher(), vec![invalid]);
        assert_eq!(workspaces.all()[0].rank, Some(9));
        assert_eq!(problems, [EntryProblem::InvalidRank("a".into())]);
    }
    let first = WorkspaceEntry {
        rank: RawNumber::Number(0.0),
        ..entry("a", &[])
    };
    let (workspaces, _) = read_entries(hasher(), vec![first, entry("b", &[])]);
    assert_eq!(workspaces.all()[0].rank, Some(0));
    assert_eq!(workspaces.all()[1].rank, None);
}

#[test]
fn cost_depends_on_unit() {
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

fn any_number() -> impl Strategy<Value = RawNumber> {
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
    let numbers = (any_number(), any_number(), any_number(), any_number());
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

    /// Whatever an operator writes, a key resolves to a workspace only if that
    /// one alone lists it, and a quota is a positive number of units.
    #[test]
    fn read_entries_any_input(entries in prop::collection::vec(any_entry(), 0..6)) {
        let (workspaces, _) = read_entries(hasher(), entries.clone());
        for text in ["a", "b", "c", "d"] {
            let listed = entries.iter().filter(|e| !e.name.is_empty());
            let mut listed: Vec<&str> = listed
                .filter(|e| e.keys.contains(&key(text)))
                .map(|e| e.name.as_str())
                .collect();
            listed.sort_unstable();
            listed.dedup();
            let expected = (listed.len() == 1).then(|| listed[0]);
            let workspaces = owner(&workspaces, text);
            prop_assert_eq!(workspaces.as_deref(), expected);
        }
        for workspace in workspaces.all() {
            if let Allowance::Limited(quota) = workspace.allowance {
                prop_assert!(quota.rate > 0.0 && quota.rate.is_finite() && quota.burst >= 0.0);
            }
        }
    }
}
