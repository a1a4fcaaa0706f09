//! Serves one request: routing, admission, placement, sending and the answer.
//!
//! A request is sent to one target after another until one answers, its
//! deadline passes, or the known outcomes forbid another send; then
//! `answer_for` alone chooses the answer. A request that fails early is answered at
//! once.

pub(crate) mod beside;
mod caller;
mod counting;
mod entry;
pub(crate) mod exchange;
mod give_up;
mod open_sends;
mod pass_on;
mod place;
mod plain;
mod prepare;
mod quarantine;
mod renew;
mod reply;
mod request;
mod send;
mod stopping;
mod version;

pub use self::reply::{EventStream, Reply};

pub(crate) use self::request::ActiveRequest;

use comfreyhall_routing::admission;

use self::{
    prepare::{Again, Prepared},
    reply::Next,
};
use crate::{
    choose::{self, Plan},
    criteria::Criteria,
    stop,
};

/// Upper bound on rounds of placement and sending per request: a guard against
/// endless loops, above what the timeout of a request allows.
const MAX_ROUNDS: u32 = 40;

/// Retry delay when all attempts are used up, as a share of the route's latency
/// objective: by then the targets that failed are known to be unhealthy.
const EXHAUSTED_RETRY_SHARE: f64 = 0.5;

impl ActiveRequest {
    async fn run(mut self) -> Reply {
        self.record_request();
        match stop::before(self.too_late(), self.bind_version()).await {
            Some(None) => {}
            Some(Some(reply)) => return reply,
            None => return self.reject_stopping(),
        }
        // Whether a lease holder has said that the wait in its group is too long.
        let mut too_long = false;
        for round in 0..MAX_ROUNDS {
            let check_wait = round == 0 || too_long;
            let too_late = self.too_late();
            let (plan, permit) = match stop::before(too_late, self.prepare(check_wait)).await {
                Some(Prepared::Send(plan, permit)) => (*plan, permit),
                Some(Prepared::PassOn(peer)) => return self.pass_on(peer).await,
                Some(Prepared::Again(why)) => {
                    too_long |= why == Again::WaitTooLong;
                    continue;
                }
                Some(Prepared::End(reply)) => return reply,
                None => return self.reject_stopping(),
            };
            let last_event = self.client_request.last_event_id;
            let exchange = self.begin_send(plan, permit, last_event);
            let answer_due = self.answer_due();
            let answering = self.await_outcome(exchange);
            let Some((exchange, outcome)) = stop::before(answer_due, answering).await else {
                return self.answer_unfinished();
            };
            match self.conclude(exchange, outcome) {
                Next::Reply(reply) => return reply,
                Next::Retry => self = self.next_seed(),
            }
            if !self.history.may_send(self.route.repeatable(), u32::MAX) {
                return self.give_up("it may have run", 0.0);
            }
            if self.attempts_exhausted() {
                let excess = self.route.objective_ms as f64 * EXHAUSTED_RETRY_SHARE;
                return self.give_up("every send it may have is spent", excess);
            }
        }
        self.give_up("no target took it", 0.0)
    }

    fn next_seed(mut self) -> Self {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self
    }

    /// Whether a wait of `wait_ms` would be too long for it.
    fn wait_too_long(&self, wait_ms: f64) -> bool {
        admission::should_refuse(
            wait_ms,
            self.remaining_ms(),
            self.route.objective_ms,
            self.rank,
        )
    }

    /// Whether it may only be sent to targets that have already received it.
    fn only_tried(&self) -> bool {
        self.tried.len() as u32 >= self.route.max_attempts.max(1)
    }

    /// Whether every target it may be sent to has left its outcome unknown.
    fn attempts_exhausted(&self) -> bool {
        self.history.may_have_run && self.only_tried()
    }

    /// Whether it has waited too long without being sent.
    fn hold_expired(&self) -> bool {
        self.node.now() > self.hold_end_ms()
    }

    /// How much longer it may wait without being sent, in ms.
    fn hold_left_ms(&self) -> u64 {
        self.hold_end_ms().saturating_sub(self.node.now())
    }

    fn hold_end_ms(&self) -> u64 {
        let hold_ms =
            admission::max_hold_ms(self.deadline_ms - self.began_ms, self.route.objective_ms);
        self.began_ms + hold_ms
    }

    fn choose(&self) -> Option<Plan> {
        let software = self.software_rule();
        let criteria = Criteria {
            requirements: &self.requirements,
            objective_ms: self.route.objective_ms,
            route: &self.route.name,
            gap_objective_ms: self.route.gap_objective_ms,
            uses_paces: self.node.policies().engine_pace,
            service: &self.service,
            group: None,
            engine: self.engine.as_ref(),
            tried: &self.tried,
            unavailable: &self.unavailable,
            only_tried: self.only_tried(),
            seed: self.seed,
            software: &software,
        };
        choose::choose(&self.node, &criteria)
    }
}
