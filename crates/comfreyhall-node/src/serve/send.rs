//! Sending a request once, and evaluating the response.

use std::time::Duration;

use comfreyhall_domain::{Name, Outcome, Refusal};
use comfreyhall_routing::Presence;

use super::{ActiveRequest, Reply, place::BindOutcome, renew::Renewal};
use crate::{
    active_send::{ActiveSend, RunHandle},
    choose::{self, Plan},
    outbound::{self, Permit, UnavailableTargets},
    ports::{Response, SendError, SendOptions},
    relay::Relay,
};

/// How long a target that could not be reached is excluded, in ms.
pub(super) const UNREACHABLE_MS: u64 = 700;

/// Minimum time after which a missing first event means a hung target, in ms,
/// and the factor on the estimate: the estimate is off by a prompt or two, and
/// the longest prompts take over a second. Giving up on a target too early
/// wastes its prefill and one of two attempts.
const MIN_FIRST_EVENT_MS: u64 = 1_200;

const FIRST_EVENT_FACTOR: f64 = 2.5;

/// How much a failure counts against a target; an answer counts 1.
pub(super) const FAILED_WEIGHT: f64 = 1.0;

const UNREACHABLE_WEIGHT: f64 = 2.0;

/// Targets considered for the rest of a stream: each one lengthens the pause
/// that the caller sees.
const MAX_RESUME_CHOICES: u32 = 3;

/// What follows after a send.
pub(super) enum Next {
    Reply(Reply),
    Retry,
}

