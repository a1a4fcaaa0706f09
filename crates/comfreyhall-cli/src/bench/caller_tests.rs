use super::*;

/// Guards against a caller that is told to come back in an hour, and does.
#[test]
fn comes_back_within_patience_only() {
    assert!(comes_back(Duration::from_secs(5), Duration::ZERO));
    assert!(!comes_back(Duration::from_secs(3_600), Duration::ZERO));
    assert!(!comes_back(Duration::from_secs(5), PATIENCE));
}
