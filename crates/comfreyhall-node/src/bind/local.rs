//! The lease holder's choice among its engines.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{EngineConfig, Name};
use comfreyhall_routing::admission;

use super::params::{BindError, BindParams, Binding};
use crate::{
    active_send::PendingLoad,
    adapter_key::adapter_key,
    choose::{self, Plan},
    criteria::Criteria,
    engine_control::{self, Placed},
    leases,
    node::Node,
    outbound,
    slots::{self, SlotDecision},
};

/// Binds a run of this daemon or of a peer to an engine.
pub(super) async fn bind(node: &Arc<Node>, params: BindParams) -> Result<Binding, BindError> {
    let engine = engine_of(node, &params.service);
    let engine = engine.ok_or_else(|| BindError::no_engine("the service has no engines"))?;
    record_demand(node, &params);
    let plan = choose(node, &params, &engine);
    let plan = plan.ok_or_else(|| BindError::no_engine("no engine of the group can take it"))?;
    let first = params.tried.is_empty() && node.policies().admission;
    if first
        && admission::should_refuse(
            plan.wait_ms,
            params.remaining_ms,
            params.objective_ms,
            params.priority,
        )
    {
        return Err(BindError::TooLong(plan.wait_ms as u64));
    }
    if !plan.needs_load {
        let target = &plan.target.id;
        return binding(node, &params, target, plan.min_version, plan.wait_ms);
    }
    if !params.may_wait {
        return Err(BindError::LoadRequired);
    }
    let placed = load_adapter(node, &params, &plan).await?;
    // The load is done; the prompt is still to be prefilled.
    binding(node, &params, &placed.target, placed.version, 0.0)
}

fn engine_of(node: &Node, service: &Name) -> Option<EngineConfig> {
    let config = node.config()?;
    config.services.get(service)?.engine.clone()
}

fn gap_objective_of(node: &Node, route: &Name) -> Option<u64> {
    let config = node.config()?;
    let route = config.routes.iter().find(|r| r.name == *route)?;
    route.gap_objective_ms
}

/// Counts the request, and marks its adapter as hot if it is requested often.
fn record_demand(node: &Node, params: &BindParams) {
    let Some(adapter) = params
        .requirements
        .adapter
        .as_ref()
        .filter(|a| a.adapter.is_some())
    else {
        return;
    };
    let now = node.now();
    let groups = leases::groups(node).len();
    let mut view = node.view();
    if view.count_bind(&adapter_key(adapter), groups, now) {
        view.mark_hot(adapter, now);
    }
}

fn choose(node: &Node, params: &BindParams, engine: &EngineConfig) -> Option<Plan> {
    let criteria = Criteria {
        requirements: &params.requirements,
        objective_ms: params.objective_ms,
        route: &params.route,
        gap_objective_ms: gap_objective_of(node, &params.route),
        uses_paces: node.policies().engine_pace,
        service: &params.service,
        group: Some(&params.group),
        engine: Some(engine),
        tried: &params.tried,
        unavailable: &params.unavailable,
        only_tried: params.only_tried,
        seed: params.run,
        software: &params.software,
    };
    choose::choose(node, &criteria)
}

/// The binding. Notes the prompt as cached there, so that the next request with
/// the same prefix queues behind this one.
fn binding(
    node: &Node,
    params: &BindParams,
    target: &Name,
    version: u64,
    wait_ms: f64,
) -> Result<Binding, BindError> {
    let granted = outbound::grant(node, target);
    let granted = granted.ok_or_else(|| BindError::no_engine("the engine takes nothing now"))?;
    let now = node.now();
    let mut view = node.view();
    let unread_tokens = choose::unread_tokens(&view, &params.requirements, target);
    if let Some(adapter) = &params.requirements.adapter {
        view.prefixes
            .record(adapter, &params.requirements.prompt_segments, target, now);
    }
    let hot = params.requirements.adapter.as_ref();
    let hot = hot.is_some_and(|a| view.is_hot(a, now));
    Ok(Binding {
        target: target.clone(),
        version,
        unread_tokens,
        wait_ms: wait_ms as u64,
        hot,
        granted,
    })
}

/// Has the adapter loaded on one of the plan's engines.
async fn load_adapter(
    node: &Arc<Node>,
    params: &BindParams,
    plan: &Plan,
) -> Result<Placed, BindError> {
    let Some(adapter) = params.requirements.adapter.clone() else {
        return Err(BindError::no_engine("no engine holds the model"));
    };
    let waiting = match slots::decide(node, params, &adapter, plan.wait_ms as u64) {
        SlotDecision::Wait(waiting) => waiting,
        SlotDecision::Reject { return_ms } => return Err(BindError::NoSlot { return_ms }),
    };
    let request = engine_control::PlacementRequest {
        adapter: adapter.clone(),
        candidates: plan.candidates.clone(),
        version: plan.min_version,
        waiter: waiting.waiter().clone(),
        start_timeout: Duration::from_millis(waiting.limit_ms()),
        total_timeout: Duration::from_millis(params.limit_ms()),
    };
    // Shows other requests the slot that this one is about to take.
    let pending = PendingLoad::begin(node, &plan.target.id, &adapter, plan.unread_tokens);
    let placed = engine_control::place_adapter(node, request, Some(&waiting)).await;
    drop(pending);
    waiting.finish(placed.is_ok());
    placed.map_err(|e| match e.return_ms {
        Some(return_ms) => BindError::NoSlot { return_ms },
        None => BindError::NoEngine {
            reason: e.why,
            gone: e.refusing,
        },
    })
}
