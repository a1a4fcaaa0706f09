//! One request in progress, and what is known of it.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use comfreyhall_domain::{Caller, ClientRequest, Config, EngineConfig, Name, Route, SendHistory};
use comfreyhall_quarantine::{Feature, Fingerprint};
use comfreyhall_relay::EndCause;
use comfreyhall_slots::SlotShare;
use http::{HeaderMap, StatusCode};
use rand::Rng;

use super::open_sends::OpenSends;
use crate::{
    adapter_key::adapter_key,
    criteria::Requirements,
    node::{InFlightGuard, Node},
    quarantine::Trial,
    quotas::Credit,
    stop,
    streams::RunningStream,
};

/// How long a target that could not be reached is excluded, in ms.
pub(super) const UNREACHABLE_MS: u64 = 700;

/// How much a failure counts against a target; an answer counts 1.
pub(super) const FAILED_WEIGHT: f64 = 1.0;

/// The software version of a request's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamVersion {
    /// Its caller has no event yet.
    Unbound,
    /// Its caller has events of this version of the service.
    Bound { service: Name, software: Name },
    /// Its caller has events of a target that reports no version.
    Unknown,
}

/// Pause before choosing again when no target can take a request, in ms.
pub(super) const RECHECK_MS: u64 = 25;

/// Who sent a request to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which does not reach its targets.
    Daemon,
}

/// Retry delay for callers of a daemon that is not ready, in ms.
pub(super) const NOT_READY_RETRY_MS: u64 = 300;

/// One request in progress.
pub(crate) struct ActiveRequest {
    pub(crate) node: Arc<Node>,
    pub(crate) client_request: Arc<ClientRequest>,
    pub(super) requirements: Arc<Requirements>,
    /// What may be the cause if targets end under it, computed on first use.
    pub(super) features: OnceLock<Vec<Feature>>,
    pub(crate) route: Route,
    pub(super) caller: Caller,
    /// Priority among requests; 0 is the most urgent.
    pub(super) rank: u8,
    /// Version of the configuration that it is bound to.
    pub(super) config_version: u64,
    /// Ms from arrival until it was bound to that configuration.
    pub(super) bound_after_ms: u64,
    /// Ms since the store had confirmed the settings, at the last send.
    pub(crate) settings_age_ms: u64,
    /// Software version of the target that it was last sent to.
    pub(crate) software: Option<Name>,
    /// Ms since the store had confirmed the targets, at the last send.
    pub(crate) targets_age_ms: u64,
    /// The version of its stream.
    pub(super) stream: StreamVersion,
    /// Its entry among the streams that began here.
    pub(super) running: Option<RunningStream>,
    /// Credit reserved under its workspace's quota.
    pub(super) credit: Option<Credit>,
    pub(super) service: Name,
    pub(super) engine: Option<EngineConfig>,
    pub(super) began_ms: u64,
    /// Deadline on this daemon's clock.
    pub(crate) deadline_ms: u64,
    pub(super) seed: u64,
    pub(crate) tried: Vec<Name>,
    pub(super) unavailable: Vec<Name>,
    /// Groups that have no slot for it soon, and when they expect one.
    pub(super) slot_offers: Vec<(Name, u64)>,
    /// The group in which it waits for a slot, after all have been asked.
    pub(super) slot_group: Option<Name>,
    /// Refusals by full targets.
    pub(super) full_refusals: u32,
    pub(crate) history: SendHistory,
    /// Sends that reached a target.
    pub(super) deliveries: u32,
    /// Sends whose outcome is not known yet.
    pub(super) open_sends: OpenSends,
    /// Sends that did not.
    pub(super) unreached: u32,
    /// Whether it may be passed on to another daemon.
    pub(super) may_pass_on: bool,
    /// A target's error response, passed on if no target answers better.
    pub(super) fallback: Option<(StatusCode, HeaderMap, Bytes)>,
    pub(crate) in_flight: Option<InFlightGuard>,
    /// Ms spent waiting for adapters to load.
    pub(crate) load_wait_ms: u64,
    /// Ms from arrival to the first event.
    pub(crate) first_event_ms: u64,
    /// Set while a quarantined request is tried once more.
    pub(super) trial: Option<Trial>,
    /// Segments of which its next send is the probe.
    pub(super) probes: Vec<Fingerprint>,
    /// Whether its outcome is logged, or a detached copy continues it.
    pub(crate) finished: bool,
}

/// A request dropped before it finished was abandoned by its caller, or cut off by a
/// planned stop. This line keeps it from missing in the log and the metrics.
impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.finished {
            let held = self.node.now().saturating_sub(self.began_ms);
            let cause = stop::cause_of_drop(&self.node);
            self.node.metrics.request(self.route.kind, cause.name());
            self.node.metrics.answer_ended(cause);
            let what = match cause {
                EndCause::GraceEnded => "cut off by the stop",
                _ => "caller left",
            };
            log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, cause = cause.name(), held, stall = self.load_wait_ms, first = self.first_event_ms, sends = self.history.sends; "{what}");
        }
    }
}

impl ActiveRequest {
    pub(super) fn new(
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
            open_sends: OpenSends::default(),
            unreached: 0,
            may_pass_on: false,
            fallback: None,
            in_flight: None,
            load_wait_ms: 0,
            first_event_ms: 0,
            trial: None,
            probes: Vec::new(),
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
    pub(super) fn identity(&self) -> u64 {
        let bytes = *self
            .fingerprint()
            .as_bytes()
            .first_chunk()
            .unwrap_or(&[0; 8]);
        u64::from_le_bytes(bytes)
    }
}
