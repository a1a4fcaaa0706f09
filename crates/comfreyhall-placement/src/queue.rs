//! The order in which queued requests get a slot.
//!
//! In a burst of rare adapters, more requests need a slot than slots become
//! free, and the queue grows. Served in order of arrival, every request then
//! waits past its latency objective, and none meets it. So requests that can
//! still meet their objective go first, by priority and then by arrival; those
//! that no longer can are served with what is left.

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Priority of its route; 0 is served first.
    pub priority: u32,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When a load must start at the latest to meet the latency objective.
    pub start_by_ms: u64,
}

impl QueuedRequest {
    /// Time from its arrival within which a load must start to meet the
    /// latency objective.
    pub fn start_in_ms(&self) -> u64 {
        self.start_by_ms.saturating_sub(self.arrived_ms)
    }

    /// Sort key; the lowest is served first.
    pub fn sort_key(&self, now: u64) -> (bool, u32, u64) {
        (now > self.start_by_ms, self.priority, self.arrived_ms)
    }

    /// Sort key for a slot of an engine that has its weights cached, or not.
    ///
    /// Of equally urgent requests, those whose weights are cached there take the
    /// slot first: they hold it for a tenth of the load, and spare the weight
    /// store a load. The others wait for another engine's slot meanwhile.
    pub fn slot_key(&self, cached: bool, now: u64) -> (bool, u32, bool, u64) {
        let (late, priority, arrived_ms) = self.sort_key(now);
        (late, priority, !cached, arrived_ms)
    }
}

#[cfg(test)]
mod tests;
