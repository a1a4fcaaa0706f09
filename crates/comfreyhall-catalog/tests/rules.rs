//! Which rules match a request, and which effects they set.

use comfreyhall_catalog::{CatalogError, Config, Labels, Rules, Subject};

fn rules(json: &str) -> Rules {
    serde_json::from_str(json).unwrap()
}

fn config(json: &str) -> Config {
    Config {
        version: 1,
        rules: rules(json).rules,
    }
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    let pair = |(k, v): &(&str, &str)| (k.to_string(), v.to_string());
    pairs.iter().map(pair).collect()
}

#[test]
fn effects_first_rule_decides() {
    let config = config(
        r#"{ "rules": [
            { "name": "narrator", "select": { "adapter": { "name": "narrator" } }, "set": { "priority": 9 } },
            { "name": "premium", "select": { "customer": { "tier": "premium" } },
              "set": { "priority": 5, "max_tokens": 64 } }
        ] }"#,
    );
    let (premium, none) = (labels(&[("tier", "premium")]), Labels::new());
    let subject = |adapter| Subject {
        customer: ("oduya", &premium),
        adapter: (adapter, &none),
        version: ("v1", &none),
        instance: ("ikeja-1", &none),
    };
    let narrator = config.effects(&subject("narrator"));
    assert_eq!(
        (narrator.priority, narrator.max_tokens),
        (Some(9), Some(64))
    );
    let summary = config.effects(&subject("summary"));
    assert_eq!((summary.priority, summary.admit), (Some(5), None));
}

#[test]
fn effects_every_label_must_match() {
    let config = config(
        r#"{ "rules": [ { "name": "r",
            "select": { "version": { "state": "faulty" }, "instance": { "domain": "yaba" } },
            "set": { "admit": false } } ] }"#,
    );
    let none = Labels::new();
    let admit = |state: &str, domain: &str| {
        let (version, instance) = (labels(&[("state", state)]), labels(&[("domain", domain)]));
        let subject = Subject {
            customer: ("oduya", &none),
            adapter: ("narrator", &none),
            version: ("v1", &version),
            instance: ("x", &instance),
        };
        config.effects(&subject).admit
    };
    assert_eq!(admit("faulty", "yaba"), Some(false));
    assert_eq!(admit("faulty", "lekki"), None);
    assert_eq!(admit("sound", "yaba"), None);
}

#[test]
fn check_reports_problem_and_remedy() {
    let problem = |json: &str| match rules(json).check() {
        Err(CatalogError::Invalid { problem, remedy }) => format!("{problem}; {remedy}"),
        other => panic!("accepted: {other:?}"),
    };
    let duplicate = r#"{ "rules": [ { "name": "a", "set": { "priority": 1 } },
                                { "name": "a", "set": { "priority": 2 } } ] }"#;
    assert_eq!(
        problem(duplicate),
        "rules[1] and rules[0] are both named \"a\"; give every rule its own name"
    );
    let no_effects = r#"{ "rules": [ { "name": "a", "set": {} } ] }"#;
    assert_eq!(
        problem(no_effects),
        "rules[0] (a) sets nothing; set admit, priority or max_tokens"
    );
}
