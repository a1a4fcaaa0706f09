//! Asking another target beside one that is silent.
//!
//! A target that is silent may have ended, or may go on in a moment. The request stays
//! with it, and is sent to another target besides. Whichever answers first goes on, and
//! the other run is cancelled.

use std::time::Duration;

use comfreyhall_domain::{Name, Outcome, RouteKind};
use comfreyhall_relay::{EndCause, SeekPolicy};

use super::{
    ActiveRequest,
    exchange::{Exchange, Exchanged},
    place::BindOutcome,
    renew::Renewal,
    request::FAILED_WEIGHT,
};
use crate::{
    active_send::ActiveSend,
    source::{END_CHECK_PERIOD, target_ended},
};

/// Times that another target is sought beside a silent one.
const MAX_SEEKS: u32 = 3;

/// Pause before another target is sought again.
const SEEK_PAUSE: Duration = Duration::from_millis(400);

/// Wait for what has arrived while this process was stopped or busy, before its target
/// counts as silent.
pub(crate) const ARRIVED_WAIT: Duration = Duration::from_millis(20);

/// Targets considered each time: each one lengthens the pause that the caller sees.
const MAX_CHOICES: u32 = 3;

/// The success of a send to another target, or why there is none.
pub(crate) type Elsewhere = Result<Box<(Exchange, Exchanged)>, &'static str>;

/// Awaits the outcome of `exchange`, whose target is silent, or the proof that it has ended.
async fn outcome_or_end(exchange: &mut Exchange) -> Exchanged {
    loop {
        match tokio::time::timeout(END_CHECK_PERIOD, exchange.outcome()).await {
            Ok(outcome) => return outcome,
            Err(_) if exchange.send.is_target_ended().await => {
                return Exchanged::Broken(target_ended());
            }
            Err(_) => {}
        }
    }
}

impl ActiveRequest {
    /// Awaits the outcome of `first`, or of a send to another target if `first` is silent
    /// and the other one answers before it.
    pub(super) async fn await_outcome(&mut self, mut first: Exchange) -> (Exchange, Exchanged) {
        let limit = Duration::from_millis(self.silence_limit_ms(&first.plan));
        for wait in [limit, ARRIVED_WAIT] {
            if let Ok(outcome) = tokio::time::timeout(wait, first.outcome()).await {
                return (first, outcome);
            }
        }
        if self.remaining_ms() > 0 {
            self.record_silent(&first.send);
        }
        for _ in 0..MAX_SEEKS {
            if self.cannot_ask_another().is_some() {
                break;
            }
            match self.ask_beside(&mut first).await {
                (Some(outcome), None) => return (first, outcome),
                (Some(outcome), Some(Err(why))) => {
                    self.log_not_asked(why);
                    return (first, outcome);
                }
                (Some(failed), Some(Ok(answer))) => {
                    self.record_failure(first, failed);
                    return *answer;
                }
                (None, Some(Ok(answer))) => {
                    self.record_superseded(&first.send);
                    return *answer;
                }
                (None, other) => self.log_not_asked(other.and_then(Result::err).unwrap_or("")),
            }
            if let Ok(outcome) = tokio::time::timeout(SEEK_PAUSE, first.outcome()).await {
                return (first, outcome);
            }
        }
        let outcome = outcome_or_end(&mut first).await;
        (first, outcome)
    }

    /// Sends the request to another target, and waits for that one and for `first`; returns
    /// the outcomes of both as far as they are known.
    async fn ask_beside(&mut self, first: &mut Exchange) -> (Option<Exchanged>, Option<Elsewhere>) {
        let last_event = self.client_request.last_event_id;
        let mut first_outcome = None;
        let sends = self.deliveries;
        let other = {
            let open = first.plan.target.id.clone();
            let asking = self.answer_elsewhere(last_event, Some(&open));
            tokio::pin!(asking);
            loop {
                tokio::select! {
                    biased;
                    outcome = first.outcome(), if first_outcome.is_none() => {
                        let succeeds = outcome.is_success();
                        first_outcome = Some(outcome);
                        if succeeds {
                            break None;
                        }
                        // The other target may still answer.
                    }
                    other = &mut asking => break Some(other),
                }
            }
        };
        if other.is_none() {
            self.record_cancelled(sends);
        }
        (first_outcome, other)
    }

    /// Sends the request, or the rest of its stream after `last_event`, to another target
    /// than `open`, whose answer is open, and awaits a success; an error says why there is
    /// none.
    pub(crate) async fn answer_elsewhere(
        &mut self,
        last_event: Option<u64>,
        open: Option<&Name>,
    ) -> Elsewhere {
        let mut exchange = self.send_elsewhere(last_event, open).await?;
        let outcome = exchange.outcome().await;
        if outcome.is_success() {
            return Ok(Box::new((exchange, outcome)));
        }
        self.record_failure(exchange, outcome);
        Err("the other target did not answer")
    }

