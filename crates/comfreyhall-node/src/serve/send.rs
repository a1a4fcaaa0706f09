//! One send of a request, and what its answer means.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::{Name, Outcome, Refusal, RouteKind};
use comfreyhall_routing::Presence;
use futures::StreamExt;
use http::{HeaderMap, StatusCode};

use super::{Job, Reply, place::Found, whole};
use crate::{
    choose::{self, Plan},
    flight::{Flight, Seat},
    outbound::{self, Permit, UnavailableTargets},
    ports::{Body, BodyError, Response, SendError, SendOptions},
    relay::Relay,
};

/// A target that could not be reached is left out this long, in ms.
pub(super) const UNREACHED_MS: u64 = 700;

/// Least ms after which a missing first event is taken for a mute target,
/// and how many times the estimate: the estimate errs by a prompt or two, and
/// the longest prompts take over a second. A target left too early reads the
/// prompt for nothing, and one of two sends is spent.
const PATIENCE_MS: u64 = 1_200;

const PATIENCE_TIMES: f64 = 2.5;

/// How much a failure proves about a target, against an answer's 1.
const FAILED_WEIGHT: f64 = 1.0;

const UNREACHED_WEIGHT: f64 = 2.0;

/// Targets that are looked at for the rest of a stream, at most: its caller's
/// pause grows with each.
const CHOICES: u32 = 3;

/// What the next step is after a send.
pub(super) enum Next {
    Reply(Reply),
    Again,
}

impl Job {
    /// How long a first event may stay away before another target is tried.
    pub(super) fn patience(&self, plan: &Plan) -> u64 {
        let tries = self.tried.len() as u32 + 1;
        let mute = self.node.policies().abandon_silent;
        if !mute || !choose::repeatable(&self.route) || tries >= self.route.max_attempts {
            return self.left();
        }
        let patience = PATIENCE_MS + (plan.wait_ms * PATIENCE_TIMES) as u64;
        patience.min(self.left())
    }

    /// That it may be sent to the plan's target now; a target that takes nothing
    /// is left out for a while.
    pub(super) async fn permit(&mut self, plan: &Plan) -> Option<Permit> {
        match outbound::permit(&self.node, &plan.target, plan.granted).await {
            Ok(permit) => Some(permit),
            Err(closed) => {
                log::debug!(target: "serve", id:% = self.ask.id, target_id:% = plan.target.id, why = closed.why, retry_ms = closed.retry_ms; "not sent");
                self.closed.push(plan.target.id.clone());
                None
            }
        }
    }

    /// Ms until one of its targets may take something, if none does now.
    pub(super) fn shut_ms(&self) -> Option<u64> {
        let now = self.node.now();
        let unavailable = UnavailableTargets::current(&self.node, now);
        let ready = self.node.view().ready_targets(&self.service, now);
        unavailable.all_ms(ready.iter().map(|t| &t.id))
    }

