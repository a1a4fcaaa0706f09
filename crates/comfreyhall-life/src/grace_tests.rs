use proptest::prelude::*;

use super::*;

const BEGAN_MS: u64 = 10_000;
const LINGER_MS: u64 = 2_500;
const KILL_MS: u64 = 8_000;

fn send(deadline_ms: u64) -> SendTiming {
    SendTiming {
        deadline_ms: BEGAN_MS + deadline_ms,
        run_ms: 0,
        may_have_run: false,
    }
}

/// Guards against answers that a planned stop cuts though the platform would still wait for
/// them: with a long grace a share of it is seconds.
#[test]
fn new_uses_whole_grace() {
    for kill_ms in [4_000, 8_000, 30_000] {
        let ends_ms = Grace::new(0, LINGER_MS, kill_ms).ends_ms();
        assert!((kill_ms - 450..kill_ms - 300).contains(&ends_ms));
    }
    assert_eq!(Grace::new(0, LINGER_MS, 100).ends_ms(), 0);
}

#[test]
fn send_by_short_request_has_no_limit() {
    let grace = Grace::new(BEGAN_MS, LINGER_MS, KILL_MS);
    assert_eq!(grace.send_by_ms(send(7_000)), None);
    assert!(grace.allows(send(7_000), BEGAN_MS + 6_900));
}

/// Guards against a request that waits in a planned stop until the process ends.
#[test]
fn send_by_long_request_ends_with_linger() {
    let grace = Grace::new(BEGAN_MS, LINGER_MS, KILL_MS);
    assert_eq!(grace.send_by_ms(send(20_000)), Some(BEGAN_MS + LINGER_MS));
}

/// Guards against a send whose answer the end of the process is known to cut.
#[test]
fn allows_no_run_beyond_the_end() {
    let grace = Grace::new(BEGAN_MS, LINGER_MS, KILL_MS);
    let long = SendTiming {
        run_ms: 7_000,
        ..send(20_000)
    };
    assert!(grace.allows(long, BEGAN_MS));
    assert!(!grace.allows(long, BEGAN_MS + 1_000));
}

#[test]
fn send_by_repeat_needs_its_run_only() {
    let grace = Grace::new(BEGAN_MS, LINGER_MS, KILL_MS);
    let repeat = SendTiming {
        run_ms: 1_000,
        may_have_run: true,
        ..send(20_000)
    };
    assert!(grace.allows(repeat, BEGAN_MS + 6_000));
    assert!(!grace.allows(repeat, BEGAN_MS + 6_600));
}

proptest! {
    /// Guards against requests that may be sent although neither their deadline nor their
    /// expected run ends before the process, whatever the numbers.
    #[test]
    fn allows_only_what_ends_in_time(
        began_ms: u64, linger_ms: u64, kill_ms: u64, deadline_ms: u64, run_ms: u64, may_have_run: bool, now: u64,
    ) {
        let grace = Grace::new(began_ms, linger_ms, kill_ms);
        let timing = SendTiming { deadline_ms, run_ms, may_have_run };
        if grace.allows(timing, now) {
            let in_time = now.checked_add(run_ms).is_some_and(|end| end < grace.ends_ms());
            prop_assert!(deadline_ms < grace.ends_ms() || in_time);
        }
    }
}
