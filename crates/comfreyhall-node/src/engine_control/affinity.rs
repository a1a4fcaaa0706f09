//! Whether a load may come from the weight store yet.

use comfreyhall_domain::{AdapterRef, Stage};

use super::{EngineController, Job};
use crate::{adapter_key::adapter_key, outbound::UnavailableTargets};

impl EngineController {
    /// Whether a lost adapter is still to be loaded here: no engine has it or is
    /// loading it, and there is a slot whose adapter is used less.
    pub(super) fn may_recover(&self, job: &Job) -> bool {
        if self.node.controllers.is_loading(&job.adapter) {
            return false;
        }
        let victim = match self.account.occupied() < self.slots() {
            true => None,
            false => match self.choose_victim() {
                Some(victim) => Some(victim),
                None => return false,
            },
        };
        let now = self.node.now();
        let view = self.node.view();
        let score = |a: &AdapterRef| view.demand.score(&adapter_key(a), now);
        view.residency.copy_count(&job.adapter) == 0
            && victim.is_none_or(|v| score(&v) < score(&job.adapter))
    }

    /// Whether another of the engines that may serve `job` has the weights
    /// cached, and waiting for a slot there is better than a load from the
    /// store here.
    pub(super) fn may_wait_for_cached(&self, job: &Job, now: u64) -> bool {
        let cached = job.ticket.as_ref().map_or(&[][..], |t| t.cached());
        if cached.is_empty() {
            return false;
        }
        let controllers = &self.node.controllers;
        let waited_ms = now.saturating_sub(job.waiting.arrived_ms);
        let callers = controllers.callers(&job.adapter);
        let start_in_ms = job.waiting.start_in_ms();
        let limit_ms = controllers
            .store_state()
            .cached_wait_ms(start_in_ms, callers);
        // The rest of its time is left for a load from the store in this group.
        let half_ms = job.expires_at_ms.saturating_sub(job.waiting.arrived_ms) / 2;
        if waited_ms as f64 >= limit_ms.min(half_ms as f64) {
            return false;
        }
        let unavailable = UnavailableTargets::current(&self.node, now);
        let view = self.node.view();
        let usable = |id| {
            let ready = view
                .targets
                .get(id)
                .is_some_and(|t| t.stage == Stage::Ready);
            let until_ms = view.unavailable_until.get(id).copied().unwrap_or(0);
            ready && now >= until_ms && !unavailable.blocks_loads(id)
        };
        !view.is_hot(&job.adapter, now)
            && cached.iter().any(|id| *id != self.target.id && usable(id))
    }
}
