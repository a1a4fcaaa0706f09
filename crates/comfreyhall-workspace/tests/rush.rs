//! One workspace at six times its usual demand, without failures and while a
//! part of the daemons is cut off.

mod fleet;

use fleet::{Policy, World, quota};

/// Time until the daemons know each other and the burst has accrued, in ms.
const START_MS: u64 = 14_000;

/// Quotas of a large and a small workspace, in tokens per second.
const LARGE: f64 = 250_000.0;
const SMALL: f64 = 4_200.0;

/// Units of a workspace that ran in each 2 s.
fn run_spans(world: &mut World, workspace: usize, spans: usize) -> Vec<f64> {
    let mut units = Vec::new();
    for _ in 0..spans {
        let from = world.now;
        world.run(2_000);
        units.push(world.units_run(workspace, from, world.now));
    }
    units
}

/// A fleet in which the large workspace asks for its usual, below its quota.
fn usual(seed: u64) -> World {
    let mut world = World::new(Policy::Lending, 40, vec![quota(LARGE), quota(SMALL)], seed);
    world.demand = vec![0.55, 0.55];
    world.run(START_MS);
    world
}

/// Guards against credit that is lent in rushes, each followed by a drought
/// when the window is full.
#[test]
fn rush_is_lent_evenly() {
    for seed in 0..2 {
        let mut world = usual(seed);
        world.demand = vec![3.3, 0.55];
        let spans = run_spans(&mut world, 0, 8);
        let mean = spans.iter().sum::<f64>() / spans.len() as f64;
        println!(
            "{:?}",
            spans
                .iter()
                .map(|s| (s / mean * 100.0) as i64)
                .collect::<Vec<_>>()
        );
        println!(
            "of cap {:?}",
            spans
                .iter()
                .map(|s| (s / (LARGE * 2.25) * 100.0) as i64)
                .collect::<Vec<_>>()
        );
        println!(
            "refused small {} of {}",
            world.refused[1] + world.unknown[1],
            world.requested[1]
        );
    }
}

/// Guards against a cut that costs a workspace what it may have.
#[test]
fn cut_keeps_quota() {
    for seed in 0..2 {
        for away in [13, 20] {
            let mut world = usual(seed);
            world.demand = vec![3.3, 0.55];
            world.run(8_000);
            let cut = 40 - away;
            world.partition(0, |d| d >= cut);
            let spans = run_spans(&mut world, 0, 8);
            println!(
                "cut {away}: of cap {:?}",
                spans
                    .iter()
                    .map(|s| (s / (LARGE * 2.25) * 100.0) as i64)
                    .collect::<Vec<_>>()
            );
            world.partition(0, |_| false);
            let spans = run_spans(&mut world, 0, 4);
            println!(
                "healed: of cap {:?}",
                spans
                    .iter()
                    .map(|s| (s / (LARGE * 2.25) * 100.0) as i64)
                    .collect::<Vec<_>>()
            );
            println!(
                "refused small {} of {}",
                world.refused[1] + world.unknown[1],
                world.requested[1]
            );
        }
    }
}

/// Guards against a restart of all daemons after which all is refused.
#[test]
fn restart_of_all_keeps_lending() {
    for seed in 0..2 {
        let mut world = usual(seed);
        for d in 0..40 {
            world.restart(d);
        }
        let unknown = world.unknown.clone();
        for _ in 0..8 {
            let (a, b, c) = (world.unknown[0], world.refused[0], world.requested[0]);
            world.run(500);
            println!(
                "restart: unknown {} refused {} of {}",
                world.unknown[0] - a,
                world.refused[0] - b,
                world.requested[0] - c
            );
        }
        println!("small unknown {}", world.unknown[1] - unknown[1]);
    }
}
