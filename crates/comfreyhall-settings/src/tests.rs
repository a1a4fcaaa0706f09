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
