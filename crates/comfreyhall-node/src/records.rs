//! The rows behind the active configuration and targets, and the application of
//! newer ones.
//!
//! Row versions come from one counter of the platform, so a row may come from
//! the store or from a peer in any order: the newer one wins, and a daemon that
//! the store rejects learns from its peers.
//!
//! The store may come back from a copy some seconds old, under a new era. Its rows
//! are then newer by their version while their content may be older than what is
//! active here. So content has an order of its own: configurations and adapters by
//! their versions, targets by their boots and stages. A row with older content
//! changes nothing, and the row known before stays for peers that lack it.

use std::{cmp::Ordering, sync::Arc};

use comfreyhall_domain::{Config, Name, PriorityTable, Revision, Stage, Target};

use crate::{
    node::Node,
    ports::{Decoded, Record, RecordBatch, Topic},
    rows::{KeptRows, Provenance},
    streams::versions,
    view::{NamedVersion, View},
};

/// Applies rows of `topic` that are newer than those known.
pub(crate) fn apply(node: &Node, topic: Topic, batch: RecordBatch, origin: &Provenance) {
    let now = node.now();
    let mut view = node.view();
    let stored = view.records.topic_rows(topic);
    stored.version = stored.version.max(batch.version);
    let (mut changed, mut went_back) = (false, 0);
    for record in batch.rows {
        let known = view.records.topic_rows(topic).rows.get(&record.key);
        if known.is_some_and(|k| k.version >= record.version) {
            continue;
        }
        if topic == Topic::Settings {
            let Provenance {
                source,
                requested_at_ms,
            } = origin;
            view.records
                .settings_sync
                .apply(record.version, source, *requested_at_ms, now);
        }
        let relevant = match apply_row(node, &mut view, topic, &record, now) {
            RowEffect::Outdated => {
                went_back += 1;
                if topic == Topic::Settings {
                    view.records.settings.kept.insert(record.key.clone());
                }
                continue;
            }
            effect => effect == RowEffect::Relevant,
        };
        let kept = topic == Topic::Targets && keeps_leaving(&view, node, &record);
        let stored = view.records.topic_rows(topic);
        match kept {
            true => stored.kept.insert(record.key.clone()),
            false => stored.kept.remove(&record.key),
        };
        if relevant {
            stored
                .changed_versions
                .insert(record.key.clone(), record.version);
        }
        stored.rows.insert(record.key.clone(), record);
        changed |= relevant;
    }
    drop(view);
    if went_back > 0 {
        log::info!(target: "follow", topic:? = topic, version:% = batch.version, rows = went_back, from:% = origin.source; "rows with older content than is known passed over");
        node.metrics.rows_passed_over(went_back);
    }
    if changed {
        if topic == Topic::Targets {
            observe_versions(node);
        }
        node.changed.notify_waiters();
    }
}

/// Whether the target of `record` leaves, though this row of a later era says otherwise.
fn keeps_leaving(view: &View, node: &Node, record: &Record) -> bool {
    let Some(known) = view.boot_of(&record.key) else {
        return false;
    };
    if known.stage != Stage::Draining {
        return false;
    }
    let listed = node.source.decode(Topic::Targets, record);
    matches!(listed, Ok(Decoded::Target(t)) if t.id == known.id && t.stage == Stage::Ready)
}

/// What the store has lost and this daemon knows.
pub(crate) fn kept_rows(node: &Node) -> KeptRows {
    let view = node.view();
    let settings = &view.records.settings;
    let kept = settings.kept.iter().filter_map(|k| settings.rows.get(k));
    let leaving = view.targets.values().filter(|t| t.stage == Stage::Draining);
    KeptRows {
        settings: kept.cloned().collect(),
        leaving: leaving.map(|t| t.id.clone()).collect(),
    }
}

/// Applies what a peer knows and the store has lost; this daemon may know only the copy.
pub(crate) fn apply_kept(node: &Node, found: KeptRows, origin: &Provenance) {
    let now = node.now();
    let mut applied = 0;
    let mut view = node.view();
    for record in found.settings {
        // A row that is not of an earlier era comes by the usual ways.
        let known = view.records.settings.rows.get(&record.key);
        if known.is_none_or(|k| k.version.era() <= record.version.era()) {
            continue;
        }
        if apply_row(node, &mut view, Topic::Settings, &record, now) == RowEffect::Relevant {
            let stored = &mut view.records.settings;
            stored.kept.insert(record.key.clone());
            stored.rows.insert(record.key.clone(), record);
            applied += 1;
        }
    }
    for id in found.leaving {
        let known = view.targets.get(&id).cloned();
        if let Some(known) = known.filter(|t| t.stage == Stage::Ready) {
            let mut target = (*known).clone();
            target.stage = Stage::Draining;
            view.records.targets.kept.insert(target.name.clone());
            view.targets.insert(id, Arc::new(target));
            applied += 1;
        }
    }
    drop(view);
    log::info!(target: "follow", rows = applied, from:% = origin.source; "rows that the store has lost taken from a peer");
    if applied > 0 {
        observe_versions(node);
        node.changed.notify_waiters();
    }
}

