//! Having an engine found for a request before it is sent.

use std::time::Duration;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_routing::Presence;

use super::{Job, LOOK_MS, send::UNREACHED_MS};
use crate::{
    bind::{self, Bind, Bound, Unbound},
    choose::Plan,
    fleet::adapter_key,
    flight::Seat,
};

/// What came of looking for an engine.
pub(super) enum Found {
    /// The plan has an engine that can take the request.
    Engine,
    /// None in that group can now; others may.
    None,
    /// Its wait there would be too long, in ms.
    TooLong(u64),
}

impl Job {
    /// Whether the target still takes work.
    ///
    /// What goes wrong without it: a request waits seconds for its adapter,
    /// its target says meanwhile that it leaves, and gets the request long
    /// after the bound for new work at leaving targets.
    pub(super) fn still_ready(&self, plan: &Plan) -> bool {
        let now = self.node.now();
        let view = self.node.view();
        let known = view.targets.get(&plan.target.id);
        known.is_some_and(|t| view.accepts(t, &self.service, now))
    }

    /// Has the holder of the planned group choose the engine, which becomes
    /// the plan's target.
    pub(super) async fn bind(&mut self, plan: &mut Plan) -> Found {
        let Some(adapter) = self.ask.adapter.clone().filter(|_| self.engine.is_some()) else {
            return Found::Engine;
        };
        if !self.node.policies().binding && !plan.loads {
            return Found::Engine;
        }
        let began = self.node.now();
        let run = self.node.fleet.next_run_id();
        let mut found = bind::bind(&self.node, self.wanted(plan, run, plan.loads)).await;
        if found == Err(Unbound::MustWait) {
            found = bind::bind(&self.node, self.wanted(plan, run, true)).await;
        }
        let stall = self.node.now() - began;
        if plan.loads {
            self.stall += stall;
            self.node.metrics.load_stall(stall);
        }
        match found {
            Ok(bound) => self.bound(plan, &adapter, run, bound, stall),
            // The holder is left out now; what needs no load needs no holder.
            Err(Unbound::Unanswered) if !plan.loads => Found::Engine,
            Err(Unbound::TooLong(ms)) => {
                self.close_group(&plan.target.failure_domain);
                Found::TooLong(ms)
            }
            Err(why) => {
                self.unplaced(plan, &adapter, why).await;
                Found::None
            }
        }
    }

    fn wanted(&self, plan: &Plan, run: u64, may_wait: bool) -> Bind {
        Bind {
            run,
            group: plan.target.failure_domain.clone(),
            service: self.service.clone(),
            need: self.need.clone(),
            version: plan.version,
            priority: self.rank,
            aim_ms: self.route.objective_ms,
            spent_ms: self.node.now() - self.began,
            left_ms: self.left(),
            tried: self.tried.clone(),
            closed: self.closed.clone(),
            only_tried: self.only_tried(),
            may_wait,
        }
    }

    /// Goes on at the engine that the holder chose, if it is known here.
    fn bound(
        &self,
        plan: &mut Plan,
        adapter: &AdapterRef,
        run: u64,
        bound: Bound,
        ms: u64,
    ) -> Found {
        log::debug!(target: "serve", id:% = self.ask.id, target_id:% = bound.target, version = bound.version, wait = bound.wait_ms, ms; "engine found");
        let now = self.node.now();
        let mut view = self.node.view();
        if adapter.adapter.is_some() {
            let standing = Presence::Held(bound.version);
            view.residency.record(adapter, &bound.target, standing, now);
        }
        if bound.hot {
            view.mark_hot(adapter, now);
        }
        let Some(target) = view.targets.get(&bound.target).cloned() else {
            log::info!(target: "serve", id:% = self.ask.id, target_id:% = bound.target; "the engine found is not known here yet");
            return Found::None;
        };
        drop(view);
        plan.tokens = bound.unread;
        plan.wait_ms = bound.wait_ms as f64;
        plan.granted = bound.granted;
        plan.seat = Some(Seat::new(&self.node, run, target.clone()));
        plan.target = target;
        Found::Engine
    }

    /// Takes no engine of `group` for this request.
    fn close_group(&mut self, group: &str) {
        let view = self.node.view();
        let engines = view
            .targets
            .values()
            .filter(|t| *t.failure_domain == *group);
        let engines: Vec<Name> = engines.map(|t| t.id.clone()).collect();
        drop(view);
        self.closed.extend(engines);
    }

    async fn unplaced(&mut self, plan: &Plan, adapter: &AdapterRef, why: Unbound) {
        log::info!(target: "serve", id:% = self.ask.id, group:% = plan.target.failure_domain, adapter:% = adapter_key(adapter), why:%; "no engine found");
        self.close_group(&plan.target.failure_domain);
        if let Unbound::Unplaced { gone, .. } = why {
            let until = self.node.now() + UNREACHED_MS;
            for target in gone {
                // Every other request would ask for a place there too.
                self.node.view().unavailable_until.insert(target, until);
            }
        }
        // All were closed: begin again rather than give up early.
        if self.choose().is_none() {
            self.closed.clear();
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
