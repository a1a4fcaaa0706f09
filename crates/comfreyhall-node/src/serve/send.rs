//! Sending a request once, and evaluating the response.

use comfreyhall_domain::{Name, Outcome, Refusal};
use comfreyhall_relay::EndCause;
use comfreyhall_routing::Presence;

use super::{
    ActiveRequest, Reply,
    exchange::{Exchange, Exchanged},
    reply::Next,
    request::{FAILED_WEIGHT, UNREACHABLE_MS},
};
use crate::{
    active_send::{ActiveSend, RunHandle},
    choose::Plan,
    outbound::{self, Permit, UnavailableTargets},
    ports::{BodyError, SendError, SendOptions},
    relay::Relay,
    source::StreamStart,
};

/// Minimum time without a first event after which another target is asked beside the
/// silent one, in ms, and the factor on the estimate: the estimate is off by a prompt or
/// two, and the longest prompts take over a second. Asking too early wastes a prefill
/// and one of two attempts.
const MIN_FIRST_EVENT_MS: u64 = 1_200;

const FIRST_EVENT_FACTOR: f64 = 2.5;

const UNREACHABLE_WEIGHT: f64 = 2.0;

impl ActiveRequest {
    /// How long the target of `plan` may be silent before another one is asked beside it;
    /// `None` if none may be.
    fn silence_limit_ms(&self, plan: &Plan) -> Option<u64> {
        let may_ask = self.may_ask_beside() && !self.only_tried();
        may_ask.then_some(MIN_FIRST_EVENT_MS + (plan.wait_ms * FIRST_EVENT_FACTOR) as u64)
    }

    /// Asks for permission to send to the plan's target now; a target that takes
    /// nothing is excluded from the next choices.
    pub(super) async fn permit(&mut self, plan: &Plan) -> Option<Permit> {
        match outbound::permit(&self.node, &plan.target, plan.granted).await {
            Ok(permit) => Some(permit),
            Err(blocked) => {
                log::debug!(target: "serve", id:% = self.client_request.id, target_id:% = plan.target.id, why = blocked.why, retry_ms = blocked.retry_ms; "not sent");
                self.unavailable.push(plan.target.id.clone());
                None
            }
        }
    }

    /// Ms until one of its targets may take work, if none does now.
    pub(super) fn all_unavailable_ms(&self) -> Option<u64> {
        let now = self.node.now();
        let unavailable = UnavailableTargets::current(&self.node, now);
        let ready = self.node.view().ready_targets(&self.service, now);
        unavailable.all_ms(ready.iter().map(|t| &t.id))
    }

