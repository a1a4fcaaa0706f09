//! The requests that wait for a slot in one group of engines, and their order.
//!
//! In a burst of rare adapters, more requests need a slot than slots become
//! free, and the queue grows. Served in order of arrival, every request then
//! waits past its latency objective, and none meets it. So requests that can
//! still meet their objective go first; those that no longer can are served with
//! what is left.

use std::{cmp::Reverse, sync::Arc};

use comfreyhall_protocol::Map;

use crate::{ShareUse, SlotShare};

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
    /// Whether its caller has come back at the time that it was given.
    pub returned: bool,
}

/// Sort key of a waiting request; the lowest is served first.
pub type SortKey = (bool, u32, u32, Reverse<bool>, u64);

impl SlotWaiter {
    /// Its sort key: requests that can be in time come first, then the share
    /// that has used less, then the more urgent one, then callers that were
    /// asked to come back, then the earlier one.
    pub fn sort_key(&self, shares: &ShareUse, now: u64) -> SortKey {
        (
            now > self.start_by_ms,
            shares.level(&self.share),
            self.priority,
            Reverse(self.returned),
            self.arrived_ms,
        )
    }

    /// Its sort key for a slot of an engine that has its weights cached, or not.
    ///
    /// Of equally urgent requests, those whose weights are cached there take the
    /// slot first: they hold it for a tenth of the load, and spare the weight
    /// store a load. The others wait for another engine's slot meanwhile.
    pub fn slot_key(&self, shares: &ShareUse, cached: bool, now: u64) -> (SortKey, u64) {
        let (late, level, priority, returned, arrived_ms) = self.sort_key(shares, now);
        let uncached = u64::from(!cached);
        ((late, level, priority, returned, uncached), arrived_ms)
    }

    /// Time from its arrival within which a load must start to meet the
    /// latency objective, in ms.
    pub fn start_in_ms(&self) -> u64 {
        self.start_by_ms.saturating_sub(self.arrived_ms)
    }
}

/// The waiting requests by number.
#[derive(Debug, Default)]
pub struct WaitingList {
    waiters: Map<u64, SlotWaiter>,
    next: u64,
}

impl WaitingList {
    /// Adds a request; returns its number.
    pub fn add(&mut self, waiter: SlotWaiter) -> u64 {
        self.next += 1;
        self.waiters.insert(self.next, waiter);
        self.next
    }

    /// Removes the request with this number.
    pub fn remove(&mut self, number: u64) {
        self.waiters.remove(&number);
    }

    /// Removes all requests for `adapter`: a slot is being filled with it.
    pub fn serve(&mut self, adapter: &str) {
        self.waiters.retain(|_, w| *w.adapter != *adapter);
    }

    /// The waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &SlotWaiter> {
        self.waiters.values()
    }

    /// How many slots go to other adapters before `waiter` gets one. Requests
    /// for the same adapter need one slot together, and get it when the first
    /// of them does.
    pub fn slots_before(&self, waiter: &SlotWaiter, shares: &ShareUse, now: u64) -> usize {
        let mut first: Map<&str, SortKey> = Map::default();
        for other in self.waiters.values() {
            let key = other.sort_key(shares, now);
            let best = first.entry(&*other.adapter).or_insert(key);
            *best = key.min(*best);
        }
        let own = waiter.sort_key(shares, now);
        let own = match first.remove(&*waiter.adapter) {
            Some(key) => own.min(key),
            None => own,
        };
        first.values().filter(|key| **key < own).count()
    }
}
