//! Slot time by share, and the order in which waiting requests are served.

use std::sync::Arc;

use comfreyhall_protocol::Map;

use crate::SlotShare;

/// Half-life of the slot time that a share has used, in ms.
const HALF_LIFE_MS: f64 = 2_000.0;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotWaiter {
    /// Whose share it uses.
    pub share: SlotShare,
    /// `model/adapter` that it needs.
    pub adapter: Arc<str>,
    /// Priority of its route; 0 is served first.
    pub priority: u32,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When a load must start at the latest to meet the latency objective.
    pub start_by_ms: u64,
}

/// Slot time that decays.
#[derive(Debug, Clone, Copy, Default)]
struct SlotTime {
    used_ms: f64,
    at_ms: u64,
}

impl SlotTime {
    fn at(self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at_ms) as f64;
        self.used_ms * (-age / HALF_LIFE_MS).exp2()
    }
}

/// Slot time used lately in one group of engines, by share.
#[derive(Debug, Default)]
pub struct SlotLedger {
    used: Map<SlotShare, SlotTime>,
}

impl SlotLedger {
    /// Adds `slot_ms` of slot time that `share` has used.
    pub fn add_use(&mut self, share: &SlotShare, slot_ms: f64, now: u64) {
        let used = self.used.entry(share.clone()).or_default();
        *used = SlotTime {
            used_ms: used.at(now) + slot_ms,
            at_ms: now,
        };
    }

    /// Slot time that `share` has used lately, in ms.
    pub fn used_ms(&self, share: &SlotShare, now: u64) -> f64 {
        self.used.get(share).map_or(0.0, |u| u.at(now))
    }

    /// Sort key of a waiting request; the lowest is served first.
    pub fn sort_key(&self, waiter: &SlotWaiter, now: u64) -> (bool, u32, u64) {
        let late = now > waiter.start_by_ms;
        (late, waiter.priority, waiter.arrived_ms)
    }
}
