//! Copies of hot adapters, ordered before requests queue for them.
//!
//! Who holds the lease of a group hears of every request, so it knows how
//! often an adapter is asked for over the whole fleet. Every holder ranks the
//! homes of an adapter alike and orders the copies that fall on its own
//! engines; no request waits for them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{AdapterRef, Map, Name, Stage, Target};
use comfreyhall_placement::engines_for;
use comfreyhall_routing::pick::home_rank;

use super::Job;
use crate::{
    fleet::parse_adapter_key,
    node::{Node, View},
    outbound::Shut,
};

/// Pause between looks: half of the time in which news comes in.
const SCAN_PERIOD: Duration = Duration::from_millis(125);

/// Starts the duty.
pub(super) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SCAN_PERIOD).await;
            let wanted = node.policies().early_copies;
            if wanted && node.leases.holds_any(node.settings().bounds.fencing) {
                request_copies(&node);
            }
        }
    });
}

/// Hands the copies that are due to the keepers of their engines.
fn request_copies(node: &Node) {
    let now = node.now();
    let due = {
        let view = node.view();
        let in_use = node.fleet.in_use(now);
        missing_copies(&view, &in_use, now)
    };
    let shut = Shut::now(node, now);
    for copy in due {
        if node.token(&copy.target.domain).is_none() || shut.loads(&copy.target.id) {
            continue;
        }
        let id = &copy.target.id;
        let Some(jobs) = node.keepers.jobs().get(id).cloned() else {
            continue;
        };
        let job = Job::prefetch(copy.adapter, 0, now);
        if jobs.try_send(job).is_err() {
            log::debug!(target: "keeper", id:% = id; "no copy ordered: the engine's queue is full");
        }
    }
}

/// A copy of an adapter that an engine is to have.
struct MissingCopy {
    target: Arc<Target>,
    adapter: AdapterRef,
}

/// Copies that adapters need beyond those that exist.
///
/// Engines whose places are all in use come last: a copy ordered there waits,
/// and the queues that it is to relieve grow meanwhile.
fn missing_copies(view: &View, in_use: &Map<Name, Vec<AdapterRef>>, now: u64) -> Vec<MissingCopy> {
    let cost_ms = view.board.reading_ms(view.prompt_tokens);
    let mut out = Vec::new();
    for (key, rate) in view.rush.rates(now) {
        let needed = engines_for(rate, cost_ms);
        if needed < 2 {
            continue;
        }
        let Some(adapter) = parse_adapter_key(&key).filter(|a| a.adapter.is_some()) else {
            continue;
        };
        let held = view.residency.copies(&adapter);
        let mut homes: Vec<_> = view
            .targets
            .values()
            .filter(|t| t.stage == Stage::Ready && t.holds(&adapter.model))
            .filter(|t| view.residency.version(&adapter, &t.id).is_none())
            .map(|t| {
                let used = in_use.get(&t.id).map_or(0, Vec::len);
                let full = used as u32 >= view.places(t);
                ((full, home_rank(&key, &t.id)), t)
            })
            .collect();
        homes.sort_by_key(|(rank, _)| *rank);
        let missing = needed.saturating_sub(held) as usize;
        let copies = homes.into_iter().take(missing).map(|(_, t)| MissingCopy {
            target: t.clone(),
            adapter: adapter.clone(),
        });
        out.extend(copies);
    }
    out
}

#[cfg(test)]
mod tests;
