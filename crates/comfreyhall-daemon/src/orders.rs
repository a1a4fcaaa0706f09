//! Load orders: which daemon gives them, and how.
//!
//! One daemon at a time orders loads, the holder of the `orders` lease; the
//! others ask it to place an adapter ([`place`]) and run their request where
//! it says. Without that, daemons that met the same newly popular adapter
//! within a status report's lag each ordered a load of it, on different
//! engines, and the weight store's few loads a second went into copies.
//!
//! Every order carries the lease's fencing token, so engines that check
//! tokens refuse an order of a holder that was paused and replaced. At
//! engines that do not check, such an order can at worst waste a load: a
//! slot in use is pinned whoever asks.
//!
//! What can go wrong: the table is down and the holder dies. No new holder
//! can be made, and adapters that are not resident would be refused for as
//! long as the outage lasts. A daemon out of touch with the table for longer
//! than the lease therefore orders by itself, under the last token it saw:
//! nobody can have a higher one, and once the table is back the next holder
//! will, which ends such orders.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use comfreyhall_lease::LeaseStatus;
use comfreyhall_placement::{Decision, EngineView, SlotView};
use comfreyhall_protocol::{DemandReport, LoadOrder, PlaceReply, PlaceRequest};
use prost::Message;

use comfreyhall_life::Stage;

use crate::{
    app::App,
    outbound::{self, Target},
};

/// Time a load may take beyond twice its turn at the weight store.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Longest a background copy is waited for.
const COPY_LIMIT: Duration = Duration::from_secs(60);

/// Pause before asking again while nobody holds the lease.
const HOLDER_PAUSE: Duration = Duration::from_millis(100);

/// How often demand is reported to the holder.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Steps of the lease task per lease term.
const STEPS: u32 = 4;

/// What became of asking for an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placed {
    /// It is in a slot of this engine already.
    Resident(usize),
    /// It was loaded into a slot of this engine.
    Loaded(usize),
    /// It could not be loaded this time; ask again.
    Failed,
    /// No engine can take it now.
    Busy,
}

/// An adapter version to place.
struct Wanted<'a> {
    key: &'a Arc<str>,
    limit: Duration,
    /// A copy may only take the slots it names: it must not push out the
    /// last copy of anything.
    copy: bool,
}

impl Wanted<'_> {
    fn parts(&self) -> (&str, &str) {
        self.key.split_once('@').unwrap_or((self.key, ""))
    }
}

/// Starts the task that holds or watches the lease on orders.
pub(crate) fn spawn(app: &App) {
    let app = app.clone();
    let term = lease_term(&app);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(term / STEPS);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut held = false;
        loop {
            tick.tick().await;
            let lease = &app.inner.lease;
            let want = app.inner.life.stage() == Stage::Serving;
            let step = async {
                match want || !held {
                    true => lease.step(Instant::now, want).await,
                    false => lease.release().await,
                }
            };
            if let Ok(Err(e)) = tokio::time::timeout(term / 2, step).await {
                log::debug!(target: "orders", "lease not renewed: {e}");
            }
            let token = lease.token(Instant::now());
            if token.is_some() != held {
                held = token.is_some();
                match token {
                    Some(token) => {
                        log::info!(target: "orders", "holding the lease under token {token}")
                    }
                    None => log::info!(target: "orders", "no longer holding the lease"),
                }
            }
        }
    });
}

/// Starts the task that reports demand to the holder.
///
/// The holder decides what stays resident, but requests that others serve
/// from resident adapters never reach it: without these reports it took the
/// adapters in steadiest use elsewhere for cold, and evicted them.
pub(crate) fn spawn_reports(app: &App) {
    let app = app.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(REPORT_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let demands = app.inner.demand.take();
            if demands.is_empty() {
                continue;
            }
            if let LeaseStatus::HeldByOther(holder) = app.inner.lease.status(Instant::now())
                && let Some(peer) = app.inner.peers.get(&holder)
            {
                let report = DemandReport { demands };
                app.inner.counters.control(report.encoded_len(), 0);
                let mut peer = peer.clone();
                let _ = tokio::time::timeout(REPORT_PERIOD, peer.report(report)).await;
            }
        }
    });
}

/// Takes over what a peer served.
pub(crate) fn learn(app: &App, report: DemandReport) {
    let now = app.now_ms();
    let mut policy = app.policy();
    for d in report.demands {
        policy.record_requests(&d.key, d.requests, now);
    }
}

fn lease_term(app: &App) -> Duration {
    Duration::from_millis(app.inner.settings.tuning.lease_ms)
}

