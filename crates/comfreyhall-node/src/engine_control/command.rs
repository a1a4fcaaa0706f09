//! Commands to an engine, one at a time, under the current lease.

use std::time::Duration;

use comfreyhall_capacity::Order;
use comfreyhall_domain::{AdapterRef, Name, Stage};
use comfreyhall_lease::{Turns, Wait};
use comfreyhall_routing::Presence;

use super::{EngineController, IDLE_POLL_MS, MAX_REPORT_PAUSE_MS, REPORT_DELAY};
use crate::{
    adapter_key::adapter_key,
    fleet::LoadTiming,
    leases::{self, state::Outgoing},
    node::Node,
    outbound,
    ports::{Command, CommandReply},
};

/// Longest wait for the answer to a command. Answers take a few ms; an engine
/// that leaves commands unanswered must not delay the next one.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time until a command leaves the process. It is longer than [`COMMAND_TIMEOUT`], as
/// a connection that opens slowly is no sign of a cut.
const SEND_LIMIT: Duration = Duration::from_millis(70);

/// Attempts to send a command that gets no answer. Each attempt carries the
/// same count of accepted commands, so the engine executes at most one of them
/// and rejects late ones.
///
/// With a single attempt, an engine that leaves three commands in ten
/// unanswered and executes them seconds later makes the controller wait a third
/// of a second for a report each time: the engines of a fleet of 60 loaded 12
/// adapters a second instead of 110.
const MAX_ATTEMPTS: u32 = 3;

/// Doublings of the pause after failed calls.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

impl EngineController {
    /// Sends the command of `order` under the current lease, and settles the order.
    pub(super) async fn carry_out(&mut self, order: Order<AdapterRef>) -> CommandReply {
        let reply = self.send_order(&order).await;
        let now = self.node.now();
        self.account.settle(order, reply.outcome(), now);
        self.note_contact(&reply);
        reply
    }

    /// Records whether `reply` came from the engine.
    fn note_contact(&mut self, reply: &CommandReply) {
        match reply {
            CommandReply::NotSent(why) => self.lose_contact(why),
            CommandReply::Withheld => self.account.require_report(),
            CommandReply::Silent(_) | CommandReply::Fenced => {}
            _ => self.regain_contact(),
        }
    }

    /// Records that the engine answered.
    pub(super) fn regain_contact(&mut self) {
        self.failed_calls = 0;
        if self.unreachable {
            self.unreachable = false;
            log::info!(target: "keeper", id:% = self.target.id; "engine reached again");
        }
    }

    /// Leaves the engine alone for a while, longer after each failed call, and frees
    /// the requests that wait for it. What it loads stays in its account.
    pub(super) fn lose_contact(&mut self, why: &str) {
        let now = self.node.now();
        let pause = (REPORT_DELAY.as_millis() as u64) << self.failed_calls.min(MAX_PAUSE_DOUBLINGS);
        let pause = pause.min(MAX_REPORT_PAUSE_MS);
        self.failed_calls = self.failed_calls.saturating_add(1);
        if !self.unreachable {
            self.unreachable = true;
            log::warn!(target: "keeper", id:% = self.target.id, why, expected = self.account.sequence(), occupied = self.account.occupied(), loading = self.account.loading_count(); "engine not reached; its account is kept until a report");
        }
        self.report_after_ms = now + pause;
        self.node.record_lost(&self.target.id);
        self.node.leases.wake();
        let target = self.target.id.clone();
        let mut view = self.node.view();
        view.unavailable_until.insert(target, now + pause);
        drop(view);
        self.release_jobs();
    }

