//! Stateful fuzzing of a lease: never two holders, and tokens only grow.
//!
//! Several processes step, pause and restart while time passes and calls to the
//! table are lost, applied without an answer, applied late or rejected. The
//! oracle keeps the highest token under which any process could send a command.

use std::time::{Duration, Instant};

use comfreyhall_fakes::{CallOutcome, FakeTable, StatelessReference, Steps, call_outcomes};
use comfreyhall_lease::Lease;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const PROCESSES: usize = 3;
const TERM: Duration = Duration::from_millis(1_000);

/// One step of the run.
#[derive(Debug, Clone)]
enum Step {
    /// A process runs its lease step once; reading and writing take time.
    Run {
        process: usize,
        acquire: bool,
        takes_ms: u64,
        fates: Vec<CallOutcome>,
    },
    /// Time passes for all processes; one that does not step meanwhile is
    /// paused.
    Wait(u64),
    /// A process releases the lease.
    Release {
        process: usize,
        fates: Vec<CallOutcome>,
    },
    /// A process restarts.
    Restart(usize),
    /// The oldest late commit of a process arrives.
    Deliver(usize),
}

/// Generator of the steps.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let p = 0..PROCESSES;
        prop_oneof![
            8 => (p.clone(), prop::bool::weighted(0.9), 0u64..300, call_outcomes(2))
                .prop_map(|(process, acquire, takes_ms, fates)| Step::Run { process, acquire, takes_ms, fates }),
            6 => (50u64..900).prop_map(Step::Wait),
            1 => (p.clone(), call_outcomes(2))
                .prop_map(|(process, fates)| Step::Release { process, fates }),
            1 => p.clone().prop_map(Step::Restart),
            3 => p.prop_map(Step::Deliver),
        ]
        .boxed()
    }
}

struct Process {
    table: FakeTable,
    lease: Lease<FakeTable>,
}

struct System {
    runtime: tokio::runtime::Runtime,
    now: std::cell::Cell<Instant>,
    processes: Vec<Process>,
    /// Highest token that any process held, and which: the oracle.
    highest: (u64, usize),
}

fn process(table: FakeTable, i: usize) -> Process {
    Process {
        lease: Lease::new(table.clone(), "orders", format!("p{i}").into(), TERM),
        table,
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = StatelessReference<Run>;

    fn init_test((): &()) -> System {
        let table = FakeTable::default();
        System {
            runtime: tokio::runtime::Builder::new_current_thread()
                .build()
                .unwrap(),
            now: std::cell::Cell::new(Instant::now()),
            processes: (0..PROCESSES).map(|i| process(table.client(), i)).collect(),
            highest: (0, 0),
        }
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        let pass = |ms| system.now.set(system.now.get() + Duration::from_millis(ms));
        match step {
            Step::Run {
                process,
                acquire,
                takes_ms,
                fates,
            } => {
                let p = &system.processes[process];
                p.table.script(fates);
                // The read takes time: the clock moves before it is queried.
                let clock = || {
                    pass(takes_ms);
                    system.now.get()
                };
                let _ = system.runtime.block_on(p.lease.step(clock, acquire));
                pass(takes_ms / 2);
                p.table.clear_script();
            }
            Step::Wait(ms) => pass(ms),
            Step::Release { process, fates } => {
                let p = &system.processes[process];
                p.table.script(fates);
                let _ = system.runtime.block_on(p.lease.release());
                p.table.clear_script();
            }
            Step::Restart(i) => {
                let table = system.processes[i].table.clone();
                system.processes[i] = process(table, i);
            }
            Step::Deliver(i) => system.processes[i].table.deliver(),
        }
        let now = system.now.get();
        for (i, p) in system.processes.iter().enumerate() {
            if let Some(token) = p.lease.token(now) {
                let (highest, who) = system.highest;
                assert!(token >= highest, "p{i} holds old token {token}");
                assert!(token > highest || who == i, "token {token} held twice");
                system.highest = (token, i);
            }
        }
        system
    }

    fn check_invariants(system: &System, (): &()) {
        let now = system.now.get();
        let holders = system.processes.iter();
        let holders = holders.filter(|p| p.lease.token(now).is_some()).count();
        assert!(holders <= 1, "{holders} holders at once");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lease_one_holder(sequential 1..80 => System);
}

#[test]
fn lease_lapses_and_moves() {
    let table = FakeTable::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let (a, b) = (process(table.client(), 0), process(table.client(), 1));
    let t = Instant::now();
    let step = |p: &Process, at: Instant| runtime.block_on(p.lease.step(|| at, true)).unwrap();
    step(&a, t);
    assert_eq!(a.lease.token(t), Some(1));
    step(&b, t);
    assert_eq!(b.lease.token(t), None);
    let later = t + TERM;
    step(&b, later);
    assert_eq!(a.lease.token(later), None);
    assert_eq!(b.lease.token(later), Some(2));
}
