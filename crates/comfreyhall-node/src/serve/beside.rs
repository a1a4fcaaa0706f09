//! Asking another target beside one that is silent.
//!
//! A target that is silent may have ended, or may go on in a moment. The request stays
//! with it, and is sent to another target besides. Whichever answers first goes on, and
//! the other run is cancelled.

use std::time::Duration;

use comfreyhall_domain::{Name, Outcome, RouteKind};
use comfreyhall_relay::{EndCause, SeekPolicy, SeekTimer};
use futures::{FutureExt, future::select_all};

use super::{
    ActiveRequest,
    exchange::{Exchange, Exchanged},
    place::BindOutcome,
    renew::Renewal,
    request::FAILED_WEIGHT,
};
use crate::active_send::ActiveSend;

/// Wait for what has arrived while this process was stopped or busy, before its target
/// counts as silent.
pub(crate) const ARRIVED_WAIT: Duration = Duration::from_millis(20);

/// Targets considered each time: each one lengthens the pause that the caller sees.
const MAX_CHOICES: u32 = 3;

/// The success of a send to another target, or why there is none.
pub(crate) type Elsewhere = Result<Box<(Exchange, Exchanged)>, &'static str>;

/// A send whose outcome is known.
type Ended = (Exchange, Exchanged);

/// Awaits the first outcome of `open`, which is not empty, and removes that send. Nothing
/// is lost if the future is dropped.
async fn next_outcome(open: &mut Vec<Exchange>) -> Ended {
    let outcomes = open.iter_mut().map(|e| e.outcome().boxed());
    let (outcome, at, _) = select_all(outcomes).await;
    (open.remove(at), outcome)
}

impl ActiveRequest {
    /// Awaits the outcome of `first`, or of a send to another target that answers while
    /// `first` is silent.
    pub(super) async fn await_outcome(&mut self, first: Exchange) -> Ended {
        let last_event = self.client_request.last_event_id;
        self.first_success(first, last_event, None).await
    }

    /// Awaits the first success of `first` and of sends to other targets, each of which is
    /// asked once those before it are silent; if none succeeds, returns the last failure.
    /// The answer of the target `kept` is open besides.
    async fn first_success(
        &mut self,
        first: Exchange,
        last_event: Option<u64>,
        kept: Option<&Name>,
    ) -> Ended {
        let mut timer = SeekTimer::new(first.silent_ms, self.node.now());
        let mut open = vec![first];
        loop {
            let last = open.last().map(|e| e.plan.target.id.clone());
            tokio::select! {
                biased;
                (exchange, outcome) = next_outcome(&mut open) => {
                    if outcome.is_success() || open.is_empty() {
                        return self.supersede(open, (exchange, outcome));
                    }
                    if last.as_ref() == Some(&exchange.plan.target.id) {
                        timer.failed(self.node.now());
                    }
                    self.record_failure(exchange, outcome);
                    continue;
                }
                () = self.silence(timer.due_ms()) => {}
            }
            self.note_silent(&mut open);
            if self.cannot_ask_another().is_some() {
                timer.not_asked(self.node.now());
                continue;
            }
            let mut failed = Vec::new();
            let before = self.binding();
            let sent = {
                let open_targets = open.iter().map(|e| &e.plan.target.id);
                let open_targets: Vec<Name> = open_targets.chain(kept).cloned().collect();
                let sending = self.send_elsewhere(last_event, &open_targets);
                tokio::pin!(sending);
                loop {
                    tokio::select! {
                        biased;
                        ended = next_outcome(&mut open), if !open.is_empty() => {
                            if ended.1.is_success() {
                                break Err(ended);
                            }
                            // The other target may still answer.
                            failed.push(ended);
                        }
                        sent = &mut sending => break Ok(sent),
                    }
                }
            };
            let last_failed = match &sent {
                Ok(Err(_)) if open.is_empty() => failed.pop(),
                _ => None,
            };
            for (exchange, outcome) in failed {
                self.record_failure(exchange, outcome);
            }
            match sent {
                Ok(Ok(exchange)) => {
                    timer.asked(exchange.silent_ms, self.node.now());
                    open.push(exchange);
                }
                Ok(Err(why)) => {
                    self.restore(&before);
                    self.log_not_asked(why);
                    if let Some(ended) = last_failed {
                        return self.supersede(open, ended);
                    }
                    timer.not_asked(self.node.now());
                }
                Err(ended) => return self.supersede(open, ended),
            }
        }
    }

    /// Waits until another target is to be sought at `due_ms`, and for what has arrived
    /// meanwhile.
    async fn silence(&self, due_ms: Option<u64>) {
        let Some(due_ms) = due_ms else {
            return std::future::pending().await;
        };
        let left_ms = due_ms.saturating_sub(self.node.now());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
        tokio::time::sleep(ARRIVED_WAIT).await;
    }

