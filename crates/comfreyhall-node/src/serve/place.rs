//! Having an adapter placed for a request before it is sent.

use std::time::Duration;

use comfreyhall_domain::AdapterRef;
use comfreyhall_routing::Standing;

use super::{Job, LOOK_MS, send::UNREACHED_MS};
use crate::{
    choose::{self, Plan},
    fleet::key_of,
    flight::Stall,
    keeper::{self, Placed, Unplaced},
};

/// How long a request waits for a place in one group of engines before it
/// looks again, in ms: its holder may be gone, or another group freer. With
/// 200 ms the mean worth was 0.607, with 400 0.605, with 800 0.598 (five heavy
/// days, four seeds).
const PLACE_MS: u64 = 250;

impl Job {
    /// Whether the target still takes work.
    ///
    /// What goes wrong without it: a request waits seconds for its adapter,
    /// its target says meanwhile that it leaves, and gets the request long
    /// after the bound for new work at leaving targets.
    pub(super) fn still_ready(&self, plan: &Plan) -> bool {
        let now = self.node.now();
        let view = self.node.view();
        let ready = view.ready(&self.service, now);
        ready.iter().any(|t| t.id == plan.target.id)
    }

    /// Has the adapter placed on one of the plan's engines, which becomes its
    /// target; false if none has a place.
    pub(super) async fn place(&mut self, plan: &mut Plan) -> bool {
        let Some(adapter) = self.ask.adapter.clone() else {
            return true;
        };
        let began = self.node.now();
        let spent = began - self.began;
        // After the load the prompt is still to be read.
        let after = plan.wait_ms as u64;
        let limit = self.left().min(self.route.target_ms) + 1;
        let wish = keeper::Wish {
            adapter: adapter.clone(),
            picks: plan.picks.clone(),
            version: plan.version,
            priority: u32::from(self.route.priority),
            aim_ms: self.route.target_ms.saturating_sub(spent + after),
            begin: Duration::from_millis(limit.min(PLACE_MS)),
            limit: Duration::from_millis(limit),
        };
        // Others count on the place that this request is about to hold.
        let waits = Stall::begin(&self.node, &plan.target.id, &adapter, plan.tokens);
        let placed = keeper::ensure(&self.node, &plan.target.domain, wish).await;
        drop(waits);
        let stall = self.node.now() - began;
        self.stall += stall;
        self.node.metrics.stall(stall);
        match placed {
            Ok(placed) => self.placed(plan, &adapter, placed, stall),
            Err(why) => {
                self.unplaced(plan, &adapter, &why).await;
                false
            }
        }
    }

    /// Goes on at the engine that has the adapter; false if it is unknown.
    fn placed(&self, plan: &mut Plan, adapter: &AdapterRef, placed: Placed, ms: u64) -> bool {
        log::debug!(target: "serve", id:% = self.ask.id, target_id:% = placed.target, version = placed.version, ms; "adapter placed");
        let now = self.node.now();
        let mut view = self.node.view();
        let standing = Standing::Held(placed.version);
        view.residency.note(adapter, &placed.target, standing, now);
        let Some(target) = view.targets.get(&placed.target).cloned() else {
            return false;
        };
        plan.tokens = choose::unread(&view, &self.ask, adapter, &target.id);
        plan.target = target;
        true
    }

    async fn unplaced(&mut self, plan: &Plan, adapter: &AdapterRef, why: &Unplaced) {
        log::info!(target: "serve", id:% = self.ask.id, target_id:% = plan.target.id, adapter:% = key_of(adapter), engines = plan.picks.len(), why:%; "adapter not placed");
        let picked = plan.picks.iter().map(|p| p.target.clone());
        self.closed.extend(picked);
        let until = self.node.now() + UNREACHED_MS;
        for target in &why.gone {
            // Every other request would ask for a place there too.
            self.node.view().dead.insert(target.clone(), until);
        }
        // All were closed: begin again rather than give up early.
        if self.choose().is_none() {
            self.closed.clear();
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
