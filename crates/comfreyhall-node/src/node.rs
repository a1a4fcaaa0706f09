//! What one daemon knows.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Config, Map, Name, PriorityTable, Target};
use comfreyhall_life::{Life, Stage};
use comfreyhall_placement::{Demand, Hold, engines_for};
use comfreyhall_routing::{Board, Budget, Prefixes, Residency};
use comfreyhall_settings::{NodeSettings, Policies};
use tokio::sync::Notify;

use crate::{
    caps::{Caps, Of},
    clock,
    facts::Book,
    fleet::Fleet,
    flood::Flood,
    keeper::Keepers,
    leases::Leases,
    metrics::Metrics,
    outbound::Outbound,
    ports::{Backend, Source},
    quarantine::Watch,
};

/// Half-life of the wish for an adapter, in ms: popularity in the
/// deployments served moves on within some seconds, and a place that goes to
/// a yesterday's adapter is lost to today's.
const DEMAND_HALF_LIFE_MS: u64 = 6_000;

/// Half-life of the fast count, in ms: an adapter that becomes hot needs its
/// copies within the first second.
const RUSH_HALF_LIFE_MS: u64 = 700;

/// How long an adapter counts as hot once it was found to be, in ms: each
/// failure domain has copies of its own by then, and popularity moves on
/// within some seconds.
const HOT_MS: u64 = 5_000;

/// Prompt tokens of a request before any came.
const FIRST_PROMPT: f64 = 1_500.0;

/// Weight of one request in the mean length of prompts.
const PROMPT_GAIN: f64 = 0.02;

/// A named version of an adapter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Named {
    pub(crate) version: u64,
    /// When this daemon learned of it.
    pub(crate) learned: u64,
}

/// Everything that decisions read, behind one short-held lock.
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) config: Option<Arc<Config>>,
    /// Key of the row that it stands in.
    pub(crate) config_key: Option<Name>,
    /// Order of requests by workspace and route.
    pub(crate) ranks: PriorityTable,
    pub(crate) named: Map<AdapterRef, Named>,
    /// Targets by the id of their boot.
    pub(crate) targets: Map<Name, Arc<Target>>,
    /// What was wrong with entries that name no target.
    pub(crate) unread: Map<Name, String>,
    /// Targets known to be gone or restarted before the store says so, and
    /// since when.
    pub(crate) dead: Map<Name, u64>,
    pub(crate) board: Board,
    pub(crate) residency: Residency,
    pub(crate) prefixes: Prefixes,
    pub(crate) budgets: Map<Name, Budget>,
    pub(crate) demand: Demand,
    /// The same over about a second.
    pub(crate) rush: Demand,
    /// Requests for engines asked of this daemon over about a second.
    pub(crate) asked: Demand,
    /// Until when adapters count as hot.
    pub(crate) hot: Map<AdapterRef, u64>,
    /// Mean prompt tokens of a request.
    pub(crate) prompt_tokens: f64,
    /// How long runs hold their places.
    pub(crate) hold: Hold,
    pub(crate) book: Book,
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: None,
            config_key: None,
            ranks: PriorityTable::default(),
            named: Map::default(),
            targets: Map::default(),
            unread: Map::default(),
            dead: Map::default(),
            board: Board::default(),
            residency: Residency::default(),
            prefixes: Prefixes::default(),
            budgets: Map::default(),
            demand: Demand::new(DEMAND_HALF_LIFE_MS),
            rush: Demand::new(RUSH_HALF_LIFE_MS),
            asked: Demand::new(RUSH_HALF_LIFE_MS),
            hot: Map::default(),
            prompt_tokens: FIRST_PROMPT,
            hold: Hold::default(),
            book: Book::default(),
        }
    }
}

impl View {
    /// Counts `requests` for the adapter `key`.
    pub(crate) fn wanted(&mut self, key: &str, requests: u32, now: u64) {
        self.demand.bump(key, requests, now);
        self.rush.bump(key, requests, now);
    }

    /// Counts a request for an engine; whether its adapter, `key`, is asked
    /// for so often that it needs an engine in each of `groups`.
    pub(crate) fn asked(&mut self, key: &str, groups: usize, now: u64) -> bool {
        self.asked.bump(key, 1, now);
        let cost_ms = self.board.reading_ms(self.prompt_tokens);
        let needed = engines_for(self.asked.rate(key, now), cost_ms);
        groups > 1 && needed as usize >= groups
    }

    /// `adapter` is hot from now on.
    pub(crate) fn heat(&mut self, adapter: &AdapterRef, now: u64) {
        self.hot.retain(|_, until| now < *until);
        self.hot.insert(adapter.clone(), now + HOT_MS);
    }

    /// Whether `adapter` was found to be hot lately.
    pub(crate) fn is_hot(&self, adapter: &AdapterRef, now: u64) -> bool {
        self.hot.get(adapter).is_some_and(|until| now < *until)
    }

    /// Takes in the length of a prompt.
    pub(crate) fn prompt(&mut self, tokens: u32) {
        self.prompt_tokens += PROMPT_GAIN * (f64::from(tokens) - self.prompt_tokens);
    }

