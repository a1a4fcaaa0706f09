//! Limits of targets across a fleet: how much of a limit is admitted, what
//! enforcing it costs, and what happens when its coordinator is lost.

mod fleet;

use fleet::{Policy, World, limit};

/// Time until the daemons know each other and a coordinator has filled its
/// bucket, in ms.
const START_MS: u64 = 14_000;

/// Measured time, in ms.
const MEASURE_MS: u64 = 24_000;

/// Result of one simulation.
#[derive(Debug)]
struct Outcome {
    /// Fraction of the limit that was admitted.
    admitted: f64,
    /// The largest window, relative to what is allowed in it.
    worst: f64,
    /// Calls to coordinators per second.
    calls: f64,
    lines: f64,
}

/// Clients of all daemons request three times the limit `rate`; its coordinator
/// is lost permanently after `lost_ms`.
fn run_limit(
    policy: Policy,
    daemons: usize,
    rate: f64,
    lost_ms: Option<u64>,
    seed: u64,
) -> Outcome {
    let mut world = World::with_limits(policy, daemons, vec![limit(rate)], seed);
    world.run(START_MS);
    world.demand = vec![3.0];
    let (from, calls, lines) = (world.now, world.requests_made, world.usage_lines);
    match lost_ms {
        None => world.run(MEASURE_MS),
        Some(ms) => {
            world.run(ms);
            for group in 0..2 {
                world.stop(group);
            }
            // The term of a lease plus its takeover.
            world.run(3_500);
            for group in 0..2 {
                world.set_holder(group, group + 2);
            }
            world.run(MEASURE_MS - ms - 3_500);
        }
    }
    let seconds = MEASURE_MS as f64 / 1_000.0;
    let (max_units, allowed) = world.worst_window(0);
    Outcome {
        admitted: world.units_run(0, from, world.now) / (rate * seconds),
        worst: max_units / allowed,
        calls: (world.requests_made - calls) as f64 / seconds,
        lines: (world.usage_lines - lines) as f64 / seconds,
    }
}

/// Guards against limits that waste a target's capacity, or that are not
/// enforced.
#[test]
fn granting_admits_up_to_limit() {
    let small = [1.0, 2.0, 10.0, 40.0].map(|rate| (7, rate));
    let large = [1.0, 10.0].map(|rate| (195, rate));
    for (daemons, rate) in small.into_iter().chain(large) {
        let got = run_limit(Policy::Granting, daemons, rate, None, 3);
        let what = format!("{daemons} daemons, {rate} a second: {got:?}");
        assert!(got.admitted >= 0.8, "{what}");
        assert!(got.worst <= 1.0, "{what}");
    }
}

/// Guards against a limit that no coordinator enforces any more, or that two
/// enforce at once.
#[test]
fn granting_continues_after_coordinator_is_lost() {
    for rate in [1.0, 10.0] {
        let got = run_limit(Policy::Granting, 7, rate, Some(8_000), 5);
        assert!(got.admitted >= 0.65, "{rate} a second: {got:?}");
        assert!(got.worst <= 1.0, "{rate} a second: {got:?}");
    }
}

/// Prints the policies side by side: `cargo test -p comfreyhall-workspace
/// --release --test limits -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn policies_table() {
    for lost in [None, Some(8_000)] {
        for daemons in [7, 195] {
            for rate in [1.0, 2.0, 10.0, 40.0] {
                for policy in [Policy::Granting, Policy::Lending, Policy::Sharing] {
                    let outcomes = (0..3).map(|seed| run_limit(policy, daemons, rate, lost, seed));
                    let outcomes: Vec<Outcome> = outcomes.collect();
                    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / 3.0;
                    let worst = outcomes.iter().map(|o| o.worst).fold(0.0, f64::max);
                    println!(
                        "lost {lost:?}, {daemons} daemons, {rate}/s, {policy:?}: through {:.2}, worst window {worst:.2}, calls {:.0}/s, lines {:.0}/s",
                        mean(|o| o.admitted),
                        mean(|o| o.calls),
                        mean(|o| o.lines),
                    );
                }
            }
        }
    }
}
