//! Copies of hot adapters, ordered before requests queue for them.
//!
//! Who holds the lease of a group hears of every request, so it knows how
//! often an adapter is asked for over the whole fleet. Every holder ranks the
//! homes of an adapter alike and orders the copies that fall on its own
//! engines; no request waits for them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{AdapterRef, Map, Name, Stage, Target};
use comfreyhall_placement::engines_needed;
use comfreyhall_routing::selection::rendezvous_rank;

use super::Job;
use crate::{
    fleet::parse_adapter_key,
    node::{Node, View},
    outbound::UnavailableTargets,
};

/// Pause between looks: half of the time in which news comes in.
const PERIOD: Duration = Duration::from_millis(125);

/// Starts the duty.
pub(super) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(PERIOD).await;
            let wanted = node.policies().early_replicas;
            if wanted && node.leases.holds_any(node.settings().bounds.fencing) {
                order(&node);
            }
        }
    });
}

/// Hands the copies that are due to the keepers of their engines.
fn order(node: &Node) {
    let now = node.now();
    let due = {
        let view = node.view();
        let in_use = node.fleet.in_use(now);
        due(&view, &in_use, now)
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
        let job = Job::ahead(copy.adapter, 0, now);
        if jobs.try_send(job).is_err() {
            log::debug!(target: "keeper", id:% = id; "no copy ordered: the engine's queue is full");
        }
    }
}

/// A copy of an adapter that an engine is to have.
struct Due {
    target: Arc<Target>,
    adapter: AdapterRef,
}

/// Copies that adapters need beyond those that exist.
///
/// Engines whose places are all in use come last: a copy ordered there waits,
/// and the queues that it is to relieve grow meanwhile.
fn due(view: &View, in_use: &Map<Name, Vec<AdapterRef>>, now: u64) -> Vec<Due> {
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
        let mut homes: Vec<_> = view
            .targets
            .values()
            .filter(|t| t.stage == Stage::Ready && t.has_model(&adapter.model))
            .filter(|t| view.residency.held_version(&adapter, &t.id).is_none())
            .map(|t| {
                let used = in_use.get(&t.id).map_or(0, Vec::len);
                let full = used as u32 >= view.adapter_slots(t);
                ((full, rendezvous_rank(&key, &t.id)), t)
            })
            .collect();
        homes.sort_by_key(|(rank, _)| *rank);
        let missing = needed.saturating_sub(held) as usize;
        let copies = homes.into_iter().take(missing).map(|(_, t)| Due {
            target: t.clone(),
            adapter: adapter.clone(),
        });
        out.extend(copies);
    }
    out
}

#[cfg(test)]
mod tests;
