//! A load that an engine controller was asked for.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_slots::{SlotShare, SlotWaiter};

use super::ticket::{Ticket, Waiter};
use crate::adapter_key::adapter_key;

/// Duration after which a load counts as stalled and is abandoned, in ms.
pub(super) const STALLED_LOAD_MS: u64 = 3_000;

/// A request to load an adapter on this engine, or on one of several.
pub(super) struct Job {
    pub(super) adapter: AdapterRef,
    /// Minimum acceptable version; 0 for any.
    pub(super) version: u64,
    pub(super) waiting: SlotWaiter,
    /// The waiting request; `None` for a prefetch.
    pub(super) ticket: Option<Arc<Ticket>>,
    /// Additional latency in ms of serving it here instead of on the best
    /// engine.
    pub(super) extra_ms: u64,
    pub(super) expires_at_ms: u64,
    /// What it last waited for.
    pub(super) wait_reason: &'static str,
}

impl Job {
    /// A load that no request waits for yet. It has the highest priority, as
    /// many requests for its adapter are expected.
    pub(super) fn prefetch(adapter: AdapterRef, version: u64, now: u64) -> Self {
        Self {
            waiting: SlotWaiter {
                share: SlotShare::priority(0),
                adapter: adapter_key(&adapter),
                priority: 0,
                arrived_ms: now,
                start_by_ms: now + STALLED_LOAD_MS,
                returned: false,
            },
            adapter,
            version,
            ticket: None,
            extra_ms: 0,
            expires_at_ms: now + STALLED_LOAD_MS,
            wait_reason: "",
        }
    }

    /// A load of an adapter that was lost with its engine. It comes after those
    /// that requests wait for.
    pub(super) fn recovery(adapter: AdapterRef, now: u64) -> Self {
        let mut job = Self::prefetch(adapter, 0, now);
        job.waiting.priority = u32::MAX;
        job
    }

    /// Whether it restores a lost adapter.
    pub(super) fn is_recovery(&self) -> bool {
        self.ticket.is_none() && self.waiting.priority == u32::MAX
    }

    /// Returns the job after recording that it waits at `target` for `why`.
    pub(super) fn wait_for(mut self, why: &'static str, target: &Name) -> Self {
        self.wait_reason = why;
        if let Some(ticket) = &self.ticket {
            ticket.set_wait_reason(target, why);
        }
        self
    }

    /// Whether it is still needed here.
    pub(super) fn is_open(&self) -> bool {
        self.ticket.as_ref().is_none_or(|t| t.is_open())
    }

    /// Whether `target` had the weights cached when it was offered.
    pub(super) fn is_cached_at(&self, target: &Name) -> bool {
        self.ticket
            .as_ref()
            .is_some_and(|t| t.cached().contains(target))
    }

    /// Withdraws the job from the other engines and returns the waiting
    /// request, if there is one.
    pub(super) fn claim(&self) -> Option<Waiter> {
        self.ticket.as_ref()?.take()
    }

    /// Offers the job to the other engines again, as this one cannot serve it.
    pub(super) fn yield_to_others(&self, waiter: Option<Waiter>) {
        if let (Some(ticket), Some(waiter)) = (&self.ticket, waiter) {
            ticket.put_back(waiter);
        }
    }
}
