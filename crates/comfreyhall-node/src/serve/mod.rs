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
mod pass_on;
mod place;
mod plain;
mod quarantine;
mod renew;
mod reply;
mod send;
mod version;

pub use self::reply::{EventStream, Reply};

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_domain::{Caller, ClientRequest, Config, EngineConfig, Name, Route, SendHistory};
use comfreyhall_quarantine::Feature;
use comfreyhall_relay::EndCause;
use comfreyhall_routing::admission;
use comfreyhall_slots::SlotShare;
use http::{HeaderMap, StatusCode};
use rand::Rng;

use self::{
    place::BindOutcome, renew::Step, reply::complete_reply, send::Next, version::StreamVersion,
};
use crate::{
    adapter_key::adapter_key,
    choose::{self, Plan},
    criteria::{Criteria, Requirements},
    node::{InFlightGuard, Node},
    quarantine::Trial,
    quotas::Credit,
    streams::RunningStream,
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

/// Pause before choosing again when no target can take a request, in ms.
const RECHECK_MS: u64 = 25;

/// Who sent a request to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which does not reach its targets.
    Daemon,
}

/// Retry delay for callers of a daemon that is not ready, in ms.
const NOT_READY_RETRY_MS: u64 = 300;

/// One request in progress.
pub(crate) struct ActiveRequest {
    pub(crate) node: Arc<Node>,
    pub(crate) client_request: Arc<ClientRequest>,
    requirements: Arc<Requirements>,
    /// What may be the cause if targets end under it, computed on first use.
    features: OnceLock<Vec<Feature>>,
    pub(crate) route: Route,
    caller: Caller,
    /// Priority among requests; 0 is the most urgent.
    rank: u8,
    /// Version of the configuration that it is bound to.
    config_version: u64,
    /// Ms from arrival until it was bound to that configuration.
    bound_after_ms: u64,
    /// Ms since the store had confirmed the settings, at the last send.
    pub(crate) settings_age_ms: u64,
    /// Software version of the target that it was last sent to.
    pub(crate) software: Option<Name>,
    /// Ms since the store had confirmed the targets, at the last send.
    pub(crate) targets_age_ms: u64,
    /// The version of its stream.
    stream: StreamVersion,
    /// Its entry among the streams that began here.
    running: Option<RunningStream>,
    /// Credit reserved under its workspace's quota.
    credit: Option<Credit>,
    service: Name,
    engine: Option<EngineConfig>,
    began_ms: u64,
    /// Deadline on this daemon's clock.
    pub(crate) deadline_ms: u64,
    seed: u64,
    pub(crate) tried: Vec<Name>,
    unavailable: Vec<Name>,
    /// Groups that have no slot for it soon, and when they expect one.
    slot_offers: Vec<(Name, u64)>,
    /// The group in which it waits for a slot, after all have been asked.
    slot_group: Option<Name>,
    /// Refusals by full targets.
    full_refusals: u32,
    pub(crate) history: SendHistory,
    /// Sends that reached a target.
    deliveries: u32,
    /// Sends that did not.
    unreached: u32,
    /// Whether it may be passed on to another daemon.
    may_pass_on: bool,
    /// A target's error response, passed on if no target answers better.
    fallback: Option<(StatusCode, HeaderMap, Bytes)>,
    pub(crate) in_flight: Option<InFlightGuard>,
    /// Ms spent waiting for adapters to load.
    pub(crate) load_wait_ms: u64,
    /// Ms from arrival to the first event.
    pub(crate) first_event_ms: u64,
    /// Set while a quarantined request is tried once more.
    trial: Option<Trial>,
    /// Whether its outcome is logged, or a detached copy continues it.
    pub(crate) finished: bool,
}

/// A request dropped before it finished was abandoned by its caller. This line
/// keeps it from missing in the log and the metrics.
impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.finished {
            let held = self.node.now().saturating_sub(self.began_ms);
            self.node.metrics.request(self.route.kind, "caller_left");
            self.node.metrics.answer_ended(EndCause::CallerLeft);
            log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, held, stall = self.load_wait_ms, first = self.first_event_ms, sends = self.history.sends; "caller left");
        }
    }
}

impl ActiveRequest {
    fn new(
        node: &Arc<Node>,
        config: &Config,
        client_request: ClientRequest,
        route: Route,
        caller: Caller,
    ) -> Option<Self> {
        let seed: u64 = rand::rng().random();
        let service = route.pick_service(seed)?.clone();
        let engine = config.services.get(&service).and_then(|s| s.engine.clone());
        let began_ms = node.now();
        let timeout_ms = client_request
            .remaining_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        Some(Self {
            node: node.clone(),
            deadline_ms: began_ms + timeout_ms,
            requirements: Arc::new(Requirements::of(&client_request)),
            features: OnceLock::new(),
            client_request: Arc::new(client_request),
            rank: node.view().ranks.position(&caller, &route),
            route,
            caller,
            config_version: config.version,
            bound_after_ms: 0,
            settings_age_ms: 0,
            software: None,
            targets_age_ms: 0,
            stream: StreamVersion::Unbound,
            running: None,
            credit: None,
            service,
            engine,
            began_ms,
            seed,
            tried: Vec::new(),
            unavailable: Vec::new(),
            slot_offers: Vec::new(),
            slot_group: None,
            full_refusals: 0,
            history: SendHistory::default(),
            deliveries: 0,
            unreached: 0,
            may_pass_on: false,
            fallback: None,
            in_flight: None,
            load_wait_ms: 0,
            first_event_ms: 0,
            trial: None,
            finished: false,
        })
    }

    /// `model/adapter`, for the log.
    pub(crate) fn adapter(&self) -> Name {
        self.client_request
            .adapter
            .as_ref()
            .map_or("".into(), adapter_key)
    }

    /// Version of the configuration that it is bound to, and how long after its
    /// arrival it was, in ms.
    pub(crate) fn settings_bound(&self) -> (u64, u64) {
        (self.config_version, self.bound_after_ms)
    }

    /// Software version of the target that it was last sent to, for the log.
    pub(crate) fn software(&self) -> &str {
        self.software.as_deref().unwrap_or("")
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.node.now())
    }

    /// Whose share of the adapter slots it uses.
    pub(crate) fn slot_share(&self) -> SlotShare {
        match self.caller.workspace() {
            Some(workspace) => SlotShare::workspace(&workspace.name),
            None => SlotShare::priority(self.route.priority),
        }
    }

    /// Events of the stream that its caller expects.
    pub(crate) fn expected_events(&self) -> Option<u32> {
        let event_tokens = self.engine.as_ref()?.event_tokens.max(1);
        let expected = self.client_request.expected_output?;
        Some(expected.div_ceil(event_tokens))
    }

    /// Its identity over all attempts, as a number.
    fn identity(&self) -> u64 {
        let bytes = *self
            .fingerprint()
            .as_bytes()
            .first_chunk()
            .unwrap_or(&[0; 8]);
        u64::from_le_bytes(bytes)
    }

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
