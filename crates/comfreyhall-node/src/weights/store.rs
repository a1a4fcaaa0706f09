//! What a load from the weight store costs, and when a caller rather waits for
//! an engine that has the weights.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering},
};

use comfreyhall_domain::{AdapterRef, Map};

/// The weight store, as one lease holder sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StoreState {
    /// Expected duration of a load in ms.
    pub(crate) load_ms: f64,
    /// Requests that wait until the store may load for them.
    pub(crate) waiting: u32,
    /// Loads at once that the store serves at full speed.
    pub(crate) size: u32,
}

impl StoreState {
    /// Expected wait in ms before a load may start.
    pub(crate) fn wait_ms(&self) -> f64 {
        self.load_ms * f64::from(self.waiting) / f64::from(self.size.max(1))
    }

    /// What one more load costs callers, in ms: its duration, its wait, and the
    /// same wait once more for those behind it, each of which it delays by its
    /// share of the store.
    pub(crate) fn cost_ms(&self) -> f64 {
        self.load_ms + 2.0 * self.wait_ms()
    }

    /// How long a request may wait in ms, from its arrival, for an engine that
    /// has the weights, where a load must start within `start_in_ms` of its
    /// arrival to be on time and `callers` wait for the same adapter.
    ///
    /// All of these wait for what one load would cost, so that an adapter in
    /// demand gets a copy soon. None waits past the moment from which a load
    /// from the store would make it late.
    pub(crate) fn cached_wait_ms(&self, start_in_ms: u64, callers: u32) -> f64 {
        let worth_ms = self.cost_ms() / f64::from(callers.max(1));
        worth_ms.min(start_in_ms as f64 - self.wait_ms())
    }
}

/// Counts the requests that wait for the weight store.
#[derive(Debug, Default)]
pub(crate) struct StoreQueue(Arc<AtomicU32>);

impl StoreQueue {
    /// Number of requests that wait.
    pub(crate) fn len(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more until the guard drops.
    pub(crate) fn enter(&self) -> StoreWait {
        self.0.fetch_add(1, Ordering::Relaxed);
        StoreWait(self.0.clone())
    }
}

/// A request that waits for the weight store.
#[derive(Debug)]
pub(crate) struct StoreWait(Arc<AtomicU32>);

impl Drop for StoreWait {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Requests that wait for a load of each adapter.
#[derive(Debug, Default, Clone)]
pub(crate) struct CallerCounts(Arc<Mutex<Map<AdapterRef, u32>>>);

impl CallerCounts {
    fn counts(&self) -> MutexGuard<'_, Map<AdapterRef, u32>> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Number of requests that wait for `adapter`.
    pub(crate) fn count(&self, adapter: &AdapterRef) -> u32 {
        self.counts().get(adapter).copied().unwrap_or(0)
    }

    /// Counts one more until the guard drops.
    pub(crate) fn enter(&self, adapter: &AdapterRef) -> CallerGuard {
        *self.counts().entry(adapter.clone()).or_default() += 1;
        CallerGuard {
            callers: self.clone(),
            adapter: adapter.clone(),
        }
    }
}

/// A request that waits for a load.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    callers: CallerCounts,
    adapter: AdapterRef,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let mut counts = self.callers.counts();
        if let Some(count) = counts.get_mut(&self.adapter) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.adapter);
            }
        }
    }
}
