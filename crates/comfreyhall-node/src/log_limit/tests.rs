use super::*;

/// Guards against a refused caller that fills the log.
#[test]
fn take_limits_lines_per_second() {
    let limiter = LineLimiter::default();
    let written = (0..500).filter(|_| limiter.take(2_000).is_some()).count();
    assert_eq!(written as u32, MAX_LINES);
    assert_eq!(limiter.take(3_000), Some(500 - u64::from(MAX_LINES)));
    assert_eq!(limiter.take(3_001), Some(0));
}
