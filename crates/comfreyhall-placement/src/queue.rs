//! In which order requests that wait for a place get one.
//!
//! The load answered here is a burst of rare adapters: more requests want a
//! place than places fall free, and the queue grows. Served in order of
//! arrival, every request then waits past its latency objective, and none
//! gets what it was promised. So those that can still meet their objective
//! go first, by rank and then by arrival; those that cannot any more are
//! served with what is left.

/// One request that waits for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Rank of its route; 0 first.
    pub priority: u32,
    /// When it came, in ms.
    pub arrived_ms: u64,
    /// Until when a load must begin for it to meet its objective, in ms.
    pub start_by_ms: u64,
}

impl QueuedRequest {
    /// Sorts the next to be served first.
    pub fn sort_key(&self, now: u64) -> (bool, u32, u64) {
        (now > self.start_by_ms, self.priority, self.arrived_ms)
    }
}
