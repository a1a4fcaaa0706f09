//! One order at a time, under the lease as it is right now.

use std::time::Duration;

use comfreyhall_domain::{AdapterRef, Name, Stage};
use comfreyhall_routing::Presence;

use super::{IDLE_MS, Keeper, SETTLE};
use crate::{
    fleet::adapter_key,
    leases, outbound,
    ports::{Action, Command, CommandReply},
};

/// Longest an answer to an order is waited for. Answers take some ms; an
/// engine that leaves orders unanswered must not hold up the next one.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Times that an order is given while it gets no answer. Each bears the same
/// count of orders accepted before, so the engine carries out one of them at
/// most, and those that come late are refused.
///
/// What goes wrong with one: an engine leaves three orders in ten unanswered
/// and carries them out seconds later; after each the keeper waited a third of
/// a second for a report, and the engines of a fleet of 60 loaded 12 adapters
/// a second in place of 110.
const ORDER_TIMES: u32 = 3;

impl Keeper {
    /// Gives one order under the lease as it is right now.
    pub(super) async fn order(
        &mut self,
        action: Action,
        adapter: &AdapterRef,
        version: u64,
    ) -> CommandReply {
        let Some(token) = self.node.token(&self.target.failure_domain) else {
            return CommandReply::Fenced;
        };
        if self.node.draining() {
            return CommandReply::Fenced;
        }
        let order = Command {
            action,
            adapter: adapter.clone(),
            version: (version > 0).then_some(version),
            expected_sequence: self.sequence,
            holder: self.node.settings().id.clone(),
            token,
        };
        let reply = self.give(order).await;
        log::debug!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter), action:? = action, version, expected = self.sequence, token, reply:? = reply; "order");
        self.node.metrics.command(reply.name());
        match &reply {
            // A load that is on its way already is accepted again without
            // counting; dropping what is unused is done at once and counts.
            CommandReply::Accepted if !self.coming.contains_key(adapter) => self.sequence += 1,
            CommandReply::Holds if action == Action::Unload => self.sequence += 1,
            CommandReply::Accepted | CommandReply::Holds => {}
            CommandReply::Conflict | CommandReply::Silent(_) => {
                self.synced = false;
                self.ready_at = self.node.now() + SETTLE.as_millis() as u64;
            }
            CommandReply::Fenced => {
                log::warn!(target: "keeper", id:% = self.target.id, token; "engine has seen a higher token; giving it no more orders under this one");
                self.node
                    .leases
                    .observe_token(&self.target.failure_domain, token);
            }
            // It is not given orders again before it has reported.
            CommandReply::Unsent => self.synced = false,
            CommandReply::Gone => {
                let until = self.node.now() + IDLE_MS;
                let mut view = self.node.view();
                view.unavailable_until.insert(self.target.id.clone(), until);
            }
            CommandReply::Invalid => {
                log::warn!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter); "order refused as invalid");
            }
        }
        reply
    }

    /// Gives `order`, again if it gets no answer.
    async fn give(&self, order: Command) -> CommandReply {
        let mut reply = CommandReply::Silent("not given".into());
        for _ in 0..ORDER_TIMES {
            // The lease may have lapsed while an answer was waited for.
            if self.node.token(&self.target.failure_domain) != Some(order.token) {
                break;
            }
            let target = &self.target;
            reply = outbound::command(&self.node, target, order.clone(), ORDER_TIMEOUT).await;
            if !matches!(reply, CommandReply::Silent(_)) {
                break;
            }
        }
        reply
    }

    pub(super) async fn unload(&mut self, adapter: &AdapterRef) -> bool {
        let reply = self.order(Action::Unload, adapter, 0).await;
        if !matches!(reply, CommandReply::Accepted | CommandReply::Holds) {
            return false;
        }
        let now = self.node.now();
        self.held.remove(adapter);
        let mut view = self.node.view();
        view.residency
            .record(adapter, &self.target.id, Presence::Absent, now);
        drop(view);
        self.node
            .fleet
            .record_placement(&self.target.id, adapter, None);
        true
    }

    /// Orders a model into an engine that has none, as after a restart.
    pub(super) async fn load_model(&mut self) {
        let now = self.node.now();
        let empty = self.target.loaded.is_empty() && self.held.is_empty();
        if !empty || now < self.model_due || self.target.stage != Stage::Ready {
            return;
        }
        let Some((model, load_ms, rate)) = self.wanted_model() else {
            return;
        };
        let part = self.part_of_groups();
        if !self.node.controllers.model_may_load(rate, part, now) {
            self.model_due = now + IDLE_MS;
            return;
        }
        let adapter = AdapterRef {
            model,
            adapter: None,
        };
        let reply = self.order(Action::Load, &adapter, 0).await;
        log::info!(target: "keeper", id:% = self.target.id, model:% = adapter.model, reply:? = reply; "model ordered");
        // Loads queue at the weight store, so one may take several times its own.
        self.model_due = self.node.now()
            + match reply {
                CommandReply::Accepted | CommandReply::Holds => 4 * load_ms,
                _ => SETTLE.as_millis() as u64,
            };
    }

    /// The model with the fewest engines for its service.
    pub(super) fn wanted_model(&self) -> Option<(Name, u64, f64)> {
        let view = self.node.view();
        let config = view.config.as_ref()?;
        let engine = config.services.get(&self.target.service)?.engine.as_ref()?;
        let holders = |name: &Name| view.targets.values().filter(|t| t.has_model(name)).count();
        let model = engine.models.iter().min_by_key(|m| holders(&m.name))?;
        Some((model.name.clone(), model.load_ms, engine.load_rate))
    }

    /// This daemon's part of the groups that have engines.
    fn part_of_groups(&self) -> f64 {
        let own = self.node.leases.held(self.node.settings().bounds.fencing);
        let all = leases::groups(&self.node).len();
        own.len() as f64 / all.max(1) as f64
    }
}