/// Sees that `key` (`adapter@version`) is in a slot of some engine.
pub(crate) async fn place(app: &App, key: &Arc<str>, limit: Duration) -> Placed {
    let wanted = Wanted {
        key,
        limit,
        copy: false,
    };
    let decision = decide(app, key);
    if decision == Decision::Busy {
        return Placed::Busy;
    }
    if let Some(engine) = resident(app, &decision, key) {
        match app.inner.lease.token(Instant::now()) {
            Some(token) => start_copy(app, &wanted, decision, token),
            None => app.inner.demand.count(key),
        }
        return Placed::Resident(engine);
    }
    // Someone may ask for it at a time when nobody holds the lease: wait for
    // the next holder, at most two terms, rather than refuse.
    let until = Instant::now() + limit.min(2 * lease_term(app));
    loop {
        match app.inner.lease.status(Instant::now()) {
            LeaseStatus::Held(token) => return order(app, &wanted, decision, token).await,
            LeaseStatus::HeldByOther(holder) => {
                if let Some(placed) = ask(app, &holder, &wanted).await {
                    return placed;
                }
            }
            LeaseStatus::Free => {}
        }
        if app.inner.follower.poll_age() >= lease_term(app) {
            let token = app.inner.lease.highest_token();
            return order(app, &wanted, decision, token).await;
        }
        if Instant::now() >= until {
            return Placed::Failed;
        }
        tokio::time::sleep(HOLDER_PAUSE).await;
    }
}

fn decide(app: &App, key: &Arc<str>) -> Decision {
    let mut view = app.view().clone();
    app.inner.stuck.hide(key, &mut view);
    outbound::hide(app, &mut view);
    let now = app.now_ms();
    app.policy().route(key, &view, now)
}

/// The engine where `decision` runs `key` at once, if there is one.
fn resident(app: &App, decision: &Decision, key: &str) -> Option<usize> {
    match decision {
        Decision::Run { engine } | Decision::RunAndCopy { engine, .. } => {
            (!loading(app, *engine, key)).then_some(*engine)
        }
        Decision::Load { .. } | Decision::Busy => None,
    }
}

/// Asks the holder to place an adapter; `None` if it did not take it on.
async fn ask(app: &App, holder: &str, wanted: &Wanted<'_>) -> Option<Placed> {
    let mut peer = app.inner.peers.get(holder)?.clone();
    let (adapter, version) = wanted.parts();
    let ask = PlaceRequest {
        adapter: adapter.to_string(),
        version: version.to_string(),
        limit_ms: wanted.limit.as_millis() as u64,
    };
    let answer = tokio::time::timeout(wanted.limit, peer.place(ask)).await;
    let reply = answer.ok()?.ok()?.into_inner();
    if reply.busy {
        return Some(Placed::Busy);
    }
    if reply.engine.is_empty() {
        return (!reply.error.is_empty()).then_some(Placed::Failed);
    }
    let engines = &app.inner.settings.engines;
    let engine = engines.iter().position(|e| *e.id == *reply.engine)?;
    show(app, engine, wanted.key, "");
    Some(Placed::Loaded(engine))
}

/// Answers a peer that asks us, as the holder, to place an adapter.
///
/// An empty answer says that we do not hold the lease.
pub(crate) async fn place_for(app: &App, ask: PlaceRequest) -> PlaceReply {
    let key: Arc<str> = format!("{}@{}", ask.adapter, ask.version).into();
    let Some(token) = app.inner.lease.token(Instant::now()) else {
        return PlaceReply::default();
    };
    let wanted = Wanted {
        key: &key,
        limit: Duration::from_millis(ask.limit_ms),
        copy: false,
    };
    let decision = decide(app, &key);
    match order(app, &wanted, decision, token).await {
        Placed::Resident(engine) | Placed::Loaded(engine) => PlaceReply {
            engine: app.inner.settings.engines[engine].id.to_string(),
            ..PlaceReply::default()
        },
        placed => PlaceReply {
            error: "no engine could load it now".to_string(),
            busy: placed == Placed::Busy,
            ..PlaceReply::default()
        },
    }
}

/// Carries out a decision under fencing token `token`.
async fn order(app: &App, wanted: &Wanted<'_>, decision: Decision, token: u64) -> Placed {
    if let Some(engine) = resident(app, &decision, wanted.key) {
        start_copy(app, wanted, decision, token);
        return Placed::Resident(engine);
    }
    let (engine, victims) = match decision {
        Decision::Busy => return Placed::Busy,
        // The adapter is on its way to that engine: join the load rather
        // than order it again elsewhere.
        Decision::Run { engine } | Decision::RunAndCopy { engine, .. } => (engine, Vec::new()),
        Decision::Load { engine, victims } => (engine, victims),
    };
    match load(app, engine, wanted, victims, token).await {
        true => Placed::Loaded(engine),
        false => Placed::Failed,
    }
}

