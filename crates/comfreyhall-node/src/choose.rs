//! Chooses the target of one request from what this daemon knows.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, EngineConfig, Map, Name, Target};
use comfreyhall_placement::SlotTimePrice;
use comfreyhall_routing::{
    selection,
    selection::{Candidate, Spread},
};

use crate::{
    active_send::RunHandle,
    criteria::{Criteria, Requirements},
    engine_control::{candidate::EngineCandidate, estimate_load},
    node::Node,
    outbound::{self, UnavailableTargets},
    paces, slots,
    view::View,
    weights,
};

/// Divisor of the version bound: how long after a new version of an adapter was
/// named the previous one still serves, while replacements are loaded.
const VERSION_GRACE_DIVISOR: u64 = 2;

/// Cost of running on a version that is about to be replaced, in ms. The
/// replacement waits for the runs in progress, and requests that arrive
/// meanwhile are refused there; so the new version is loaded elsewhere unless
/// the old one is much sooner.
const OUTDATED_COST_MS: f64 = 250.0;

/// Width within which requests spread in a large fleet, in ms: about one
/// prompt, which is what a daemon that receives gossip twice a second may not
/// know of.
const STALE_SPREAD_MS: f64 = 150.0;

/// Minimum number of engines to which an adapter may be loaded, beyond those
/// that hold it. Otherwise as many as hold it already, so that the copies of an
/// adapter that has become hot double within the time of a load. With 1, an
/// adapter waits for that engine however long its queue is; with many, it is
/// loaded from the weight store to engines that have not cached it.
const MIN_NEW_ENGINES: usize = 2;

/// Maximum number of engines that share a placement request. A dozen of them
/// free a slot every 30 ms when all are in use. With every engine of a group of
/// 31 in each request, the lease holder spent its core on scanning placement
/// requests, and half of them expired unseen.
const MAX_CANDIDATES: usize = 12;

/// Cost of an engine in another failure domain for a hot adapter, in ms: each
/// domain has engines of its own for it. Daemons learn of remote queues a
/// second late, and without this cost the callers of all domains converge on
/// the engines that had the adapter first.
const REMOTE_DOMAIN_COST_MS: f64 = 150.0;

/// The chosen target of a request, and what is expected there.
pub(crate) struct Plan {
    pub(crate) target: Arc<Target>,
    /// Prompt tokens to prefill there.
    pub(crate) unread_tokens: u64,
    /// Minimum version of the adapter; 0 for any.
    pub(crate) min_version: u64,
    /// Version that the target must have to run it.
    pub(crate) required_version: Option<u64>,
    /// Estimated ms to the first token, including the load.
    pub(crate) wait_ms: f64,
    /// Whether the adapter has to be loaded first.
    pub(crate) needs_load: bool,
    /// Engines that may load it, best first, for the lease holder.
    pub(crate) candidates: Vec<EngineCandidate>,
    /// The run that the lease holder has bound to the target.
    pub(crate) run_handle: Option<RunHandle>,
    /// Whether the lease holder has granted it a part of the target's limit.
    pub(crate) granted: bool,
}

/// Chooses the target of a request; `None` if none can take it now.
pub(crate) fn choose(node: &Node, criteria: &Criteria<'_>) -> Option<Plan> {
    let now = node.now();
    let settings = node.settings();
    let policies = settings.policies;
    let unavailable = outbound::UnavailableTargets::current(node, now);
    let view = node.view();
    let targets = view.ready_targets(criteria.service, now);
    let targets: Vec<Arc<Target>> = targets
        .into_iter()
        .filter(|t| criteria.allows(t) && !unavailable.blocks_sends(&t.id))
        .collect();
    let base = |t: &Target| Candidate {
        id: t.id.clone(),
        same_domain: t.failure_domain == settings.domain || !policies.prefer_local,
        wait_ms: 0.0,
        load_ms: 0.0,
        from_store: false,
        evicts: false,
        interference_ms: 0.0,
        success_rate: match policies.outliers {
            true => view.board.health(&t.id, now),
            false => 1.0,
        },
        tried: criteria.tried.contains(&t.id),
    };
    let mut loaders = Vec::new();
    let (choices, min_version) = match (&criteria.requirements.adapter, criteria.engine) {
        (Some(adapter), Some(engine)) => {
            let version = min_version_of(node, &view, adapter, now);
            let engine_needs = EngineNeeds {
                adapter,
                engine,
                version,
            };
            let engine_choices = engine_choices(
                node,
                &view,
                criteria,
                engine_needs,
                &targets,
                &unavailable,
                &base,
            );
            loaders = engine_choices.loaders;
            (engine_choices.eligible, version)
        }
        _ => {
            let plain = |t: &Arc<Target>| Candidate {
                wait_ms: view.board.plain_ms(&t.id, t.max_running, now),
                ..base(t)
            };
            (targets.iter().map(plain).collect(), 0)
        }
    };
    let retry_cost_ms = criteria.objective_ms as f64;
    let spread = match node.fleet.is_large() && criteria.group.is_none() {
        true => Spread::Stale(STALE_SPREAD_MS),
        false => Spread::Equal,
    };
    let best = selection::select(&choices, retry_cost_ms, spread, criteria.seed)?;
    let target = targets.iter().find(|t| t.id == best.id)?.clone();
    let needs_load = best.load_ms > 0.0;
    let candidates = match needs_load && criteria.group.is_some() {
        true if policies.group_waits => candidates(best, &loaders, retry_cost_ms),
        true => candidates(best, &[], retry_cost_ms),
        false => Vec::new(),
    };
    let unread_tokens = unread_tokens(&view, criteria.requirements, &target.id);
    Some(Plan {
        unread_tokens,
        min_version,
        required_version: (min_version > 0).then_some(min_version),
        wait_ms: best.wait_ms + best.load_ms,
        target,
        needs_load,
        candidates,
        run_handle: None,
        granted: false,
    })
}

