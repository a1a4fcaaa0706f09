//! A placement request shared by several engines; the first one that can serve
//! it does.
//!
//! Bound to a single engine, a request waits for a slot there while slots
//! become free on other engines, is rejected after a while and waits at the
//! next one. With all slots in use one becomes free about every 20 ms over nine
//! engines, but only every 200 ms on one of them.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use comfreyhall_domain::Name;
use tokio::sync::oneshot;

use crate::weights::{StoreQueue, StoreWait};

/// Where an adapter is loaded.
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
    /// Engines that take no commands: they have ended, or another boot is
    /// running.
    pub(crate) refusing: Vec<Name>,
    /// Ms after which a slot is expected for it, if that was what it lacked.
    pub(crate) return_ms: Option<u64>,
}

impl From<&str> for PlacementError {
    fn from(why: &str) -> Self {
        PlacementError {
            why: why.to_string(),
            refusing: Vec::new(),
            return_ms: None,
        }
    }
}

/// Channel to the request that waits for an adapter.
pub(super) type Waiter = oneshot::Sender<Result<Placed, PlacementError>>;

/// Engines found to take no commands. It outlives the ticket, so that the
/// request learns of them even after all controllers have dropped it.
#[derive(Clone, Default)]
pub(super) struct RefusingEngines(Arc<Mutex<Vec<Name>>>);

impl RefusingEngines {
    fn engines(&self) -> MutexGuard<'_, Vec<Name>> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Returns the engines recorded so far.
    pub(super) fn snapshot(&self) -> Vec<Name> {
        self.engines().clone()
    }
}

/// A placement request shared by the controllers of all candidate engines.
pub(super) struct Ticket {
    waiter: Mutex<Option<Waiter>>,
    /// Engines that may serve it.
    candidates: Vec<Name>,
    /// Those of them that have the weights cached.
    cached: Vec<Name>,
    refusing: RefusingEngines,
    /// What the first candidate last waited for.
    wait_reason: Mutex<&'static str>,
    /// Set once it has waited for the weight store.
    store_wait: OnceLock<StoreWait>,
}

impl Ticket {
    /// Creates a ticket for `waiter` that `engines` may serve; those that take no
    /// commands are recorded in `refusing`.
    pub(super) fn new(waiter: Waiter, engines: Vec<Name>, refusing: RefusingEngines) -> Self {
        Self {
            waiter: Mutex::new(Some(waiter)),
            candidates: engines,
            cached: Vec::new(),
            refusing,
            wait_reason: Mutex::new(""),
            store_wait: OnceLock::new(),
        }
    }

    /// Names the engines that have the weights cached.
    pub(super) fn with_cached(mut self, cached: Vec<Name>) -> Self {
        self.cached = cached;
        self
    }

    /// Engines that may serve it and have the weights cached.
    pub(super) fn cached(&self) -> &[Name] {
        &self.cached
    }

    /// Counts the request among those that wait for the weight store, until it
    /// is served or given up.
    pub(super) fn wait_for_store(&self, queue: &StoreQueue) {
        self.store_wait.get_or_init(|| queue.enter());
    }

    /// Records what `target` waits for before it can serve the request.
    pub(super) fn set_wait_reason(&self, target: &Name, why: &'static str) {
        if self.candidates.first() == Some(target) {
            *self
                .wait_reason
                .lock()
                .expect("no holder of this lock panics") = why;
        }
    }

    /// Returns what the first candidate last waited for.
    pub(super) fn wait_reason(&self) -> &'static str {
        *self
            .wait_reason
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Engines that may serve it.
    pub(super) fn candidates(&self) -> &[Name] {
        &self.candidates
    }

    fn waiter(&self) -> MutexGuard<'_, Option<Waiter>> {
        self.waiter.lock().expect("no holder of this lock panics")
    }

    /// Whether the request still waits and no engine has claimed it.
    pub(super) fn is_open(&self) -> bool {
        self.waiter().as_ref().is_some_and(|d| !d.is_closed())
    }

    /// Claims the request; no other engine gets it any more.
    pub(super) fn take(&self) -> Option<Waiter> {
        self.waiter().take()
    }

    /// Offers the request to the other engines again.
    pub(super) fn put_back(&self, waiter: Waiter) {
        *self.waiter() = Some(waiter);
    }

    /// Records an engine that takes no commands.
    pub(super) fn record_refusal(&self, target: &Name) {
        self.refusing.engines().push(target.clone());
    }
}
