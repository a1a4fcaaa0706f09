//! Searches for a sequence of network partitions, lost calls, restarts,
//! freezes, moved leases, new daemons and changed quotas in which more runs
//! than a quota allows.

mod fleet;

use comfreyhall_workspace::{Quota, QuotaUnit};
use fleet::{Policy, World, limit, quota};
use proptest::prelude::*;

/// Number of daemons at the start.
const DAEMONS: usize = 12;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Run(u64),
    /// Demand of both workspaces, relative to their quotas, at these daemons.
    Demand(f64, f64, Vec<usize>),
    Stop(usize),
    Restart(usize),
    /// All daemons from this index on restart.
    RestartFrom(usize),
    Freeze(usize, u64),
    /// Daemons from this index on are cut off from the others; the flag says
    /// whether the store is with them.
    Partition(usize, bool),
    IsolateAll,
    Heal,
    SetLoss(f64),
    MoveLease(usize, usize),
    /// Quotas are multiplied by the first two factors; bursts are the third
    /// times the rate.
    ScaleQuotas(f64, f64, f64),
    /// Adds this many daemons.
    Add(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let busy_daemons = prop::collection::vec(daemon(), 0..4);
    prop_oneof![
        8 => (100u64..4_000).prop_map(Step::Run),
        3 => (0.3f64..6.0, 0.3f64..6.0, busy_daemons).prop_map(|(a, b, f)| Step::Demand(a, b, f)),
        1 => daemon().prop_map(Step::Stop),
        2 => daemon().prop_map(Step::Restart),
        2 => (daemon(), 500u64..7_000).prop_map(|(d, ms)| Step::Freeze(d, ms)),
        2 => (1..DAEMONS, any::<bool>()).prop_map(|(n, s)| Step::Partition(n, s)),
        1 => Just(Step::IsolateAll),
        2 => Just(Step::Heal),
        1 => (0.0f64..0.5).prop_map(Step::SetLoss),
        2 => (0usize..2, daemon()).prop_map(|(g, d)| Step::MoveLease(g, d)),
        1 => (0.3f64..1.5, 0.3f64..1.5, 0.0f64..2.0).prop_map(|(a, b, c)| Step::ScaleQuotas(a, b, c)),
        1 => (1usize..5).prop_map(Step::Add),
    ]
}

/// Steps in which many daemons restart, come back one by one, and coordinators
/// change.
fn restart_step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let busy_daemons = prop::collection::vec(daemon(), 0..4);
    prop_oneof![
        8 => (100u64..3_000).prop_map(Step::Run),
        2 => (3.0f64..6.0, 3.0f64..6.0, busy_daemons).prop_map(|(a, b, f)| Step::Demand(a, b, f)),
        3 => daemon().prop_map(Step::RestartFrom),
        2 => daemon().prop_map(Step::Restart),
        1 => daemon().prop_map(Step::Stop),
        2 => (daemon(), 500u64..3_000).prop_map(|(d, ms)| Step::Freeze(d, ms)),
        1 => (1..DAEMONS, any::<bool>()).prop_map(|(n, s)| Step::Partition(n, s)),
        1 => Just(Step::Heal),
        1 => (0.0f64..0.3).prop_map(Step::SetLoss),
        4 => (0usize..2, daemon()).prop_map(|(g, d)| Step::MoveLease(g, d)),
    ]
}

/// Quotas of two workspaces.
fn run_quotas(policy: Policy, steps: &[Step], seed: u64) -> World {
    let quotas = vec![quota(60_000.0), quota(8_000.0)];
    let world = World::new(policy, DAEMONS, quotas.clone(), seed);
    run_steps(world, quotas, steps)
}

/// Limits of two targets.
fn run_limits(policy: Policy, steps: &[Step], seed: u64) -> World {
    let quotas = vec![limit(10.0), limit(1.0)];
    let world = World::with_limits(policy, DAEMONS, quotas.clone(), seed);
    run_steps(world, quotas, steps)
}

fn run_steps(mut world: World, mut quotas: Vec<Quota>, steps: &[Step]) -> World {
    world.run(14_000);
    world.demand = vec![6.0, 6.0];
    for step in steps {
        match step {
            Step::Run(ms) => world.run(*ms),
            Step::Demand(a, b, busy_daemons) => {
                world.demand = vec![*a, *b];
                world.busy_daemons = busy_daemons.clone();
            }
            Step::Stop(d) => world.stop(*d),
            Step::Restart(d) => world.restart(*d),
            Step::RestartFrom(from) => (*from..DAEMONS).for_each(|d| world.restart(d)),
            Step::Freeze(d, ms) => world.freeze(*d, *ms),
            Step::Partition(from, store) => {
                let from = *from;
                world.partition(usize::from(*store), |d| d >= from);
            }
            Step::IsolateAll => world.isolate_all(),
            Step::Heal => world.partition(0, |_| false),
            Step::SetLoss(part) => world.set_loss(*part),
            Step::MoveLease(group, d) => world.set_holder(*group, *d),
            Step::ScaleQuotas(a, b, burst) => {
                // A target's limit has no burst.
                let bursts = quotas[0].burst > 0.0 || quotas[0].unit != QuotaUnit::Requests;
                quotas[0].rate *= a;
                quotas[1].rate *= b;
                if bursts {
                    quotas.iter_mut().for_each(|c| c.burst = c.rate * burst);
                }
                world.configure(quotas.clone());
            }
            // At most doubles the fleet.
            Step::Add(n) => add(&mut world, *n),
        }
    }
    world.run(8_000);
    world
}

fn add(world: &mut World, more: usize) {
    for _ in 0..more {
        if world.daemon_count() < 2 * DAEMONS {
            world.add();
        }
    }
}

fn cases() -> u32 {
    let cases = std::env::var("CAPS_CASES").ok();
    cases.and_then(|c| c.parse().ok()).unwrap_or(48)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })]

    /// Guards against more runs than a quota allows, whatever fails meanwhile.
    #[test]
    fn lending_total_stays_within_quota(steps in prop::collection::vec(step(), 5..40), seed in any::<u64>()) {
        let world = run_quotas(Policy::Lending, &steps, seed);
        for workspace in 0..2 {
            let (max_units, allowed) = world.worst_window(workspace);
            prop_assert!(max_units <= allowed, "workspace {workspace}: {max_units} of {allowed}");
        }
    }

    /// Guards against a start that adds to what unknown predecessors lent, however
    /// often and in whatever order daemons restart and coordinators change.
    #[test]
    fn lending_restarts_stay_within_quota(steps in prop::collection::vec(restart_step(), 5..40), seed in any::<u64>()) {
        let world = run_quotas(Policy::Lending, &steps, seed);
        for workspace in 0..2 {
            let (max_units, allowed) = world.worst_window(workspace);
            prop_assert!(max_units <= allowed, "workspace {workspace}: {max_units} of {allowed}");
        }
    }

    /// Guards against more requests at a target than its limit allows, whatever
    /// fails meanwhile.
    #[test]
    fn granting_total_stays_within_limit(steps in prop::collection::vec(step(), 5..40), seed in any::<u64>()) {
        let world = run_limits(Policy::Granting, &steps, seed);
        for target in 0..2 {
            let (max_units, allowed) = world.worst_window(target);
            prop_assert!(max_units <= allowed, "target {target}: {max_units} of {allowed}");
        }
    }
}
