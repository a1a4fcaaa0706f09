//! The daemon's view of the engines, as policies read it.

use std::sync::Arc;

/// One adapter slot of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotView {
    /// `adapter@version` held in the slot.
    pub key: Arc<str>,
    /// Requests using the slot now; a pinned slot is never a victim.
    pub pins: u32,
    /// Whether the weights are still arriving.
    pub loading: bool,
}

impl SlotView {
    /// Whether the slot may be named as a victim.
    pub fn evictable(&self) -> bool {
        self.pins == 0 && !self.loading
    }
}

/// One engine as last polled.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Engine id from the settings.
    pub id: Arc<str>,
    /// Occupied slots.
    pub slots: Vec<SlotView>,
    /// Number of slots in all.
    pub capacity: u32,
    /// Requests queued or running.
    pub requests: u32,
    /// Sequences per batch step.
    pub batch_width: u32,
    /// Whether the last poll answered.
    pub up: bool,
}

impl EngineView {
    /// Whether the engine holds `key` (loaded or loading).
    pub fn holds(&self, key: &str) -> bool {
        self.slots.iter().any(|s| &*s.key == key)
    }

    /// Whether weights are on their way to the engine.
    pub fn loading(&self) -> bool {
        self.slots.iter().any(|s| s.loading)
    }

    /// Whether a slot is empty.
    pub fn has_free(&self) -> bool {
        (self.slots.len() as u32) < self.capacity
    }

    /// Whether more requests would only queue.
    pub fn saturated(&self) -> bool {
        self.requests >= self.batch_width
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Run on the engine at this index; it holds the adapter.
    Run {
        /// Index into the view.
        engine: usize,
    },
    /// Load the adapter on the engine at this index first.
    Load {
        /// Index into the view.
        engine: usize,
        /// Slots to evict if none is free, most preferred first.
        victims: Vec<Arc<str>>,
    },
    /// Run on `engine`, and copy the adapter to `copy` in the background.
    ///
    /// The request never waits for the copy: a copy costs a weight-store
    /// load, and making the request wait for it stalled requests that the
    /// saturated engine would have served sooner.
    RunAndCopy {
        /// Index of the engine that runs the request.
        engine: usize,
        /// Index of the engine that gets the copy.
        copy: usize,
        /// Slots to evict there, most preferred first.
        victims: Vec<Arc<str>>,
    },
    /// No engine can take it now: every slot is pinned or no engine is up.
    Busy,
}
