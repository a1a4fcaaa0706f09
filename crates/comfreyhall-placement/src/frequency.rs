//! The frequency policy: decayed request rates decide which adapters stay
//! resident.

use std::sync::Arc;

use comfreyhall_protocol::Map;

use crate::{Decision, Demand, EngineView, Policy};

/// Cost of a free slot: below any score, which is at least 0.
const FREE_SLOT_COST: f64 = -1.0;

/// One slot in this many may hold a copy beyond an adapter's first.
///
/// Copies in every slot that happens to be free would stay permanently: a hot
/// adapter's copy outranks the last copy of any cold one, so cold adapters then
/// evict each other, and each pays for it with a load. With 40 adapters in 48
/// slots that stalled 3% of answers for as long as it ran.
const SLOTS_PER_SPARE_COPY: u32 = 10;

/// Keeps hot adapters resident and copies them when their engines saturate.
///
/// The score of an adapter is its request count decayed with the configured
/// half-life. A victim is the evictable slot with the lowest score, and a new
/// copy is only made when the requested adapter scores above that victim, so
/// a burst of one-off requests cannot push out an adapter in steady use.
pub struct FrequencyPolicy {
    demand: Demand,
}

impl FrequencyPolicy {
    /// Creates a policy whose rates halve every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> Self {
        Self {
            demand: Demand::new(half_life_ms),
        }
    }

    /// The cheapest slot to evict on `engine`, as (score, victims).
    ///
    /// A free slot costs less than any victim, even one never requested; `None`
    /// when no slot may be evicted. With `spare_only`, only slots whose adapter
    /// has a copy on another engine may be evicted: a second copy of a hot
    /// adapter must never evict the last copy of another.
    fn eviction_cost(
        &self,
        engine: &EngineView,
        copies: &Map<Arc<str>, u32>,
        spare_only: bool,
        now_ms: u64,
    ) -> Option<(f64, Vec<Arc<str>>)> {
        let mut victims: Vec<(f64, Arc<str>)> = engine
            .slots
            .iter()
            .filter(|s| s.evictable())
            .filter(|s| !spare_only || copies.get(&s.key).is_some_and(|c| *c > 1))
            .map(|s| (self.demand.score(&s.key, now_ms), s.key.clone()))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let keys = victims.iter().map(|v| v.1.clone()).collect();
        if engine.has_free() {
            return Some((FREE_SLOT_COST, keys));
        }
        victims.first().map(|v| (v.0, keys))
    }
}

/// How many available engines hold each adapter version.
fn copy_counts(engines: &[EngineView]) -> Map<Arc<str>, u32> {
    let mut counts: Map<Arc<str>, u32> = Map::default();
    for s in engines.iter().filter(|e| e.up).flat_map(|e| &e.slots) {
        *counts.entry(s.key.clone()).or_default() += 1;
    }
    counts
}

/// Number of slots that hold copies beyond the first.
fn spare_copies(copies: &Map<Arc<str>, u32>) -> u32 {
    copies.values().map(|c| c - 1).sum()
}

/// Number of slots on available engines.
fn slot_count(engines: &[EngineView]) -> u32 {
    let up = engines.iter().filter(|e| e.up);
    up.map(|e| e.capacity).sum()
}

impl Policy for FrequencyPolicy {
    fn record_requests(&mut self, key: &str, requests: u32, now_ms: u64) {
        self.demand.record(key, requests, now_ms);
    }

    fn route(&mut self, key: &str, engines: &[EngineView], now_ms: u64) -> Decision {
        let score = self.demand.record(key, 1, now_ms);
        let resident = engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.up && e.holds(key))
            .min_by_key(|(_, e)| e.requests)
            .map(|(i, _)| i);
        if let Some(i) = resident
            && !engines[i].saturated()
        {
            return Decision::Run { engine: i };
        }
        // Copies share the weight store with loads that requests wait for.
        // Copies made while such a load was in progress delayed it: with 40
        // adapters in 48 slots the policy served half of what LRU did.
        if let Some(engine) = resident
            && engines.iter().any(EngineView::loading)
        {
            return Decision::Run { engine };
        }
        let copies = copy_counts(engines);
        // At the bound no copy is made, not even in place of another: copies
        // that replaced each other kept the weight store busy permanently, and
        // stalled more than no bound at all (357 s against 134 s in 20 s of
        // load).
        if let Some(engine) = resident
            && spare_copies(&copies) * SLOTS_PER_SPARE_COPY >= slot_count(engines)
        {
            return Decision::Run { engine };
        }
        let spare_only = resident.is_some();
        let target = engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.up && !e.holds(key))
            .filter_map(|(i, e)| {
                let cost = self.eviction_cost(e, &copies, spare_only, now_ms)?;
                Some((i, cost, e.requests))
            })
            .min_by(|a, b| a.1.0.total_cmp(&b.1.0).then(a.2.cmp(&b.2)));
        match (resident, target) {
            (Some(i), Some((_, (cost, _), _))) if cost >= score => Decision::Run { engine: i },
            (Some(i), None) => Decision::Run { engine: i },
            (Some(i), Some((copy, (_, victims), _))) => Decision::RunAndCopy {
                engine: i,
                copy,
                victims,
            },
            (None, Some((engine, (_, victims), _))) => Decision::Load { engine, victims },
            (None, None) => Decision::Busy,
        }
    }
}