/// Records the software versions of the known targets.
fn observe_versions(node: &Node) {
    let timing = versions::timing(node.settings().bounds.drain_ms);
    let now = node.now();
    let mixed = versions::observe(&mut node.view(), &timing, now);
    for service in mixed {
        node.streams.record_running(&service, now);
    }
}

/// Records that the known targets were complete up to row `version` at `as_of_ms`.
pub(crate) fn prove_targets(node: &Node, version: Revision, as_of_ms: u64) {
    observe_versions(node);
    let timing = versions::timing(node.settings().bounds.drain_ms);
    let mut view = node.view();
    view.records.targets.prove(version, as_of_ms);
    versions::confirm(&mut view, &timing, as_of_ms);
}

/// What a newer row does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowEffect {
    /// It changes something that peers have to know.
    Relevant,
    /// It changes nothing that peers have to know.
    Irrelevant,
    /// Its content is older than what is known.
    Outdated,
}

/// Applies one newer row to the view.
///
/// A target publishes itself about every second, mostly with no change except
/// in the adapters it holds, which its lease holder reports sooner. Gossip
/// about each such row came to 1.7 GB between failure domains on a calm day of
/// 89 daemons and 93 targets, which filled the smaller links.
fn apply_row(node: &Node, view: &mut View, topic: Topic, record: &Record, now: u64) -> RowEffect {
    if record.value.is_none() {
        if topic == Topic::Targets {
            view.entry_errors.remove(&record.key);
            if let Some(known) = view.boot_of(&record.key) {
                view.departed.record(&known, record.version.era());
                remove_target(view, &known.id, now);
            }
        }
        return RowEffect::Relevant;
    }
    match node.source.decode(topic, record) {
        Ok(Decoded::Config { config, warnings }) => {
            if view
                .config
                .as_ref()
                .is_some_and(|c| c.version > config.version)
            {
                return RowEffect::Outdated;
            }
            for problem in warnings {
                log::warn!(target: "follow", version = config.version, problem; "invalid setting replaced by a safe value");
            }
            log_active_config(node, view, &config, record);
            view.records.settings_sync.set_readable(true);
            view.config_key = Some(record.key.clone());
            view.ranks = PriorityTable::from_config(&config);
            view.config = Some(Arc::from(config));
        }
        Ok(Decoded::Version(adapter, version)) => {
            let known = view.named_versions.get(&adapter);
            match known.map(|n| n.version.cmp(&version)) {
                Some(Ordering::Greater) => return RowEffect::Outdated,
                Some(Ordering::Equal) => return RowEffect::Irrelevant,
                Some(Ordering::Less) | None => {}
            }
            let named = NamedVersion {
                version,
                learned_ms: now,
            };
            view.named_versions.insert(adapter, named);
        }
        Ok(Decoded::Target(mut target)) => {
            if view.departed.has_ended(&target) {
                return RowEffect::Outdated;
            }
            view.entry_errors.remove(&record.key);
            // Another boot is searched for only when this one is not known: a
            // scan of all targets for each of their entries would take 4
            // million comparisons a second with 2,200 targets.
            if !view.targets.contains_key(&target.id)
                && let Some(known) = view.boot_of(&target.name)
            {
                if known.started_at_ms > target.started_at_ms {
                    log::info!(target: "follow", id:% = target.id, newer:% = known.id; "entry of an earlier boot ignored");
                    return RowEffect::Irrelevant;
                }
                log::info!(target: "follow", id:% = known.id, next:% = target.id; "target restarted");
                remove_target(view, &known.id, now);
            }
            let known = view.targets.get(&target.id);
            if known.is_some_and(|t| t.software != target.software) {
                log::info!(target: "follow", id:% = target.id, software = target.software.as_deref().unwrap_or(""); "target runs other software");
                remove_target(view, &target.id, now);
            }
            if let Some(known) = view.targets.get(&target.id) {
                keep_progress(known, &mut target);
            }
            let known = view.targets.get(&target.id);
            if known.is_none_or(|t| t.stage != target.stage) {
                let stage = match target.stage {
                    Stage::Ready => "ready",
                    Stage::Draining => "draining",
                };
                log::info!(target: "follow", id:% = target.id, service:% = target.service, stage, row:% = record.version; "target");
            }
            let relevant = known.is_none_or(|t| !routes_alike(t, &target));
            view.residency.apply_report(&target, now);
            view.targets.insert(target.id.clone(), Arc::new(target));
            return match relevant {
                true => RowEffect::Relevant,
                false => RowEffect::Irrelevant,
            };
        }
        Ok(Decoded::Other) => {}
        Err(problem) if topic == Topic::Targets => mark_unreadable(view, &record.key, problem),
        Err(problem) => {
            let key = view.config_key.as_ref();
            if key.is_none_or(|k| *k == record.key) {
                view.records.settings_sync.set_readable(false);
            }
            log::warn!(target: "follow", key:% = record.key, problem:%; "row refused; the last good one stays in force");
        }
    }
    RowEffect::Relevant
}