impl ActiveRequest {
    /// How long to wait for the first event before another target is tried.
    pub(super) fn first_event_timeout_ms(&self, plan: &Plan) -> u64 {
        let tries = self.tried.len() as u32 + 1;
        let may_abandon = self.node.policies().abandon_silent;
        if !may_abandon || !choose::repeatable(&self.route) || tries >= self.route.max_attempts {
            return self.remaining_ms();
        }
        let timeout_ms = MIN_FIRST_EVENT_MS + (plan.wait_ms * FIRST_EVENT_FACTOR) as u64;
        timeout_ms.min(self.remaining_ms())
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

    /// Sends it; an error has already been added to the verdict.
    pub(crate) async fn send(
        &mut self,
        plan: &mut Plan,
        permit: Permit,
        last_event: Option<u64>,
    ) -> Result<(Response, ActiveSend), ()> {
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
        let run_handle = self.run_handle(plan);
        let send = ActiveSend::begin(
            &self.node,
            &plan.target,
            adapter,
            plan.unread_tokens,
            run_handle,
        );
        let patience = Duration::from_millis(self.first_event_timeout_ms(plan));
        let client_request = self.client_request.clone();
        match outbound::send(
            &self.node,
            &plan.target,
            permit,
            client_request,
            options,
            patience,
        )
        .await
        {
            Ok(response) => {
                self.mark_delivered(&plan.target.id);
                Ok((response, send))
            }
            Err(SendError::NotSent(why)) => {
                self.unreached += 1;
                self.history.record(Outcome::NotSent);
                send.record_outcome(false, UNREACHABLE_WEIGHT);
                let until_ms = self.node.now() + UNREACHABLE_MS;
                self.node
                    .view()
                    .unavailable_until
                    .insert(plan.target.id.clone(), until_ms);
                self.log_send(&plan.target.id, "not sent", &why);
                Err(())
            }
            Err(SendError::ConnectionClosed(why)) => {
                self.mark_delivered(&plan.target.id);
                self.history.record(Outcome::Indeterminate);
                send.record_outcome(false, FAILED_WEIGHT);
                self.report_closed(&send);
                self.log_send(&plan.target.id, "in doubt", &why);
                Err(())
            }
            Err(SendError::Indeterminate(why)) => {
                self.mark_delivered(&plan.target.id);
                self.history.record(Outcome::Indeterminate);
                send.record_outcome(false, FAILED_WEIGHT);
                self.log_send(&plan.target.id, "in doubt", &why);
                Err(())
            }
        }
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

    pub(super) fn mark_delivered(&mut self, target: &Name) {
        self.deliveries += 1;
        if !self.tried.contains(target) {
            self.tried.push(target.clone());
        }
    }

    pub(super) fn log_send(&self, target: &Name, outcome: &'static str, why: &str) {
        self.node.metrics.send(outcome);
        let left = self.remaining_ms();
        let fingerprint = self.fingerprint();
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, fingerprint:%, segments = self.client_request.segment_ids(), target_id:% = target, software = self.software(), listed = self.targets_age_ms, outcome, why, left, config = self.config_version, bound = self.bound_after_ms, age = self.settings_age_ms; "send");
    }

    /// Turns a target's response into the caller's answer, or decides to retry.
    pub(super) async fn handle_response(
        &mut self,
        response: Response,
        send: ActiveSend,
        plan: Plan,
    ) -> Next {
        if let Some(refusal) = response.refusal {
            self.handle_refusal(refusal, &send, &plan);
            return Next::Retry;
        }
        if response.status.is_success() && !response.verified {
            self.history.record(Outcome::Indeterminate);
            send.record_outcome(false, FAILED_WEIGHT);
            self.log_send(
                &send.target,
                "in doubt",
                "the response lacks the marker of a target",
            );
            return Next::Retry;
        }
        if response.status.is_success() && response.event_stream {
            return self.relay(response, send, plan).await;
        }
        self.handle_plain(response, send).await
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

    pub(super) async fn relay(&mut self, response: Response, send: ActiveSend, plan: Plan) -> Next {
        let (status, headers) = (response.status, response.headers.clone());
        let patience = self
            .first_event_timeout_ms(&plan)
            .saturating_sub(send.elapsed_ms())
            .max(1);
        let mut relay = Relay::new(response, send, self.client_request.last_event_id);
        let first = relay.first_event(Duration::from_millis(patience)).await;
        match first {
            Ok(()) => {
                if let Some(adapter) = &self.client_request.adapter {
                    let now = self.node.now();
                    let mut view = self.node.view();
                    let target = &plan.target.id;
                    view.prefixes.record(
                        adapter,
                        &self.client_request.prompt_segments,
                        target,
                        now,
                    );
                }
                self.stream_began(&plan.target);
                let request = self.detach();
                self.node.metrics.first_event(request.first_event_ms);
                let body = relay.run(request);
                Next::Reply(Reply::Stream {
                    status,
                    headers,
                    body,
                })
            }
            Err(why) => {
                if relay.connection_closed {
                    self.report_closed(&relay.send);
                }
                self.history.record(Outcome::Broken);
                relay.send.record_outcome(false, FAILED_WEIGHT);
                self.log_send(&plan.target.id, "broken off before its first event", &why);
                Next::Retry
            }
        }
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
            unreached: self.unreached,
            may_pass_on: false,
            fallback: None,
            in_flight: self.in_flight.take(),
            load_wait_ms: self.load_wait_ms,
            first_event_ms: self.node.now() - self.began_ms,
            trial: self.trial.take(),
            finished: false,
        }
    }

    /// Chooses a target for the rest of an interrupted stream and sends it there; an
    /// error says why no target was asked, or that the asked one did not answer.
    pub(crate) async fn resume_elsewhere(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Response, ActiveSend), &'static str> {
        if let Some(why) = self.cannot_resume() {
            return Err(why);
        }
        if self.quarantined().await.is_some() {
            return Err("it is quarantined");
        }
        if !self.take_retry() {
            return Err("the retry budget is spent");
        }
        for _ in 0..MAX_RESUME_CHOICES {
            if !matches!(self.renew(), Ok(Renewal::Unchanged)) {
                return Err("its settings have changed");
            }
            let mut plan = self.choose().ok_or("no target can take it")?;
            if !matches!(self.bind(&mut plan).await, BindOutcome::Engine) {
                return Err("no engine is bound");
            }
            let Some(permit) = self.permit(&plan).await else {
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
            let sent = self.send(&mut plan, permit, last_event).await;
            return sent.map_err(|()| "the target did not answer");
        }
        Err("its targets take no more now")
    }

    /// Why the rest of its stream may not be sent to another target.
    fn cannot_resume(&self) -> Option<&'static str> {
        if !self.history.may_send(self.route.repeatable(), u32::MAX) {
            return Some("it may run only once");
        }
        if self.tried.len() as u32 >= self.route.max_attempts {
            return Some("its attempts are spent");
        }
        if !self.may_change_target() {
            return Some("its version is not known");
        }
        (self.remaining_ms() == 0).then_some("its deadline has passed")
    }
}
