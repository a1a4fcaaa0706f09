//! The rows behind what is in force, and applying newer ones.
//!
//! Rows bear versions from one counter of the platform, so a row may come
//! from the store or from a peer in any order: the newer one wins, and a
//! daemon that the store turns away learns from those it serves.

use std::sync::Arc;

use comfreyhall_domain::{Config, Map, Name, PriorityTable, Stage, Target};
use comfreyhall_inforce::{SettingsTracker, Source};

use crate::{
    node::{NamedVersion, Node, View},
    ports::{Decoded, Record, RecordBatch, Topic},
};

/// Rows of one topic by key.
#[derive(Debug, Default)]
pub(crate) struct TopicRows {
    pub(crate) rows: Map<Name, Record>,
    /// Version at which each row last changed in what peers must know.
    pub(crate) news: Map<Name, u64>,
    /// Newest version covered.
    pub(crate) version: u64,
    /// When the store said what is known here, to us or to a peer; of the settings
    /// [`SettingsTracker`] knows it.
    pub(crate) as_of: u64,
}

impl TopicRows {
    /// Ms since the store said what is known here; the most there is if it
    /// never did.
    pub(crate) fn age(&self, now: u64) -> u64 {
        match self.as_of {
            0 => u64::MAX,
            as_of => now.saturating_sub(as_of),
        }
    }

    /// The store said at `at` that this is all.
    pub(crate) fn confirm(&mut self, at: u64) {
        self.as_of = self.as_of.max(at);
    }
}

/// The rows of all topics.
#[derive(Debug, Default)]
pub(crate) struct FactStore {
    pub(crate) settings: TopicRows,
    pub(crate) targets: TopicRows,
    /// How far the settings reach.
    pub(crate) settings_sync: SettingsTracker,
}

impl FactStore {
    pub(crate) fn topic_rows(&mut self, topic: Topic) -> &mut TopicRows {
        match topic {
            Topic::Settings => &mut self.settings,
            Topic::Targets => &mut self.targets,
        }
    }
}

/// Where rows came from, and when they were asked for.
#[derive(Debug)]
pub(crate) struct Provenance {
    pub(crate) way: Source,
    pub(crate) asked: u64,
}

impl Provenance {
    /// The store's answer to a call that began at `asked`.
    pub(crate) fn store(asked: u64) -> Self {
        let way = Source::Store;
        Self { way, asked }
    }
}

/// Applies rows of `topic` that are newer than those known.
pub(crate) fn apply(node: &Node, topic: Topic, facts: RecordBatch, origin: &Provenance) {
    let now = node.now();
    let mut view = node.view();
    let shelf = view.records.topic_rows(topic);
    shelf.version = shelf.version.max(facts.version);
    let mut changed = false;
    for fact in facts.rows {
        let known = view.records.topic_rows(topic).rows.get(&fact.key);
        if known.is_some_and(|k| k.version >= fact.version) {
            continue;
        }
        if topic == Topic::Settings {
            let Provenance { way, asked } = origin;
            view.records
                .settings_sync
                .apply(fact.version, way, *asked, now);
        }
        let news = take(node, &mut view, topic, &fact, now);
        let shelf = view.records.topic_rows(topic);
        if news {
            shelf.news.insert(fact.key.clone(), fact.version);
        }
        shelf.rows.insert(fact.key.clone(), fact);
        changed |= news;
    }
    drop(view);
    if changed {
        node.changed.notify_waiters();
    }
}

