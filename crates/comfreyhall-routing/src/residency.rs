//! Tracks which target holds which adapter, from sources of different age.
//!
//! A target publishes what it holds about every second; the daemon that sends
//! it commands knows sooner, and an answer of the target itself is immediate
//! proof. Newer direct evidence takes precedence over an older published list
//! for [`EVIDENCE_TTL_MS`]; afterwards the list decides.
//!
//! The order of the loads that were seen shows what an engine still has cached
//! (see [`CacheDepth`]).

use comfreyhall_domain::{AdapterRef, Map, Name, Target};

use crate::cache::{CacheDepth, LoadOrder, cache_id};

/// How long direct evidence takes precedence over the published list: two
/// publishing intervals of 1,200 ms, and the time to read them.
const EVIDENCE_TTL_MS: u64 = 3_000;

/// Whether a target holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It holds this version.
    Held(u64),
    /// It does not hold it.
    Absent,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    presence: Presence,
    /// When direct evidence was last received; 0 if only the published list
    /// says so.
    evidence_ms: u64,
    /// When the adapter was last known to be held; 0 for never.
    last_held_ms: u64,
}

/// How long an engine still has an adapter cached after it was evicted. Engines
/// keep the weights of some dozens beside those in slots: under heavy load,
/// loads of evicted adapters took 25 to 55 ms as long as the engine had loaded
/// fewer than 40 others since, which at a load or two a second for each engine
/// is about this long.
const CACHE_TTL_MS: u64 = 30_000;

/// Adapters by the targets that hold them. The outer map is keyed by target,
/// since each lookup is about one target and a fleet has some thousand
/// adapters.
#[derive(Debug, Default)]
pub struct Residency {
    by_target: Map<Name, Map<AdapterRef, Entry>>,
    /// Number of targets that hold each adapter.
    copy_counts: Map<AdapterRef, u32>,
    /// Number of adapters that each target holds.
    adapter_counts: Map<Name, u32>,
    /// Loads of each target.
    load_orders: Map<Name, LoadOrder>,
    /// Cached adapters of the engines of each model.
    depths: Map<Name, CacheDepth>,
    /// Adapters that the last copy of was lost with its target, and when.
    lost: Map<AdapterRef, u64>,
}

/// How long an adapter counts as lost, in ms. Later its requests have shown
/// whether it is still needed.
const LOST_TTL_MS: u64 = 20_000;

impl Residency {
    /// Records direct evidence received at `now`.
    pub fn record(&mut self, adapter: &AdapterRef, target: &Name, presence: Presence, now: u64) {
        if adapter.adapter.is_none() {
            return;
        }
        let known = self.entry(adapter, target).map_or(0, |e| e.last_held_ms);
        let last_held_ms = match presence {
            Presence::Held(_) => now,
            Presence::Absent => known,
        };
        let entry = Entry {
            presence,
            evidence_ms: now,
            last_held_ms,
        };
        self.set(adapter, target, Some(entry));
    }

    /// Applies the list that `target` published.
    pub fn apply_report(&mut self, target: &Target, now: u64) {
        for (adapter, entry) in self.entries(&target.id) {
            let mut next = entry;
            if !has_fresh_evidence(&entry, now) {
                next.presence = Presence::Absent;
            }
            let absent = next.presence == Presence::Absent;
            let forgotten = absent && now.saturating_sub(next.last_held_ms) >= CACHE_TTL_MS;
            self.set(&adapter, &target.id, (!forgotten).then_some(next));
        }
        for held in &target.loaded {
            for (name, version) in &held.adapters {
                let adapter = AdapterRef {
                    model: held.model.clone(),
                    adapter: Some(name.clone()),
                };
                let known = self.entry(&adapter, &target.id);
                if known.is_some_and(|e| has_fresh_evidence(e, now)) {
                    continue;
                }
                let seen = Entry {
                    presence: Presence::Held(*version),
                    evidence_ms: 0,
                    last_held_ms: now,
                };
                self.set(&adapter, &target.id, Some(seen));
            }
        }
    }

    /// Whether `target` held `adapter` recently, so that it is likely cached
    /// there and loads quickly.
    pub fn likely_cached(&self, adapter: &AdapterRef, target: &Name, now: u64) -> bool {
        let entry = self.entry(adapter, target);
        entry.is_some_and(|e| {
            e.last_held_ms > 0 && now.saturating_sub(e.last_held_ms) < CACHE_TTL_MS
        })
    }

    /// Records a load of `adapter` that took `load_ms` on `target`, which had
    /// loaded `age` others since it last loaded it; returns whether the weights
    /// were cached.
    pub fn record_load(
        &mut self,
        adapter: &AdapterRef,
        target: &Name,
        age: Option<usize>,
        load_ms: u64,
    ) -> bool {
        let depth = self.depths.entry(adapter.model.clone()).or_default();
        let cached = depth.was_cached(load_ms);
        depth.record(age, load_ms);
        self.note_load(adapter, target);
        cached
    }

    fn note_load(&mut self, adapter: &AdapterRef, target: &Name) {
        let order = self.load_orders.entry(target.clone()).or_default();
        order.push(cache_id(adapter));
    }

    /// Number of other adapters that `target` has loaded since `adapter`.
    pub fn load_age(&self, adapter: &AdapterRef, target: &Name) -> Option<usize> {
        self.load_orders.get(target)?.age(cache_id(adapter))
    }

