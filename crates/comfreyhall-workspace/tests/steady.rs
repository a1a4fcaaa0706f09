//! Quotas in a fleet without failures: how much is admitted, and for which
//! workspace.

mod fleet;

use fleet::{Policy, World, quota};

/// Time until the daemons know each other and the burst has accrued, in ms.
const START_MS: u64 = 14_000;

/// Quotas of a large and a small workspace, in tokens per second.
const LARGE: f64 = 200_000.0;
const SMALL: f64 = 4_200.0;

fn world(policy: Policy, seed: u64) -> World {
    let mut world = World::new(policy, 24, vec![quota(LARGE), quota(SMALL)], seed);
    world.run(START_MS);
    world
}

/// Guards against refusing demand below the quota.
#[test]
fn try_reserve_demand_below_quota_is_admitted() {
    for seed in 0..2 {
        let mut world = world(Policy::Lending, seed);
        world.demand = vec![0.55, 0.55];
        world.run(30_000);
        for workspace in 0..2 {
            let refused = world.refused[workspace] + world.unknown[workspace];
            let part = refused as f64 / world.requested[workspace] as f64;
            assert!(part < 0.01, "seed {seed}, workspace {workspace}: {part}");
        }
    }
}

/// Guards against quotas that take effect late or waste part of what they
/// allow.
#[test]
fn try_reserve_six_times_quota_gets_quota() {
    for seed in 0..2 {
        let mut world = world(Policy::Lending, seed);
        world.demand = vec![6.0, 0.55];
        world.run(4_000);
        for _ in 0..3 {
            let from = world.now;
            world.run(8_000);
            // What the quota allows in a window: the rate, and the burst.
            let part = world.units_run(0, from, world.now) / (LARGE * 8.0 + LARGE);
            assert!((0.95..=1.0).contains(&part), "seed {seed}: {part}");
        }
        let (max_units, allowed) = world.worst_window(0);
        assert!(
            max_units <= allowed,
            "seed {seed}: {max_units} of {allowed}"
        );
        let small_refused = world.refused[1] + world.unknown[1];
        let part = small_refused as f64 / world.requested[1] as f64;
        assert!(part < 0.01, "seed {seed}: {part} of the other refused");
    }
}