    /// Sends the command of `order` under the current lease.
    async fn send_order(&mut self, order: &Order<AdapterRef>) -> CommandReply {
        let Some(token) = self.node.token(&self.target.failure_domain) else {
            return CommandReply::Fenced;
        };
        if self.node.draining() {
            return CommandReply::Fenced;
        }
        let advances = self.account.advances(order);
        let outgoing = Outgoing {
            target: self.target.id.clone(),
            token,
            sequence: order.sequence(),
            advances,
        };
        let (term, now) = (self.node.lease_term(), self.node.time());
        let leases = &self.node.leases;
        match leases.begin_command(&self.target.failure_domain, &outgoing, term, now) {
            Ok(()) => {}
            Err(Wait::Pause(_)) => return CommandReply::Fenced,
            Err(Wait::Undecided) => return CommandReply::Withheld,
        }
        let holder = self.node.settings().id.clone();
        let command = Command::new(order, holder, token, SEND_LIMIT);
        let reply = self.send_with_retries(command).await;
        self.record_reply(&outgoing, &reply);
        self.log_reply(order, token, &reply);
        self.react(token, &reply);
        reply
    }

    /// Records what `reply` says of the commands in flight.
    fn record_reply(&self, sent: &Outgoing, reply: &CommandReply) {
        let (id, now) = (&sent.target, self.node.time());
        let update = |turns: &mut Turns| match reply {
            CommandReply::Accepted if sent.advances => {
                turns.accept(id, sent.token, sent.sequence, now)
            }
            CommandReply::OtherBoot => turns.restart(id, now),
            CommandReply::NotSent(_) | CommandReply::Withheld => turns.unsend(id),
            CommandReply::Silent(_) => {}
            _ => turns.reject(id, now),
        };
        let group = &self.target.failure_domain;
        self.node.leases.update_turns(group, update);
    }

    fn log_reply(&self, order: &Order<AdapterRef>, token: u64, reply: &CommandReply) {
        let (id, adapter) = (&self.target.id, adapter_key(order.key()));
        log::debug!(target: "keeper", id:%, adapter:%, action:? = order.action(), version = order.version(), expected = order.sequence(), token, reply:?; "order");
        self.node.metrics.command(reply.name());
        match reply {
            CommandReply::Silent(_) => {
                log::info!(target: "keeper", id:%, token, expected = order.sequence(); "command unanswered; it may still be carried out")
            }
            CommandReply::Fenced => {
                log::warn!(target: "keeper", id:%, token; "engine has seen a higher token; giving it no more orders under this one")
            }
            CommandReply::OtherBoot => {
                log::info!(target: "keeper", id:%, adapter:%; "another boot answered; the engine has ended")
            }
            CommandReply::Invalid => {
                log::warn!(target: "keeper", id:%, adapter:%; "command rejected as invalid")
            }
            _ => {}
        }
    }

    /// Does what `reply` calls for, besides the account of the engine.
    fn react(&mut self, token: u64, reply: &CommandReply) {
        let now = self.node.now();
        match reply {
            CommandReply::Conflict | CommandReply::Silent(_) => {
                self.report_after_ms = now + REPORT_DELAY.as_millis() as u64;
            }
            CommandReply::Fenced => {
                let group = &self.target.failure_domain;
                self.node.leases.observe_token(group, token);
            }
            CommandReply::OtherBoot => {
                let until = now + IDLE_POLL_MS;
                let mut view = self.node.view();
                view.unavailable_until.insert(self.target.id.clone(), until);
            }
            _ => {}
        }
    }

    /// Sends `order`, and repeats it while there is no answer.
    async fn send_with_retries(&self, order: Command) -> CommandReply {
        let group = &self.target.failure_domain;
        let mut reply = CommandReply::NotSent("the lease has ended".into());
        for attempt in 1..=MAX_ATTEMPTS {
            // The lease may have expired while waiting for an answer.
            if self.node.token(group) != Some(order.token) {
                break;
            }
            if attempt > 1 {
                self.node.leases.update_turns(group, |t| {
                    t.repeat(&self.target.id, order.expected_sequence)
                });
            }
            let next = self.send_once(order.clone()).await;
            let unsent = matches!(next, CommandReply::NotSent(_) | CommandReply::Withheld);
            if unsent && matches!(reply, CommandReply::Silent(_)) {
                // An earlier attempt may still be carried out.
                self.node
                    .leases
                    .update_turns(group, |t| t.unsend(&self.target.id));
                break;
            }
            reply = next;
            if !matches!(reply, CommandReply::Silent(_)) {
                break;
            }
        }
        reply
    }

