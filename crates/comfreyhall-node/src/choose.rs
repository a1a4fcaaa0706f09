//! Gathers the choices for one request from the view.

use std::sync::Arc;

use comfreyhall_domain::{
    AdapterRef, ClientRequest, EngineConfig, Map, Name, PromptSegment, Route, RouteKind, Target,
    TokenCounts,
};
use comfreyhall_placement::SlotTimePrice;
use comfreyhall_routing::{
    selection,
    selection::{Candidate, Spread},
};

use crate::{
    flight::Seat,
    keeper::EngineCandidate,
    node::{Node, View},
    outbound::{self, UnavailableTargets},
};

/// How long after a version of an adapter was named the one before still
/// serves, as part of the bound: replacements are on their way meanwhile.
const GRACE_PART: u64 = 2;

/// What running on a version that is about to be replaced costs, in ms. The
/// replacement waits for its runs, and requests that come meanwhile are
/// refused there: unless it is much sooner, the new version is loaded beside.
const OUTDATED_MS: f64 = 250.0;

/// How requests spread in a large fleet, in ms: about the prompt of one
/// request, which is what a daemon that hears of the others twice a second
/// may miss.
const STALE_MS: f64 = 150.0;

/// Homes beyond the targets that hold an adapter to which it may be loaded,
/// at least: as many as hold it already, so that the copies of an adapter
/// that has become hot double in the time of a load.
/// With one, an adapter waits for that engine however long its queue is; with
/// many it comes to engines that did not have it lately, from the weight store.
const NEW_HOMES: usize = 2;

/// Engines that share a wish for an adapter, at most. A dozen of them have a
/// place every 30 ms with all in use; with every engine of a group of 31 in
/// each wish, its holder spent its core on looking through wishes, and left
/// half of them unseen until their time was up.
const MOST_PICKS: usize = 12;

/// What an engine of another failure domain costs for a hot adapter, in ms:
/// each domain has engines of its own for it. Daemons hear of the queues
/// elsewhere a second late, and without this the callers of all domains meet
/// at the engines that had it first.
const AWAY_MS: f64 = 150.0;

/// Wait for a place where all are in use, in ms: a request holds its place
/// for about a second, and several of them end in that time.
const FULL_MS: f64 = 250.0;

/// What a request asks of an engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Need {
    /// The model and the adapter.
    pub(crate) adapter: Option<AdapterRef>,
    /// Size of the generation.
    pub(crate) tokens: Option<TokenCounts>,
    /// Parts of the prompt in order.
    pub(crate) parts: Vec<PromptSegment>,
}

impl Need {
    /// What `ask` asks of an engine.
    pub(crate) fn of(ask: &ClientRequest) -> Self {
        Self {
            adapter: ask.adapter.clone(),
            tokens: ask.tokens,
            parts: ask.prompt_segments.clone(),
        }
    }

    fn prompt(&self) -> u64 {
        self.tokens.map_or(0, |t| u64::from(t.prompt))
    }

    /// Prompt tokens that no other request shares.
    fn own_tokens(&self) -> u64 {
        let shared = self.parts.iter().rev().skip(1);
        let shared: u64 = shared.map(|p| u64::from(p.tokens)).sum();
        self.prompt().saturating_sub(shared).max(1)
    }
}

/// Where a request goes.
pub(crate) struct Plan {
    pub(crate) target: Arc<Target>,
    /// Prompt tokens to read there.
    pub(crate) tokens: u64,
    /// Least version that will do; 0 for any.
    pub(crate) version: u64,
    /// Version to insist on.
    pub(crate) expect: Option<u64>,
    /// Estimated ms to the first token, the load included.
    pub(crate) wait_ms: f64,
    /// Whether the adapter has to be loaded first.
    pub(crate) loads: bool,
    /// Engines that may load it, the target first, for the holder.
    pub(crate) picks: Vec<EngineCandidate>,
    /// The run that a holder has bound to the target.
    pub(crate) seat: Option<Seat>,
    /// Whether the holder has granted it a part of the target's limit.
    pub(crate) granted: bool,
}

/// What a choice is made for.
pub(crate) struct Wish<'a> {
    pub(crate) need: &'a Need,
    /// Latency objective of its route, in ms.
    pub(crate) aim_ms: u64,
    pub(crate) service: &'a Name,
    /// Group whose engines alone come into question: the caller holds its
    /// lease and knows of every run there.
    pub(crate) group: Option<&'a str>,
    pub(crate) engine: Option<&'a EngineConfig>,
    /// Targets it was sent to.
    pub(crate) tried: &'a [Name],
    /// Targets that cannot take it now.
    pub(crate) closed: &'a [Name],
    /// Whether only targets tried before may be used.
    pub(crate) only_tried: bool,
    pub(crate) draw: u64,
}