    /// The boot that is known of the target listed under `name`.
    pub(crate) fn boot_of(&self, name: &str) -> Option<Arc<Target>> {
        let mut boots = self.targets.values();
        boots.find(|t| &*t.name == name).cloned()
    }

    /// Adapters that have a place at `target`, as configured.
    pub(crate) fn places(&self, target: &Target) -> u32 {
        let config = self.config.as_ref();
        let service = config.and_then(|c| c.services.get(&target.service));
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| {
            let models = e.models.iter().filter(|m| target.has_model(&m.name));
            models.map(|m| e.max_adapters(m)).min().unwrap_or(0)
        })
    }

    /// Whether `target` takes work of `service`.
    pub(crate) fn takes(&self, target: &Target, service: &str, now: u64) -> bool {
        *target.service == *service
            && target.stage == comfreyhall_domain::Stage::Ready
            && self.dead.get(&target.id).is_none_or(|until| now >= *until)
    }

    /// Targets of `service` that take work, in a fixed order.
    pub(crate) fn ready(&self, service: &str, now: u64) -> Vec<Arc<Target>> {
        let mut out: Vec<Arc<Target>> = self
            .targets
            .values()
            .filter(|t| self.takes(t, service, now))
            .cloned()
            .collect();
        out.sort_by(|a, b| a.id.cmp(&b.id));
        out
    }
}

/// One daemon.
pub struct Node {
    pub(crate) settings: Mutex<Arc<NodeSettings>>,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) life: Life,
    pub(crate) leases: Leases,
    pub(crate) fleet: Fleet,
    pub(crate) keepers: Keepers,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: Watch,
    pub(crate) caps: Caps,
    /// Limits of targets.
    pub(crate) limits: Caps,
    pub(crate) flood: Flood,
    pub(crate) outbound: Outbound,
    /// Wakes duties that act on changed settings or targets.
    pub(crate) changed: Notify,
    view: Mutex<View>,
    /// When this daemon started, in ms of its clock.
    began: u64,
    in_flight: AtomicUsize,
    /// When a planned stop began; 0 for not yet.
    stopping: AtomicU64,
    /// Whether the settings in the store cannot be read.
    cut_off: AtomicBool,
    /// Whether every request is refused because the process is about to end.
    closed: AtomicBool,
}

impl Node {
    /// A daemon with these settings and drivers; it knows nothing yet.
    pub fn new(
        settings: NodeSettings,
        source: Arc<dyn Source>,
        backend: Arc<dyn Backend>,
    ) -> Arc<Self> {
        Arc::new(Self {
            fleet: Fleet::new(&settings),
            settings: Mutex::new(Arc::new(settings)),
            source,
            backend,
            life: Life::new(),
            leases: Leases::default(),
            keepers: Keepers::default(),
            metrics: Metrics::new(),
            quarantine: Watch::default(),
            caps: Caps::new(Of::Workspaces),
            limits: Caps::new(Of::Targets),
            flood: Flood::default(),
            outbound: Outbound::default(),
            changed: Notify::new(),
            view: Mutex::default(),
            began: clock::now(),
            in_flight: AtomicUsize::new(0),
            stopping: AtomicU64::new(0),
            cut_off: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        })
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no holder of this lock panics")
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        let settings = self.settings.lock();
        settings.expect("no holder of this lock panics").clone()
    }

    /// Replaces the settings; listeners stay where they are.
    pub fn set_settings(&self, settings: NodeSettings) {
        let mut held = self.settings.lock().expect("no holder of this lock panics");
        *held = Arc::new(settings);
    }

    /// The caps of one kind.
    pub(crate) fn caps_of(&self, of: Of) -> &Caps {
        match of {
            Of::Workspaces => &self.caps,
            Of::Targets => &self.limits,
        }
    }

    /// Which mechanisms decide.
    pub(crate) fn policies(&self) -> Policies {
        self.settings().policies
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view().config.clone()
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.life.stage() == Stage::Serving
    }

    /// Whether a planned stop was asked for.
    pub fn leaving(&self) -> bool {
        matches!(self.life.stage(), Stage::Leaving | Stage::Stopped)
    }

    /// Addresses for callers, this daemon's own among them, and how long to
    /// keep them.
    pub fn addresses(&self) -> (Vec<Name>, Duration) {
        self.fleet.addresses(self)
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Everything counted so far, in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Counts a request in progress until the guard drops.
    pub fn track(self: &Arc<Self>) -> Tracked {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Tracked(self.clone())
    }

    /// When a planned stop began; 0 for not yet.
    pub(crate) fn stopping(&self) -> u64 {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Whether the process is about to end.
    pub(crate) fn closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Whether the settings in the store cannot be read.
    pub(crate) fn cut_off(&self) -> bool {
        self.cut_off.load(Ordering::SeqCst)
    }

    pub(crate) fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::SeqCst);
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn set_stopping(&self, now: u64) {
        self.stopping.store(now, Ordering::SeqCst);
    }

    /// Ms since this daemon started.
    pub(crate) fn age(&self) -> u64 {
        self.now().saturating_sub(self.began)
    }

    /// Ms of the daemon's clock.
    pub(crate) fn now(&self) -> u64 {
        clock::now()
    }
}

/// A request in progress.
pub struct Tracked(Arc<Node>);

impl Drop for Tracked {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
