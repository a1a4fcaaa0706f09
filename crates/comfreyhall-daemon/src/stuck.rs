//! Loads that never came to an end, and the engines to avoid for them.
//!
//! What can go wrong: an engine accepts a load order and never finishes it
//! (its fetch hangs, or the order got lost inside it), but reports the
//! adapter as loading. Every request for that adapter then joins the load,
//! on every daemon, and waits until its deadline, again and again. So a load
//! that takes far longer than its turn at the weight store is noted here,
//! and placement does not see that engine for that adapter for a while.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_placement::EngineView;
use comfreyhall_protocol::Map;

/// How long an engine is avoided for an adapter.
const AVOID: Duration = Duration::from_secs(30);

/// Stuck loads by engine index and `adapter@version`.
#[derive(Default)]
pub(crate) struct Stuck {
    loads: Mutex<Map<(usize, Arc<str>), Instant>>,
}

impl Stuck {
    fn loads(&self) -> MutexGuard<'_, Map<(usize, Arc<str>), Instant>> {
        self.loads.lock().expect("no holder of this lock panics")
    }

    /// Notes that the load of `key` on `engine` is stuck.
    pub(crate) fn note(&self, engine: usize, key: &Arc<str>) {
        let mut loads = self.loads();
        loads.retain(|_, at| at.elapsed() < AVOID);
        loads.insert((engine, key.clone()), Instant::now());
    }

    /// Hides the engines where `key` is stuck from `view`, unless it got
    /// there after all.
    pub(crate) fn hide(&self, key: &Arc<str>, view: &mut [EngineView]) {
        let loads = self.loads();
        if loads.is_empty() {
            return;
        }
        for (i, engine) in view.iter_mut().enumerate() {
            let noted = loads.get(&(i, key.clone()));
            let stuck = noted.is_some_and(|at| at.elapsed() < AVOID);
            let arrived = engine.slots.iter().any(|s| s.key == *key && !s.loading);
            if stuck && !arrived {
                engine.up = false;
            }
        }
    }
}