/// `best` and other engines of its group that may load the adapter.
fn candidates(best: &Candidate, loaders: &[Candidate], retry_cost_ms: f64) -> Vec<EngineCandidate> {
    let others = loaders.iter().filter(|c| c.id != best.id);
    let others = others.map(|c| EngineCandidate {
        target: c.id.clone(),
        extra_ms: (c.cost_ms(retry_cost_ms) - best.cost_ms(retry_cost_ms)).max(0.0) as u64,
    });
    let first = EngineCandidate {
        target: best.id.clone(),
        extra_ms: 0,
    };
    std::iter::once(first)
        .chain(others.take(MAX_CANDIDATES - 1))
        .collect()
}

/// The minimum version of `adapter` that may still serve.
fn min_version_of(node: &Node, view: &View, adapter: &AdapterRef, now: u64) -> u64 {
    let grace = node.settings().bounds.version_ms / VERSION_GRACE_DIVISOR;
    let named = view.named_versions.get(adapter);
    let due = named.filter(|n| now.saturating_sub(n.learned_ms) >= grace);
    due.map_or(0, |n| n.version)
}

/// Prompt tokens that `target` has not cached.
pub(crate) fn unread_tokens(view: &View, requirements: &Requirements, target: &Name) -> u64 {
    let Some(adapter) = &requirements.adapter else {
        return 0;
    };
    let cached_tokens = view
        .prefixes
        .cached_tokens(adapter, &requirements.prompt_segments, target);
    requirements.prompt().saturating_sub(cached_tokens).max(1)
}

/// What an engine must have for a request.
struct EngineNeeds<'a> {
    adapter: &'a AdapterRef,
    engine: &'a EngineConfig,
    /// Minimum version of the adapter; 0 for any.
    version: u64,
}

/// Engines for a request.
struct EngineChoices {
    /// Engines to choose from.
    eligible: Vec<Candidate>,
    /// All engines that lack its adapter and may load it.
    loaders: Vec<Candidate>,
}

