//! Evidence against features of requests, and runs whose end is not resolved.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_quarantine::{Feature, Fingerprint, Quarantine};
use tokio::sync::Notify;

/// Evidence on this daemon about what ends targets.
pub(crate) struct QuarantineTracker {
    state: Mutex<State>,
    /// Whether there is no evidence, to be read without the lock.
    empty: AtomicBool,
    /// Whether requests need not wait for what other daemons have stored.
    loaded: AtomicBool,
    /// Notifies requests that wait until it is.
    pub(super) loading: Notify,
    /// Notifies the task that stores evidence.
    pub(super) stored_changed: Notify,
    /// Notifies the task that sends to the other daemons.
    pub(super) found: Notify,
    /// Notifies requests that wait to learn whether their target has ended.
    pub(super) resolved: Notify,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) known: Quarantine,
    /// Features of the runs whose connections these targets closed.
    pub(super) closed_runs: Map<Name, Map<Fingerprint, ClosedRun>>,
    /// Targets that have ended, and when that was found.
    pub(super) ended_targets: Map<Name, u64>,
    /// Features with a trial in progress here.
    pub(super) trials: Set<Fingerprint>,
    /// Features of which this daemon has observed something that may have to be
    /// stored.
    pub(super) to_store: Set<Fingerprint>,
}

/// A run whose connection its target closed.
#[derive(Clone, Copy)]
pub(super) struct ClosedRun {
    /// One feature of the run.
    pub(super) feature: Feature,
    /// When it was closed, in ms.
    pub(super) at: u64,
    /// Whether the target had just started the run.
    pub(super) early: bool,
}

impl QuarantineTracker {
    /// One without evidence. `bounded`: ends that many targets share count less.
    pub(crate) fn new(bounded: bool) -> Self {
        let known = match bounded {
            true => Quarantine::default(),
            false => Quarantine::unbounded(),
        };
        let state = State {
            known,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            empty: AtomicBool::new(true),
            loaded: AtomicBool::new(false),
            loading: Notify::new(),
            stored_changed: Notify::new(),
            found: Notify::new(),
            resolved: Notify::new(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether there is no evidence against anything; no request needs a fingerprint
    /// then.
    pub(crate) fn is_empty(&self) -> bool {
        self.empty.load(Ordering::Relaxed)
    }

    /// Updates [`Self::is_empty`] from `state`.
    pub(super) fn update_empty(&self, state: &State) {
        self.empty.store(state.known.is_empty(), Ordering::Relaxed);
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Lets requests go that wait for what other daemons have stored.
    pub(super) fn mark_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
        self.loading.notify_waiters();
    }

    /// Has the evidence on `feature` stored, if there is enough of it.
    pub(super) fn mark_changed(&self, feature: Feature) {
        let mut state = self.state();
        state.to_store.insert(feature.fingerprint);
        drop(state);
        self.stored_changed.notify_one();
    }

    /// Whether a target ended while running something with `fingerprint`.
    pub(crate) fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.state().known.is_suspect(fingerprint)
    }
}
