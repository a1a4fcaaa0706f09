//! Replicates hot adapters before requests queue for them.
//!
//! The holder of a group's lease is notified of every request, so it knows the
//! request rate of an adapter over the whole fleet. All holders rank the
//! engines for an adapter identically, and each requests the copies that fall
//! on its own engines. No request waits for them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{AdapterRef, Map, Name, Stage, Target};
use comfreyhall_placement::engines_needed;

use super::Job;
use crate::{
    adapter_key::{adapter_key, parse_adapter_key},
    node::Node,
    outbound::UnavailableTargets,
    paces,
    view::View,
    weights::recovery_order,
};

/// Interval between scans: half of the gossip period.
const SCAN_PERIOD: Duration = Duration::from_millis(125);

/// Starts the replication task.
pub(super) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SCAN_PERIOD).await;
            let wanted = node.policies().early_replicas;
            if !node.leases.holds_any(node.settings().bounds.fencing) {
                continue;
            }
            if wanted {
                request_copies(&node);
            }
            if node.policies().weight_affinity {
                restore_lost(&node);
            }
        }
    });
}

/// Sends the missing copies to the controllers of their engines.
fn request_copies(node: &Node) {
    let now = node.now();
    let due = {
        let view = node.view();
        let in_use = node.fleet.in_use(now);
        missing_copies(&view, &in_use, node.policies().engine_pace, now)
    };
    let unavailable = UnavailableTargets::current(node, now);
    for copy in due {
        if node.token(&copy.target.failure_domain).is_none()
            || unavailable.blocks_loads(&copy.target.id)
        {
            continue;
        }
        let id = &copy.target.id;
        let Some(jobs) = node.controllers.jobs().get(id).cloned() else {
            continue;
        };
        let job = Job::prefetch(copy.adapter, 0, now);
        if jobs.try_send(job).is_err() {
            log::debug!(target: "keeper", id:% = id; "copy not requested: the engine's queue is full");
        }
    }
}

/// Requests the most used adapters of lost engines on the engines now ranked first, at the
/// rate of the weight store and after those that requests wait for.
fn restore_lost(node: &Node) {
    let now = node.now();
    let room = node.controllers.store_room();
    if room == 0 {
        return;
    }
    let unavailable = UnavailableTargets::current(node, now);
    // An adapter whose first engine takes no loads now stays lost until it does.
    let owns =
        |t: &Target| node.token(&t.failure_domain).is_some() && !unavailable.blocks_loads(&t.id);
    let uses_paces = node.policies().engine_pace;
    let due = due_recoveries(&mut node.view(), room, owns, uses_paces, now);
    for copy in due {
        let id = &copy.target.id;
        log::info!(target: "keeper", id:% = id, adapter:% = adapter_key(&copy.adapter); "lost adapter requested");
        if let Some(jobs) = node.controllers.jobs().get(id) {
            // A full queue has more urgent work.
            let _ = jobs.try_send(Job::recovery(copy.adapter, now));
        }
    }
}

/// At most `room` lost adapters to load now on own engines, each of them once.
fn due_recoveries(
    view: &mut View,
    room: usize,
    owns: impl Fn(&Target) -> bool,
    uses_paces: bool,
    now: u64,
) -> Vec<MissingCopy> {
    let lost = view.residency.lost(now).into_iter();
    let lost = lost.map(|a| (a.clone(), view.demand.score(&adapter_key(&a), now)));
    let wanted = recovery_order(lost.collect()).into_iter();
    let copies = wanted.filter_map(|adapter| {
        let target = preferred(view, &adapter, uses_paces)?;
        Some(MissingCopy { target, adapter })
    });
    let due: Vec<MissingCopy> = copies.filter(|c| owns(&c.target)).take(room).collect();
    for copy in &due {
        view.residency.restore(&copy.adapter);
    }
    due
}

/// The engine on which all daemons load `adapter` where none holds it.
fn preferred(view: &View, adapter: &AdapterRef, uses_paces: bool) -> Option<Arc<Target>> {
    let key = adapter_key(adapter);
    let ready = view
        .targets
        .values()
        .filter(|t| t.stage == Stage::Ready && t.has_model(&adapter.model));
    let preferred = ready.min_by_key(|t| {
        let has_cached = view.residency.has_cached(adapter, &t.id);
        (
            !has_cached,
            paces::adapter_rank(view, uses_paces, &key, &t.id),
        )
    });
    preferred.cloned()
}

/// An adapter copy to be loaded on an engine.
struct MissingCopy {
    target: Arc<Target>,
    adapter: AdapterRef,
}

/// Returns the copies that adapters need beyond the existing ones.
///
/// Engines without a free slot come last: a copy requested there waits, while
/// the queues that it should relieve keep growing.
fn missing_copies(
    view: &View,
    in_use: &Map<Name, Vec<AdapterRef>>,
    uses_paces: bool,
    now: u64,
) -> Vec<MissingCopy> {
    let cost_ms = view.board.read_duration_ms(view.mean_prompt);
    let mut out = Vec::new();
    for (key, rate) in view.fast_demand.rates(now) {
        let needed = engines_needed(rate, cost_ms);
        if needed < 2 {
            continue;
        }
        let Some(adapter) = parse_adapter_key(&key).filter(|a| a.adapter.is_some()) else {
            continue;
        };
        let held = view.residency.copy_count(&adapter);
        let mut engines: Vec<_> = view
            .targets
            .values()
            .filter(|t| t.stage == Stage::Ready && t.has_model(&adapter.model))
            .filter(|t| view.residency.held_version(&adapter, &t.id).is_none())
            .map(|t| {
                let used = in_use.get(&t.id).map_or(0, Vec::len);
                let full = used as u32 >= view.adapter_slots(t);
                (
                    (full, paces::adapter_rank(view, uses_paces, &key, &t.id)),
                    t,
                )
            })
            .collect();
        engines.sort_by_key(|(rank, _)| *rank);
        let missing = needed.saturating_sub(held) as usize;
        let copies = engines.into_iter().take(missing).map(|(_, t)| MissingCopy {
            target: t.clone(),
            adapter: adapter.clone(),
        });
        out.extend(copies);
    }
    out
}

#[cfg(test)]
mod tests;
