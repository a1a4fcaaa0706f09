//! The holder's choice among its engines.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{EngineConfig, Name};
use comfreyhall_routing::admission;

use super::{Bind, Bound, Unbound};
use crate::{
    choose::{self, Plan, Wish},
    fleet::adapter_key,
    flight::Stall,
    keeper::{self, Placed},
    leases,
    node::Node,
    outbound,
};

/// How long a request waits for a place in one group of engines before it
/// looks again, in ms: another group may be freer by then.
const PLACE_MS: u64 = 250;

/// The engine for a run of this daemon or of another.
pub(super) async fn bind(node: &Arc<Node>, ask: Bind) -> Result<Bound, Unbound> {
    let engine = engine_of(node, &ask.service);
    let engine = engine.ok_or_else(|| Unbound::unplaced("the service has no engines"))?;
    note(node, &ask);
    let plan = choose(node, &ask, &engine);
    let plan = plan.ok_or_else(|| Unbound::unplaced("no engine of the group can take it"))?;
    let first = ask.tried.is_empty() && node.policies().admission;
    if first && admission::should_refuse(plan.wait_ms, ask.left_ms, ask.aim_ms, ask.priority) {
        return Err(Unbound::TooLong(plan.wait_ms as u64));
    }
    if !plan.loads {
        let target = &plan.target.id;
        return bound(node, &ask, target, plan.version, plan.wait_ms);
    }
    if !ask.may_wait {
        return Err(Unbound::MustWait);
    }
    let placed = place(node, &ask, &plan).await?;
    // The load is done; the prompt is still to be read.
    bound(node, &ask, &placed.target, placed.version, 0.0)
}

fn engine_of(node: &Node, service: &Name) -> Option<EngineConfig> {
    let config = node.config()?;
    config.services.get(service)?.engine.clone()
}

/// Counts the request, and notes whether its adapter is hot.
fn note(node: &Node, ask: &Bind) {
    let Some(adapter) = ask.need.adapter.as_ref().filter(|a| a.adapter.is_some()) else {
        return;
    };
    let now = node.now();
    let groups = leases::groups(node).len();
    let mut view = node.view();
    if view.count_bind(&adapter_key(adapter), groups, now) {
        view.mark_hot(adapter, now);
    }
}

fn choose(node: &Node, ask: &Bind, engine: &EngineConfig) -> Option<Plan> {
    let wish = Wish {
        need: &ask.need,
        aim_ms: ask.aim_ms,
        service: &ask.service,
        group: Some(&ask.group),
        engine: Some(engine),
        tried: &ask.tried,
        closed: &ask.closed,
        only_tried: ask.only_tried,
        draw: ask.run,
    };
    choose::choose(node, &wish)
}

/// The answer, with the prompt noted as read there: whoever shares a part of
/// it and comes next is queued behind it.
fn bound(
    node: &Node,
    ask: &Bind,
    target: &Name,
    version: u64,
    wait_ms: f64,
) -> Result<Bound, Unbound> {
    let granted = outbound::grant(node, target);
    let granted = granted.ok_or_else(|| Unbound::unplaced("the engine takes nothing now"))?;
    let now = node.now();
    let mut view = node.view();
    let unread = choose::unread(&view, &ask.need, target);
    if let Some(adapter) = &ask.need.adapter {
        view.prefixes.record(adapter, &ask.need.parts, target, now);
    }
    let hot = ask.need.adapter.as_ref();
    let hot = hot.is_some_and(|a| view.is_hot(a, now));
    Ok(Bound {
        target: target.clone(),
        version,
        unread,
        wait_ms: wait_ms as u64,
        hot,
        granted,
    })
}

/// Has the adapter placed on one of the plan's engines.
async fn place(node: &Arc<Node>, ask: &Bind, plan: &Plan) -> Result<Placed, Unbound> {
    let Some(adapter) = ask.need.adapter.clone() else {
        return Err(Unbound::unplaced("no engine holds the model"));
    };
    let limit = ask.limit_ms();
    // After the load the prompt is still to be read.
    let after = plan.wait_ms as u64;
    let wish = keeper::PlacementRequest {
        adapter: adapter.clone(),
        candidates: plan.picks.clone(),
        version: plan.version,
        priority: u32::from(ask.priority),
        objective_ms: ask.aim_ms.saturating_sub(ask.spent_ms + after),
        start_timeout: Duration::from_millis(limit.min(PLACE_MS)),
        total_timeout: Duration::from_millis(limit),
    };
    // Others count on the place that this request is about to hold.
    let waits = Stall::begin(node, &plan.target.id, &adapter, plan.tokens);
    let placed = keeper::place_adapter(node, wish).await;
    drop(waits);
    placed.map_err(|e| Unbound::Unplaced {
        why: e.why,
        gone: e.gone,
    })
}
