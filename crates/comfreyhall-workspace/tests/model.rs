//! A fleet searched for a sequence of cuts, lost calls, restarts, freezes,
//! moved leases, new daemons and lowered caps in which more runs than a cap
//! allows.

mod fleet;

use comfreyhall_workspace::{Quota, QuotaUnit};
use fleet::{Way, World, cap, limit};
use proptest::prelude::*;

/// Daemons at the start.
const DAEMONS: usize = 12;

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// Time goes by.
    Run(u64),
    /// Demand of both workspaces, against their caps, at these daemons.
    Demand(f64, f64, Vec<usize>),
    Kill(usize),
    Restart(usize),
    Freeze(usize, u64),
    /// Daemons from so many on are cut off from the others; whether the store
    /// is with these.
    Cut(usize, bool),
    Shatter,
    Heal,
    Lose(f64),
    Hold(usize, usize),
    /// Caps are multiplied; bursts are this much of the rate.
    Caps(f64, f64, f64),
    /// So many daemons more.
    Add(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let focus = prop::collection::vec(daemon(), 0..4);
    prop_oneof![
        8 => (100u64..4_000).prop_map(Step::Run),
        3 => (0.3f64..6.0, 0.3f64..6.0, focus).prop_map(|(a, b, f)| Step::Demand(a, b, f)),
        1 => daemon().prop_map(Step::Kill),
        2 => daemon().prop_map(Step::Restart),
        2 => (daemon(), 500u64..7_000).prop_map(|(d, ms)| Step::Freeze(d, ms)),
        2 => (1..DAEMONS, any::<bool>()).prop_map(|(n, s)| Step::Cut(n, s)),
        1 => Just(Step::Shatter),
        2 => Just(Step::Heal),
        1 => (0.0f64..0.5).prop_map(Step::Lose),
        2 => (0usize..2, daemon()).prop_map(|(g, d)| Step::Hold(g, d)),
        1 => (0.3f64..1.5, 0.3f64..1.5, 0.0f64..2.0).prop_map(|(a, b, c)| Step::Caps(a, b, c)),
        1 => (1usize..5).prop_map(Step::Add),
    ]
}

/// Caps of two workspaces.
fn play(way: Way, steps: &[Step], seed: u64) -> World {
    let caps = vec![cap(60_000.0), cap(8_000.0)];
    let world = World::new(way, DAEMONS, caps.clone(), seed);
    run(world, caps, steps)
}

/// Limits of two targets.
fn play_limits(way: Way, steps: &[Step], seed: u64) -> World {
    let caps = vec![limit(10.0), limit(1.0)];
    let world = World::limits(way, DAEMONS, caps.clone(), seed);
    run(world, caps, steps)
}

fn run(mut world: World, mut caps: Vec<Quota>, steps: &[Step]) -> World {
    world.run(14_000);
    world.demand = vec![6.0, 6.0];
    for step in steps {
        match step {
            Step::Run(ms) => world.run(*ms),
            Step::Demand(a, b, focus) => {
                world.demand = vec![*a, *b];
                world.focus = focus.clone();
            }
            Step::Kill(d) => world.kill(*d),
            Step::Restart(d) => world.restart(*d),
            Step::Freeze(d, ms) => world.freeze(*d, *ms),
            Step::Cut(from, store) => {
                let from = *from;
                world.cut(usize::from(*store), |d| d >= from);
            }
            Step::Shatter => world.shatter(),
            Step::Heal => world.cut(0, |_| false),
            Step::Lose(part) => world.lose(*part),
            Step::Hold(group, d) => world.hold(*group, *d),
            Step::Caps(a, b, burst) => {
                // A target's limit has no burst.
                let bursts = caps[0].burst > 0.0 || caps[0].unit != QuotaUnit::Requests;
                caps[0].rate *= a;
                caps[1].rate *= b;
                if bursts {
                    caps.iter_mut().for_each(|c| c.burst = c.rate * burst);
                }
                world.configure(caps.clone());
            }
            // As many again at most, as long as none has left.
            Step::Add(n) => add(&mut world, *n),
        }
    }
    world.run(8_000);
    world
}

fn add(world: &mut World, more: usize) {
    for _ in 0..more {
        if world.size() < 2 * DAEMONS {
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

    /// Guards against more runs than a cap allows, whatever fails meanwhile.
    #[test]
    fn lending_sum_holds(steps in prop::collection::vec(step(), 5..40), seed in any::<u64>()) {
        let world = play(Way::Lending, &steps, seed);
        for workspace in 0..2 {
            let (most, allowed) = world.worst(workspace);
            prop_assert!(most <= allowed, "workspace {workspace}: {most} of {allowed}");
        }
    }

    /// Guards against more requests at a target than its limit allows, whatever
    /// fails meanwhile.
    #[test]
    fn granting_sum_holds(steps in prop::collection::vec(step(), 5..40), seed in any::<u64>()) {
        let world = play_limits(Way::Granting, &steps, seed);
        for target in 0..2 {
            let (most, allowed) = world.worst(target);
            prop_assert!(most <= allowed, "target {target}: {most} of {allowed}");
        }
    }
}
