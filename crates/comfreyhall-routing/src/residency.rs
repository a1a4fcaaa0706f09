//! Which target holds which adapter, from news of different ages.
//!
//! A target publishes what it holds about every second; the daemon that
//! gives it orders knows sooner, and an answer of the target itself proves
//! it at once. Newer direct evidence outlasts an older published list for
//! [`FRESH_MS`]; afterwards the list decides.

use comfreyhall_domain::{AdapterRef, Map, Name, Target};

/// How long direct evidence outlasts the published list, in ms: two
/// publishing intervals of 1,200 ms, and the time to read them.
const FRESH_MS: u64 = 3_000;

/// What is known of an adapter at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It holds this version.
    Held(u64),
    /// It does not hold it.
    Absent,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    standing: Presence,
    /// When direct evidence came; 0 for the published list.
    at: u64,
    /// When it was last known to be held; 0 for never.
    held: u64,
}

/// How long an engine still has an adapter at hand after it gave up its
/// place, in ms. Engines keep the weights of some dozens beside those in
/// place: on heavy days loads of adapters that an engine had given up took 25
/// to 55 ms as long as it had loaded fewer than 40 others since, which at a
/// load or two a second for each engine is about this long.
const RECENT_MS: u64 = 30_000;

/// Adapters and where they are, by target: what is asked for each request is
/// about one target, and a fleet knows some thousand adapters.
#[derive(Debug, Default)]
pub struct Residency {
    places: Map<Name, Map<AdapterRef, Entry>>,
    /// Targets that hold each adapter.
    copies: Map<AdapterRef, u32>,
    /// Adapters that each target holds.
    held: Map<Name, u32>,
}

impl Residency {
    /// Direct evidence at `now`.
    pub fn record(&mut self, adapter: &AdapterRef, target: &Name, standing: Presence, now: u64) {
        if adapter.adapter.is_none() {
            return;
        }
        let known = self.entry(adapter, target).map_or(0, |e| e.held);
        let held = match standing {
            Presence::Held(_) => now,
            Presence::Absent => known,
        };
        let entry = Entry {
            standing,
            at: now,
            held,
        };
        self.put(adapter, target, Some(entry));
    }

    /// Takes over the list that `target` published.
    pub fn apply_report(&mut self, target: &Target, now: u64) {
        for (adapter, entry) in self.entries(&target.id) {
            let mut next = entry;
            if !fresh(&entry, now) {
                next.standing = Presence::Absent;
            }
            let absent = next.standing == Presence::Absent;
            let forgotten = absent && now.saturating_sub(next.held) >= RECENT_MS;
            self.put(&adapter, &target.id, (!forgotten).then_some(next));
        }
        for held in &target.loaded {
            for (name, version) in &held.adapters {
                let adapter = AdapterRef {
                    model: held.model.clone(),
                    adapter: Some(name.clone()),
                };
                let known = self.entry(&adapter, &target.id);
                if known.is_some_and(|e| fresh(e, now)) {
                    continue;
                }
                let seen = Entry {
                    standing: Presence::Held(*version),
                    at: 0,
                    held: now,
                };
                self.put(&adapter, &target.id, Some(seen));
            }
        }
    }

    /// Whether `target` held `adapter` lately and so loads it quickly.
    pub fn likely_cached(&self, adapter: &AdapterRef, target: &Name, now: u64) -> bool {
        let entry = self.entry(adapter, target);
        entry.is_some_and(|e| e.held > 0 && now.saturating_sub(e.held) < RECENT_MS)
    }

    /// Targets that hold `adapter`.
    pub fn copy_count(&self, adapter: &AdapterRef) -> u32 {
        self.copies.get(adapter).copied().unwrap_or(0)
    }

    /// Adapters that `target` holds, counted.
    pub fn adapter_count(&self, target: &Name) -> u32 {
        self.held.get(target).copied().unwrap_or(0)
    }

    /// Forgets a target that is gone.
    pub fn remove(&mut self, target: &Name) {
        for (adapter, _) in self.entries(target) {
            self.put(&adapter, target, None);
        }
        self.places.remove(target);
        self.held.remove(target);
    }

    /// The version of `adapter` that `target` holds.
    pub fn held_version(&self, adapter: &AdapterRef, target: &Name) -> Option<u64> {
        match self.entry(adapter, target)?.standing {
            Presence::Held(version) => Some(version),
            Presence::Absent => None,
        }
    }

    /// Adapters that `target` holds, with their versions.
    pub fn held_adapters(&self, target: &Name) -> Vec<(AdapterRef, u64)> {
        let entries = self.entries(target).into_iter();
        let held = entries.filter_map(|(adapter, entry)| match entry.standing {
            Presence::Held(version) => Some((adapter, version)),
            Presence::Absent => None,
        });
        held.collect()
    }

    fn entry(&self, adapter: &AdapterRef, target: &Name) -> Option<&Entry> {
        self.places.get(target)?.get(adapter)
    }

    /// All that is known of `target`.
    fn entries(&self, target: &Name) -> Vec<(AdapterRef, Entry)> {
        let known = self.places.get(target);
        let known = known.into_iter().flatten();
        known.map(|(a, e)| (a.clone(), *e)).collect()
    }

    /// Sets what is known of `adapter` at `target`; keeps the counts.
    fn put(&mut self, adapter: &AdapterRef, target: &Name, entry: Option<Entry>) {
        let holds = |e: &Entry| matches!(e.standing, Presence::Held(_));
        let after = entry.as_ref().is_some_and(holds);
        let entries = self.places.entry(target.clone()).or_default();
        let old = match entry {
            Some(entry) => entries.insert(adapter.clone(), entry),
            None => entries.remove(adapter),
        };
        let before = old.as_ref().is_some_and(holds);
        if before == after {
            return;
        }
        let copies = self.copies.entry(adapter.clone()).or_default();
        let held = self.held.entry(target.clone()).or_default();
        for count in [&mut *copies, held] {
            *count = if after {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        }
        if *copies == 0 {
            self.copies.remove(adapter);
        }
    }
}

fn fresh(entry: &Entry, now: u64) -> bool {
    entry.at > 0 && now.saturating_sub(entry.at) < FRESH_MS
}
