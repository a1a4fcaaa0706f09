//! Routes one request: place it, load its adapter if needed, start it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use comfreyhall_placement::{Decision, SlotView};
use comfreyhall_protocol::{
    CancelOrder, GenerateChunk, GenerateRequest, LoadOrder, proves_not_run,
};
use tonic::{Code, Status, Streaming};

use crate::{app::App, error::RouteError};

/// Placement tries per request before it is given up.
const TRIES: u32 = 4;

/// Time a load may take beyond twice its turn at the weight store.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Longest a background copy is waited for.
const COPY_LIMIT: Duration = Duration::from_secs(60);

/// Longest an engine may take to accept a request.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest a cancel may take; it is a courtesy to the engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// One request on its way to an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) order: GenerateRequest,
    /// When the caller stops waiting.
    pub(crate) until: Instant,
    /// Whether it may be sent to a second engine when in doubt.
    pub(crate) repeatable: bool,
}

impl Job {
    /// `adapter@version`.
    pub(crate) fn key(&self) -> Arc<str> {
        format!("{}@{}", self.order.adapter, self.order.version).into()
    }

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

/// A request an engine has accepted.
pub(crate) struct Started {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Time spent waiting for an adapter load.
    pub(crate) stall: Duration,
    /// The engine's chunks.
    pub(crate) stream: Streaming<GenerateChunk>,
}

/// Why an engine did not start a request.
enum Refusal {
    /// The adapter is not in a slot there, and the request did not run.
    NotResident,
    /// The request did not run there.
    NotRun(String),
    /// The request may run there.
    Doubt(String),
}

/// Places and starts `job` on an engine.
///
/// What can go wrong: an engine accepts the request and its answer is lost.
/// Trying elsewhere and failing there too must not end in "not run", and a
/// request that may not be repeated must not be tried elsewhere at all. So
/// every failed try is either proved not run or a doubt, and a doubt is
/// never forgotten.
pub(crate) async fn start(app: &App, job: &Job) -> Result<Started, RouteError> {
    let key = job.key();
    let mut stall = Duration::ZERO;
    let mut doubt: Option<String> = None;
    let end = |doubt: &Option<String>, otherwise| match doubt {
        Some(why) => RouteError::InDoubt(why.clone()),
        None => otherwise,
    };
    for _ in 0..TRIES {
        if job.left().is_zero() {
            return Err(end(&doubt, RouteError::Late));
        }
        let Some((engine, waited)) = place(app, job, &key).await else {
            return Err(end(&doubt, RouteError::Busy));
        };
        stall += waited;
        let Some(engine) = engine else { continue };
        if job.left().is_zero() {
            return Err(end(&doubt, RouteError::Late));
        }
        match accept(app, engine, job).await {
            Ok(stream) => {
                return Ok(Started {
                    engine,
                    stall,
                    stream,
                });
            }
            // The adapter left the slot between view and order (another
            // daemon evicted it): forget it there and place again.
            Err(Refusal::NotResident) => forget(app, engine, &key),
            Err(Refusal::NotRun(why)) => {
                log::warn!(target: "route", "engine {engine} did not run {}: {why}", job.order.request_id);
                app.view()[engine].up = false;
            }
            Err(Refusal::Doubt(why)) => {
                log::warn!(target: "route", "engine {engine} may run {}: {why}", job.order.request_id);
                app.view()[engine].up = false;
                cancel(app, engine, &job.order.request_id);
                if !job.repeatable {
                    return Err(RouteError::InDoubt(why));
                }
                doubt = Some(why);
            }
        }
    }
    Err(end(&doubt, RouteError::Exhausted(TRIES)))
}

/// Picks an engine and sees that it holds the adapter.
///
/// `None` when no engine can take the request now; the engine is `None`
/// when its load failed and another placement should be tried. The duration
/// is the time spent waiting for a load.
async fn place(app: &App, job: &Job, key: &Arc<str>) -> Option<(Option<usize>, Duration)> {
    let decision = {
        let mut view = app.view().clone();
        app.inner.stuck.hide(key, &mut view);
        let now = app.now_ms();
        app.policy().route(key, &view, now)
    };
    let (engine, victims) = match decision {
        Decision::Busy => return None,
        Decision::Run { engine } if !loading(app, engine, key) => {
            return Some((Some(engine), Duration::ZERO));
        }
        // The adapter is on its way to that engine: join the load rather
        // than order it again elsewhere.
        Decision::Run { engine } => (engine, Vec::new()),
        Decision::RunAndCopy {
            engine,
            copy,
            victims,
        } => {
            spawn_copy(app, copy, &job.order, victims);
            return Some((Some(engine), Duration::ZERO));
        }
        Decision::Load { engine, victims } => (engine, victims),
    };
    let began = Instant::now();
    let loaded = load(app, engine, &job.order, victims, job.left()).await;
    Some((loaded.then_some(engine), began.elapsed()))
}

/// Sends the request to `engine` once.
async fn accept(app: &App, engine: usize, job: &Job) -> Result<Streaming<GenerateChunk>, Refusal> {
    let mut client = app.inner.clients[engine].clone();
    let limit = job.left().min(ACCEPT_TIMEOUT);
    match tokio::time::timeout(limit, client.generate(job.order.clone())).await {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(s)) => Err(refusal(&s)),
        Err(_) => Err(Refusal::Doubt("no answer to the order".into())),
    }
}

