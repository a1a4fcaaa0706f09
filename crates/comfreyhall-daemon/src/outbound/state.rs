//! Notices that this daemon keeps of its targets.

use std::sync::{Mutex, MutexGuard};

use comfreyhall_backpressure::{LimitShares, TargetSignals};

/// A target that this daemon calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// The engine with this index.
    Engine(usize),
    /// The plain service with this index.
    Service(usize),
}

/// Notices received from targets.
#[derive(Default)]
pub(crate) struct Outbound {
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) signals: TargetSignals,
    pub(super) shares: LimitShares,
}

impl Outbound {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}