impl Wish<'_> {
    fn open(&self, target: &Target) -> bool {
        self.group.is_none_or(|g| *target.failure_domain == *g)
            && !self.closed.contains(&target.id)
            && (!self.only_tried || self.tried.contains(&target.id))
    }
}

/// The target for a request; `None` if none can take it now.
pub(crate) fn choose(node: &Node, wish: &Wish<'_>) -> Option<Plan> {
    let now = node.now();
    let settings = node.settings();
    let policies = settings.policies;
    let unavailable = outbound::UnavailableTargets::current(node, now);
    let view = node.view();
    let targets = view.ready_targets(wish.service, now);
    let targets: Vec<Arc<Target>> = targets
        .into_iter()
        .filter(|t| wish.open(t) && !unavailable.blocks_sends(&t.id))
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
        tried: wish.tried.contains(&t.id),
    };
    let mut loaders = Vec::new();
    let (choices, version) = match (&wish.need.adapter, wish.engine) {
        (Some(adapter), Some(engine)) => {
            let version = least_version(node, &view, adapter, now);
            let wanted = Wanted {
                adapter,
                engine,
                version,
            };
            let options = engine_choices(node, &view, wish, wanted, &targets, &unavailable, &base);
            loaders = options.loaders;
            (options.open, version)
        }
        _ => {
            let plain = |t: &Arc<Target>| Candidate {
                wait_ms: view.board.plain_ms(&t.id, t.max_running, now),
                ..base(t)
            };
            (targets.iter().map(plain).collect(), 0)
        }
    };
    let again_ms = wish.aim_ms as f64;
    let spread = match node.fleet.large() && wish.group.is_none() {
        true => Spread::Stale(STALE_MS),
        false => Spread::Equal,
    };
    let best = selection::select(&choices, again_ms, spread, wish.draw)?;
    let target = targets.iter().find(|t| t.id == best.id)?.clone();
    let loads = best.load_ms > 0.0;
    let picks = match loads && wish.group.is_some() {
        true if policies.group_waits => picks(best, &loaders, again_ms),
        true => picks(best, &[], again_ms),
        false => Vec::new(),
    };
    let tokens = unread(&view, wish.need, &target.id);
    Some(Plan {
        tokens,
        version,
        expect: (version > 0).then_some(version),
        wait_ms: best.wait_ms + best.load_ms,
        target,
        loads,
        picks,
        seat: None,
        granted: false,
    })
}

/// `best` and other engines of its group that may load the adapter.
fn picks(best: &Candidate, loaders: &[Candidate], again_ms: f64) -> Vec<EngineCandidate> {
    let others = loaders.iter().filter(|c| c.id != best.id);
    let others = others.map(|c| EngineCandidate {
        target: c.id.clone(),
        extra_ms: (c.cost_ms(again_ms) - best.cost_ms(again_ms)).max(0.0) as u64,
    });
    let first = EngineCandidate {
        target: best.id.clone(),
        extra_ms: 0,
    };
    std::iter::once(first)
        .chain(others.take(MOST_PICKS - 1))
        .collect()
}

/// The least version of `adapter` that may still serve.
fn least_version(node: &Node, view: &View, adapter: &AdapterRef, now: u64) -> u64 {
    let grace = node.settings().bounds.version_ms / GRACE_PART;
    let named = view.named_versions.get(adapter);
    let due = named.filter(|n| now.saturating_sub(n.learned_ms) >= grace);
    due.map_or(0, |n| n.version)
}

/// Prompt tokens that `target` has not read yet.
pub(crate) fn unread(view: &View, need: &Need, target: &Name) -> u64 {
    let Some(adapter) = &need.adapter else {
        return 0;
    };
    let kept = view.prefixes.cached_tokens(adapter, &need.parts, target);
    need.prompt().saturating_sub(kept).max(1)
}

/// What an engine must have for a request.
struct Wanted<'a> {
    adapter: &'a AdapterRef,
    engine: &'a EngineConfig,
    /// Least version that will do; 0 for any.
    version: u64,
}

/// Engines for a request.
struct Options {
    /// Those that it may choose from.
    open: Vec<Candidate>,
    /// All that lack its adapter and may load it.
    loaders: Vec<Candidate>,
}

