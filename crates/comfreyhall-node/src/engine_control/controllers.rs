//! The engine controllers of this daemon, and the loads in progress.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering},
};

use comfreyhall_domain::{AdapterRef, Map, Name};
use comfreyhall_placement::{LoadRateLimit, LoadWindow};
use tokio::sync::mpsc;

use super::job::Job;
use crate::weights::{CallerCounts, StoreQueue, StoreState};

/// Load duration in ms assumed before any measurement: from the weight store,
/// and of an adapter that the engine has cached.
const INITIAL_LOAD_MS: [f64; 2] = [250.0, 25.0];

/// Weight of one sample in the moving average of load durations.
const LOAD_EWMA_WEIGHT: f64 = 0.1;

/// Controllers of all engines that this daemon manages.
pub(crate) struct EngineControllers {
    pub(super) jobs: Mutex<Map<Name, mpsc::Sender<Job>>>,
    /// Engines that are loading each adapter.
    pub(super) loading: Mutex<Map<AdapterRef, Vec<Name>>>,
    /// Loads from the weight store in progress.
    pub(super) store_loads: AtomicU32,
    /// Requests that wait until the weight store may load for them.
    pub(super) store_queue: StoreQueue,
    /// Requests that wait for a load of each adapter.
    pub(super) callers: CallerCounts,
    pub(super) window: Mutex<LoadWindow>,
    /// Model loads started recently.
    pub(super) model_loads: Mutex<LoadRateLimit>,
    pub(super) load_times: Mutex<[f64; 2]>,
}

impl Default for EngineControllers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            loading: Mutex::default(),
            store_loads: AtomicU32::new(0),
            store_queue: StoreQueue::default(),
            callers: CallerCounts::default(),
            window: Mutex::default(),
            model_loads: Mutex::default(),
            load_times: Mutex::new(INITIAL_LOAD_MS),
        }
    }
}

impl EngineControllers {
    pub(super) fn window(&self) -> MutexGuard<'_, LoadWindow> {
        self.window.lock().expect("no holder of this lock panics")
    }

    /// Whether the weight store has reached its number of efficient concurrent
    /// loads.
    pub(super) fn store_full(&self) -> bool {
        self.store_loads.load(Ordering::Relaxed) >= self.window().size()
    }

    /// What a load from the weight store costs now.
    pub(crate) fn store_state(&self) -> StoreState {
        StoreState {
            load_ms: self.expected_load_ms(false),
            waiting: self.store_queue.len(),
            size: self.window().size(),
        }
    }

    /// Number of requests that wait for `adapter`.
    pub(crate) fn callers(&self, adapter: &AdapterRef) -> u32 {
        self.callers.count(adapter)
    }

    /// Loads from the weight store that may start now for nobody in particular.
    pub(super) fn store_room(&self) -> usize {
        let used = self.store_loads.load(Ordering::Relaxed) + self.store_queue.len();
        self.window().size().saturating_sub(used) as usize
    }

    /// Whether a model load may start now.
    pub(super) fn model_may_load(&self, rate: f64, share: f64, now: u64) -> bool {
        let mut models = self
            .model_loads
            .lock()
            .expect("no holder of this lock panics");
        models.try_start(rate, share, now)
    }

    /// Expected duration of a load in ms.
    pub(crate) fn expected_load_ms(&self, cached: bool) -> f64 {
        let times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        times[usize::from(cached)]
    }

    pub(super) fn record_load(&self, cached: bool, load_ms: u64, now: u64) {
        if !cached {
            let full = self.store_full();
            self.window().record_load(load_ms, full, now);
        }
        let mut times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        let time = &mut times[usize::from(cached)];
        *time += LOAD_EWMA_WEIGHT * (load_ms as f64 - *time);
    }

    pub(super) fn loading(&self) -> MutexGuard<'_, Map<AdapterRef, Vec<Name>>> {
        self.loading.lock().expect("no holder of this lock panics")
    }

    /// Records that `target` is loading `adapter`.
    pub(super) fn begin_load(&self, adapter: &AdapterRef, target: &Name) {
        let mut loading = self.loading();
        let targets = loading.entry(adapter.clone()).or_default();
        if !targets.contains(target) {
            targets.push(target.clone());
        }
    }

    /// Whether any engine managed here is loading `adapter`.
    pub(super) fn is_loading(&self, adapter: &AdapterRef) -> bool {
        self.loading().contains_key(adapter)
    }

    /// Whether one of `candidates` other than `target` is loading `adapter`.
    pub(super) fn is_loading_elsewhere(
        &self,
        adapter: &AdapterRef,
        target: &Name,
        candidates: &[Name],
    ) -> bool {
        let loading = self.loading();
        let other = |t: &Name| t != target && candidates.contains(t);
        loading
            .get(adapter)
            .is_some_and(|targets| targets.iter().any(other))
    }

    /// Loads in progress, by adapter and engine.
    pub(crate) fn loads(&self) -> Vec<(AdapterRef, Name)> {
        let loading = self.loading();
        let pairs = loading
            .iter()
            .flat_map(|(adapter, targets)| targets.iter().map(|t| (adapter.clone(), t.clone())));
        pairs.collect()
    }

    /// Records that `target` is no longer loading `adapter`.
    pub(super) fn end_load(&self, adapter: &AdapterRef, target: &Name) {
        let mut loading = self.loading();
        if let Some(targets) = loading.get_mut(adapter) {
            targets.retain(|t| t != target);
            if targets.is_empty() {
                loading.remove(adapter);
            }
        }
    }

    pub(super) fn jobs(&self) -> MutexGuard<'_, Map<Name, mpsc::Sender<Job>>> {
        self.jobs.lock().expect("no holder of this lock panics")
    }
}
