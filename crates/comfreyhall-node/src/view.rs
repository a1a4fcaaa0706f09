//! What decisions read: settings, targets, and what is known of them.
//!
//! Imports no other part of the daemon's state; what needs only this takes a [`View`].

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Config, Map, Name, PriorityTable, Target};
use comfreyhall_placement::{Demand, HoldTime, engines_needed};
use comfreyhall_routing::{
    Contacts, LostShare, PaceTable, PrefixIndex, Reachability, Residency, RetryBudget, RunTimes,
    TargetStats,
};
use comfreyhall_streams::{ListTimes, VersionHistory};

use crate::{clock, departed::DepartedBoots, rows::RecordStore};

/// Half-life of the demand for an adapter, in ms: popularity in the deployments
/// served changes within some seconds, and a slot that keeps a formerly popular
/// adapter is lost to the current ones.
const DEMAND_HALF_LIFE_MS: u64 = 6_000;

/// Half-life of the fast demand count, in ms: an adapter that becomes hot needs
/// its copies within the first second.
const FAST_DEMAND_HALF_LIFE_MS: u64 = 700;

/// How long an adapter stays marked as hot, in ms: each failure domain has
/// copies of its own by then, and popularity changes within some seconds.
const HOT_DURATION_MS: u64 = 5_000;

/// Mean prompt tokens assumed before the first request.
const INITIAL_MEAN_PROMPT: f64 = 1_500.0;

/// Weight of one request in the moving average of prompt lengths.
const MEAN_PROMPT_WEIGHT: f64 = 0.02;

/// A version of an adapter that the settings name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NamedVersion {
    pub(crate) version: u64,
    /// When this daemon learned of it.
    pub(crate) learned_ms: u64,
}

/// All data that decisions read, behind one lock that is held only briefly.
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) config: Option<Arc<Config>>,
    /// Key of the row that contains the configuration.
    pub(crate) config_key: Option<Name>,
    /// Priorities of requests by workspace and route.
    pub(crate) ranks: PriorityTable,
    pub(crate) named_versions: Map<AdapterRef, NamedVersion>,
    /// Targets by the id of their boot (one start of a process).
    pub(crate) targets: Map<Name, Arc<Target>>,
    /// Boots that have ended.
    pub(crate) departed: DepartedBoots,
    /// Decoding errors of entries that describe no valid target.
    pub(crate) entry_errors: Map<Name, String>,
    /// Until when targets are excluded that are known to have ended, restarted or become
    /// unreachable, though the store still lists them.
    pub(crate) unavailable_until: Map<Name, u64>,
    pub(crate) board: TargetStats,
    /// Whether any target can be reached.
    pub(crate) reachability: Reachability,
    /// Which single targets can be reached.
    pub(crate) contacts: Contacts,
    /// Share of them that is lost, as reported to peers.
    pub(crate) lost_share: LostShare,
    pub(crate) residency: Residency,
    pub(crate) prefixes: PrefixIndex,
    /// How fast each engine is.
    pub(crate) paces: PaceTable,
    /// How much output the runs of each route have.
    pub(crate) run_times: RunTimes,
    pub(crate) budgets: Map<Name, RetryBudget>,
    pub(crate) demand: Demand,
    /// The same over about a second.
    pub(crate) fast_demand: Demand,
    /// Bind requests to this daemon over about a second.
    pub(crate) bind_demand: Demand,
    /// Until when adapters count as hot.
    pub(crate) hot_until: Map<AdapterRef, u64>,
    /// Mean prompt tokens of a request.
    pub(crate) mean_prompt: f64,
    /// How long runs hold their slots.
    pub(crate) hold: HoldTime,
    pub(crate) records: RecordStore,
    /// Software versions by service.
    pub(crate) versions: Map<Name, VersionHistory>,
    /// When the list of targets was complete.
    pub(crate) list_times: ListTimes,
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: None,
            config_key: None,
            ranks: PriorityTable::default(),
            named_versions: Map::default(),
            targets: Map::default(),
            departed: DepartedBoots::default(),
            entry_errors: Map::default(),
            unavailable_until: Map::default(),
            board: TargetStats::default(),
            reachability: Reachability::new(clock::now()),
            contacts: Contacts::default(),
            lost_share: LostShare::default(),
            residency: Residency::default(),
            prefixes: PrefixIndex::default(),
            paces: PaceTable::default(),
            run_times: RunTimes::default(),
            budgets: Map::default(),
            demand: Demand::new(DEMAND_HALF_LIFE_MS),
            fast_demand: Demand::new(FAST_DEMAND_HALF_LIFE_MS),
            bind_demand: Demand::new(FAST_DEMAND_HALF_LIFE_MS),
            hot_until: Map::default(),
            mean_prompt: INITIAL_MEAN_PROMPT,
            hold: HoldTime::default(),
            records: RecordStore::default(),
            versions: Map::default(),
            list_times: ListTimes::default(),
        }
    }
}