/// Takes one newer row into the view; whether peers must know.
///
/// A target publishes itself about every second, mostly with nothing new but
/// the adapters it holds, of which the holder of its lease tells sooner.
/// Telling peers of each such row came to 1.7 GB between failure domains in
/// a calm day of 89 daemons and 93 targets, which filled the smaller links.
fn take(node: &Node, view: &mut View, topic: Topic, fact: &Record, now: u64) -> bool {
    if fact.value.is_none() {
        if topic == Topic::Targets {
            view.entry_errors.remove(&fact.key);
            if let Some(known) = view.boot_of(&fact.key) {
                forget(view, &known.id);
            }
        }
        return true;
    }
    match node.source.decode(topic, fact) {
        Ok(Decoded::Config { config, warnings }) => {
            if view
                .config
                .as_ref()
                .is_some_and(|c| c.version > config.version)
            {
                return false;
            }
            for problem in warnings {
                log::warn!(target: "follow", version = config.version, problem; "odd setting read on the safe side");
            }
            tell_in_force(node, view, &config, fact);
            view.records.settings_sync.set_readable(true);
            view.config_key = Some(fact.key.clone());
            view.ranks = PriorityTable::from_config(&config);
            view.config = Some(Arc::from(config));
        }
        Ok(Decoded::Version(adapter, version)) => {
            let known = view.named_versions.get(&adapter);
            if known.is_some_and(|n| n.version >= version) {
                return false;
            }
            let named = NamedVersion {
                version,
                learned_ms: now,
            };
            view.named_versions.insert(adapter, named);
        }
        Ok(Decoded::Target(target)) => {
            view.entry_errors.remove(&fact.key);
            // Another boot is only looked for when this one is not known:
            // looking through all targets for each of their entries would
            // take 4 million comparisons a second with 2,200 targets.
            if !view.targets.contains_key(&target.id)
                && let Some(known) = view.boot_of(&target.name)
            {
                if known.started_at_ms > target.started_at_ms {
                    log::info!(target: "follow", id:% = target.id, newer:% = known.id; "entry of an earlier boot passed over");
                    return false;
                }
                log::info!(target: "follow", id:% = known.id, next:% = target.id; "target started again");
                forget(view, &known.id);
            }
            let known = view.targets.get(&target.id);
            if known.is_none_or(|t| t.stage != target.stage) {
                let stage = match target.stage {
                    Stage::Ready => "ready",
                    Stage::Draining => "draining",
                };
                log::info!(target: "follow", id:% = target.id, service:% = target.service, stage, row = fact.version; "target");
            }
            let news = known.is_none_or(|t| !same(t, &target));
            view.residency.apply_report(&target, now);
            view.targets.insert(target.id.clone(), Arc::new(target));
            return news;
        }
        Ok(Decoded::Other) => {}
        Err(problem) if topic == Topic::Targets => shun(view, &fact.key, problem),
        Err(problem) => {
            let key = view.config_key.as_ref();
            if key.is_none_or(|k| *k == fact.key) {
                view.records.settings_sync.set_readable(false);
            }
            log::warn!(target: "follow", key:% = fact.key, problem:%; "row refused; the last good one stays in force");
        }
    }
    true
}

/// Notes that `config`, which stands in `fact`, is in force from now on.
fn tell_in_force(node: &Node, view: &View, config: &Config, fact: &Record) {
    let Some(taken) = view.records.settings_sync.last_applied() else {
        return;
    };
    let bytes = fact.value.as_ref().map_or(0, |v| v.len());
    node.metrics
        .settings(taken.source.label(), bytes, taken.waited_ms);
    let before = view.config.as_ref().map_or(0, |c| c.version);
    let age = view.records.settings_sync.age_ms(taken.applied_at_ms);
    log::info!(target: "follow", version = config.version, before, routes = config.routes.len(), row = fact.version, from:% = taken.source, waited = taken.waited_ms, age, bytes; "configuration in force");
}

/// Sends nothing new to the target listed under `name`, whose entry cannot be
/// read.
///
/// Others write to the table too, so such an entry may stand where a living
/// target's did: what is known of that target is kept for its next entry.
fn shun(view: &mut View, name: &Name, problem: String) {
    if let Some(known) = view.boot_of(name) {
        let mut target = (*known).clone();
        target.stage = Stage::Draining;
        view.targets.insert(target.id.clone(), Arc::new(target));
    }
    if view.entry_errors.get(name) != Some(&problem) {
        log::warn!(target: "follow", key:% = name, problem:%; "entry names no target; correct or delete it");
        view.entry_errors.insert(name.clone(), problem);
    }
}

/// Whether two entries of a target differ in nothing that routes depend on.
fn same(a: &Target, b: &Target) -> bool {
    let models = |t: &Target| t.loaded.iter().map(|h| h.model.clone()).collect::<Vec<_>>();
    a.stage == b.stage && a.addr == b.addr && a.service == b.service && models(a) == models(b)
}

fn forget(view: &mut View, target: &Name) {
    if view.targets.remove(target).is_some() {
        log::info!(target: "follow", id:% = target; "target gone");
    }
    view.residency.remove(target);
    let targets = &view.targets;
    view.board.retain(|id| targets.contains_key(id));
}

/// Marks targets that a full read as of `version` no longer lists as gone.
pub(crate) fn sweep(node: &Node, listed: &RecordBatch) {
    let present: std::collections::HashSet<&Name> = listed.rows.iter().map(|f| &f.key).collect();
    let gone: Vec<Record> = {
        let mut view = node.view();
        let rows = view.records.topic_rows(Topic::Targets).rows.values();
        rows.filter(|f| f.value.is_some() && !present.contains(&f.key))
            .filter(|f| f.version <= listed.version)
            .map(|f| Record {
                key: f.key.clone(),
                value: None,
                version: listed.version,
            })
            .collect()
    };
    if !gone.is_empty() {
        apply(
            node,
            Topic::Targets,
            RecordBatch {
                rows: gone,
                version: listed.version,
            },
            &Provenance::store(node.now()),
        );
    }
}

#[cfg(test)]
mod tests;
