//! Having an adapter placed for a request before it is sent.

use std::time::Duration;

use comfreyhall_routing::Standing;

use super::{Job, LOOK_MS, send::UNREACHED_MS};
use crate::{choose::Plan, fleet::key_of, flight::Stall, keeper};

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

    /// Has the adapter placed; false if it has no place there.
    pub(super) async fn place(&mut self, plan: &Plan) -> bool {
        let Some(adapter) = &self.ask.adapter else {
            return true;
        };
        let began = self.node.now();
        let spent = began - self.began;
        // After the load the prompt is still to be read.
        let after = plan.wait_ms as u64;
        let wish = keeper::Wish {
            version: plan.version,
            priority: u32::from(self.route.priority),
            aim_ms: self.route.target_ms.saturating_sub(spent + after),
            limit: Duration::from_millis(self.left().min(self.route.target_ms) + 1),
        };
        // Others count on the place that this request is about to hold.
        let waits = Stall::begin(&self.node, &plan.target.id, adapter, plan.tokens);
        let call = keeper::ensure(&self.node, &plan.target, adapter, wish);
        let placed = call.await;
        drop(waits);
        let stall = self.node.now() - began;
        self.stall += stall;
        self.node.metrics.stall(stall);
        match placed {
            Ok(version) => {
                let now = self.node.now();
                log::debug!(target: "serve", id:% = self.ask.id, target_id:% = plan.target.id, version, ms = now - began; "adapter placed");
                let mut view = self.node.view();
                let standing = Standing::Held(version);
                view.residency.note(adapter, &plan.target.id, standing, now);
                true
            }
            Err(why) => {
                log::info!(target: "serve", id:% = self.ask.id, target_id:% = plan.target.id, adapter:% = key_of(adapter), why:%; "adapter not placed");
                self.closed.push(plan.target.id.clone());
                if why == keeper::Unplaced::Gone {
                    // Every other request would ask for a place there too.
                    let until = self.node.now() + UNREACHED_MS;
                    self.node.view().dead.insert(plan.target.id.clone(), until);
                }
                // All were closed: begin again rather than give up early.
                if self.choose().is_none() {
                    self.closed.clear();
                    tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
                }
                false
            }
        }
    }
}
