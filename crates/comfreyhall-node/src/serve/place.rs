//! Binding a request to an engine before it is sent.

use std::time::Duration;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_routing::Presence;

use super::{
    ActiveRequest,
    request::{RECHECK_MS, UNREACHABLE_MS},
};
use crate::{
    active_send::RunHandle,
    adapter_key::adapter_key,
    bind::{self, BindError, BindParams, Binding},
    choose::Plan,
};

/// Part of a caller's total time that may pass in a wait for a slot that the
/// holder expects in time. A caller rejected after that has no time for another
/// try.
const SLOT_WAIT_SHARE: f64 = 0.4;

/// Result of binding a request.
pub(super) enum BindOutcome {
    /// The plan has an engine that can take the request.
    Engine,
    /// No engine of that group can take it now; other groups may.
    None,
    /// Its wait there would be too long, in ms.
    TooLong(u64),
    /// No slot becomes free there in time.
    NoSlot {
        /// Ms after which one is expected for it.
        return_ms: u64,
    },
}

impl ActiveRequest {
    /// Whether the target still takes work.
    ///
    /// Checked right before the send: a request may wait seconds for its adapter,
    /// and its target may start draining meanwhile; the request would arrive
    /// after the bound for new work at draining targets.
    pub(super) fn target_still_accepts(&self, plan: &Plan) -> bool {
        let now = self.node.now();
        let software = self.software_rule();
        let view = self.node.view();
        let known = view.targets.get(&plan.target.id);
        known.is_some_and(|t| software.allows(&t.software) && view.accepts(t, &self.service, now))
    }

    /// Lets the lease holder of the planned group choose the engine, which
    /// becomes the plan's target.
    pub(super) async fn bind(&mut self, plan: &mut Plan) -> BindOutcome {
        let Some(adapter) = self
            .client_request
            .adapter
            .clone()
            .filter(|_| self.engine.is_some())
        else {
            return BindOutcome::Engine;
        };
        if !self.node.policies().binding && !plan.needs_load {
            return BindOutcome::Engine;
        }
        let began = self.node.now();
        let run = self.node.fleet.next_run_id();
        let mut result = bind::bind(&self.node, self.bind_params(plan, run, plan.needs_load)).await;
        if result == Err(BindError::LoadRequired) {
            result = bind::bind(&self.node, self.bind_params(plan, run, true)).await;
        }
        let wait_ms = self.node.now() - began;
        if plan.needs_load {
            self.load_wait_ms += wait_ms;
            self.node.metrics.load_stall(wait_ms);
        }
        match result {
            Ok(binding) => self.apply_binding(plan, &adapter, run, binding, wait_ms),
            // The holder is skipped from now on; a send that needs no load can do
            // without it.
            Err(BindError::NoAnswer) if !plan.needs_load => BindOutcome::Engine,
            Err(BindError::NoSlot { return_ms }) => {
                self.exclude_group(&plan.target.failure_domain);
                BindOutcome::NoSlot { return_ms }
            }
            Err(BindError::TooLong(ms)) => {
                self.exclude_group(&plan.target.failure_domain);
                BindOutcome::TooLong(ms)
            }
            Err(why) => {
                self.handle_unplaced(plan, &adapter, why).await;
                BindOutcome::None
            }
        }
    }

    fn bind_params(&self, plan: &Plan, run: u64, may_wait: bool) -> BindParams {
        let mut unavailable = self.unavailable.clone();
        if !self.may_pass_on {
            // The holder may reach engines that this daemon does not.
            unavailable.extend(self.node.lost_engines(&plan.target.failure_domain));
        }
        BindParams {
            run,
            group: plan.target.failure_domain.clone(),
            service: self.service.clone(),
            route: self.route.name.clone(),
            share: self.slot_share(),
            identity: if may_wait { self.identity() } else { 0 },
            requirements: self.requirements.clone(),
            min_version: plan.min_version,
            priority: self.rank,
            objective_ms: self.route.objective_ms,
            elapsed_ms: self.node.now() - self.began_ms,
            remaining_ms: self.remaining_ms(),
            tried: self.tried.clone(),
            unavailable,
            only_tried: self.only_tried(),
            may_wait,
            patience_ms: match &self.slot_group {
                Some(group) if *group == plan.target.failure_domain => self.patience_ms(),
                _ => 0,
            },
            software: self.software_rule(),
        }
    }

