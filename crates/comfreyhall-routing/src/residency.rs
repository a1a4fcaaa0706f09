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
pub enum Standing {
    /// It holds this version.
    Held(u64),
    /// It does not hold it.
    Absent,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    standing: Standing,
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

type Key = (Name, Name);

/// Adapters by model and name, and where they are.
#[derive(Debug, Default)]
pub struct Residency {
    places: Map<Key, Map<Name, Entry>>,
}

impl Residency {
    /// Direct evidence at `now`.
    pub fn note(&mut self, adapter: &AdapterRef, target: &Name, standing: Standing, now: u64) {
        let Some(name) = &adapter.adapter else { return };
        let key = (adapter.model.clone(), name.clone());
        let targets = self.places.entry(key).or_default();
        let before = targets.get(target).map_or(0, |e| e.held);
        let held = match standing {
            Standing::Held(_) => now,
            Standing::Absent => before,
        };
        let entry = Entry {
            standing,
            at: now,
            held,
        };
        targets.insert(target.clone(), entry);
    }

    /// Takes over the list that `target` published.
    pub fn publish(&mut self, target: &Target, now: u64) {
        for targets in self.places.values_mut() {
            if let Some(entry) = targets.get_mut(&target.id)
                && !fresh(entry, now)
            {
                entry.standing = Standing::Absent;
            }
            targets.retain(|_, e| {
                e.standing != Standing::Absent || now.saturating_sub(e.held) < RECENT_MS
            });
        }
        for held in &target.held {
            for (name, version) in &held.adapters {
                let key = (held.model.clone(), name.clone());
                let seen = Entry {
                    standing: Standing::Held(*version),
                    at: 0,
                    held: now,
                };
                let targets = self.places.entry(key).or_default();
                let entry = targets.entry(target.id.clone()).or_insert(seen);
                if !fresh(entry, now) {
                    *entry = seen;
                }
            }
        }
        self.places.retain(|_, targets| !targets.is_empty());
    }

    /// Whether `target` held `adapter` lately and so loads it quickly.
    pub fn recent(&self, adapter: &AdapterRef, target: &Name, now: u64) -> bool {
        let Some(name) = &adapter.adapter else {
            return false;
        };
        let key = (adapter.model.clone(), name.clone());
        let entry = self.places.get(&key).and_then(|t| t.get(target));
        entry.is_some_and(|e| e.held > 0 && now.saturating_sub(e.held) < RECENT_MS)
    }

    /// Targets that hold `adapter`.
    pub fn copies(&self, adapter: &AdapterRef) -> u32 {
        let Some(name) = &adapter.adapter else {
            return 0;
        };
        let key = (adapter.model.clone(), name.clone());
        let held = |e: &&Entry| matches!(e.standing, Standing::Held(_));
        let targets = self.places.get(&key);
        targets.map_or(0, |t| t.values().filter(held).count() as u32)
    }

    /// Forgets a target that is gone.
    pub fn remove(&mut self, target: &str) {
        for targets in self.places.values_mut() {
            targets.retain(|id, _| &**id != target);
        }
        self.places.retain(|_, targets| !targets.is_empty());
    }

    /// The version of `adapter` that `target` holds.
    pub fn version(&self, adapter: &AdapterRef, target: &Name) -> Option<u64> {
        let name = adapter.adapter.as_ref()?;
        let key = (adapter.model.clone(), name.clone());
        match self.places.get(&key)?.get(target)?.standing {
            Standing::Held(version) => Some(version),
            Standing::Absent => None,
        }
    }

    /// Adapters that `target` holds, with their versions.
    pub fn at(&self, target: &str) -> Vec<(AdapterRef, u64)> {
        let mut out = Vec::new();
        for ((model, name), targets) in &self.places {
            if let Some(Entry {
                standing: Standing::Held(version),
                ..
            }) = targets.get(target)
            {
                let adapter = AdapterRef {
                    model: model.clone(),
                    adapter: Some(name.clone()),
                };
                out.push((adapter, *version));
            }
        }
        out
    }
}

fn fresh(entry: &Entry, now: u64) -> bool {
    entry.at > 0 && now.saturating_sub(entry.at) < FRESH_MS
}