fn engine_choices(
    node: &Node,
    view: &View,
    criteria: &Criteria<'_>,
    engine_needs: EngineNeeds<'_>,
    targets: &[Arc<Target>],
    unavailable: &UnavailableTargets,
    base: &impl Fn(&Target) -> Candidate,
) -> EngineChoices {
    let EngineNeeds {
        adapter,
        engine,
        version,
    } = engine_needs;
    let now = node.now();
    let key = crate::adapter_key::adapter_key(adapter);
    let in_use = node.fleet.in_use(now);
    let used = node.fleet.reported_in_use(now);
    let named = view.named_versions.get(adapter).map_or(0, |n| n.version);
    let policies = node.policies();
    let slot_price = slot_price(node, view, criteria, engine, targets, &in_use);
    let hot = policies.local_hot && view.is_hot(adapter, now);
    let domain = node.settings().domain.clone();
    let has_local_engines =
        criteria.group.is_some() || targets.iter().any(|t| t.failure_domain == domain);
    let resident = |t: &Target| view.residency.held_version(adapter, &t.id);
    let holds = |t: &Target| resident(t).is_some_and(|v| v >= version);
    let holders = targets.iter().filter(|t| holds(t)).map(|t| &t.id);
    let prefix_engine = match policies.shared_prompts {
        true => selection::prefix_engine(&key, &criteria.requirements.prompt_segments, holders),
        false => None,
    };
    let mut loaders: Vec<(bool, u64, Candidate)> = Vec::new();
    let mut held_late_ms = f64::INFINITY;
    let mut out = Vec::new();
    for t in targets.iter().filter(|t| t.has_model(&adapter.model)) {
        let mut choice = base(t);
        let mut tokens = unread_tokens(view, criteria.requirements, &t.id);
        if prefix_engine == Some(&t.id) {
            tokens = tokens.min(criteria.requirements.own_tokens());
        }
        let cost = paces::cost(node, view, criteria, &t.id, tokens);
        choice.wait_ms = cost.wait_ms;
        if let Some(slot_price) = slot_price {
            let streams = view.board.total_work(&t.id, now).requests;
            choice.interference_ms += slot_price.read_cost_ms(cost.read_ms, streams);
        }
        let in_other_domain =
            hot && has_local_engines && criteria.group.is_none() && t.failure_domain != domain;
        if in_other_domain {
            choice.interference_ms += REMOTE_DOMAIN_COST_MS;
        }
        let interference_ms = choice.interference_ms;
        choice.interference_ms += cost.late_ms;
        let resident = resident(t);
        let held = adapter.adapter.is_none() || resident.is_some_and(|v| v >= version);
        if held {
            if resident.is_some_and(|v| v < named) {
                choice.wait_ms += OUTDATED_COST_MS;
            }
            held_late_ms = held_late_ms.min(cost.late_ms);
            out.push(choice);
            continue;
        }
        if resident.is_some() && in_use.get(&t.id).is_some_and(|u| u.contains(adapter)) {
            continue;
        }
        if in_other_domain || unavailable.blocks_loads(&t.id) {
            continue;
        }
        choice.interference_ms = interference_ms + cost.late_ms.min(paces::MAX_LOAD_LATE_MS);
        let held_lease = node.token(&t.failure_domain).is_some();
        if !held_lease && node.fleet.holder(&t.failure_domain, now).is_none() {
            continue;
        }
        let estimate = estimate_load(node, view, adapter, &t.id, now);
        let cached = estimate.cached;
        choice.load_ms = estimate.load_ms;
        // A copy of a hot adapter serves many requests, not one.
        choice.from_store = !cached && !hot && policies.prefer_cached;
        choice.evicts = policies.avoid_evictions
            && !hot
            && view.residency.adapter_count(&t.id) >= engine.adapter_slots;
        let known = in_use.get(&t.id).map_or(0, |u| u.len() as u32);
        let reported = used.get(&t.id).copied().unwrap_or(0);
        let full = known.max(reported) >= engine.adapter_slots;
        if full {
            choice.load_ms += slots::FULL_ENGINE_WAIT_MS;
        }
        // An engine that has the adapter cached loads it fastest, whatever its
        // rank; an engine without a free slot comes after those with one.
        let rank = if cached {
            0
        } else {
            paces::adapter_rank(view, criteria.uses_paces, &key, &t.id)
        };
        loaders.push((full && !cached, rank, choice));
    }
    loaders.sort_by_key(|(full, rank, _)| (*full, *rank));
    let engines = if criteria.only_tried {
        loaders.len()
    } else {
        out.len().max(MIN_NEW_ENGINES)
    };
    let mut loaders: Vec<Candidate> = loaders.into_iter().map(|(_, _, c)| c).collect();
    if held_late_ms.is_finite() {
        // No copy is loaded only to spare streams at the engines that hold one.
        for loader in &mut loaders {
            loader.interference_ms += held_late_ms;
        }
    }
    if policies.weight_affinity && !hot && criteria.group.is_none() && !criteria.only_tried {
        let group_of = |id: &Name| {
            targets
                .iter()
                .find(|t| t.id == *id)
                .map(|t| &t.failure_domain)
        };
        loaders = weights::keep_affine(loaders, criteria.objective_ms as f64, group_of);
    }
    out.extend(loaders.iter().take(engines).cloned());
    EngineChoices {
        eligible: out,
        loaders,
    }
}

/// The price of slot time, if this daemon knows all runs.
fn slot_price(
    node: &Node,
    view: &View,
    criteria: &Criteria<'_>,
    engine: &EngineConfig,
    targets: &[Arc<Target>],
    in_use: &Map<Name, Vec<AdapterRef>>,
) -> Option<SlotTimePrice> {
    criteria.group.filter(|_| node.policies().slot_price)?;
    let used = targets
        .iter()
        .map(|t| in_use.get(&t.id).map_or(0, Vec::len));
    let used: usize = used.sum();
    let total_slots = engine.adapter_slots * targets.len() as u32;
    Some(SlotTimePrice::new(
        used as u32,
        total_slots,
        view.hold,
        criteria.objective_ms,
    ))
}
