//! One request that waits for a slot.

use std::sync::Arc;

use comfreyhall_slots::SlotWaiter;

use super::{
    refresh::refresh,
    state::{PoolKey, SlotCaller},
};
use crate::node::Node;

/// How long a request waits for a slot in one group of engines before it
/// chooses again, in ms, if the holder expects a slot for it: another group may
/// have one by then.
pub(super) const SLOT_WAIT_MS: u64 = 250;

/// How many times the expected wait a request must have left to wait for a slot
/// beyond its latency objective: requests that arrive meanwhile and can be in
/// time go first.
pub(super) const LATE_MARGIN: u64 = 2;

/// How many times the wait that is left the expected one may be before the
/// request is rejected: the expectation varies as runs end.
const ESTIMATE_MARGIN: f64 = 1.5;

/// What a controller waits for when all slots of its engine are in use.
const SLOT_REASON: &str = "place";

/// What it waits for when the weight store serves as many loads as it can. The
/// store is the same for all groups, so that another wait elsewhere only loses
/// the place in this one.
const STORE_REASON: &str = "weight store";

/// What it waits for when another engine of the group has the weights. Another
/// group would load them from the store.
const CACHED_REASON: &str = "cached elsewhere";

/// A request that waits for a slot; it leaves the list when this is dropped.
pub(crate) struct WaitingSlot {
    node: Arc<Node>,
    waiter: SlotWaiter,
    began_ms: u64,
    limit_ms: u64,
    /// Its entry in the list; `None` where nothing is decided by it.
    entry: Option<ListEntry>,
    outcome: &'static str,
}

/// The entry of a request in the list of a pool.
struct ListEntry {
    pool: PoolKey,
    number: u64,
    caller: SlotCaller,
}

impl WaitingSlot {
    /// A request that waits for a fixed time.
    pub(super) fn untracked(node: &Arc<Node>, waiter: SlotWaiter, limit_ms: u64) -> Self {
        Self {
            node: node.clone(),
            waiter,
            began_ms: node.now(),
            limit_ms,
            entry: None,
            outcome: "left",
        }
    }

    /// Adds the request of `caller` to the list of `pool`.
    pub(super) fn join(
        node: &Arc<Node>,
        pool: PoolKey,
        caller: SlotCaller,
        waiter: SlotWaiter,
        limit_ms: u64,
    ) -> Self {
        let now = node.now();
        let number = node.slots.join(&pool, waiter.clone(), caller.identity, now);
        let entry = ListEntry {
            pool,
            number,
            caller,
        };
        Self {
            node: node.clone(),
            waiter,
            began_ms: node.now(),
            limit_ms,
            entry: Some(entry),
            outcome: "left",
        }
    }

    pub(crate) fn waiter(&self) -> &SlotWaiter {
        &self.waiter
    }

    /// Longest wait for a load to begin, in ms.
    pub(crate) fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// Whether it is useful to wait on, while the best engine waits for `reason`;
    /// otherwise the ms after which its caller should return, if it lacks a
    /// slot.
    pub(crate) fn check(&self, node: &Node, reason: &str) -> Result<(), Option<u64>> {
        let Some(entry) = &self.entry else {
            return Ok(());
        };
        let now = node.now();
        let waited_ms = now.saturating_sub(self.began_ms);
        if [STORE_REASON, CACHED_REASON].contains(&reason) {
            return Ok(());
        }
        if reason != SLOT_REASON {
            // Another group may have what this one lacks.
            let elsewhere = entry.caller.patience_ms == 0 && waited_ms >= SLOT_WAIT_MS;
            return if elsewhere { Err(None) } else { Ok(()) };
        }
        let left_ms = self.limit_ms.saturating_sub(waited_ms);
        let late = now > self.waiter.start_by_ms;
        refresh(node, &entry.pool.0, Some(&entry.pool.1));
        let expected_ms = node.slots.expected_ms(&entry.pool, &self.waiter, now);
        let too_late = match late {
            true => LATE_MARGIN * expected_ms > left_ms,
            false => expected_ms as f64 > left_ms as f64 * ESTIMATE_MARGIN,
        };
        match too_late {
            true => Err(self.return_ms(node, reason)),
            false => Ok(()),
        }
    }

    /// Ms after which its caller should return, if it lacks a slot.
    pub(crate) fn return_ms(&self, node: &Node, reason: &str) -> Option<u64> {
        let entry = self.entry.as_ref().filter(|_| reason == SLOT_REASON)?;
        let now = node.now();
        let expected_ms = node.slots.expected_ms(&entry.pool, &self.waiter, now);
        if entry.caller.patience_ms == 0 {
            return Some(expected_ms.max(1));
        }
        let return_ms =
            node.slots
                .promise(&entry.pool, entry.caller, &self.waiter, expected_ms, now);
        Some(return_ms.max(1))
    }

    /// Ends the wait, with a slot or without one.
    pub(crate) fn finish(mut self, served: bool) {
        self.outcome = if served { "served" } else { "expired" };
    }
}

impl Drop for WaitingSlot {
    fn drop(&mut self) {
        if let Some(entry) = &self.entry {
            let waited_ms = self.node.now().saturating_sub(self.began_ms);
            self.node.slots.leave(&entry.pool, entry.number);
            self.node.metrics.slot_wait(self.outcome, waited_ms);
        }
    }
}