fn engine_choices(
    node: &Node,
    view: &View,
    wish: &Wish<'_>,
    wanted: Wanted<'_>,
    targets: &[Arc<Target>],
    unavailable: &UnavailableTargets,
    base: &impl Fn(&Target) -> Candidate,
) -> Options {
    let Wanted {
        adapter,
        engine,
        version,
    } = wanted;
    let now = node.now();
    let key = crate::fleet::adapter_key(adapter);
    let in_use = node.fleet.in_use(now);
    let used = node.fleet.reported_in_use(now);
    let named = view.named_versions.get(adapter).map_or(0, |n| n.version);
    let policies = node.policies();
    let prices = prices(node, view, wish, engine, targets, &in_use);
    let hot = policies.local_hot && view.is_hot(adapter, now);
    let domain = node.settings().domain.clone();
    let at_home = wish.group.is_some() || targets.iter().any(|t| t.failure_domain == domain);
    let resident = |t: &Target| view.residency.held_version(adapter, &t.id);
    let holds = |t: &Target| resident(t).is_some_and(|v| v >= version);
    let holders = targets.iter().filter(|t| holds(t)).map(|t| &t.id);
    let reader = match policies.shared_prompts {
        true => selection::prefix_engine(&key, &wish.need.parts, holders),
        false => None,
    };
    let mut loaders: Vec<(bool, u64, Candidate)> = Vec::new();
    let mut out = Vec::new();
    for t in targets.iter().filter(|t| t.has_model(&adapter.model)) {
        let mut choice = base(t);
        let mut tokens = unread(view, wish.need, &t.id);
        if reader == Some(&t.id) {
            tokens = tokens.min(wish.need.own_tokens());
        }
        choice.wait_ms = view.board.prefill_ms(&t.id, tokens, now);
        if let Some(prices) = prices {
            let streams = view.board.total_work(&t.id, now).requests;
            let reading = view.board.read_duration_ms(tokens as f64);
            choice.interference_ms = prices.read_cost_ms(reading, streams);
        }
        let away = hot && at_home && wish.group.is_none() && t.failure_domain != domain;
        if away {
            choice.interference_ms += AWAY_MS;
        }
        let resident = resident(t);
        let held = adapter.adapter.is_none() || resident.is_some_and(|v| v >= version);
        if held {
            if resident.is_some_and(|v| v < named) {
                choice.wait_ms += OUTDATED_MS;
            }
            out.push(choice);
            continue;
        }
        if resident.is_some() && in_use.get(&t.id).is_some_and(|u| u.contains(adapter)) {
            continue;
        }
        if away || unavailable.blocks_loads(&t.id) {
            continue;
        }
        let held_lease = node.token(&t.failure_domain).is_some();
        if !held_lease && node.fleet.holder(&t.failure_domain, now).is_none() {
            continue;
        }
        let recent = view.residency.likely_cached(adapter, &t.id, now);
        choice.load_ms = node.controllers.expected_load_ms(recent);
        // A copy of a hot adapter serves many, not one request.
        choice.from_store = !recent && !hot && policies.prefer_cached;
        choice.evicts = policies.avoid_evictions
            && !hot
            && view.residency.adapter_count(&t.id) >= engine.adapter_slots;
        let known = in_use.get(&t.id).map_or(0, |u| u.len() as u32);
        let told = used.get(&t.id).copied().unwrap_or(0);
        let full = known.max(told) >= engine.adapter_slots;
        if full {
            choice.load_ms += FULL_MS;
        }
        // What was held lately is loaded fastest, whatever its rank; a home
        // without a free place comes after those with one.
        let rank = if recent {
            0
        } else {
            selection::rendezvous_rank(&key, &t.id)
        };
        loaders.push((full && !recent, rank, choice));
    }
    loaders.sort_by_key(|(full, rank, _)| (*full, *rank));
    let homes = if wish.only_tried {
        loaders.len()
    } else {
        out.len().max(NEW_HOMES)
    };
    let loaders: Vec<Candidate> = loaders.into_iter().map(|(_, _, c)| c).collect();
    out.extend(loaders.iter().take(homes).cloned());
    Options { open: out, loaders }
}

/// The price of place-time where this daemon knows all runs.
fn prices(
    node: &Node,
    view: &View,
    wish: &Wish<'_>,
    engine: &EngineConfig,
    targets: &[Arc<Target>],
    in_use: &Map<Name, Vec<AdapterRef>>,
) -> Option<SlotTimePrice> {
    wish.group.filter(|_| node.policies().slot_price)?;
    let used = targets
        .iter()
        .map(|t| in_use.get(&t.id).map_or(0, Vec::len));
    let used: usize = used.sum();
    let all = engine.adapter_slots * targets.len() as u32;
    Some(SlotTimePrice::new(used as u32, all, view.hold, wish.aim_ms))
}

/// Whether a stalled send may be abandoned for another.
pub(crate) fn repeatable(route: &Route) -> bool {
    route.repeatable() && route.max_attempts > 1 && route.kind != RouteKind::NonIdempotent
}