    /// How long it would wait for a slot now that no group has one soon, in ms.
    fn patience_ms(&self) -> u64 {
        let total_ms = (self.deadline_ms - self.began_ms) as f64;
        let until_ms = self.began_ms + (total_ms * SLOT_WAIT_SHARE) as u64;
        let patience_ms = until_ms.saturating_sub(self.node.now());
        self.wait_limit_ms(patience_ms).max(1)
    }

    /// Notes that the planned group has no slot for it for `return_ms`; returns
    /// whether there is nothing left to try.
    ///
    /// All groups are asked first, each of which answers at once. Then the one
    /// that expects a slot first is asked again, and either lets it wait or says
    /// when its caller should return.
    pub(super) fn no_slot_anywhere(&mut self, plan: &Plan, return_ms: u64) -> bool {
        if self.slot_group.is_some() {
            return true;
        }
        let free_ms = self.node.now() + return_ms;
        let group = plan.target.failure_domain.clone();
        self.slot_offers.push((group, free_ms));
        if self.choose().is_some() {
            return false;
        }
        let best = self.slot_offers.iter().min_by_key(|(_, at)| *at).cloned();
        let Some((group, _)) = best else { return true };
        let view = self.node.view();
        let in_group = |id: &Name| {
            let target = view.targets.get(id);
            target.is_some_and(|t| t.failure_domain == group)
        };
        self.unavailable.retain(|id| !in_group(id));
        drop(view);
        self.slot_group = Some(group);
        self.choose().is_none()
    }

    /// Continues with the engine that the holder chose, if it is known here.
    fn apply_binding(
        &mut self,
        plan: &mut Plan,
        adapter: &AdapterRef,
        run: u64,
        binding: Binding,
        ms: u64,
    ) -> BindOutcome {
        log::debug!(target: "serve", id:% = self.client_request.id, target_id:% = binding.target, version = binding.version, wait = binding.wait_ms, ms; "bound to an engine");
        let now = self.node.now();
        let mut view = self.node.view();
        if adapter.adapter.is_some() {
            let presence = Presence::Held(binding.version);
            view.residency
                .record(adapter, &binding.target, presence, now);
        }
        if binding.hot {
            view.mark_hot(adapter, now);
        }
        let Some(target) = view.targets.get(&binding.target).cloned() else {
            log::info!(target: "serve", id:% = self.client_request.id, target_id:% = binding.target; "the bound engine is not known here yet");
            return BindOutcome::None;
        };
        drop(view);
        if !self.software_rule().allows(&target.software) {
            // The holder may be of a build that does not know the rule.
            log::info!(target: "serve", id:% = self.client_request.id, target_id:% = target.id, software = target.software.as_deref().unwrap_or(""); "the bound engine runs another software version");
            self.unavailable.push(target.id.clone());
            return BindOutcome::None;
        }
        plan.unread_tokens = binding.unread_tokens;
        plan.wait_ms = binding.wait_ms as f64;
        plan.granted = binding.granted;
        plan.run_handle = Some(RunHandle::new(
            &self.node,
            run,
            target.clone(),
            self.slot_share(),
        ));
        plan.target = target;
        BindOutcome::Engine
    }

    /// Excludes all engines of `group` for this request.
    fn exclude_group(&mut self, group: &str) {
        let view = self.node.view();
        let engines = view
            .targets
            .values()
            .filter(|t| *t.failure_domain == *group);
        let engines: Vec<Name> = engines.map(|t| t.id.clone()).collect();
        drop(view);
        self.unavailable.extend(engines);
    }

    async fn handle_unplaced(&mut self, plan: &Plan, adapter: &AdapterRef, why: BindError) {
        log::info!(target: "serve", id:% = self.client_request.id, group:% = plan.target.failure_domain, adapter:% = adapter_key(adapter), why:%; "not bound to an engine");
        self.exclude_group(&plan.target.failure_domain);
        if let BindError::NoEngine { gone, .. } = why {
            let until_ms = self.node.now() + UNREACHABLE_MS;
            for target in gone {
                // Keeps other requests from asking for a slot there too.
                self.node.view().unavailable_until.insert(target, until_ms);
            }
        }
        // All targets are excluded: start over instead of failing early.
        if self.choose().is_none() {
            self.unavailable.clear();
            tokio::time::sleep(Duration::from_millis(RECHECK_MS)).await;
        }
    }
}
