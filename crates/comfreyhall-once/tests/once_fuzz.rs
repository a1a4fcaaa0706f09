//! Stateful fuzzing of claims against a simple oracle.
//!
//! Several daemons claim the same few idempotency keys through a table
//! whose calls are lost, applied unheard, applied late or refused, and die,
//! pause and retry in between. The oracle only counts, per key, how often
//! the request really ran, and remembers what callers were told.

use std::collections::BTreeMap;

use comfreyhall_catalog::CatalogError;
use comfreyhall_fakes::{CallOutcome, FakeTable, StatelessReference, Steps, call_outcomes};
use comfreyhall_once::{Claim, ClaimOutcome, IdempotencyClaims, UnconfirmedClaim};
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const DAEMONS: usize = 3;
const KEYS: usize = 2;

/// One step of the run.
#[derive(Debug, Clone)]
enum Step {
    /// A caller's attempt at `key` reaches `daemon`; the table's next calls
    /// have these fates.
    Ask {
        daemon: usize,
        key: usize,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` goes on with what it holds of `key`.
    Go {
        daemon: usize,
        key: usize,
        act: Act,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` gives back what it holds in doubt.
    Abandon {
        daemon: usize,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` dies and comes back knowing nothing.
    Crash(usize),
    /// Late commits of `daemon` arrive.
    Deliver(usize),
}

/// What a claimer does next.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Sends the request; it runs, and the answer is recorded.
    Run,
    /// Sends the request; it runs, and the answer is lost for good.
    RunUnheard,
    /// The target proves that it did not run; the claim is given back.
    NotRun,
}

/// The steps of a run.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let act = prop_oneof![Just(Act::Run), Just(Act::RunUnheard), Just(Act::NotRun)];
        prop_oneof![
            4 => (0..DAEMONS, 0..KEYS, call_outcomes(4))
                .prop_map(|(daemon, key, fates)| Step::Ask { daemon, key, fates }),
            4 => (0..DAEMONS, 0..KEYS, act, call_outcomes(4))
                .prop_map(|(daemon, key, act, fates)| Step::Go { daemon, key, act, fates }),
            2 => (0..DAEMONS, call_outcomes(4))
                .prop_map(|(daemon, fates)| Step::Abandon { daemon, fates }),
            1 => (0..DAEMONS).prop_map(Step::Crash),
            2 => (0..DAEMONS).prop_map(Step::Deliver),
        ]
        .boxed()
    }
}

struct Daemon {
    table: FakeTable,
    once: IdempotencyClaims<FakeTable>,
    /// Claims held and not yet sent, by key; a paused daemon keeps them.
    claims: BTreeMap<usize, Claim>,
    /// Claims that may have been written; their attempts were refused.
    doubts: Vec<UnconfirmedClaim>,
}

struct System {
    runtime: tokio::runtime::Runtime,
    daemons: Vec<Daemon>,
    /// Times each key's request ran: the oracle.
    runs: [u32; KEYS],
}

impl System {
    fn ask(&mut self, daemon: usize, key: usize, fates: Vec<CallOutcome>) {
        let d = &mut self.daemons[daemon];
        d.table.script(fates);
        let claimed = self
            .runtime
            .block_on(d.once.claim(&format!("k{key}"), "attempt"));
        d.table.clear_script();
        match claimed {
            Ok(ClaimOutcome::Acquired(claim)) => {
                assert!(
                    d.claims.insert(key, claim).is_none(),
                    "a key was claimed while its first claim was held"
                );
            }
            Ok(ClaimOutcome::Completed(object)) => {
                assert_eq!(object, format!("answer-{key}"));
                assert_eq!(self.runs[key], 1, "an answer without its run");
            }
            // Held: the caller hears "unknown". Errors: this attempt is
            // told "not run", and indeed nothing was sent for it.
            Ok(ClaimOutcome::Unconfirmed(doubt, _)) => d.doubts.push(doubt),
            Ok(ClaimOutcome::HeldByOther) | Err(CatalogError::Unavailable { .. }) => {}
            Err(CatalogError::Unreachable { .. } | CatalogError::Conflict { .. }) => {}
            Err(e) => panic!("unexpected {e}"),
        }
    }

    fn go(&mut self, daemon: usize, key: usize, act: Act, fates: Vec<CallOutcome>) {
        let d = &mut self.daemons[daemon];
        let Some(claim) = d.claims.remove(&key) else {
            return;
        };
        d.table.script(fates);
        match act {
            Act::Run => {
                self.runs[key] += 1;
                let answer = format!("answer-{key}");
                let _ = self.runtime.block_on(d.once.record_answer(&claim, &answer));
            }
            Act::RunUnheard => self.runs[key] += 1,
            Act::NotRun => {
                let _ = self.runtime.block_on(d.once.release(&claim));
            }
        }
        d.table.clear_script();
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = StatelessReference<Run>;

    fn init_test((): &()) -> System {
        let table = FakeTable::default();
        let daemons = (0..DAEMONS)
            .map(|i| {
                let table = table.client();
                Daemon {
                    once: IdempotencyClaims::new(table.clone(), format!("d{i}").into()),
                    table,
                    claims: BTreeMap::new(),
                    doubts: Vec::new(),
                }
            })
            .collect();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .unwrap();
        System {
            runtime,
            daemons,
            runs: [0; KEYS],
        }
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        match step {
            Step::Ask { daemon, key, fates } => system.ask(daemon, key, fates),
            Step::Go {
                daemon,
                key,
                act,
                fates,
            } => system.go(daemon, key, act, fates),
            Step::Abandon { daemon, fates } => {
                let d = &mut system.daemons[daemon];
                d.table.script(fates);
                for doubt in std::mem::take(&mut d.doubts) {
                    let _ = system.runtime.block_on(d.once.release_unconfirmed(&doubt));
                }
                d.table.clear_script();
            }
            Step::Crash(daemon) => {
                system.daemons[daemon].claims.clear();
                system.daemons[daemon].doubts.clear();
            }
            Step::Deliver(daemon) => system.daemons[daemon].table.deliver(),
        }
        system
    }

    fn check_invariants(system: &System, (): &()) {
        for (key, runs) in system.runs.iter().enumerate() {
            assert!(*runs <= 1, "request k{key} ran {runs} times");
        }
        for key in 0..KEYS {
            let holders = system
                .daemons
                .iter()
                .filter(|d| d.claims.contains_key(&key));
            assert!(holders.count() <= 1, "two daemons may send k{key}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn claim_runs_at_most_once(sequential 1..60 => System);
}

#[test]
fn abandon_frees_key() {
    // Symptom: after an outage with lost answers, callers who had been told
    // "not run" were told "held" for good when they came back. Sequence:
    // the claim is written, its answer and the reads after it are lost, and
    // the attempt is refused. Cause: nobody looked again.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let table = FakeTable::default();
    let (first, second) = (table.client(), table.client());
    let first_once = IdempotencyClaims::new(first.clone(), "d0".into());
    first.script([
        CallOutcome::ReplyLost,
        CallOutcome::RequestLost,
        CallOutcome::RequestLost,
        CallOutcome::RequestLost,
    ]);
    let claimed = runtime.block_on(first_once.claim("k", "a1")).unwrap();
    let ClaimOutcome::Unconfirmed(doubt, _) = claimed else {
        panic!("settled without an answer: {claimed:?}");
    };
    let second_once = IdempotencyClaims::new(second, "d1".into());
    let held = runtime.block_on(second_once.claim("k", "a2")).unwrap();
    assert!(matches!(held, ClaimOutcome::HeldByOther), "{held:?}");
    runtime
        .block_on(first_once.release_unconfirmed(&doubt))
        .unwrap();
    let free = runtime.block_on(second_once.claim("k", "a3")).unwrap();
    assert!(matches!(free, ClaimOutcome::Acquired(_)), "{free:?}");
}