impl View {
    /// Counts `requests` for the adapter `key`.
    pub(crate) fn count_demand(&mut self, key: &str, requests: u32, now: u64) {
        self.demand.record(key, requests, now);
        self.fast_demand.record(key, requests, now);
    }

    /// Counts a bind request; returns whether its adapter, `key`, is requested so
    /// often that it needs an engine in each of `groups`.
    pub(crate) fn count_bind(&mut self, key: &str, groups: usize, now: u64) -> bool {
        self.bind_demand.record(key, 1, now);
        let cost_ms = self.board.read_duration_ms(self.mean_prompt);
        let needed = engines_needed(self.bind_demand.rate(key, now), cost_ms);
        groups > 1 && needed as usize >= groups
    }

    /// Marks `adapter` as hot from now on.
    pub(crate) fn mark_hot(&mut self, adapter: &AdapterRef, now: u64) {
        self.hot_until.retain(|_, hot_until_ms| now < *hot_until_ms);
        self.hot_until
            .insert(adapter.clone(), now + HOT_DURATION_MS);
    }

    /// Whether `adapter` has been marked as hot recently.
    pub(crate) fn is_hot(&self, adapter: &AdapterRef, now: u64) -> bool {
        self.hot_until
            .get(adapter)
            .is_some_and(|hot_until_ms| now < *hot_until_ms)
    }

    /// Adds a prompt to the mean length.
    pub(crate) fn observe_prompt(&mut self, tokens: u32) {
        self.mean_prompt += MEAN_PROMPT_WEIGHT * (f64::from(tokens) - self.mean_prompt);
    }

    /// The known boot of the target listed under `name`.
    pub(crate) fn boot_of(&self, name: &str) -> Option<Arc<Target>> {
        let mut boots = self.targets.values();
        boots.find(|t| &*t.name == name).cloned()
    }

    /// Number of adapters that fit at `target`, as configured.
    pub(crate) fn adapter_slots(&self, target: &Target) -> u32 {
        let config = self.config.as_ref();
        let service = config.and_then(|c| c.services.get(&target.service));
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| {
            let models = e.models.iter().filter(|m| target.has_model(&m.name));
            models.map(|m| e.max_adapters(m)).min().unwrap_or(0)
        })
    }

    /// Whether `target` takes work of `service`.
    pub(crate) fn accepts(&self, target: &Target, service: &str, now: u64) -> bool {
        *target.service == *service
            && target.stage == comfreyhall_domain::Stage::Ready
            && !self.contacts.is_lost(&target.id)
            && self
                .unavailable_until
                .get(&target.id)
                .is_none_or(|hot_until_ms| now >= *hot_until_ms)
    }

    /// Targets of `service` that take work, in a fixed order.
    pub(crate) fn ready_targets(&self, service: &str, now: u64) -> Vec<Arc<Target>> {
        let mut out: Vec<Arc<Target>> = self
            .targets
            .values()
            .filter(|t| self.accepts(t, service, now))
            .cloned()
            .collect();
        out.sort_by(|a, b| a.id.cmp(&b.id));
        out
    }
}
