//! Stateful fuzzing of a lease in a table that comes back from copies: never two
//! holders, and no token twice.
//!
//! Takes the steps of `lease_fuzz` and those of the table. The oracle knows every token under
//! which a process could send a command.

use std::{
    cell::Cell,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyhall_catalog::Rows;
use comfreyhall_fakes::{CallOutcome, FakeTable, StatelessReference, Steps, call_outcomes};
use comfreyhall_lease::Lease;
use comfreyhall_standins::TableCopy;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const PROCESSES: usize = 3;
const TERM: Duration = Duration::from_millis(1_000);

/// One step of the run.
#[derive(Debug, Clone)]
enum Step {
    /// A process runs its lease step once.
    Run {
        process: usize,
        takes_ms: u64,
        fates: Vec<CallOutcome>,
    },
    /// Time passes for all processes.
    Wait(u64),
    /// A process releases the lease.
    Release(usize),
    /// A process restarts.
    Restart(usize),
    /// The oldest late commit of a process arrives.
    Deliver(usize),
    /// A copy of the table is made.
    Copy,
    /// The table comes back from the last copy.
    Restore,
}

/// Generator of the steps.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let p = 0..PROCESSES;
        prop_oneof![
            9 => (p.clone(), 0u64..300, call_outcomes(2))
                .prop_map(|(process, takes_ms, fates)| Step::Run { process, takes_ms, fates }),
            6 => (50u64..900).prop_map(Step::Wait),
            1 => p.clone().prop_map(Step::Release),
            1 => p.clone().prop_map(Step::Restart),
            2 => p.prop_map(Step::Deliver),
            2 => Just(Step::Copy),
            2 => Just(Step::Restore),
        ]
        .boxed()
    }
}

struct Process {
    table: FakeTable,
    lease: Lease<FakeTable>,
    /// Number of the process.
    boot: usize,
}

struct System {
    runtime: tokio::runtime::Runtime,
    now: Cell<Instant>,
    table: FakeTable,
    copy: TableCopy,
    processes: Vec<Process>,
    boots: usize,
    /// Which process held each token.
    tokens: BTreeMap<u64, usize>,
}

fn process(table: FakeTable, i: usize, boot: usize) -> Process {
    Process {
        lease: Lease::new(table.clone(), "orders", format!("p{i}").into(), TERM),
        table,
        boot,
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = StatelessReference<Run>;

    fn init_test((): &()) -> System {
        let table = FakeTable::default();
        // Every table is in some era.
        table.restore(&table.copy());
        System {
            runtime: tokio::runtime::Builder::new_current_thread()
                .build()
                .unwrap(),
            now: Cell::new(Instant::now()),
            copy: table.copy(),
            processes: (0..PROCESSES)
                .map(|i| process(table.client(), i, i))
                .collect(),
            table,
            boots: PROCESSES,
            tokens: BTreeMap::new(),
        }
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        let pass = |ms| system.now.set(system.now.get() + Duration::from_millis(ms));
        match step {
            Step::Run {
                process,
                takes_ms,
                fates,
            } => {
                let p = &system.processes[process];
                p.table.script(fates);
                let clock = || {
                    pass(takes_ms);
                    system.now.get()
                };
                let _ = system.runtime.block_on(p.lease.step(clock, true));
                pass(takes_ms / 2);
                p.table.clear_script();
            }
            Step::Wait(ms) => pass(ms),
            Step::Release(i) => {
                let p = &system.processes[i];
                let _ = system.runtime.block_on(p.lease.release());
            }
            Step::Restart(i) => {
                let table = system.table.client();
                system.processes[i] = process(table, i, system.boots);
                system.boots += 1;
            }
            Step::Deliver(i) => system.processes[i].table.deliver(),
            Step::Copy => system.copy = system.table.copy(),
            Step::Restore => system.table.restore(&system.copy),
        }
        let now = system.now.get();
        for p in &system.processes {
            if let Some(token) = p.lease.token(now) {
                let who = *system.tokens.entry(token).or_insert(p.boot);
                assert!(who == p.boot, "token {token} given out twice");
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
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(52),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lease_one_holder_over_eras(sequential 1..80 => System);
}

/// Guards against a group without orders for longer than a term after the table came back
/// without the row of its holder.
#[test]
fn lease_holder_writes_lost_row_again() {
    let table = FakeTable::default();
    table.restore(&table.copy());
    let copy = table.copy();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let holder = process(table.client(), 0, 0);
    let now = Cell::new(Instant::now());
    let step = || {
        runtime
            .block_on(holder.lease.step(|| now.get(), true))
            .unwrap()
    };
    step();
    let token = holder.lease.token(now.get());
    assert!(token.is_some());
    table.restore(&copy);
    for _ in 0..8 {
        now.set(now.get() + TERM / 4);
        step();
        assert_eq!(holder.lease.token(now.get()), token);
    }
    let row = runtime.block_on(table.get("lease/orders")).unwrap();
    assert!(row.is_some(), "the row is written again");
}