    /// Logs why none of its targets takes work, rate limited.
    pub(super) fn log_unavailable(&self) {
        let now = self.node.now();
        let Some(left_out) = self.node.log_limits.unavailable.take(now) else {
            return;
        };
        let ready = self.node.view().ready_targets(&self.service, now);
        let targets = outbound::describe_unavailable(&self.node, &ready, now);
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, targets, left_out; "targets take nothing");
    }

    /// Sends it to the target of `plan`. The target counts as tried from now on, whatever
    /// becomes of the send.
    pub(super) fn begin_send(
        &mut self,
        mut plan: Plan,
        permit: Permit,
        last_event: Option<u64>,
    ) -> Exchange {
        let options = SendOptions {
            timeout_ms: self.remaining_ms(),
            required_version: plan.required_version,
            priority: self.rank,
            workspace: self.caller.workspace().map(|w| w.name.clone()),
            last_event,
        };
        if let Some(credit) = &mut self.credit {
            credit.mark_sent();
        }
        let now = self.node.now();
        {
            let view = self.node.view();
            self.settings_age_ms = view.records.settings_sync.age_ms(now);
            self.targets_age_ms = view.records.targets.age(now);
        }
        self.software = plan.target.software.clone();
        let adapter = self
            .client_request
            .adapter
            .clone()
            .filter(|_| self.engine.is_some());
        let run_handle = self.run_handle(&mut plan);
        let send = ActiveSend::begin(
            &self.node,
            &plan.target,
            adapter,
            plan.unread_tokens,
            run_handle,
        );
        let is_first = self.mark_delivered(&plan.target.id);
        let silent_ms = self.silence_limit_ms(&plan);
        let mut exchange = Exchange::begin(plan, send, permit, self, options, silent_ms);
        exchange.is_first = is_first;
        exchange
    }

    /// The handle under which this run is reported: the holder's, or a new one if
    /// the request goes there without a binding; none if the target is not an
    /// engine.
    fn run_handle(&self, plan: &mut Plan) -> Option<RunHandle> {
        let new_handle = || {
            let run = self.node.fleet.next_run_id();
            RunHandle::new(&self.node, run, plan.target.clone(), self.slot_share())
        };
        self.engine.as_ref()?;
        Some(plan.run_handle.take().unwrap_or_else(new_handle))
    }

    /// Notes a send to `target`; returns whether it is the first one there.
    fn mark_delivered(&mut self, target: &Name) -> bool {
        self.deliveries += 1;
        self.open_sends.begin(target);
        self.probes.clear();
        let is_first = !self.tried.contains(target);
        if is_first {
            self.tried.push(target.clone());
        }
        is_first
    }

    /// Takes back what [`Self::mark_delivered`] noted, as nothing reached the target. One
    /// that had received the request before stays tried.
    fn mark_undelivered(&mut self, target: &Name, is_first: bool) {
        self.deliveries = self.deliveries.saturating_sub(1);
        if is_first {
            self.tried.retain(|t| t != target);
        }
    }

    pub(super) fn log_send(&self, target: &Name, outcome: &'static str, why: &str) {
        self.node.metrics.send(outcome);
        let left = self.remaining_ms();
        let fingerprint = self.fingerprint();
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, fingerprint:%, segments = self.client_request.segment_ids(), target_id:% = target, software = self.software(), listed = self.targets_age_ms, outcome, why, left, config = self.config_version, bound = self.bound_after_ms, age = self.settings_age_ms; "send");
    }

    /// Turns what came of a send into the caller's answer, or decides to retry.
    pub(super) fn conclude(&mut self, exchange: Exchange, outcome: Exchanged) -> Next {
        let Exchange {
            plan,
            send,
            is_first,
            ..
        } = exchange;
        if !matches!(outcome, Exchanged::Stream(_)) {
            self.open_sends.settle(&send.target);
        }
        match outcome {
            Exchanged::Stream(start) => return self.begin_relay(*start, send, &plan),
            Exchanged::Whole(answer) => return self.handle_whole(answer, send),
            Exchanged::Refused(refusal) => self.handle_refusal(refusal, &send, &plan),
            Exchanged::Unverified => {
                self.history.record(Outcome::Indeterminate);
                send.record_outcome(false, FAILED_WEIGHT);
                self.node.metrics.answer_ended(EndCause::Broken);
                let why = "the response lacks the marker of a target";
                self.log_send(&send.target, "in doubt", why);
            }
            Exchanged::Broken(error) => self.handle_broken(&error, &send),
            Exchanged::Failed(error) => self.handle_failed(error, &send, is_first),
        }
        Next::Retry
    }

    /// Records an answer that ended before the caller got any of it.
    fn handle_broken(&mut self, error: &BodyError, send: &ActiveSend) {
        if error.cause.may_be_target_end() {
            self.report_closed(send);
        }
        self.history.record(Outcome::Broken);
        if error.cause.is_target_failure() {
            send.record_outcome(false, FAILED_WEIGHT);
        }
        self.node.metrics.answer_ended(error.cause);
        self.log_send(&send.target, error.cause.name(), &error.reason);
    }

    /// Records a send without an answer.
    fn handle_failed(&mut self, error: SendError, send: &ActiveSend, is_first: bool) {
        let target = &send.target;
        match error {
            SendError::NotSent(why) => {
                self.mark_undelivered(target, is_first);
                self.unreached += 1;
                self.history.record(Outcome::NotSent);
                send.record_outcome(false, UNREACHABLE_WEIGHT);
                let until_ms = self.node.now() + UNREACHABLE_MS;
                self.node
                    .view()
                    .unavailable_until
                    .insert(target.clone(), until_ms);
                self.log_send(target, "not sent", &why);
            }
            SendError::ConnectionClosed(why) => {
                self.history.record(Outcome::Indeterminate);
                send.record_outcome(false, FAILED_WEIGHT);
                self.report_closed(send);
                self.log_send(target, "in doubt", &why);
            }
            SendError::Indeterminate(why) => {
                self.history.record(Outcome::Indeterminate);
                send.record_outcome(false, FAILED_WEIGHT);
                self.log_send(target, "in doubt", &why);
            }
        }
    }

    pub(super) fn handle_refusal(&mut self, refusal: Refusal, send: &ActiveSend, plan: &Plan) {
        self.history.record(Outcome::Refused(refusal));
        let now = self.node.now();
        let target = &send.target;
        match (refusal, &self.client_request.adapter) {
            (Refusal::WrongTarget, Some(adapter)) => {
                let mut view = self.node.view();
                view.residency
                    .record(adapter, target, Presence::Absent, now);
            }
            (Refusal::WrongTarget, None) => {
                let until_ms = now + UNREACHABLE_MS;
                self.node
                    .view()
                    .unavailable_until
                    .insert(target.clone(), until_ms);
            }
            (Refusal::Full, _) => {
                self.full_refusals += 1;
                self.unavailable.push(target.clone());
                send.record_outcome(false, FAILED_WEIGHT);
            }
            _ => send.record_outcome(false, FAILED_WEIGHT),
        }
        self.log_send(
            target,
            "refused",
            match refusal {
                Refusal::Full => "the target is full",
                Refusal::WrongTarget => "the target does not have what it needs",
                Refusal::Other => "the target refused it for another reason",
            },
        );
        log::debug!(target: "serve", id:% = self.client_request.id, expect:? = plan.required_version, load = plan.needs_load; "target refused the request");
    }

    /// Relays a stream whose first event has arrived.
    fn begin_relay(&mut self, start: StreamStart, mut send: ActiveSend, plan: &Plan) -> Next {
        send.record_first_event();
        if let Some(adapter) = &self.client_request.adapter {
            let now = self.node.now();
            let mut view = self.node.view();
            let target = &plan.target.id;
            view.prefixes
                .record(adapter, &self.client_request.prompt_segments, target, now);
        }
        self.stream_began(&plan.target);
        let (status, headers) = (start.status, start.headers.clone());
        let request = self.detach();
        self.node.metrics.first_event(request.first_event_ms);
        let relay = Relay::new(start, send, &request);
        let body = relay.run(request);
        Next::Reply(Reply::Stream {
            status,
            headers,
            body,
        })
    }

    /// Moves the request into its stream.
    pub(super) fn detach(&mut self) -> ActiveRequest {
        self.finished = true;
        ActiveRequest {
            node: self.node.clone(),
            client_request: self.client_request.clone(),
            requirements: self.requirements.clone(),
            features: self.features.clone(),
            route: self.route.clone(),
            caller: self.caller.clone(),
            rank: self.rank,
            config_version: self.config_version,
            bound_after_ms: self.bound_after_ms,
            settings_age_ms: self.settings_age_ms,
            software: self.software.clone(),
            targets_age_ms: self.targets_age_ms,
            stream: self.stream.clone(),
            running: self.running.take(),
            credit: self.credit.take(),
            service: self.service.clone(),
            engine: self.engine.clone(),
            began_ms: self.began_ms,
            deadline_ms: self.deadline_ms,
            seed: self.seed,
            tried: self.tried.clone(),
            unavailable: Vec::new(),
            slot_offers: Vec::new(),
            slot_group: None,
            full_refusals: self.full_refusals,
            history: self.history,
            deliveries: self.deliveries,
            open_sends: self.open_sends.clone(),
            unreached: self.unreached,
            may_pass_on: false,
            fallback: None,
            in_flight: self.in_flight.take(),
            load_wait_ms: self.load_wait_ms,
            first_event_ms: self.node.now() - self.began_ms,
            trial: self.trial.take(),
            probes: std::mem::take(&mut self.probes),
            finished: false,
        }
    }
}
