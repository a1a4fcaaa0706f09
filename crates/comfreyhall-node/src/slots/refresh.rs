//! Keeps what the holder knows of its slots up to date.

use std::sync::Arc;

use comfreyhall_domain::{Map, Name};
use comfreyhall_slots::{SlotSchedule, SlotShare};

use crate::node::Node;

/// How long what was computed from the runs of a group is used again, in ms:
/// about one slot of a group becomes free in that time.
const REFRESH_MS: u64 = 25;

/// An engine of a group.
struct EngineSlots {
    slots: usize,
    models: Vec<Name>,
}

/// Brings what is known of the slots of `group` up to date, with a pool for
/// `model`.
pub(super) fn refresh(node: &Node, group: &Name, model: Option<&Name>) {
    let now = node.now();
    {
        let mut state = node.slots.state();
        let known = state.group(group, now);
        let current = now < known.refreshed_ms + REFRESH_MS;
        let new = model.is_some_and(|m| !known.pools.contains_key(m));
        if current && !new {
            return;
        }
        if let Some(model) = model {
            known.pools.entry(model.clone()).or_default();
        }
    }
    let view = node.view();
    let hold_ms = view.hold.mean_ms();
    let targets = view.targets.values();
    let engines = targets.filter(|t| t.failure_domain == *group).map(|t| {
        let slots = EngineSlots {
            slots: view.adapter_slots(t) as usize,
            models: t.loaded.iter().map(|l| l.model.clone()).collect(),
        };
        (t.id.clone(), slots)
    });
    let engines: Map<Name, EngineSlots> = engines.filter(|(_, e)| e.slots > 0).collect();
    drop(view);
    let mut runs: Vec<(SlotShare, u64)> = Vec::new();
    // The start of the latest run of each slot in use.
    let mut used: Map<(Name, Name), u64> = Map::default();
    node.fleet.visit_runs(now, |run| {
        if let Some(adapter) = run.adapter.as_ref().and_then(|a| a.adapter.clone())
            && engines.contains_key(&run.target)
        {
            runs.push((run.share.clone(), run.began_at_ms));
            let latest = used.entry((run.target.clone(), adapter)).or_default();
            *latest = run.began_at_ms.max(*latest);
        }
    });
    for (adapter, target) in node.controllers.loads() {
        if let Some(adapter) = adapter.adapter
            && engines.contains_key(&target)
        {
            used.insert((target, adapter), now);
        }
    }
    let mut state = node.slots.state();
    let known = state.group(group, now);
    known.refreshed_ms = now;
    let waiting = known.pools.values().flat_map(|p| p.list.iter());
    let shares = known.ledger.share_use(
        runs.iter().map(|(share, began)| (share, *began)),
        waiting.map(|w| &w.share),
        now,
    );
    known.shares = Arc::new(shares);
    for (model, pool) in &mut known.pools {
        let of_model = |e: &&EngineSlots| e.models.contains(model);
        let slots = engines.values().filter(of_model).map(|e| e.slots).sum();
        let used = used
            .iter()
            .filter(|((target, _), _)| engines.get(target).as_ref().is_some_and(of_model));
        let began = used.map(|(_, began)| *began);
        pool.schedule = SlotSchedule::new(slots, began, hold_ms, now);
    }
}