    /// Sends `order`; an answer that comes later is recorded.
    async fn send_once(&self, order: Command) -> CommandReply {
        let group = self.target.failure_domain.clone();
        let (id, sequence) = (self.target.id.clone(), order.expected_sequence);
        let late = move |node: &Node, reply: CommandReply| {
            if matches!(reply, CommandReply::Silent(_)) {
                return;
            }
            log::info!(target: "keeper", id:%, expected = sequence, reply:?; "late answer to a command");
            let now = node.time();
            node.leases
                .update_turns(&group, |t| t.answer_late(&id, sequence, now));
        };
        let (node, target) = (&self.node, &self.target);
        let watch = node.lease_term();
        outbound::command(node, target, order, COMMAND_TIMEOUT, watch, late).await
    }

    pub(super) async fn unload(&mut self, adapter: &AdapterRef) -> bool {
        let Ok(order) = self.account.unload(adapter) else {
            return false;
        };
        let reply = self.carry_out(order).await;
        if !matches!(reply, CommandReply::Accepted | CommandReply::Holds) {
            return false;
        }
        let now = self.node.now();
        let mut view = self.node.view();
        view.residency
            .record(adapter, &self.target.id, Presence::Absent, now);
        drop(view);
        self.node
            .fleet
            .record_placement(&self.target.id, adapter, None, LoadTiming::default());
        true
    }

    /// Loads a model on an engine that has none, as after a restart.
    pub(super) async fn load_model(&mut self) {
        let now = self.node.now();
        let reported = !self.target.loaded.is_empty() || self.has_model;
        let empty = !reported && self.account.occupied() == 0;
        if !empty || now < self.model_due_ms || self.target.stage != Stage::Ready {
            return;
        }
        let Some((model, load_ms, rate)) = self.next_model() else {
            return;
        };
        let share = self.group_share();
        if !self.node.controllers.model_may_load(rate, share, now) {
            self.model_due_ms = now + IDLE_POLL_MS;
            return;
        }
        let adapter = AdapterRef {
            model,
            adapter: None,
        };
        let Ok(order) = self.account.load_model(&adapter) else {
            return;
        };
        let reply = self.send_order(&order).await;
        self.account
            .settle_model(order, reply.outcome(), self.node.now());
        self.note_contact(&reply);
        log::info!(target: "keeper", id:% = self.target.id, model:% = adapter.model, reply:? = reply; "model load requested");
        // Loads queue at the weight store, so one may take several times its
        // own duration.
        self.model_due_ms = self.node.now()
            + match reply {
                CommandReply::Accepted | CommandReply::Holds => 4 * load_ms,
                _ => REPORT_DELAY.as_millis() as u64,
            };
    }

    /// The model with the fewest engines for its service.
    pub(super) fn next_model(&self) -> Option<(Name, u64, f64)> {
        let view = self.node.view();
        let config = view.config.as_ref()?;
        let engine = config.services.get(&self.target.service)?.engine.as_ref()?;
        let holders = |name: &Name| view.targets.values().filter(|t| t.has_model(name)).count();
        let model = engine.models.iter().min_by_key(|m| holders(&m.name))?;
        Some((model.name.clone(), model.load_ms, engine.load_rate))
    }

    /// The share of the lease groups with engines that this daemon holds.
    fn group_share(&self) -> f64 {
        let own = self.node.leases.held(self.node.settings().bounds.fencing);
        let all = leases::groups(&self.node).len();
        own.len() as f64 / all.max(1) as f64
    }
}
