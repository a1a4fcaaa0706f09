//! Loads that never finish, and the engines to avoid for them.
//!
//! Failure case: an engine accepts a load command and never completes it (its
//! fetch hangs, or the engine lost the command), but keeps reporting the
//! adapter as loading. Every request for that adapter, on every daemon, then
//! joins the load and waits until its deadline, again and again. So a load that
//! takes far longer than its expected wait at the weight store is recorded
//! here, and placement does not consider that engine for that adapter for a
//! while.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_placement::EngineView;
use comfreyhall_protocol::Map;

/// How long an engine is avoided for an adapter after a stuck load.
const AVOID_PERIOD: Duration = Duration::from_secs(30);

/// Stuck loads, by engine index and `adapter@version`.
#[derive(Default)]
pub(crate) struct StuckLoads {
    loads: Mutex<Map<(usize, Arc<str>), Instant>>,
}

impl StuckLoads {
    fn loads(&self) -> MutexGuard<'_, Map<(usize, Arc<str>), Instant>> {
        self.loads.lock().expect("no holder of this lock panics")
    }

    /// Records that the load of `key` on `engine` is stuck.
    pub(crate) fn mark(&self, engine: usize, key: &Arc<str>) {
        let mut loads = self.loads();
        loads.retain(|_, at| at.elapsed() < AVOID_PERIOD);
        loads.insert((engine, key.clone()), Instant::now());
    }

    /// Marks the engines where `key` is stuck as down in `view`, unless it has
    /// become resident there after all.
    pub(crate) fn hide_engines(&self, key: &Arc<str>, view: &mut [EngineView]) {
        let loads = self.loads();
        if loads.is_empty() {
            return;
        }
        for (index, engine) in view.iter_mut().enumerate() {
            let marked_at = loads.get(&(index, key.clone()));
            let stuck = marked_at.is_some_and(|at| at.elapsed() < AVOID_PERIOD);
            let arrived = engine.slots.iter().any(|s| s.key == *key && !s.loading);
            if stuck && !arrived {
                engine.up = false;
            }
        }
    }
}
