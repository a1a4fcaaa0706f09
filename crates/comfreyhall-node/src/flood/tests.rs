use super::*;

/// Guards against a log that a refused caller fills.
#[test]
fn take_bounded_in_a_second() {
    let lines = Lines::default();
    let written = (0..500).filter(|_| lines.take(2_000).is_some()).count();
    assert_eq!(written as u32, MOST);
    assert_eq!(lines.take(3_000), Some(500 - u64::from(MOST)));
    assert_eq!(lines.take(3_001), Some(0));
}
