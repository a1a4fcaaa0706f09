//! The state of one daemon.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{Config, Name};
use comfreyhall_inforce::Verdict;
use comfreyhall_life::{Grace, Lifecycle, Stage};
use comfreyhall_settings::{NodeSettings, Policies};
use comfreyhall_streams::{ListTimes, SoftwareRule};
use tokio::sync::{Notify, watch};

use crate::{
    clock,
    collect::Budget,
    engine_control::controllers::EngineControllers,
    fleet::state::Fleet,
    leases::state::Leases,
    log_limit::LogLimits,
    metrics::Metrics,
    outbound::state::Outbound,
    ports::{Backend, Source},
    quarantine::state::QuarantineTracker,
    quotas::state::{QuotaKind, Quotas},
    slots::state::SlotLedgers,
    streams::{state::Streams, versions},
    view::View,
};

/// One daemon of the fleet.
pub struct Node {
    pub(crate) settings: Mutex<Arc<NodeSettings>>,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) life: Lifecycle,
    pub(crate) leases: Leases,
    pub(crate) fleet: Fleet,
    pub(crate) controllers: EngineControllers,
    pub(crate) slots: SlotLedgers,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: QuarantineTracker,
    pub(crate) quotas: Quotas,
    /// Rate limits of targets.
    pub(crate) target_limits: Quotas,
    pub(crate) log_limits: LogLimits,
    pub(crate) outbound: Outbound,
    pub(crate) streams: Arc<Streams>,
    /// What answers that are read whole may hold.
    pub(crate) answer_budget: Budget,
    request_budget: Budget,
    /// Notifies background tasks when settings or targets change.
    pub(crate) changed: Notify,
    view: Mutex<View>,
    /// When this daemon started, in ms of its clock.
    started_ms: u64,
    in_flight: AtomicUsize,
    /// The time of a planned stop, once it has begun.
    grace: watch::Sender<Option<Grace>>,
    /// Whether the settings in the store cannot be read.
    settings_unavailable: AtomicBool,
    /// Whether every request is refused because the process is about to end.
    rejects_all: AtomicBool,
}

impl Node {
    /// Creates a daemon with these settings and drivers, without any data yet.
    pub fn new(
        settings: NodeSettings,
        source: Arc<dyn Source>,
        backend: Arc<dyn Backend>,
    ) -> Arc<Self> {
        let view = View {
            list_times: ListTimes::new(settings.first_start),
            ..View::default()
        };
        Arc::new(Self {
            fleet: Fleet::new(&settings),
            quarantine: QuarantineTracker::new(settings.policies.bounded_suspects),
            settings: Mutex::new(Arc::new(settings)),
            source,
            backend,
            life: Lifecycle::new(),
            leases: Leases::default(),
            controllers: EngineControllers::default(),
            slots: SlotLedgers::default(),
            metrics: Metrics::new(),
            quotas: Quotas::new(QuotaKind::Workspaces),
            target_limits: Quotas::new(QuotaKind::Targets),
            log_limits: LogLimits::default(),
            outbound: Outbound::default(),
            streams: Arc::default(),
            answer_budget: Budget::for_answers(),
            request_budget: Budget::for_requests(),
            changed: Notify::new(),
            view: Mutex::new(view),
            started_ms: clock::now(),
            in_flight: AtomicUsize::new(0),
            grace: watch::Sender::new(None),
            settings_unavailable: AtomicBool::new(false),
            rejects_all: AtomicBool::new(false),
        })
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no holder of this lock panics")
    }

    /// Which software versions of `service` may begin a stream that can be resumed.
    pub(crate) fn begin_rule(&self, service: &str) -> SoftwareRule {
        let timing = versions::timing(self.settings().bounds.drain_ms);
        let now = self.now();
        let view = self.view();
        let history = view.versions.get(service);
        history.map_or(SoftwareRule::Any, |h| h.begin_rule(&timing, now))
    }

    /// The active settings.
    pub fn settings(&self) -> Arc<NodeSettings> {
        let settings = self.settings.lock();
        settings.expect("no holder of this lock panics").clone()
    }

    /// Replaces the settings; listeners stay where they are.
    pub fn set_settings(&self, settings: NodeSettings) {
        let mut current = self.settings.lock().expect("no holder of this lock panics");
        *current = Arc::new(settings);
    }

    /// What the bodies of requests may hold.
    pub fn request_budget(&self) -> &Budget {
        &self.request_budget
    }

    /// The quotas of one kind.
    pub(crate) fn quotas_of(&self, of: QuotaKind) -> &Quotas {
        match of {
            QuotaKind::Workspaces => &self.quotas,
            QuotaKind::Targets => &self.target_limits,
        }
    }

    /// Which mechanisms are enabled.
    pub(crate) fn policies(&self) -> Policies {
        self.settings().policies
    }

    /// The active configuration.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view().config.clone()
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.life.stage() == Stage::Serving && self.settings_verdict() != Verdict::Reject
    }

    /// What to do with requests that the known settings allow.
    pub(crate) fn settings_verdict(&self) -> Verdict {
        let bound_ms = self.settings().bounds.apply_ms;
        let now = self.now();
        self.view().records.settings_sync.verdict(now, bound_ms)
    }

    /// Whether a planned stop was requested.
    pub fn draining(&self) -> bool {
        matches!(self.life.stage(), Stage::Leaving | Stage::Stopped)
    }

    /// Addresses for callers, including this daemon's own, and their time to
    /// live.
    pub fn addresses(&self) -> (Vec<Name>, Duration) {
        self.fleet.addresses(self)
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// All metrics, in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Counts a request in progress until the guard drops.
    pub fn track(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// The time of a planned stop, once it has begun.
    pub(crate) fn grace(&self) -> Option<Grace> {
        *self.grace.borrow()
    }

    /// Waits for a planned stop to begin.
    pub(crate) async fn stop_began(&self) -> Grace {
        let mut grace = self.grace.subscribe();
        let began = grace.wait_for(Option::is_some).await;
        let began = began.ok().and_then(|grace| *grace);
        began.expect("the sender lives as long as the node")
    }

    /// Whether every request is refused because the process is about to end.
    pub(crate) fn rejects_all(&self) -> bool {
        self.rejects_all.load(Ordering::SeqCst)
    }

    /// Whether the settings in the store cannot be read.
    pub(crate) fn settings_unavailable(&self) -> bool {
        self.settings_unavailable.load(Ordering::SeqCst)
    }

    pub(crate) fn set_settings_unavailable(&self, settings_unavailable: bool) {
        self.settings_unavailable
            .store(settings_unavailable, Ordering::SeqCst);
    }

    pub(crate) fn reject_all(&self) {
        self.rejects_all.store(true, Ordering::SeqCst);
    }

    pub(crate) fn begin_stop(&self, grace: Grace) {
        self.grace.send_replace(Some(grace));
    }

    /// When this daemon started, in ms of its clock.
    pub(crate) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Ms since this daemon started.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.now().saturating_sub(self.started_ms)
    }

    /// Ms of the daemon's clock.
    pub(crate) fn now(&self) -> u64 {
        clock::now()
    }

    /// Time of the daemon's clock, exactly.
    pub(crate) fn time(&self) -> Duration {
        clock::time()
    }
}

/// Counts a request in progress until it is dropped.
pub struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
