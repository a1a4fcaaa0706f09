//! An in-process table service whose call outcomes are scripted.
//!
//! Tests of behaviour under table faults choose the outcome of each call:
//! answered, never sent, applied with its reply lost, lost before it was
//! applied, or applied only after newer calls. [`FakeTable`] takes the next
//! [`CallOutcome`] from its script (or [`CallOutcome::Answered`] when the
//! script is empty) and keeps its rows in an in-process [`TableStandin`], so
//! no test depends on timing.
//!
//! The module also holds what the stateful fuzz tests share:
//! [`call_outcomes`] generates scripts, and [`StatelessReference`] is the
//! reference state machine of tests in which every step is always possible.

use std::{
    collections::VecDeque,
    fmt::Debug,
    marker::PhantomData,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_protocol::{Check, CommitReply, CommitRequest, Put, Revision, Row};
use comfreyhall_standins::{TableCopy, TableStandin};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// The outcome of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// There is no connection, so nothing is sent.
    Unsent,
    /// The request never arrives, but the caller cannot know that.
    RequestLost,
    /// The call takes effect, but its reply is lost.
    ReplyLost,
    /// The call takes effect only when [`FakeTable::deliver`] applies it.
    Delayed,
}

#[derive(Default)]
struct Script {
    outcomes: VecDeque<CallOutcome>,
    /// Commits whose outcome was [`CallOutcome::Delayed`], oldest first.
    delayed: VecDeque<CommitRequest>,
}

/// An in-process table service with scripted faults.
///
/// Clones share both the rows and the script; see [`FakeTable::client`].
#[derive(Clone, Default)]
pub struct FakeTable {
    table: TableStandin,
    script: Arc<Mutex<Script>>,
    /// Newest era of an answer to this client.
    seen_era: Arc<AtomicU32>,
}

fn unavailable() -> CatalogError {
    CatalogError::Unavailable {
        addr: "fake".into(),
        detail: "scripted".into(),
    }
}

fn unreachable() -> CatalogError {
    CatalogError::Unreachable {
        addr: "fake".into(),
    }
}

impl FakeTable {
    /// Returns a client of the same rows with its own, empty script.
    pub fn client(&self) -> Self {
        Self {
            table: self.table.clone(),
            script: Arc::default(),
            seen_era: Arc::default(),
        }
    }

    /// What the table holds now.
    pub fn copy(&self) -> TableCopy {
        self.table.copy()
    }

    /// The table comes back from `copy`.
    pub fn restore(&self, copy: &TableCopy) {
        self.table.restore(copy);
    }

    fn note_answer(&self) {
        self.seen_era.store(self.table.era(), Ordering::SeqCst);
    }

    /// Applies a commit by the numbers of its checks alone, as a store does that gives
    /// numbers out again after it has come back from a copy.
    fn write(&self, mut commit: CommitRequest) -> CommitReply {
        for check in &mut commit.checks {
            let found = self.table.read(&check.key).map_or(0, |row| row.version);
            if Revision::from_wire(found).number() == Revision::from_wire(check.version).number() {
                check.version = found;
            }
        }
        self.table.write(commit)
    }

    /// Appends the outcomes of later calls to the script.
    pub fn script(&self, outcomes: impl IntoIterator<Item = CallOutcome>) {
        self.script.lock().unwrap().outcomes.extend(outcomes);
    }

    /// Drops the rest of the script, so that calls are answered again.
    pub fn clear_script(&self) {
        self.script.lock().unwrap().outcomes.clear();
    }

    /// Applies the oldest delayed commit.
    pub fn deliver(&self) {
        let delayed = self.script.lock().unwrap().delayed.pop_front();
        if let Some(commit) = delayed {
            self.write(commit);
        }
    }

    fn next_outcome(&self) -> CallOutcome {
        let mut script = self.script.lock().unwrap();
        script.outcomes.pop_front().unwrap_or(CallOutcome::Answered)
    }

    /// Takes the next outcome for a read. A read has no effect, so a lost request,
    /// a lost reply and a delay are the same failure.
    fn next_read(&self) -> Result<(), CatalogError> {
        match self.next_outcome() {
            CallOutcome::Answered => {
                self.note_answer();
                Ok(())
            }
            CallOutcome::Unsent => Err(unreachable()),
            CallOutcome::RequestLost | CallOutcome::ReplyLost | CallOutcome::Delayed => {
                Err(unavailable())
            }
        }
    }
}

impl Rows for FakeTable {
    fn era(&self) -> u32 {
        self.seen_era.load(Ordering::SeqCst)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, CatalogError> {
        self.next_read()?;
        Ok(self.table.read(key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, CatalogError> {
        self.next_read()?;
        Ok(self.table.list(prefix, after, limit))
    }

    async fn commit(&self, checks: Vec<Check>, puts: Vec<Put>) -> Result<Vec<u64>, CatalogError> {
        let known_era = self.era();
        let outdated =
            |c: &&Check| c.version > 0 && Revision::from_wire(c.version).era() != known_era;
        if let Some(check) = checks.iter().find(outdated) {
            let key = check.key.clone();
            return Err(CatalogError::Conflict { key });
        }
        let req = CommitRequest { checks, puts };
        match self.next_outcome() {
            CallOutcome::Unsent => return Err(unreachable()),
            CallOutcome::RequestLost => return Err(unavailable()),
            CallOutcome::Delayed => {
                self.script.lock().unwrap().delayed.push_back(req);
                return Err(unavailable());
            }
            CallOutcome::ReplyLost => {
                self.write(req);
                return Err(unavailable());
            }
            CallOutcome::Answered => {}
        }
        let reply = self.write(req);
        self.note_answer();
        if reply.applied && self.era() != known_era && known_era > 0 {
            return Err(unavailable());
        }
        if reply.applied {
            Ok(reply.versions)
        } else {
            Err(CatalogError::Conflict {
                key: reply.conflict,
            })
        }
    }
}

/// Generates the outcomes of up to `max_calls` successive calls, half of them answered.
pub fn call_outcomes(max_calls: usize) -> impl Strategy<Value = Vec<CallOutcome>> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Unsent),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::ReplyLost),
        2 => Just(CallOutcome::Delayed),
    ];
    proptest::collection::vec(outcome, 0..=max_calls)
}

/// The steps of a test run in which every step is possible at any time.
pub trait Steps: 'static {
    /// A step of the run.
    type Step: Clone + Debug;

    /// Returns the strategy that generates steps.
    fn steps() -> BoxedStrategy<Self::Step>;
}

/// The reference state machine of a run described by [`Steps`].
///
/// It keeps no state; the system under test asserts its invariants against
/// its own oracle.
pub struct StatelessReference<S>(PhantomData<S>);

impl<S: Steps> ReferenceStateMachine for StatelessReference<S> {
    type State = ();
    type Transition = S::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<S::Step> {
        S::steps()
    }

    fn apply((): (), _: &S::Step) {}
}