    /// One line on why none of its targets takes anything, but for a flood of them.
    pub(super) fn tell_shut(&self) {
        let now = self.node.now();
        let Some(left_out) = self.node.log_limits.shut.take(now) else {
            return;
        };
        let ready = self.node.view().ready_targets(&self.service, now);
        let targets = outbound::describe_unavailable(&self.node, &ready, now);
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, targets, left_out; "targets take nothing");
    }

    /// Sends it; an error has been taken into the verdict.
    pub(crate) async fn send(
        &mut self,
        plan: &mut Plan,
        permit: Permit,
        last_event: Option<u64>,
    ) -> Result<(Response, Flight), ()> {
        let options = SendOptions {
            timeout_ms: self.left(),
            required_version: plan.expect,
            priority: self.rank,
            workspace: self.caller.workspace().map(|w| w.name.clone()),
            last_event,
        };
        if let Some(credit) = &mut self.credit {
            credit.mark_sent();
        }
        let adapter = self.ask.adapter.clone().filter(|_| self.engine.is_some());
        let seat = self.seat(plan);
        let flight = Flight::begin(&self.node, &plan.target, adapter, plan.tokens, seat);
        let patience = Duration::from_millis(self.patience(plan));
        let ask = self.ask.clone();
        match outbound::send(&self.node, &plan.target, permit, ask, options, patience).await {
            Ok(response) => {
                self.arrive(&plan.target.id);
                Ok((response, flight))
            }
            Err(SendError::NotSent(why)) => {
                self.verdict.record(Outcome::NotSent);
                flight.note(false, UNREACHED_WEIGHT);
                let until = self.node.now() + UNREACHED_MS;
                self.node
                    .view()
                    .unavailable_until
                    .insert(plan.target.id.clone(), until);
                self.tell(&plan.target.id, "not sent", &why);
                Err(())
            }
            Err(SendError::ConnectionClosed(why)) => {
                self.arrive(&plan.target.id);
                self.verdict.record(Outcome::Indeterminate);
                flight.note(false, FAILED_WEIGHT);
                self.broke(&flight);
                self.tell(&plan.target.id, "in doubt", &why);
                Err(())
            }
            Err(SendError::Indeterminate(why)) => {
                self.arrive(&plan.target.id);
                self.verdict.record(Outcome::Indeterminate);
                flight.note(false, FAILED_WEIGHT);
                self.tell(&plan.target.id, "in doubt", &why);
                Err(())
            }
        }
    }

    /// What the run of this send is told under: the holder's, or one of its
    /// own if it goes there unasked; none at a target that is no engine.
    fn seat(&self, plan: &mut Plan) -> Option<Seat> {
        let own = || {
            let run = self.node.fleet.next_run_id();
            Seat::new(&self.node, run, plan.target.clone())
        };
        self.engine.as_ref()?;
        Some(plan.seat.take().unwrap_or_else(own))
    }

    pub(super) fn arrive(&mut self, target: &Name) {
        self.arrivals += 1;
        if !self.tried.contains(target) {
            self.tried.push(target.clone());
        }
    }

    pub(super) fn tell(&self, target: &Name, outcome: &'static str, why: &str) {
        self.node.metrics.send(outcome);
        let left = self.left();
        let fingerprint = self.fingerprint();
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, fingerprint:%, target_id:% = target, outcome, why, left, config = self.config; "send");
    }

    /// Turns a target's answer into the caller's, or decides to go on.
    pub(super) async fn answer(
        &mut self,
        response: Response,
        mut flight: Flight,
        plan: Plan,
    ) -> Next {
        if let Some(refusal) = response.refusal {
            self.refused(refusal, &flight, &plan);
            return Next::Again;
        }
        if response.status.is_success() && !response.verified {
            self.verdict.record(Outcome::Indeterminate);
            flight.note(false, FAILED_WEIGHT);
            self.tell(&flight.target, "in doubt", "the answer is not a target's");
            return Next::Again;
        }
        if response.status.is_success() && response.event_stream {
            return self.relay(response, flight, plan).await;
        }
        let (status, headers) = (response.status, response.headers);
        let left = Duration::from_millis(self.left());
        let body = tokio::time::timeout(left, collect(response.body)).await;
        match body {
            Ok(Ok(body)) => {
                flight.first();
                self.whole(status, headers, body, flight)
            }
            broken => {
                let why = match broken {
                    Ok(Err(broken)) => {
                        if broken.connection_closed {
                            self.broke(&flight);
                        }
                        broken.reason
                    }
                    _ => "its time is up".to_string(),
                };
                self.verdict.record(Outcome::Broken);
                flight.note(false, FAILED_WEIGHT);
                self.tell(&flight.target, "broken off", &why);
                Next::Again
            }
        }
    }

    pub(super) fn refused(&mut self, refusal: Refusal, flight: &Flight, plan: &Plan) {
        self.verdict.record(Outcome::Refused(refusal));
        let now = self.node.now();
        let target = &flight.target;
        match (refusal, &self.ask.adapter) {
            (Refusal::WrongTarget, Some(adapter)) => {
                let mut view = self.node.view();
                view.residency
                    .record(adapter, target, Presence::Absent, now);
            }
            (Refusal::WrongTarget, None) => {
                let until = now + UNREACHED_MS;
                self.node
                    .view()
                    .unavailable_until
                    .insert(target.clone(), until);
            }
            (Refusal::Full, _) => {
                self.full += 1;
                self.closed.push(target.clone());
                flight.note(false, FAILED_WEIGHT);
            }
            _ => flight.note(false, FAILED_WEIGHT),
        }
        self.tell(
            target,
            "refused",
            match refusal {
                Refusal::Full => "the target is full",
                Refusal::WrongTarget => "it is not there",
                Refusal::Other => "for a reason of its own",
            },
        );
        log::debug!(target: "serve", id:% = self.ask.id, expect:? = plan.expect, load = plan.loads; "refused send");
    }

    pub(super) async fn relay(&mut self, response: Response, flight: Flight, plan: Plan) -> Next {
        let (status, headers) = (response.status, response.headers);
        let patience = self.patience(&plan).saturating_sub(flight.took()).max(1);
        let mut relay = Relay::new(response.body, flight, self.ask.last_event_id);
        let first = relay.first(Duration::from_millis(patience)).await;
        match first {
            Ok(()) => {
                if let Some(adapter) = &self.ask.adapter {
                    let now = self.node.now();
                    let mut view = self.node.view();
                    let target = &plan.target.id;
                    view.prefixes
                        .record(adapter, &self.ask.prompt_segments, target, now);
                }
                let job = self.take();
                self.node.metrics.first_event(job.first);
                let body = relay.run(job);
                Next::Reply(Reply::Stream {
                    status,
                    headers,
                    body,
                })
            }
            Err(why) => {
                if relay.closed {
                    self.broke(&relay.flight);
                }
                self.verdict.record(Outcome::Broken);
                relay.flight.note(false, FAILED_WEIGHT);
                self.tell(&plan.target.id, "broken off before its first event", &why);
                Next::Again
            }
        }
    }

    /// Moves the request into its stream.
    pub(super) fn take(&mut self) -> Job {
        self.ended = true;
        Job {
            node: self.node.clone(),
            ask: self.ask.clone(),
            need: self.need.clone(),
            fingerprint: self.fingerprint.clone(),
            route: self.route.clone(),
            caller: self.caller.clone(),
            rank: self.rank,
            config: self.config,
            credit: self.credit.take(),
            service: self.service.clone(),
            engine: self.engine.clone(),
            began: self.began,
            limit: self.limit,
            draw: self.draw,
            tried: self.tried.clone(),
            closed: Vec::new(),
            full: self.full,
            verdict: self.verdict,
            arrivals: self.arrivals,
            spare: None,
            tracked: self.tracked.take(),
            stall: self.stall,
            first: self.node.now() - self.began,
            trial: self.trial.take(),
            ended: false,
        }
    }

    /// A whole answer came.
    pub(super) fn whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        flight: Flight,
    ) -> Next {
        let now = self.node.now();
        let ok = !status.is_server_error();
        flight.note(ok, FAILED_WEIGHT);
        if ok {
            let took = flight.took();
            self.node.view().board.record_duration(&flight.target, took);
        }
        self.verdict.record(Outcome::Answered);
        self.ran_whole();
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, target_id:% = flight.target, status = status.as_u16(), ms = now - self.began, aim = self.route.objective_ms, sends = self.verdict.sends; "answered");
        self.node
            .metrics
            .request(self.route.kind, if ok { "answered" } else { "failed" });
        let again = self.route.kind == RouteKind::Idempotent
            && !ok
            && (self.tried.len() as u32) < self.route.max_attempts
            && self.left() > self.route.objective_ms / 4;
        if again {
            self.spare = Some((status, headers, body));
            return Next::Again;
        }
        self.ended = true;
        Next::Reply(whole(status, headers, body))
    }

    /// Chooses a target for the rest of a stream that broke off.
    pub(crate) async fn again(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Response, Flight), ()> {
        let may = self.verdict.may_send(self.route.repeatable(), u32::MAX)
            && (self.tried.len() as u32) < self.route.max_attempts;
        if !may || self.left() == 0 || self.held_back().await.is_some() || !self.repeat() {
            return Err(());
        }
        for _ in 0..CHOICES {
            let mut plan = self.choose().ok_or(())?;
            if !matches!(self.bind(&mut plan).await, Found::Engine) {
                return Err(());
            }
            let Some(permit) = self.permit(&plan).await else {
                continue;
            };
            let held_back = self.held_back().await.is_some();
            if held_back || !self.still_ready(&plan) || !self.still_welcome() {
                return Err(());
            }
            return self.send(&mut plan, permit, last_event).await;
        }
        Err(())
    }
}

/// A whole body, or why it broke off.
async fn collect(mut body: Body) -> Result<Bytes, BodyError> {
    let mut out = BytesMut::new();
    while let Some(piece) = body.next().await {
        out.extend_from_slice(&piece?);
    }
    Ok(out.freeze())
}