    /// Whether `target` has the weights of `adapter` by the order of its loads.
    pub fn has_cached(&self, adapter: &AdapterRef, target: &Name) -> bool {
        let depth = self.cache_depth(&adapter.model);
        self.load_age(adapter, target).is_some_and(|a| a < depth)
    }

    /// Number of adapters that engines of `model` have at hand.
    pub fn cache_depth(&self, model: &Name) -> usize {
        let depth = self.depths.get(model).map(CacheDepth::depth);
        depth.unwrap_or_else(|| CacheDepth::default().depth())
    }

    /// Whether any target has the weights of `adapter`.
    pub fn cached_anywhere(&self, adapter: &AdapterRef) -> bool {
        self.load_orders.keys().any(|t| self.has_cached(adapter, t))
    }

    /// The last loads of `target`, at most `count`, for a peer.
    pub fn last_loads(&self, target: &Name, count: usize) -> Vec<u32> {
        let order = self.load_orders.get(target);
        order.map_or_else(Vec::new, |o| o.last(count))
    }

    /// Adds loads of `target` that a peer knows of.
    pub fn merge_loads(&mut self, target: &Name, earlier: &[u32]) {
        let order = self.load_orders.entry(target.clone()).or_default();
        order.merge(earlier);
    }

    /// Adapters that no target holds since their last one was removed.
    pub fn lost(&mut self, now: u64) -> Vec<AdapterRef> {
        let copies = &self.copy_counts;
        self.lost
            .retain(|a, since| now < *since + LOST_TTL_MS && !copies.contains_key(a));
        self.lost.keys().cloned().collect()
    }

    /// Forgets that `adapter` was lost.
    pub fn restore(&mut self, adapter: &AdapterRef) {
        self.lost.remove(adapter);
    }

    /// Whether `adapter` was lost lately.
    pub fn was_lost(&self, adapter: &AdapterRef) -> bool {
        self.lost.contains_key(adapter)
    }

    /// Number of targets that hold `adapter`.
    pub fn copy_count(&self, adapter: &AdapterRef) -> u32 {
        self.copy_counts.get(adapter).copied().unwrap_or(0)
    }

    /// Number of adapters that `target` holds.
    pub fn adapter_count(&self, target: &Name) -> u32 {
        self.adapter_counts.get(target).copied().unwrap_or(0)
    }

    /// Removes a target that no longer exists.
    pub fn remove(&mut self, target: &Name, now: u64) {
        self.lost.retain(|_, since| now < *since + LOST_TTL_MS);
        for (adapter, entry) in self.entries(target) {
            self.set(&adapter, target, None);
            let held = matches!(entry.presence, Presence::Held(_));
            if held && self.copy_count(&adapter) == 0 {
                self.lost.insert(adapter, now);
            }
        }
        self.by_target.remove(target);
        self.adapter_counts.remove(target);
        self.load_orders.remove(target);
    }

    /// The version of `adapter` that `target` holds.
    pub fn held_version(&self, adapter: &AdapterRef, target: &Name) -> Option<u64> {
        match self.entry(adapter, target)?.presence {
            Presence::Held(version) => Some(version),
            Presence::Absent => None,
        }
    }

    /// Adapters that `target` holds, with their versions.
    pub fn held_adapters(&self, target: &Name) -> Vec<(AdapterRef, u64)> {
        let entries = self.entries(target).into_iter();
        let held = entries.filter_map(|(adapter, entry)| match entry.presence {
            Presence::Held(version) => Some((adapter, version)),
            Presence::Absent => None,
        });
        held.collect()
    }

    fn entry(&self, adapter: &AdapterRef, target: &Name) -> Option<&Entry> {
        self.by_target.get(target)?.get(adapter)
    }

    /// All entries of `target`.
    fn entries(&self, target: &Name) -> Vec<(AdapterRef, Entry)> {
        let known = self.by_target.get(target);
        let known = known.into_iter().flatten();
        known.map(|(a, e)| (a.clone(), *e)).collect()
    }

    /// Sets or removes the entry of `adapter` at `target` and updates the
    /// counts.
    fn set(&mut self, adapter: &AdapterRef, target: &Name, entry: Option<Entry>) {
        let holds = |e: &Entry| matches!(e.presence, Presence::Held(_));
        let after = entry.as_ref().is_some_and(holds);
        let entries = self.by_target.entry(target.clone()).or_default();
        let old = match entry {
            Some(entry) => entries.insert(adapter.clone(), entry),
            None => entries.remove(adapter),
        };
        let before = old.as_ref().is_some_and(holds);
        if before == after {
            return;
        }
        if after && self.load_age(adapter, target) != Some(0) {
            self.note_load(adapter, target);
        }
        let copies = self.copy_counts.entry(adapter.clone()).or_default();
        let held = self.adapter_counts.entry(target.clone()).or_default();
        for count in [&mut *copies, held] {
            *count = if after {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        }
        if *copies == 0 {
            self.copy_counts.remove(adapter);
        }
    }
}

fn has_fresh_evidence(entry: &Entry, now: u64) -> bool {
    entry.evidence_ms > 0 && now.saturating_sub(entry.evidence_ms) < EVIDENCE_TTL_MS
}
