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
mod quarantine;
mod renew;
mod reply;
mod request;
mod send;
mod version;

pub use self::reply::{EventStream, Reply};

pub(crate) use self::request::ActiveRequest;

use std::time::Duration;

use comfreyhall_routing::admission;

use self::{place::BindOutcome, renew::Step, reply::Next, request::RECHECK_MS};
use crate::{
    choose::{self, Plan},
    criteria::Criteria,
};

/// Upper bound on rounds of placement and sending per request: a guard against
/// endless loops, above what the timeout of a request allows.
const MAX_ROUNDS: u32 = 40;

/// Retry delay when all attempts are used up, as a share of the route's latency
/// objective: by then the targets that failed are known to be unhealthy.
const EXHAUSTED_RETRY_SHARE: f64 = 0.5;

/// Pause before a full target is asked again, in ms: in that time its queue
/// advances by one prompt, and an adapter that is being replaced is available
/// again. Without a pause some targets were asked every 7 ms, which used up the
/// shared retry budget.
const FULL_RETRY_MS: u64 = 100;

/// Refusals by full targets after which the request fails.
const MAX_FULL_REFUSALS: u32 = 3;

impl ActiveRequest {
    async fn run(mut self) -> Reply {
        self.record_request();
        if let Some(reply) = self.bind_version().await {
            return reply;
        }
        // Whether a lease holder has said that the wait in its group is too long.
        let mut too_long = false;
        for round in 0..MAX_ROUNDS {
            if self.remaining_ms() == 0 {
                return self.give_up("time is up", 0.0);
            }
            if let Some(rejection) = self.quarantined().await {
                return self.reject_quarantined(rejection);
            }
            match self.check_settings().await {
                Step::Proceed => {}
                Step::ChooseAgain => continue,
                Step::End(reply) => return reply,
            }
            if let Some(reply) = self.pass_on_if_unreached().await {
                return reply;
            }
            if let Some(reply) = self.reject_gone_version() {
                return reply;
            }
            let Some(mut plan) = self.choose() else {
                if let Some(ms) = self
                    .all_unavailable_ms()
                    .filter(|ms| *ms > self.hold_left_ms())
                {
                    self.log_unavailable();
                    return self.give_up("its targets take no more now", ms as f64);
                }
                if self.hold_expired() || self.full_refusals >= MAX_FULL_REFUSALS {
                    return self.give_up("no target can take it", FULL_RETRY_MS as f64);
                }
                let pause_ms = if self.full_refusals > 0 {
                    FULL_RETRY_MS
                } else {
                    RECHECK_MS
                };
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                self.unavailable.clear();
                continue;
            };
            let check_wait = round == 0 || too_long;
            if check_wait && self.node.policies().admission && self.wait_too_long(plan.wait_ms) {
                return self.give_up("the wait is too long", plan.wait_ms / 2.0);
            }
            match self.bind(&mut plan).await {
                BindOutcome::Engine => {}
                BindOutcome::None if self.hold_expired() => {
                    return self.give_up("its adapter has no place", plan.wait_ms);
                }
                BindOutcome::None => continue,
                BindOutcome::NoSlot { return_ms } => {
                    if self.no_slot_anywhere(&plan, return_ms) {
                        let retry_ms = return_ms.min(self.remaining_ms() / 3);
                        return self.give_up_until("no slot in time", retry_ms);
                    }
                    continue;
                }
                BindOutcome::TooLong(ms) => {
                    too_long = true;
                    if self.choose().is_none() {
                        return self.give_up("the wait is too long", ms as f64 / 2.0);
                    }
                    continue;
                }
            }
            let Some(permit) = self.permit(&plan).await else {
                continue;
            };
            if !self.target_still_accepts(&plan) {
                self.skip_target(&plan.target.id);
                continue;
            }
            if self.must_wait() {
                continue;
            }
            if let Some(rejection) = self.quarantined().await {
                return self.reject_quarantined(rejection);
            }
            match self.recheck_settings() {
                Step::Proceed => {}
                Step::ChooseAgain => continue,
                Step::End(reply) => return reply,
            }
            if !self.history.may_send(self.route.repeatable(), u32::MAX) {
                // Newer settings may say that it runs once.
                return self.give_up("it may have run", 0.0);
            }
            if self.deliveries > 0 && !self.take_retry() {
                return self.give_up("the retry budget is spent", plan.wait_ms);
            }
            let last_event = self.client_request.last_event_id;
            let exchange = self.begin_send(plan, permit, last_event);
            let (exchange, outcome) = self.await_outcome(exchange).await;
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