    /// Records a send that failed while another one may succeed.
    fn record_failure(&mut self, exchange: Exchange, outcome: Exchanged) {
        if let Exchanged::Whole(answer) = outcome {
            self.history.record(Outcome::Answered);
            exchange.send.record_outcome(false, FAILED_WEIGHT);
            let answer = (answer.status, answer.headers, answer.body);
            self.fallback.get_or_insert(answer);
        } else {
            self.conclude(exchange, outcome);
        }
    }

    /// Chooses another target and sends the request there.
    async fn send_elsewhere(
        &mut self,
        last_event: Option<u64>,
        open: Option<&Name>,
    ) -> Result<Exchange, &'static str> {
        if let Some(why) = self.cannot_ask_another() {
            return Err(why);
        }
        if self.quarantined().await.is_some() {
            return Err("it is quarantined");
        }
        // What was excluded at an earlier time may take it now.
        self.unavailable.clear();
        self.unavailable.extend(open.cloned());
        for _ in 0..MAX_CHOICES {
            if !matches!(self.renew(), Ok(Renewal::Unchanged)) {
                return Err("its settings have changed");
            }
            let mut plan = self.choose().ok_or("no target can take it")?;
            if !matches!(self.bind(&mut plan).await, BindOutcome::Engine) {
                return Err("no engine is bound");
            }
            if open == Some(&plan.target.id) {
                return Err("no other target can take it");
            }
            // Its caller has waited already, or lacks the rest of a stream.
            let Some(permit) = self.permit(&plan, Duration::ZERO).await else {
                continue;
            };
            if self.quarantined().await.is_some() {
                return Err("it is quarantined");
            }
            if !self.target_still_accepts(&plan) {
                return Err("the target takes no more work");
            }
            if !matches!(self.renew(), Ok(Renewal::Unchanged)) {
                return Err("its settings have changed");
            }
            // The settings in force now may say otherwise.
            if let Some(why) = self.cannot_ask_another() {
                return Err(why);
            }
            if !self.take_retry() {
                return Err("the retry budget is spent");
            }
            return Ok(self.begin_send(plan, permit, last_event));
        }
        Err("its targets take no more now")
    }

    /// Whether another target may be asked while the first one has not answered.
    pub(super) fn may_ask_beside(&self) -> bool {
        self.node.policies().ask_beside && self.route.repeatable()
    }

    /// When another answer may go on with its stream.
    pub(crate) fn seek_policy(&self) -> SeekPolicy {
        match (self.route.repeatable(), self.may_ask_beside()) {
            (false, _) => SeekPolicy::Never,
            (true, false) => SeekPolicy::AfterEnd,
            (true, true) => SeekPolicy::BesideSilent,
        }
    }

    /// Why it may not be sent to another target.
    fn cannot_ask_another(&self) -> Option<&'static str> {
        if !self.route.repeatable() {
            return Some("it may run only once");
        }
        if self.only_tried() {
            return Some("its attempts are spent");
        }
        if !self.may_change_target() {
            return Some("its version is not known");
        }
        (self.remaining_ms() == 0).then_some("its deadline has passed")
    }

    /// Records that the target of `send` has been silent for long.
    pub(crate) fn record_silent(&self, send: &ActiveSend) {
        send.record_outcome(false, FAILED_WEIGHT);
        self.node.metrics.silence();
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, target_id:% = send.target, ms = send.elapsed_ms(), left = self.remaining_ms(); "target is silent");
    }

    /// Records that another answer went on in place of that of `send`.
    pub(crate) fn record_superseded(&mut self, send: &ActiveSend) {
        self.history.record(Outcome::Indeterminate);
        let cause = EndCause::Superseded;
        self.node.metrics.answer_ended(cause);
        self.log_send(&send.target, cause.name(), "another target answered first");
    }

    /// Sends to targets so far.
    pub(crate) fn sends(&self) -> u32 {
        self.deliveries
    }

    /// Records the send that was cancelled as the first target went on, if there was one
    /// after the first `before`.
    pub(crate) fn record_cancelled(&mut self, before: u32) {
        if self.deliveries > before {
            self.history.record(Outcome::Indeterminate);
            self.node.metrics.answer_ended(EndCause::Superseded);
        }
    }

    pub(crate) fn log_not_asked(&self, why: &'static str) {
        let is_stream = self.route.kind == RouteKind::Stream;
        log::info!(target: "serve", id:% = self.client_request.id, refused = why, is_stream, left = self.remaining_ms(); "no other target answers");
    }
}
