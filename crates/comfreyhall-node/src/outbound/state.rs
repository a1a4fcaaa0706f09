//! What targets have announced.

use std::sync::{Mutex, MutexGuard};

use comfreyhall_backpressure::TargetSignals;

/// What this daemon knows of what targets announce.
#[derive(Default)]
pub(crate) struct Outbound {
    signals: Mutex<TargetSignals>,
}

impl Outbound {
    pub(super) fn signals(&self) -> MutexGuard<'_, TargetSignals> {
        self.signals.lock().expect("no holder of this lock panics")
    }
}
