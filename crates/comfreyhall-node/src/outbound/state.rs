//! What targets have announced, and what they have not answered yet.

use std::sync::{Mutex, MutexGuard};

use comfreyhall_backpressure::TargetSignals;

use super::first::FirstSends;

/// What this daemon knows of what targets announce.
#[derive(Default)]
pub(crate) struct Outbound {
    signals: Mutex<TargetSignals>,
    pub(super) first: FirstSends,
}

impl Outbound {
    pub(super) fn signals(&self) -> MutexGuard<'_, TargetSignals> {
        self.signals.lock().expect("no holder of this lock panics")
    }
}
