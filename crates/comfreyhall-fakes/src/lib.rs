//! An in-process table service whose every call has a scripted fate.
//!
//! Tests of what must hold under table faults need to choose, call by call,
//! what becomes of a call: answered, never sent, applied with its answer
//! lost, lost before it was applied, or applied only later, after newer
//! calls. [`FakeTable`] takes the next [`CallOutcome`] from its script (or
//! [`CallOutcome::Answered`] when the script is empty) and runs the rows of the
//! table stand-in in process, so no test depends on timing.
//!
//! What stateful fuzz tests share is here too: [`call_outcomes`] draws scripts, and
//! [`StatelessReference`] is the reference machine of runs whose steps are always possible.

use std::{
    collections::VecDeque,
    fmt::Debug,
    marker::PhantomData,
    sync::{Arc, Mutex},
};

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_protocol::{Check, CommitRequest, Put, Row};
use comfreyhall_standins::TableStandin;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It takes effect and is answered.
    Answered,
    /// No connection: nothing is sent.
    Unsent,
    /// It never arrives, but the caller cannot know.
    RequestLost,
    /// It takes effect, but its answer is lost.
    ReplyLost,
    /// It takes effect only when [`FakeTable::deliver`] lets it arrive.
    Delayed,
}

#[derive(Default)]
struct Script {
    fates: VecDeque<CallOutcome>,
    late: VecDeque<CommitRequest>,
}

/// An in-process table service with scripted faults; clones share rows and
/// script.
#[derive(Clone, Default)]
pub struct FakeTable {
    table: TableStandin,
    script: Arc<Mutex<Script>>,
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
    /// A client of the same rows with a script of its own, empty at first.
    pub fn client(&self) -> Self {
        Self {
            table: self.table.clone(),
            script: Arc::default(),
        }
    }

    /// Adds fates for the calls to come.
    pub fn script(&self, fates: impl IntoIterator<Item = CallOutcome>) {
        self.script.lock().unwrap().fates.extend(fates);
    }

    /// Drops the rest of the script: calls are answered again.
    pub fn clear_script(&self) {
        self.script.lock().unwrap().fates.clear();
    }

    /// Lets the oldest late commit arrive.
    pub fn deliver(&self) {
        let late = self.script.lock().unwrap().late.pop_front();
        if let Some(commit) = late {
            self.table.write(commit);
        }
    }

    fn next_outcome(&self) -> CallOutcome {
        let mut script = self.script.lock().unwrap();
        script.fates.pop_front().unwrap_or(CallOutcome::Answered)
    }

    fn readable(&self) -> Result<(), CatalogError> {
        match self.next_outcome() {
            CallOutcome::Answered => Ok(()),
            CallOutcome::Unsent => Err(unreachable()),
            CallOutcome::RequestLost | CallOutcome::ReplyLost | CallOutcome::Delayed => {
                Err(unavailable())
            }
        }
    }
}

impl Rows for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CatalogError> {
        self.readable()?;
        Ok(self.table.read(key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, CatalogError> {
        self.readable()?;
        Ok(self.table.list(prefix, after, limit))
    }

    async fn commit(&self, checks: Vec<Check>, puts: Vec<Put>) -> Result<Vec<u64>, CatalogError> {
        let req = CommitRequest { checks, puts };
        match self.next_outcome() {
            CallOutcome::Unsent => return Err(unreachable()),
            CallOutcome::RequestLost => return Err(unavailable()),
            CallOutcome::Delayed => {
                self.script.lock().unwrap().late.push_back(req);
                return Err(unavailable());
            }
            CallOutcome::ReplyLost => {
                self.table.write(req);
                return Err(unavailable());
            }
            CallOutcome::Answered => {}
        }
        let reply = self.table.write(req);
        if reply.applied {
            Ok(reply.versions)
        } else {
            Err(CatalogError::Conflict {
                key: reply.conflict,
            })
        }
    }
}

/// Fates of up to `most` calls in a row, most of them sound.
pub fn call_outcomes(most: usize) -> impl Strategy<Value = Vec<CallOutcome>> {
    let fate = prop_oneof![
        6 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Unsent),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::ReplyLost),
        2 => Just(CallOutcome::Delayed),
    ];
    proptest::collection::vec(fate, 0..=most)
}

/// The steps of a run in which every step is possible at any time.
pub trait Steps: 'static {
    /// One step.
    type Step: Clone + Debug;

    /// How steps are drawn.
    fn steps() -> BoxedStrategy<Self::Step>;
}

/// The reference machine of such a run. It keeps no state: what must hold is
/// asserted by the system under test against its own oracle.
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
