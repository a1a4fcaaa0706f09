use proptest::prelude::*;

use crate::*;

fn hasher() -> KeyHasher {
    KeyHasher::new(Salt::new([3; 32]))
}

fn key(text: &str) -> KeyHash {
    hasher().hash(text.as_bytes())
}

fn entry(name: &str, keys: &[&str]) -> Entry {
    Entry {
        name: name.to_string(),
        keys: keys.iter().map(|k| key(k)).collect(),
        rate: Given::Number(10.0),
        burst: Given::Number(5.0),
        ..Entry::default()
    }
}

fn owner(found: &Workspaces, text: &str) -> Option<Name> {
    let key = PresentedKey::new(text.as_bytes());
    found.of(&key).map(|w| w.name.clone())
}

fn allowance(found: &Workspaces, name: &str) -> Allowance {
    let all = found.all().iter();
    let mut named = all.filter(|w| &*w.name == name);
    named.next().expect("it is listed").allowance
}

#[test]
fn of_key_names_workspace() {
    let (found, problems) = read(
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
    let (found, problems) = read(
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
    let (found, problems) = read(hasher(), entries);
    assert_eq!(owner(&found, "both"), None);
    assert_eq!(owner(&found, "k1").as_deref(), Some("a"));
    assert_eq!(owner(&found, "k2").as_deref(), Some("b"));
    let shared = Problem::SharedKey {
        first: "a".into(),
        second: "b".into(),
    };
    assert_eq!(problems, [shared]);
}

/// Guards against a cap that is lifted by a typing error.
#[test]
fn read_odd_cap_allows_nothing() {
    let odd = [Given::Odd, Given::Number(-1.0), Given::Number(f64::NAN)];
    for odd in odd {
        for field in ["rate", "burst"] {
            let mut a = entry("a", &["k1"]);
            match field {
                "rate" => a.rate = odd,
                _ => a.burst = odd,
            }
            let (found, problems) = read(hasher(), vec![a, entry("b", &["k2"])]);
            assert_eq!(allowance(&found, "a"), Allowance::Closed);
            assert_ne!(allowance(&found, "b"), Allowance::Closed);
            assert_eq!(owner(&found, "k1").as_deref(), Some("a"));
            assert_eq!(problems.len(), 1, "{field} {odd:?}");
        }
    }
    let unit = Entry {
        unit: GivenUnit::Odd,
        ..entry("a", &[])
    };
    let (found, problems) = read(hasher(), vec![unit]);
    assert_eq!(allowance(&found, "a"), Allowance::Closed);
    assert_eq!(problems, [Problem::OddUnit("a".into())]);
}

#[test]
fn read_absent_rate_is_no_cap() {
    for rate in [Given::Absent, Given::Number(0.0)] {
        let open = Entry {
            rate,
            ..entry("a", &["k1"])
        };
        let (found, problems) = read(hasher(), vec![open]);
        assert_eq!(allowance(&found, "a"), Allowance::Unlimited);
        assert!(problems.is_empty());
    }
}

#[test]
fn read_second_entry_lowers_cap() {
    let low = Entry {
        rate: Given::Number(2.0),
        burst: Given::Number(9.0),
        ..entry("a", &["k2"])
    };
    let (found, problems) = read(hasher(), vec![entry("a", &["k1"]), low]);
    let cap = Cap {
        unit: Unit::Requests,
        rate: 2.0,
        burst: 5.0,
    };
    assert_eq!(allowance(&found, "a"), Allowance::Capped(cap));
    assert_eq!(owner(&found, "k1"), owner(&found, "k2"));
    assert_eq!(problems, [Problem::Twice("a".into())]);
}

#[test]
fn read_odd_rank_comes_last() {
    for rank in [
        Given::Odd,
        Given::Number(1.5),
        Given::Number(10.0),
        Given::Number(-1.0),
    ] {
        let odd = Entry {
            rank,
            ..entry("a", &[])
        };
        let (found, problems) = read(hasher(), vec![odd]);
        assert_eq!(found.all()[0].rank, Some(9));
        assert_eq!(problems, [Problem::OddRank("a".into())]);
    }
    let first = Entry {
        rank: Given::Number(0.0),
        ..entry("a", &[])
    };
    let (found, _) = read(hasher(), vec![first, entry("b", &[])]);
    assert_eq!(found.all()[0].rank, Some(0));
    assert_eq!(found.all()[1].rank, None);
}

#[test]
fn size_counts_by_unit() {
    let tokens = Cap {
        unit: Unit::Tokens { plain: 200 },
        rate: 1.0,
        burst: 0.0,
    };
    assert_eq!(tokens.size(Some(2_448)), 2_448);
    assert_eq!(tokens.size(None), 200);
    let requests = Cap {
        unit: Unit::Requests,
        ..tokens
    };
    assert_eq!(requests.size(Some(2_448)), 1);
}

fn given() -> impl Strategy<Value = Given> {
    prop_oneof![
        Just(Given::Absent),
        Just(Given::Odd),
        any::<f64>().prop_map(Given::Number),
        (0u8..12).prop_map(|n| Given::Number(n.into())),
    ]
}

fn any_entry() -> impl Strategy<Value = Entry> {
    let unit = prop_oneof![
        Just(GivenUnit::Requests),
        Just(GivenUnit::Tokens),
        Just(GivenUnit::Odd)
    ];
    let keys = prop::collection::vec("[a-d]", 0..3);
    let numbers = (given(), given(), given(), given());
    ("[a-c]?", keys, unit, numbers).prop_map(|(name, keys, unit, (rank, plain, rate, burst))| {
        Entry {
            name,
            keys: keys.iter().map(|k| key(k)).collect(),
            odd_keys: 0,
            rank,
            unit,
            plain,
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
        let (found, _) = read(hasher(), entries.clone());
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
            if let Allowance::Capped(cap) = workspace.allowance {
                prop_assert!(cap.rate > 0.0 && cap.rate.is_finite() && cap.burst >= 0.0);
            }
        }
    }
}
