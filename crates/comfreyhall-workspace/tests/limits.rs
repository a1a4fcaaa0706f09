//! Limits of targets over a fleet: what gets through of them, what keeping them
//! costs, and what happens when the daemon that keeps one is lost.

mod fleet;

use fleet::{Way, World, limit};

/// Ms until daemons know each other and a home has its bucket.
const START_MS: u64 = 14_000;

/// Ms that are looked at.
const PLAY_MS: u64 = 24_000;

/// What came of one play.
#[derive(Debug)]
struct Outcome {
    /// Part of the limit that got through.
    through: f64,
    /// The most in a window against what is allowed there.
    worst: f64,
    /// Calls to homes a second.
    calls: f64,
    lines: f64,
}

/// Callers of all daemons ask three times as much as the limit `rate`; its
/// home is lost for good after `lost_ms`.
fn play(way: Way, daemons: usize, rate: f64, lost_ms: Option<u64>, seed: u64) -> Outcome {
    let mut world = World::limits(way, daemons, vec![limit(rate)], seed);
    world.run(START_MS);
    world.demand = vec![3.0];
    let (from, calls, lines) = (world.now, world.calls, world.lines);
    match lost_ms {
        None => world.run(PLAY_MS),
        Some(ms) => {
            world.run(ms);
            for group in 0..2 {
                world.kill(group);
            }
            // A lease's length, and its takeover.
            world.run(3_500);
            for group in 0..2 {
                world.hold(group, group + 2);
            }
            world.run(PLAY_MS - ms - 3_500);
        }
    }
    let seconds = PLAY_MS as f64 / 1_000.0;
    let (most, allowed) = world.worst(0);
    Outcome {
        through: world.ran(0, from, world.now) / (rate * seconds),
        worst: most / allowed,
        calls: (world.calls - calls) as f64 / seconds,
        lines: (world.lines - lines) as f64 / seconds,
    }
}

/// Guards against limits that waste what a target takes, or that do not bind.
#[test]
fn granting_limit_gets_through() {
    let small = [1.0, 2.0, 10.0, 40.0].map(|rate| (7, rate));
    let large = [1.0, 10.0].map(|rate| (195, rate));
    for (daemons, rate) in small.into_iter().chain(large) {
        let got = play(Way::Granting, daemons, rate, None, 3);
        let what = format!("{daemons} daemons, {rate} a second: {got:?}");
        assert!(got.through >= 0.8, "{what}");
        assert!(got.worst <= 1.0, "{what}");
    }
}

/// Guards against a limit that nobody keeps any more, or that two keep.
#[test]
fn granting_goes_on_after_home_is_lost() {
    for rate in [1.0, 10.0] {
        let got = play(Way::Granting, 7, rate, Some(8_000), 5);
        assert!(got.through >= 0.65, "{rate} a second: {got:?}");
        assert!(got.worst <= 1.0, "{rate} a second: {got:?}");
    }
}

/// Prints the ways side by side: `cargo test -p comfreyhall-workspace --release
/// --test limits -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn ways_table() {
    for lost in [None, Some(8_000)] {
        for daemons in [7, 195] {
            for rate in [1.0, 2.0, 10.0, 40.0] {
                for way in [Way::Granting, Way::Lending, Way::Sharing] {
                    let plays = (0..3).map(|seed| play(way, daemons, rate, lost, seed));
                    let plays: Vec<Outcome> = plays.collect();
                    let mean = |of: fn(&Outcome) -> f64| plays.iter().map(of).sum::<f64>() / 3.0;
                    let worst = plays.iter().map(|o| o.worst).fold(0.0, f64::max);
                    println!(
                        "lost {lost:?}, {daemons} daemons, {rate}/s, {way:?}: through {:.2}, worst window {worst:.2}, calls {:.0}/s, lines {:.0}/s",
                        mean(|o| o.through),
                        mean(|o| o.calls),
                        mean(|o| o.lines),
                    );
                }
            }
        }
    }
}
