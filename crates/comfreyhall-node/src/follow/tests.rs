use super::pause_ms;

/// Calls of one daemon within `ms`, each of which fails at once.
fn calls(daemons: usize, ms: u64) -> u64 {
    let (mut at, mut count) = (0, 0);
    while at < ms {
        count += 1;
        // The middle of the drawn range is the pause itself.
        let pause = pause_ms(count, daemons, 0);
        at += 2 * pause;
    }
    u64::from(count)
}

/// Guards against calls that overload a store: an outage cost 3,400 calls in
/// six seconds. The store rejects 90 daemons, and each retries five times a
/// second, unless the pause grows with the failures and with the fleet.
#[test]
fn pause_ms_limits_calls_of_large_fleet() {
    let few = calls(7, 6_000) * 7;
    let many = calls(90, 6_000) * 90;
    let more = calls(195, 6_000) * 195;
    assert!(few <= 80, "{few}");
    assert!(many <= 540, "{many}");
    assert!(more <= 1_170, "{more}");
}

#[test]
fn pause_ms_spread_and_bounded() {
    let all: Vec<u64> = (0..400).map(|draw| pause_ms(3, 7, draw * 7)).collect();
    let (lowest, highest) = (all.iter().min().unwrap(), all.iter().max().unwrap());
    assert!(*lowest >= 300 && *highest <= 900, "{lowest} {highest}");
    assert!(*highest - *lowest > 400);
    assert!(pause_ms(100, 10_000, u64::MAX) <= 4_500);
    assert!(pause_ms(1, 10_000, 0) <= 300, "the first one soon");
}