    /// Notes that the target that was asked last is silent.
    fn note_silent(&self, open: &mut [Exchange]) {
        let Some(last) = open.last_mut().filter(|e| !e.is_silent) else {
            return;
        };
        last.is_silent = true;
        if self.remaining_ms() > 0 {
            self.record_silent(&last.send);
        }
    }

    /// Cancels the sends `open`, as the one of `ended` goes on by the settings under which it
    /// was sent.
    fn supersede(&mut self, open: Vec<Exchange>, ended: Ended) -> Ended {
        for exchange in open {
            self.record_superseded(&exchange.send);
        }
        self.restore(&ended.0.binding);
        ended
    }

    /// Sends the request, or the rest of its stream after `last_event`, to another target
    /// than `open`, whose answer is open, and awaits a success; an error says why there is
    /// none.
    pub(crate) async fn answer_elsewhere(
        &mut self,
        last_event: Option<u64>,
        open: Option<&Name>,
    ) -> Elsewhere {
        let open_targets: Vec<Name> = open.into_iter().cloned().collect();
        let first = self.send_elsewhere(last_event, &open_targets).await?;
        let (exchange, outcome) = self.first_success(first, last_event, open).await;
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
            self.open_sends.settle(&exchange.send.target);
            exchange.send.record_outcome(false, FAILED_WEIGHT);
            let answer = (answer.status, answer.headers, answer.body);
            self.fallback.get_or_insert(answer);
        } else {
            self.conclude(exchange, outcome);
        }
    }

    /// Chooses another target than those of `open` and sends the request there.
    async fn send_elsewhere(
        &mut self,
        last_event: Option<u64>,
        open: &[Name],
    ) -> Result<Exchange, &'static str> {
        if let Some(why) = self.cannot_ask_another() {
            return Err(why);
        }
        if self.quarantined().await.is_some() {
            return Err("it is quarantined");
        }
        // What was excluded at an earlier time may take it now.
        self.unavailable.clear();
        self.unavailable.extend_from_slice(open);
        if self.only_tried() {
            let tried = self.tried.iter();
            let failed = tried.filter(|t| !self.open_sends.may_repeat(t));
            self.unavailable.extend(failed.cloned());
        }
        for _ in 0..MAX_CHOICES {
            // It may have to wait for its turn, which is no time to hold a permit.
            if self.quarantined().await.is_some() {
                return Err("it is quarantined");
            }
            if !matches!(self.renew(), Ok(Renewal::Unchanged | Renewal::Moved)) {
                return Err("its settings have changed");
            }
            // They may say otherwise.
            if let Some(why) = self.cannot_ask_another() {
                return Err(why);
            }
            let mut plan = self.choose().ok_or("no target can take it")?;
            if !matches!(self.bind(&mut plan).await, BindOutcome::Engine) {
                return Err("no engine is bound");
            }
            let may_repeat = self.open_sends.may_repeat(&plan.target.id);
            if open.contains(&plan.target.id) || (self.only_tried() && !may_repeat) {
                return Err("no other target can take it");
            }
            let Some(permit) = self.permit(&plan).await else {
                continue;
            };
            if self.must_wait() {
                continue;
            }
            if self.quarantined().await.is_some() {
                return Err("it is quarantined");
            }
            if !self.target_still_accepts(&plan) {
                return Err("the target takes no more work");
            }
            if !self.stop_allows(&plan) {
                return Err("its answer would outlast the stop");
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
        if self.only_tried() && !self.open_sends.may_repeat_any() {
            return Some("its attempts are spent");
        }
        if !self.may_change_target() {
            return Some("its version is not known");
        }
        if !self.stop_allows_send() {
            return Some("the stop is near its end");
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
        self.open_sends.cancel(&send.target);
        let cause = EndCause::Superseded;
        self.node.metrics.answer_ended(cause);
        self.log_send(&send.target, cause.name(), "another target answered first");
    }

    /// Sends whose outcome is not recorded yet.
    pub(crate) fn open_sends(&self) -> u32 {
        self.open_sends.len()
    }

    /// Notes that the outcome of `send` is known.
    pub(crate) fn settle(&mut self, send: &ActiveSend) {
        self.open_sends.settle(&send.target);
    }

    /// Records the sends that were cancelled as the first target went on: all but `open`.
    pub(crate) fn record_cancelled(&mut self, open: u32) {
        for _ in 0..self.open_sends.cancel_after(open) {
            self.history.record(Outcome::Indeterminate);
            self.node.metrics.answer_ended(EndCause::Superseded);
        }
    }

    pub(crate) fn log_not_asked(&self, why: &'static str) {
        let is_stream = self.route.kind == RouteKind::Stream;
        log::info!(target: "serve", id:% = self.client_request.id, refused = why, is_stream, left = self.remaining_ms(); "no other target answers");
    }
}
