use super::*;

/// Guards against a caller that is asked to retry in an hour and waits for it.
#[test]
fn may_retry_within_timeout_only() {
    assert!(may_retry(Duration::from_secs(5), Duration::ZERO));
    assert!(!may_retry(Duration::from_secs(3_600), Duration::ZERO));
    assert!(!may_retry(Duration::from_secs(5), REQUEST_TIMEOUT));
}
