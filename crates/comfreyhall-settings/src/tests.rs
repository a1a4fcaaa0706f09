use super::*;

const ODUYA: &str = include_str!("../../../samples/oduya.jsonc");
const COOPERATIVE: &str = include_str!("../../../samples/cooperative.jsonc");

#[test]
fn parse_samples() {
    let oduya = Settings::parse(ODUYA, "oduya.jsonc").unwrap();
    assert_eq!(oduya.instances.len(), 7);
    assert_eq!(oduya.engines.len(), 12);
    assert_eq!(oduya.platform.loads_per_sec, 3.0);
    let coop = Settings::parse(COOPERATIVE, "cooperative.jsonc").unwrap();
    assert_eq!(coop.engines.len(), 9);
    assert_eq!(coop.platform.loads_per_sec, 2.0);
    let domains: std::collections::BTreeSet<_> =
        coop.instances.iter().map(|i| i.domain.clone()).collect();
    assert_eq!(domains.len(), 3);
}

#[test]
fn parse_bad_address() {
    let text = ODUYA.replace("127.0.0.1:7203", "127.0.0.1:port");
    let err = Settings::parse(&text, "oduya.jsonc").unwrap_err();
    insta::assert_snapshot!(err.to_string());
}

#[test]
fn parse_duplicate_port() {
    let text = ODUYA.replace("127.0.0.1:7203", "127.0.0.1:7201");
    let err = Settings::parse(&text, "oduya.jsonc").unwrap_err();
    insta::assert_snapshot!(err.to_string());
}

#[test]
fn parse_short_lease() {
    let text = ODUYA.replace("lease_ms: 2000", "lease_ms: 600");
    let err = Settings::parse(&text, "oduya.jsonc").unwrap_err();
    insta::assert_snapshot!(err.to_string());
}

#[test]
fn parse_unknown_field() {
    let text = ODUYA.replace("heartbeat_ms: 500", "heartbeat_msec: 500");
    let err = Settings::parse(&text, "oduya.jsonc").unwrap_err();
    assert!(matches!(err, SettingsError::Syntax { .. }));
    assert!(err.to_string().contains("heartbeat_msec"), "{err}");
}

const NODE: &str = r#"{
  id: "n", domain: "d", seeds: [], store: "127.0.0.1:1", cores: 0.25,
  listen: { front: "127.0.0.1:1", ready: "127.0.0.1:1", directory: "127.0.0.1:1", peers: "127.0.0.1:1" },
  bounds: { grace_s: 8, drain_ms: 2000, lease_ms: 3000, apply_ms: 2000, version_ms: 5000, address_s: 5,
            retry_ratio: 0.2, retry_allowance: 54, retry_s: 10, fencing: true, return_s: 2 },
  POLICIES
}"#;

fn node_settings(policies: &str) -> Result<crate::NodeSettings, crate::SettingsError> {
    crate::NodeSettings::parse(&NODE.replace("POLICIES", policies), "test")
}

#[test]
fn parse_policies_on_by_default() {
    let all = node_settings("").unwrap().policies;
    assert_eq!(all, crate::Policies::default());
    let without_admission = node_settings("policies: { admission: false }").unwrap();
    assert!(!without_admission.policies.admission && without_admission.policies.ask_beside);
    let unknown = node_settings("policies: { admision: false }").unwrap_err();
    assert!(unknown.to_string().contains("admision"), "{unknown}");
}

/// Guards against a number in the settings that ends the daemon when it is used: infinite, no
/// number, or a time that no clock can add.
#[test]
fn parse_extreme_numbers() {
    let fields = [
        "grace_s: 8",
        "drain_ms: 2000",
        "lease_ms: 3000",
        "apply_ms: 2000",
        "version_ms: 5000",
        "address_s: 5",
        "retry_ratio: 0.2",
        "retry_allowance: 54",
        "retry_s: 10",
        "return_s: 2",
    ];
    let text = |field: &str, value: &str| {
        let name = field.split(':').next().unwrap();
        let text = NODE.replace("POLICIES", "");
        text.replace(field, &format!("{name}: {value}"))
    };
    for field in fields {
        assert!(NODE.contains(field));
        for value in ["Infinity", "NaN", "-1", "1e300", "18446744073709551615"] {
            let parsed = crate::NodeSettings::parse(&text(field, value), "test");
            assert!(parsed.is_err(), "{field} is {value}");
        }
    }
}
