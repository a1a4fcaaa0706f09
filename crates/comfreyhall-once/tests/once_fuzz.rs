//! Stateful fuzzing of claims against a simple oracle.
//!
//! Several daemons claim the same few idempotency keys through a table
//! whose calls are lost, applied without an answer, applied late or
//! refused. Daemons crash, pause and retry in between. The oracle only
//! counts, per key, how often the request really ran.

use std::collections::BTreeMap;

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_fakes::{CallOutcome, FakeTable, StatelessReference, Steps, call_outcomes};
use comfreyhall_once::{Claim, ClaimOutcome, IdempotencyClaims, UnconfirmedClaim};
use comfreyhall_protocol::{Check, CommitRequest, Put, Row};
use comfreyhall_standins::TableStandin;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const DAEMONS: usize = 3;
const KEYS: usize = 2;

/// One step of the run.
#[derive(Debug, Clone)]
enum Step {
    /// A client's attempt at `key` reaches `daemon`; the table's next calls
    /// have these fates.
    Attempt {
        daemon: usize,
        key: usize,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` continues with the claim that it holds on `key`.
    Continue {
        daemon: usize,
        key: usize,
        action: Action,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` releases its unconfirmed claims.
    ReleaseUnconfirmed {
        daemon: usize,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` crashes and restarts without any state.
    Crash(usize),
    /// Delayed commits of `daemon` arrive.
    Deliver(usize),
}

/// What a claimer does next.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// Sends the request; it runs, and the answer is recorded.
    Run,
    /// Sends the request; it runs, and the answer is lost permanently.
    RunAnswerLost,
    /// The target proves that the request did not run; the claim is
    /// released.
    NotRun,
}

/// Generates the steps of a run.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let action = prop_oneof![
            Just(Action::Run),
            Just(Action::RunAnswerLost),
            Just(Action::NotRun)
        ];
        prop_oneof![
            4 => (0..DAEMONS, 0..KEYS, call_outcomes(4))
                .prop_map(|(daemon, key, fates)| Step::Attempt { daemon, key, fates }),
            4 => (0..DAEMONS, 0..KEYS, action, call_outcomes(4))
                .prop_map(|(daemon, key, action, fates)| Step::Continue { daemon, key, action, fates }),
            2 => (0..DAEMONS, call_outcomes(4))
                .prop_map(|(daemon, fates)| Step::ReleaseUnconfirmed { daemon, fates }),
            1 => (0..DAEMONS).prop_map(Step::Crash),
            2 => (0..DAEMONS).prop_map(Step::Deliver),
        ]
        .boxed()
    }
}

struct Daemon {
    table: FakeTable,
    once: IdempotencyClaims<FakeTable>,
    /// Claims held by key whose requests are not sent yet; a paused daemon
    /// keeps them.
    claims: BTreeMap<usize, Claim>,
    /// Claims that may have been written; their attempts were refused.
    unconfirmed: Vec<UnconfirmedClaim>,
}

struct System {
    runtime: tokio::runtime::Runtime,
    daemons: Vec<Daemon>,
    /// Number of times each key's request ran: the oracle.
    runs: [u32; KEYS],
}

impl System {
    fn attempt(&mut self, daemon: usize, key: usize, fates: Vec<CallOutcome>) {
        let daemon_state = &mut self.daemons[daemon];
        daemon_state.table.script(fates);
        let claimed = self
            .runtime
            .block_on(daemon_state.once.claim(&format!("k{key}"), "attempt"));
        daemon_state.table.clear_script();
        match claimed {
            Ok(ClaimOutcome::Acquired(claim)) => {
                assert!(
                    daemon_state.claims.insert(key, claim).is_none(),
                    "a key was claimed while its first claim was held"
                );
            }
            Ok(ClaimOutcome::Completed(object)) => {
                assert_eq!(object, format!("answer-{key}"));
                assert_eq!(
                    self.runs[key], 1,
                    "an answer is recorded but the request did not run"
                );
            }
            // `HeldByOther`: the answer is "unknown". Errors: the
            // answer is "not run", and indeed nothing was sent for
            // this attempt.
            Ok(ClaimOutcome::Unconfirmed(claim, _)) => daemon_state.unconfirmed.push(claim),
            Ok(ClaimOutcome::HeldByOther) | Err(CatalogError::Unavailable { .. }) => {}
            Err(CatalogError::Unreachable { .. } | CatalogError::Conflict { .. }) => {}
            Err(e) => panic!("unexpected {e}"),
        }
    }

    fn continue_claim(
        &mut self,
        daemon: usize,
        key: usize,
        action: Action,
        fates: Vec<CallOutcome>,
    ) {
        let daemon_state = &mut self.daemons[daemon];
        let Some(claim) = daemon_state.claims.remove(&key) else {
            return;
        };
        daemon_state.table.script(fates);
        match action {
            Action::Run => {
                self.runs[key] += 1;
                let answer = format!("answer-{key}");
                let _ = self
                    .runtime
                    .block_on(daemon_state.once.record_answer(&claim, &answer));
            }
            Action::RunAnswerLost => self.runs[key] += 1,
            Action::NotRun => {
                let _ = self.runtime.block_on(daemon_state.once.release(&claim));
            }
        }
        daemon_state.table.clear_script();
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
                    unconfirmed: Vec::new(),
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
            Step::Attempt { daemon, key, fates } => system.attempt(daemon, key, fates),
            Step::Continue {
                daemon,
                key,
                action,
                fates,
            } => system.continue_claim(daemon, key, action, fates),
            Step::ReleaseUnconfirmed { daemon, fates } => {
                let daemon_state = &mut system.daemons[daemon];
                daemon_state.table.script(fates);
                for claim in std::mem::take(&mut daemon_state.unconfirmed) {
                    let _ = system
                        .runtime
                        .block_on(daemon_state.once.release_unconfirmed(&claim));
                }
                daemon_state.table.clear_script();
            }
            Step::Crash(daemon) => {
                system.daemons[daemon].claims.clear();
                system.daemons[daemon].unconfirmed.clear();
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
                .filter(|daemon_state| daemon_state.claims.contains_key(&key));
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
fn release_unconfirmed_frees_key() {
    // Guards against keys that stay held permanently though nothing ran. The
    // claim is written, but its answer and the reads after it are lost, and
    // the attempt is refused as "not run". If nobody checks the row again,
    // later attempts at the key are answered "held" for ever.
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
    let ClaimOutcome::Unconfirmed(claim, _) = claimed else {
        panic!("claim confirmed without an answer: {claimed:?}");
    };
    let second_once = IdempotencyClaims::new(second, "d1".into());
    let held = runtime.block_on(second_once.claim("k", "a2")).unwrap();
    assert!(matches!(held, ClaimOutcome::HeldByOther), "{held:?}");
    runtime
        .block_on(first_once.release_unconfirmed(&claim))
        .unwrap();
    let free = runtime.block_on(second_once.claim("k", "a3")).unwrap();
    assert!(matches!(free, ClaimOutcome::Acquired(_)), "{free:?}");
}

/// A table in some era, and two daemons' claims in it.
fn table_of_two() -> (FakeTable, [IdempotencyClaims<FakeTable>; 2]) {
    let table = FakeTable::default();
    table.restore(&table.copy());
    let claims = ["d0", "d1"].map(|id| IdempotencyClaims::new(table.client(), id.into()));
    (table, claims)
}

async fn acquired(claims: &IdempotencyClaims<FakeTable>, request: &str) -> Claim {
    match claims.claim("k", request).await {
        Ok(ClaimOutcome::Acquired(claim)) => claim,
        other => panic!("not acquired: {other:?}"),
    }
}

/// Guards against a claim or an answer that a copy of the table has and that is lost when
/// the table comes back from it.
#[tokio::test]
async fn claim_in_copy_holds_after_restore() {
    let (table, [first, second]) = table_of_two();
    let claim = acquired(&first, "a1").await;
    table.restore(&table.copy());
    let held = second.claim("k", "a2").await;
    assert!(matches!(held, Ok(ClaimOutcome::HeldByOther)), "{held:?}");
    drop(claim);
    let (table, [first, second]) = table_of_two();
    let claim = acquired(&first, "a1").await;
    first.record_answer(&claim, "answer").await.unwrap();
    table.restore(&table.copy());
    let done = second.claim("k", "a2").await;
    let answer = matches!(&done, Ok(ClaimOutcome::Completed(at)) if at == "answer");
    assert!(answer, "{done:?}");
}

/// The own table service: its versions are never given out again.
#[derive(Clone, Default)]
struct OwnTable(TableStandin);

impl Rows for OwnTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CatalogError> {
        Ok(self.0.read(key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, CatalogError> {
        Ok(self.0.list(prefix, after, limit))
    }

    async fn commit(&self, checks: Vec<Check>, puts: Vec<Put>) -> Result<Vec<u64>, CatalogError> {
        let reply = self.0.write(CommitRequest { checks, puts });
        match reply.applied {
            true => Ok(reply.versions),
            false => Err(CatalogError::Conflict {
                key: reply.conflict,
            }),
        }
    }
}

/// Guards against a claimer whose claim the copy lacks and that releases, or completes, the
/// claim which another daemon has made since.
#[tokio::test]
async fn release_of_lost_claim_keeps_next_claim() {
    let table = OwnTable::default();
    let [first, second] = ["d0", "d1"].map(|id| IdempotencyClaims::new(table.clone(), id.into()));
    let copy = table.0.copy();
    let Ok(ClaimOutcome::Acquired(lost)) = first.claim("k", "a1").await else {
        panic!("not acquired");
    };
    table.0.restore(&copy);
    let next = second.claim("k", "a2").await;
    assert!(matches!(next, Ok(ClaimOutcome::Acquired(_))), "{next:?}");
    first.release(&lost).await.unwrap();
    first.record_answer(&lost, "answer").await.unwrap();
    let held = second.claim("k", "a3").await;
    assert!(matches!(held, Ok(ClaimOutcome::HeldByOther)), "{held:?}");
}

/// Guards against a claim whose answer got lost, and which the copy lacks, that is taken for
/// made: its request must not be sent.
#[tokio::test]
async fn claim_unanswered_and_lost_is_not_acquired() {
    let (table, [first, second]) = table_of_two();
    let copy = table.copy();
    let calls = table.client();
    let late = IdempotencyClaims::new(calls.clone(), "d0".into());
    // The commit arrives once the table has come back.
    calls.script([CallOutcome::Delayed]);
    let claimed = late.claim("k", "a1").await;
    let unconfirmed = matches!(claimed, Ok(ClaimOutcome::Unconfirmed(..)));
    assert!(unconfirmed, "{claimed:?}");
    table.restore(&copy);
    acquired(&second, "a2").await;
    calls.deliver();
    let held = first.claim("k", "a3").await;
    assert!(matches!(held, Ok(ClaimOutcome::HeldByOther)), "{held:?}");
}

/// What does not hold: the table is the only record of a claim, so a key whose claim the
/// copy lacks can be claimed again, and a retry that the caller sends then runs.
#[tokio::test]
async fn claim_lost_with_copy_is_acquired_again() {
    let (table, [first, second]) = table_of_two();
    let copy = table.copy();
    acquired(&first, "a1").await;
    table.restore(&copy);
    acquired(&second, "a2").await;
}
