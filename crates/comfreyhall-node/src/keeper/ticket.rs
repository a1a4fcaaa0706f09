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
pub(super) type Waiter = oneshot::Sender<Result<Placed, PlacementError>>;

/// Engines that took no orders, as keepers noted. It outlives the ticket: when
/// all keepers have let go of a wish, its asker still learns of them.
#[derive(Clone, Default)]
pub(super) struct GoneEngines(Arc<Mutex<Vec<Name>>>);

impl GoneEngines {
    fn engines(&self) -> MutexGuard<'_, Vec<Name>> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// What was noted so far.
    pub(super) fn snapshot(&self) -> Vec<Name> {
        self.engines().clone()
    }
}

/// A wish, shared by the keepers of all engines that may fulfil it.
pub(super) struct Ticket {
    waiter: Mutex<Option<Waiter>>,
    /// Engines that may fulfil it.
    candidates: Vec<Name>,
    gone: GoneEngines,
    /// What the first of them last waited for.
    wait_reason: Mutex<&'static str>,
}

impl Ticket {
    /// A wish of `done` that the engines `among` may fulfil; those that are
    /// found to be gone are noted in `gone`.
    pub(super) fn new(done: Waiter, among: Vec<Name>, gone: GoneEngines) -> Self {
        Self {
            waiter: Mutex::new(Some(done)),
            candidates: among,
            gone,
            wait_reason: Mutex::new(""),
        }
    }

    /// Notes what `target` waits for before it can fulfil it.
    pub(super) fn set_wait_reason(&self, target: &Name, why: &'static str) {
        if self.candidates.first() == Some(target) {
            *self
                .wait_reason
                .lock()
                .expect("no holder of this lock panics") = why;
        }
    }

    /// What the first engine last waited for.
    pub(super) fn wait_reason(&self) -> &'static str {
        *self
            .wait_reason
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Engines that may fulfil it.
    pub(super) fn candidates(&self) -> &[Name] {
        &self.candidates
    }

    fn waiter(&self) -> MutexGuard<'_, Option<Waiter>> {
        self.waiter.lock().expect("no holder of this lock panics")
    }

    /// Whether somebody waits and no engine fulfils it yet.
    pub(super) fn is_open(&self) -> bool {
        self.waiter().as_ref().is_some_and(|d| !d.is_closed())
    }

    /// Who waits; nobody else gets it any more.
    pub(super) fn take(&self) -> Option<Waiter> {
        self.waiter().take()
    }

    /// Offers the wish to the other engines again.
    pub(super) fn put_back(&self, done: Waiter) {
        *self.waiter() = Some(done);
    }

    /// Notes an engine that takes no orders.
    pub(super) fn note_gone(&self, target: &Name) {
        self.gone.engines().push(target.clone());
    }
}