/// Keeps in the entry of a new era what the same boot had said before: the entry of the copy
/// may be older. No boot takes back that it leaves, or accepts fewer commands.
fn keep_progress(known: &Target, entry: &mut Target) {
    if known.row_version.era() >= entry.row_version.era() {
        return;
    }
    if known.stage == Stage::Draining {
        entry.stage = Stage::Draining;
    }
    if known.accepted_commands > entry.accepted_commands {
        entry.accepted_commands = known.accepted_commands;
        entry.loaded = known.loaded.clone();
    }
}

/// Logs that `config`, the content of `record`, becomes active.
fn log_active_config(node: &Node, view: &View, config: &Config, record: &Record) {
    let Some(taken) = view.records.settings_sync.last_applied() else {
        return;
    };
    let bytes = record.value.as_ref().map_or(0, |v| v.len());
    node.metrics
        .settings(taken.source.label(), bytes, taken.waited_ms);
    let before = view.config.as_ref().map_or(0, |c| c.version);
    let age = view.records.settings_sync.age_ms(taken.applied_at_ms);
    log::info!(target: "follow", version = config.version, before, routes = config.routes.len(), row:% = record.version, from:% = taken.source, waited = taken.waited_ms, age, bytes; "configuration in force");
}

/// Stops new requests to the target listed under `name`, whose entry cannot be
/// read.
///
/// Other writers use the table too, so such an entry may have replaced that of
/// a live target: what is known of the target is kept for its next entry.
fn mark_unreadable(view: &mut View, name: &Name, problem: String) {
    if let Some(known) = view.boot_of(name) {
        let mut target = (*known).clone();
        target.stage = Stage::Draining;
        view.targets.insert(target.id.clone(), Arc::new(target));
    }
    if view.entry_errors.get(name) != Some(&problem) {
        log::warn!(target: "follow", key:% = name, problem:%; "entry does not describe a target; correct or delete it");
        view.entry_errors.insert(name.clone(), problem);
    }
}

/// Whether two entries of a target are equal in everything that routing depends
/// on.
fn routes_alike(a: &Target, b: &Target) -> bool {
    let models = |t: &Target| t.loaded.iter().map(|h| h.model.clone()).collect::<Vec<_>>();
    a.stage == b.stage
        && a.software == b.software
        && a.addr == b.addr
        && a.service == b.service
        && models(a) == models(b)
}

fn remove_target(view: &mut View, target: &Name, now: u64) {
    if let Some(ended) = view.targets.remove(target) {
        view.records.targets.kept.remove(&ended.name);
        log::info!(target: "follow", id:% = target; "target gone");
    }
    view.residency.remove(target, now);
    let targets = &view.targets;
    view.board.retain(|id| targets.contains_key(id));
    view.paces.retain(|id| targets.contains_key(id));
}

/// Removes targets that a full read as of `version` no longer lists.
pub(crate) fn remove_unlisted(node: &Node, listed: &RecordBatch) {
    let present: std::collections::HashSet<&Name> = listed.rows.iter().map(|f| &f.key).collect();
    let unlisted: Vec<Record> = {
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
    if !unlisted.is_empty() {
        apply(
            node,
            Topic::Targets,
            RecordBatch {
                rows: unlisted,
                version: listed.version,
            },
            &Provenance::store(node.now()),
        );
    }
}

#[cfg(test)]
mod tests;
