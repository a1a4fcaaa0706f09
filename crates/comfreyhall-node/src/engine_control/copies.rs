//! Replicates hot adapters before requests queue for them.
//!
//! The holder of a group's lease is told of every request, so it knows the
//! request rate of an adapter over the whole fleet. All holders rank the
//! engines for an adapter identically, and each requests the copies that fall
//! on its own engines. No request waits for them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{AdapterRef, Map, Name, Stage, Target};
use comfreyhall_placement::engines_needed;

use super::Job;
use crate::{
    fleet::parse_adapter_key,
    node::{Node, View},
    outbound::UnavailableTargets,
    paces,
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
            if wanted && node.leases.holds_any(node.settings().bounds.fencing) {
                request_copies(&node);
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
                ((full, paces::home_rank(view, uses_paces, &key, &t.id)), t)
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