fn refusal(status: &Status) -> Refusal {
    let why = status.message().to_string();
    match (proves_not_run(status), status.code()) {
        (true, Code::FailedPrecondition) => Refusal::NotResident,
        (true, _) => Refusal::NotRun(why),
        (false, _) => Refusal::Doubt(why),
    }
}

/// Tells `engine` in the background that nobody waits for `id` any more.
pub(crate) fn cancel(app: &App, engine: usize, id: &str) {
    let mut client = app.inner.clients[engine].clone();
    let order = CancelOrder {
        request_id: id.to_string(),
    };
    tokio::spawn(async move {
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.cancel(order)).await;
    });
}

/// Orders a copy of `req`'s adapter onto `engine` in the background.
///
/// At most one copy per daemon is in flight: copies share the weight store
/// with first loads, and a queue of copies would delay the loads that
/// requests are actually waiting for.
fn spawn_copy(app: &App, engine: usize, req: &GenerateRequest, victims: Vec<Arc<str>>) {
    if app.inner.copying.swap(true, Ordering::AcqRel) {
        return;
    }
    let app = app.clone();
    let req = req.clone();
    tokio::spawn(async move {
        load(&app, engine, &req, victims, COPY_LIMIT).await;
        app.inner.copying.store(false, Ordering::Release);
    });
}

/// Orders `req`'s adapter into a slot of `engine`; true once it is resident.
///
/// The order goes on at the engine when `limit` passes here: other requests
/// may have joined it.
async fn load(
    app: &App,
    engine: usize,
    req: &GenerateRequest,
    victims: Vec<Arc<str>>,
    limit: Duration,
) -> bool {
    let order = LoadOrder {
        adapter: req.adapter.clone(),
        version: req.version.clone(),
        victims: victims.iter().map(|v| v.to_string()).collect(),
        fence: 0,
    };
    let key: Arc<str> = format!("{}@{}", req.adapter, req.version).into();
    mark_loading(app, engine, &key);
    app.inner.metrics.load();
    let mut client = app.inner.clients[engine].clone();
    let patience = patience(app);
    let answer = tokio::time::timeout(limit.min(patience), client.load(order)).await;
    let reply = match answer {
        Ok(Ok(r)) => r.into_inner(),
        Ok(Err(s)) => {
            log::warn!(target: "route", "load of {key} failed: {}", s.message());
            forget(app, engine, &key);
            return false;
        }
        Err(_) => {
            if limit >= patience {
                log::warn!(target: "route", "load of {key} is stuck; avoiding its engine for it");
                app.inner.stuck.note(engine, &key);
            }
            forget(app, engine, &key);
            return false;
        }
    };
    if !reply.loaded {
        log::info!(target: "route", "load of {key} refused: {}", reply.error);
        forget(app, engine, &key);
        return false;
    }
    // Update the view at once so requests that follow see the new slot
    // before the next status poll.
    let mut view = app.view();
    let slots = &mut view[engine].slots;
    slots.retain(|s| *s.key != *reply.evicted && s.key != key);
    slots.push(SlotView {
        key,
        pins: 0,
        loading: false,
    });
    true
}

/// How long a load ordered now is waited for before it counts as stuck.
///
/// The weight store takes loads in turn, so a long wait alone proves
/// nothing; twice the time that the loads on their way need does.
fn patience(app: &App) -> Duration {
    let pending: usize = app
        .view()
        .iter()
        .map(|e| e.slots.iter().filter(|s| s.loading).count())
        .sum();
    let rate = app.inner.settings.platform.loads_per_sec;
    LOAD_SLACK + Duration::from_secs_f64(2.0 * (pending + 1) as f64 / rate)
}

/// Whether the view shows `key` on its way to `engine`.
fn loading(app: &App, engine: usize, key: &str) -> bool {
    let view = app.view();
    view[engine]
        .slots
        .iter()
        .any(|s| &*s.key == key && s.loading)
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

fn forget(app: &App, engine: usize, key: &str) {
    app.view()[engine].slots.retain(|s| &*s.key != key);
}