/// Orders the copy that `decision` asks for, if any, in the background.
///
/// At most one copy is in flight: copies share the weight store with first
/// loads, and a queue of copies would delay the loads that requests are
/// actually waiting for.
fn start_copy(app: &App, wanted: &Wanted<'_>, decision: Decision, token: u64) {
    let Decision::RunAndCopy { copy, victims, .. } = decision else {
        return;
    };
    if app.inner.copying.swap(true, Ordering::AcqRel) {
        return;
    }
    let app = app.clone();
    let key = wanted.key.clone();
    tokio::spawn(async move {
        let wanted = Wanted {
            key: &key,
            limit: COPY_LIMIT,
            copy: true,
        };
        load(&app, copy, &wanted, victims, token).await;
        app.inner.copying.store(false, Ordering::Release);
    });
}

/// Orders an adapter into a slot of `engine`; true once it is resident.
///
/// The order goes on at the engine when the limit passes here: other
/// requests may have joined it.
async fn load(
    app: &App,
    engine: usize,
    wanted: &Wanted<'_>,
    victims: Vec<Arc<str>>,
    token: u64,
) -> bool {
    let key = wanted.key;
    let target = Target::Engine(engine);
    if outbound::closed_ms(app, target) > 0 {
        return false;
    }
    let (adapter, version) = wanted.parts();
    let order = LoadOrder {
        adapter: adapter.to_string(),
        version: version.to_string(),
        victims: victims.iter().map(|v| v.to_string()).collect(),
        fence: token,
        only_named: wanted.copy,
    };
    mark_loading(app, engine, key);
    app.inner.metrics.load();
    let mut client = app.inner.clients[engine].clone();
    let patience = patience(app);
    let answer = tokio::time::timeout(wanted.limit.min(patience), client.load(order)).await;
    let answer = answer.map(|a| outbound::hear(app, target, None, a));
    let why = match answer {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            if reply.loaded {
                show(app, engine, key, &reply.evicted);
                return true;
            }
            format!("refused: {}", reply.error)
        }
        Ok(Err(s)) => format!("failed: {}", s.message()),
        Err(_) if wanted.limit >= patience => {
            app.inner.stuck.note(engine, key);
            "is stuck; its engine is avoided for it".to_string()
        }
        Err(_) => "outlasted its request".to_string(),
    };
    log::warn!(target: "orders", "load of {key} {why}");
    forget(app, engine, key);
    false
}

/// How long a load ordered now is waited for before it counts as stuck.
///
/// The weight store takes loads in turn, so a long wait alone proves
/// nothing; twice the time that the loads on their way need does.
fn patience(app: &App) -> Duration {
    let on_way = |e: &EngineView| e.slots.iter().filter(|s| s.loading).count();
    let pending: usize = app.view().iter().map(on_way).sum();
    let rate = app.inner.settings.platform.loads_per_sec;
    LOAD_SLACK + Duration::from_secs_f64(2.0 * (pending + 1) as f64 / rate)
}

/// Whether the view shows `key` on its way to `engine`.
fn loading(app: &App, engine: usize, key: &str) -> bool {
    let view = app.view();
    let mut slots = view[engine].slots.iter();
    slots.any(|s| &*s.key == key && s.loading)
}

/// Shows `key` as loading on `engine` in the view until the order ends.
///
/// Without it, every request for a cold adapter that came before the next
/// status poll ordered its own load, often on another engine: the weight
/// store queue filled with copies of the same few adapters and stalls grew
/// to seconds for everyone.
fn mark_loading(app: &App, engine: usize, key: &Arc<str>) {
    let mut view = app.view();
    let slots = &mut view[engine].slots;
    if !slots.iter().any(|s| s.key == *key) {
        slots.push(SlotView {
            key: key.clone(),
            pins: 0,
            loading: true,
        });
    }
}

/// Shows `key` as resident on `engine`, in place of `evicted`, at once, so
/// that requests that follow see it before the next status poll.
fn show(app: &App, engine: usize, key: &Arc<str>, evicted: &str) {
    let mut view = app.view();
    let slots = &mut view[engine].slots;
    slots.retain(|s| *s.key != *evicted && s.key != *key);
    slots.push(SlotView {
        key: key.clone(),
        pins: 0,
        loading: false,
    });
}

/// Drops `key` from `engine` in the view.
pub(crate) fn forget(app: &App, engine: usize, key: &str) {
    app.view()[engine].slots.retain(|s| &*s.key != key);
}
