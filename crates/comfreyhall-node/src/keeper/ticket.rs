//! One wish that several engines may fulfil; the first one that can does.
//!
//! What goes wrong without it: a request waits for a place at the engine it
//! chose, while places fall free at others, is turned away after a while and
//! waits at the next one. With all places in use one falls free every 20 ms
//! or so over nine engines, but only every 200 ms at one of them.

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_domain::Name;
use tokio::sync::oneshot;

/// Where an adapter is now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Placed {
    pub(crate) target: Name,
    pub(crate) version: u64,
}

/// Why an adapter was not placed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{why}")]
pub(crate) struct PlacementError {
    pub(crate) why: String,
    /// Engines that take no orders: they are gone, or another boot.
    pub(crate) gone: Vec<Name>,
}

impl From<&str> for PlacementError {
    fn from(why: &str) -> Self {
        PlacementError {
            why: why.to_string(),
            gone: Vec::new(),
        }
    }
}

/// Who waits for an adapter.
pub(super) type Done = oneshot::Sender<Result<Placed, PlacementError>>;

/// Engines that took no orders, as keepers noted. It outlives the ticket: when
/// all keepers have let go of a wish, its asker still learns of them.
#[derive(Clone, Default)]
pub(super) struct Gone(Arc<Mutex<Vec<Name>>>);

impl Gone {
    fn all(&self) -> MutexGuard<'_, Vec<Name>> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// What was noted so far.
    pub(super) fn noted(&self) -> Vec<Name> {
        self.all().clone()
    }
}

/// A wish, shared by the keepers of all engines that may fulfil it.
pub(super) struct Ticket {
    done: Mutex<Option<Done>>,
    /// Engines that may fulfil it.
    among: Vec<Name>,
    gone: Gone,
    /// What the first of them last waited for.
    blocked: Mutex<&'static str>,
}

impl Ticket {
    /// A wish of `done` that the engines `among` may fulfil; those that are
    /// found to be gone are noted in `gone`.
    pub(super) fn new(done: Done, among: Vec<Name>, gone: Gone) -> Self {
        Self {
            done: Mutex::new(Some(done)),
            among,
            gone,
            blocked: Mutex::new(""),
        }
    }

    /// Notes what `target` waits for before it can fulfil it.
    pub(super) fn note_blocked(&self, target: &Name, why: &'static str) {
        if self.among.first() == Some(target) {
            *self.blocked.lock().expect("no holder of this lock panics") = why;
        }
    }

    /// What the first engine last waited for.
    pub(super) fn blocked(&self) -> &'static str {
        *self.blocked.lock().expect("no holder of this lock panics")
    }

    /// Engines that may fulfil it.
    pub(super) fn among(&self) -> &[Name] {
        &self.among
    }

    fn done(&self) -> MutexGuard<'_, Option<Done>> {
        self.done.lock().expect("no holder of this lock panics")
    }

    /// Whether somebody waits and no engine fulfils it yet.
    pub(super) fn open(&self) -> bool {
        self.done().as_ref().is_some_and(|d| !d.is_closed())
    }

    /// Who waits; nobody else gets it any more.
    pub(super) fn take(&self) -> Option<Done> {
        self.done().take()
    }

    /// Offers the wish to the other engines again.
    pub(super) fn put_back(&self, done: Done) {
        *self.done() = Some(done);
    }

    /// Notes an engine that takes no orders.
    pub(super) fn note_gone(&self, target: &Name) {
        self.gone.all().push(target.clone());
    }
}
