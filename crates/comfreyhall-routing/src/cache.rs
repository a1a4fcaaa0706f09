//! Which weights engines have cached beside the adapters in their slots.
//!
//! An engine keeps the weights of the adapters that it loaded last. It
//! publishes neither which these are nor how many. Both follow from its loads:
//! their order shows how many others it has loaded since, and their durations
//! show up to how many it still had the weights.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
};

use comfreyhall_domain::AdapterRef;
use rustc_hash::FxHasher;

/// Loads of an engine that are kept. An engine that keeps more is used as
/// if it kept this many.
const MAX_TRACKED: usize = 128;

/// Loads that may contradict a depth before it shrinks: a late command or a
/// repeated one makes single loads of cached weights slow.
const TOLERANCE: f64 = 2.0;

/// Number of loads after which the older ones count half.
const MAX_SAMPLES: f64 = 512.0;

/// Duration in ms of a load from the weight store, before any was seen.
const INITIAL_STORE_MS: f64 = 250.0;

/// Share of the duration of a load from the store below which weights were
/// cached. Engines load cached weights several times as fast.
const CACHED_SHARE: f64 = 0.5;

/// Steps of the tracked duration: it settles where one load in four is faster,
/// so that a busy store does not move it far.
const STEPS: [f64; 2] = [0.06, 0.02];

/// Short id of an adapter in the load order of an engine. Two adapters with the
/// same id cost one wrong estimate.
pub fn cache_id(adapter: &AdapterRef) -> u32 {
    let mut hash = FxHasher::default();
    (&*adapter.model, adapter.adapter.as_deref()).hash(&mut hash);
    (hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32
}

/// The adapters that an engine has loaded, in order.
#[derive(Debug, Default, Clone)]
pub struct LoadOrder {
    /// Ids of different adapters, the last loaded at the end.
    ids: VecDeque<u32>,
}

impl LoadOrder {
    /// Records that `id` was loaded.
    pub fn push(&mut self, id: u32) {
        self.ids.retain(|other| *other != id);
        self.ids.push_back(id);
        if self.ids.len() > MAX_TRACKED {
            self.ids.pop_front();
        }
    }

    /// Number of other adapters loaded since `id` was.
    pub fn age(&self, id: u32) -> Option<usize> {
        self.ids.iter().rev().position(|other| *other == id)
    }

    /// Puts what a peer knows before what is known here, unless the peer knows
    /// less.
    pub fn merge(&mut self, earlier: &[u32]) {
        if earlier.len() <= self.ids.len() {
            return;
        }
        let newer = std::mem::take(&mut self.ids);
        for id in earlier.iter().copied().chain(newer) {
            self.push(id);
        }
    }

    /// The last `count` ids, the last loaded at the end.
    pub fn last(&self, count: usize) -> Vec<u32> {
        let skipped = self.ids.len().saturating_sub(count);
        self.ids.iter().skip(skipped).copied().collect()
    }
}

/// How many of the adapters loaded last the engines of a model still have
/// cached.
#[derive(Debug, Clone)]
pub struct CacheDepth {
    /// Fast and slow loads by the number of others loaded since.
    samples: [[f64; 2]; MAX_TRACKED],
    /// Typical duration of an unhindered load from the store.
    store_ms: f64,
    /// Loads from the store seen.
    store_loads: u32,
    depth: usize,
}

impl Default for CacheDepth {
    fn default() -> Self {
        Self {
            samples: [[0.0; 2]; MAX_TRACKED],
            store_ms: INITIAL_STORE_MS,
            store_loads: 0,
            // A wrong guess costs the load that was due anyway, and corrects
            // itself.
            depth: MAX_TRACKED,
        }
    }
}

impl CacheDepth {
    /// Whether a load of this duration used cached weights.
    pub fn was_cached(&self, load_ms: u64) -> bool {
        (load_ms as f64) < self.store_ms * CACHED_SHARE
    }

    /// Records a load of an adapter that the engine loaded last `age` others
    /// ago; `None` if it never had it.
    pub fn record(&mut self, age: Option<usize>, load_ms: u64) {
        let Some(age) = age.filter(|a| *a < MAX_TRACKED) else {
            self.record_store(load_ms as f64);
            return;
        };
        self.samples[age][usize::from(!self.was_cached(load_ms))] += 1.0;
        if self.samples.iter().flatten().sum::<f64>() > MAX_SAMPLES {
            for count in self.samples.iter_mut().flatten() {
                *count /= 2.0;
            }
        }
        self.depth = self.best_depth();
    }

    /// Number of adapters, including those in slots, that an engine has at
    /// hand.
    pub fn depth(&self) -> usize {
        self.depth
    }

    fn record_store(&mut self, load_ms: f64) {
        self.store_loads = self.store_loads.saturating_add(1);
        let first = 1.0 / f64::from(self.store_loads);
        self.store_ms = match load_ms < self.store_ms {
            true => (self.store_ms * (1.0 - STEPS[0].max(first / 2.0))).max(load_ms),
            false => (self.store_ms * (1.0 + STEPS[1].max(first))).min(load_ms),
        };
    }

    /// The largest depth that contradicts hardly more loads than the best one.
    fn best_depth(&self) -> usize {
        let fast: f64 = self.samples.iter().map(|s| s[0]).sum();
        let mut wrong = vec![fast];
        for [fast, slow] in self.samples {
            wrong.push(wrong[wrong.len() - 1] - fast + slow);
        }
        let least = wrong.iter().copied().fold(f64::INFINITY, f64::min);
        let fits = |w: &f64| *w <= least + TOLERANCE;
        wrong.iter().rposition(fits).unwrap_or(MAX_TRACKED)
    }
}

#[cfg(test)]
mod tests;
