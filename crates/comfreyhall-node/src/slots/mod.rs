//! Scarce adapter slots at the lease holder of a group.
//!
//! The decisions are in `comfreyhall-slots`; this module feeds them what the
//! holder sees of runs and waiting requests.

mod refresh;
pub(crate) mod state;
pub(crate) mod waiting;

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_slots::{ShareUse, SlotWaiter};

use self::{
    state::SlotCaller,
    waiting::{LATE_MARGIN, SLOT_WAIT_MS, WaitingSlot},
};
use crate::{adapter_key::adapter_key, bind::params::BindParams, node::Node};

/// Expected wait for a slot where all are in use, in ms: a request holds its
/// slot for about a second, and several of them end in that time.
pub(crate) const FULL_ENGINE_WAIT_MS: f64 = 250.0;

/// Whether a request may wait for a slot.
pub(crate) enum SlotDecision {
    /// It waits.
    Wait(Box<WaitingSlot>),
    /// No slot becomes free for it in time.
    Reject {
        /// Ms after which one is expected for it.
        return_ms: u64,
    },
}

impl SlotCaller {
    fn of(params: &BindParams) -> Self {
        Self {
            identity: params.identity,
            remaining_ms: params.remaining_ms,
            patience_ms: params.patience_ms,
        }
    }
}

/// Decides whether the request of `params` may wait for a slot for `adapter` in
/// its group. `first_event_ms` is what the load and the prompt take, as
/// estimated by the choice of the engine.
///
/// A first question is answered at once unless a slot is due about as soon as
/// another group could have loaded the adapter from the weight store. A request
/// that no other group serves sooner waits if it can still be in time, or if
/// slots are free long before its own time is up.
pub(crate) fn decide(
    node: &Arc<Node>,
    params: &BindParams,
    adapter: &AdapterRef,
    first_event_ms: u64,
) -> SlotDecision {
    let now = node.now();
    let left_ms = params.objective_ms.saturating_sub(params.elapsed_ms);
    let mut waiter = SlotWaiter {
        share: params.share.clone(),
        adapter: adapter_key(adapter),
        priority: u32::from(params.priority),
        arrived_ms: now,
        start_by_ms: now + left_ms.saturating_sub(first_event_ms),
        returned: false,
    };
    if !node.policies().fair_slots {
        let limit_ms = params.limit_ms().min(SLOT_WAIT_MS);
        return SlotDecision::Wait(Box::new(WaitingSlot::untracked(node, waiter, limit_ms)));
    }
    // A request that other groups asked to wait keeps its age.
    waiter.arrived_ms = now.saturating_sub(params.elapsed_ms);
    let pool = (params.group.clone(), adapter.model.clone());
    let caller = SlotCaller::of(params);
    refresh::refresh(node, &params.group, Some(&adapter.model));
    waiter.returned = node.slots.is_due(&pool, params.identity, now);
    let expected_ms = node.slots.expected_ms(&pool, &waiter, now);
    if expected_ms > 0 {
        // The choice has counted a wait for a full engine.
        let own_ms = first_event_ms.saturating_sub(FULL_ENGINE_WAIT_MS as u64);
        waiter.start_by_ms = now + left_ms.saturating_sub(own_ms);
    }
    let in_time_ms = waiter.start_by_ms - now;
    let soon_ms = (node.controllers.expected_load_ms(false) as u64).max(SLOT_WAIT_MS);
    let late = params.patience_ms >= LATE_MARGIN * expected_ms;
    let limit_ms = match params.patience_ms {
        0 if expected_ms <= soon_ms => in_time_ms.max(SLOT_WAIT_MS),
        0 => {
            return SlotDecision::Reject {
                return_ms: expected_ms,
            };
        }
        _ if expected_ms <= in_time_ms => in_time_ms.max(SLOT_WAIT_MS),
        patience_ms if late => patience_ms,
        _ => {
            let return_ms = node.slots.promise(&pool, caller, &waiter, expected_ms, now);
            log_rejected(node, params, expected_ms, return_ms);
            node.metrics.slot_wait("rejected", 0);
            return SlotDecision::Reject { return_ms };
        }
    };
    let limit_ms = limit_ms.min(params.limit_ms());
    SlotDecision::Wait(Box::new(WaitingSlot::join(
        node, pool, caller, waiter, limit_ms,
    )))
}

/// Says why a request got no slot, for some of them.
fn log_rejected(node: &Node, params: &BindParams, expected_ms: u64, return_ms: u64) {
    let now = node.now();
    let Some(left_out) = node.log_limits.no_slot.take(now) else {
        return;
    };
    let shares = share_use(node, &params.group);
    let used: f64 = shares.iter().map(|(_, used)| used).sum();
    let part = shares.used_ms(&params.share) / used.max(1.0);
    let waiting = node.slots.waiting(&params.group);
    let (free, in_use) = node.slots.slots(&params.group);
    log::info!(target: "slots", group:% = params.group, share:% = params.share, share_used:% = format!("{part:.2}"), shares = shares.iter().count(), waiting, expected = expected_ms, comes_back = return_ms, free, in_use, left_out; "no slot in time");
}

/// The slot time of all shares in `group`, for the order of waiting requests.
pub(crate) fn share_use(node: &Node, group: &Name) -> Arc<ShareUse> {
    if !node.policies().fair_slots {
        return Arc::default();
    }
    refresh::refresh(node, group, None);
    node.slots.share_use(group)
}

/// Records that a slot of `group` is being filled with `adapter`.
pub(crate) fn record_grant(node: &Node, group: &Name, adapter: &AdapterRef) {
    let pool = (group.clone(), adapter.model.clone());
    let key = adapter_key(adapter);
    node.slots.record_grant(&pool, &key, node.now());
}
