//! Routes one request: have its adapter placed, and start it there.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_protocol::{CancelOrder, GenerateChunk, GenerateRequest, proves_not_run};
use comfreyhall_quarantine::Fingerprint;
use tonic::{Code, Status, Streaming};

use crate::{
    app::App,
    error::RouteError,
    orders::{self, Placed},
    outbound::{self, Target},
    quarantine::{self, Suspect},
};

/// Placement tries per request before it is given up.
const TRIES: u32 = 4;

/// Longest a request waits for a slot to be unpinned.
const BUSY_LIMIT: Duration = Duration::from_millis(500);

/// Pause before looking for a free slot again.
const BUSY_PAUSE: Duration = Duration::from_millis(25);

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
    /// Its identity over all attempts.
    pub(crate) fingerprint: Fingerprint,
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
    /// The boot of the engine that runs it.
    pub(crate) boot: u64,
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
    Doubt {
        why: String,
        /// Whether no answer came in time: an engine that ends closes its
        /// connections.
        silent: bool,
    },
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
    // Why the last engine that was chosen took nothing.
    let mut shut: Option<RouteError> = None;
    let end = |doubt: &Option<String>, otherwise| match doubt {
        Some(why) => RouteError::InDoubt(why.clone()),
        None => otherwise,
    };
    for _ in 0..TRIES {
        if job.left().is_zero() {
            return Err(end(&doubt, RouteError::Late));
        }
        let began = Instant::now();
        let engine = match place(app, job, &key).await {
            Placed::Resident(engine) => engine,
            Placed::Loaded(engine) => {
                stall += began.elapsed();
                engine
            }
            Placed::Failed => {
                stall += began.elapsed();
                continue;
            }
            Placed::Busy => {
                let why = all_shut(app).unwrap_or(RouteError::Busy);
                return Err(end(&doubt, why));
            }
        };
        if job.left().is_zero() {
            return Err(end(&doubt, RouteError::Late));
        }
        quarantine::admit(app, &job.fingerprint, doubt.is_some())?;
        if let Err(why) = outbound::admit(app, Target::Engine(engine)) {
            shut = Some(why);
            continue;
        }
        let boot = app.boot(engine);
        match accept(app, engine, job).await {
            Ok(stream) => {
                return Ok(Started {
                    engine,
                    boot,
                    stall,
                    stream,
                });
            }
            // The adapter left the slot between view and order (another
            // daemon evicted it): forget it there and place again.
            Err(Refusal::NotResident) => orders::forget(app, engine, &key),
            Err(Refusal::NotRun(why)) => {
                log::warn!(target: "route", "engine {engine} did not run {}: {why}", job.order.request_id);
                app.view()[engine].up = false;
            }
            Err(Refusal::Doubt { why, silent }) => {
                if !silent {
                    let at = Suspect::Engine(engine, boot);
                    quarantine::broke(app, at, job.fingerprint, true);
                }
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
    let why = shut.unwrap_or(RouteError::Exhausted(TRIES));
    Err(end(&doubt, why))
}

/// That no engine takes anything now, if that is so.
fn all_shut(app: &App) -> Option<RouteError> {
    let engines = (0..app.inner.clients.len()).map(Target::Engine);
    outbound::all_ms(app, engines).map(RouteError::Shut)
}

/// Has the adapter placed, waiting a moment for a slot to be free.
///
/// The view of pins is as old as the engines' reports, so "every slot is in
/// use" is often no longer true, and a slot in use is mostly free within one
/// answer's time. Past that the request is refused, with when to come back.
async fn place(app: &App, job: &Job, key: &Arc<str>) -> Placed {
    let began = Instant::now();
    loop {
        let placed = orders::place(app, key, job.left()).await;
        let wait = began.elapsed() < BUSY_LIMIT && !job.left().is_zero();
        if placed != Placed::Busy || !wait || all_shut(app).is_some() {
            return placed;
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}

/// Sends the request to `engine` once.
async fn accept(app: &App, engine: usize, job: &Job) -> Result<Streaming<GenerateChunk>, Refusal> {
    let mut client = app.inner.clients[engine].clone();
    let limit = job.left().min(ACCEPT_TIMEOUT);
    let sent = app.now_ms();
    let answer = tokio::time::timeout(limit, client.generate(job.order.clone())).await;
    match answer.map(|a| outbound::hear(app, Target::Engine(engine), Some(sent), a)) {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(s)) => Err(refusal(&s)),
        Err(_) => Err(Refusal::Doubt {
            why: "no answer to the order".into(),
            silent: true,
        }),
    }
}

fn refusal(status: &Status) -> Refusal {
    let why = status.message().to_string();
    match (proves_not_run(status), status.code()) {
        (true, Code::FailedPrecondition) => Refusal::NotResident,
        (true, _) => Refusal::NotRun(why),
        (false, _) => Refusal::Doubt { why, silent: false },
    }
}

/// Tells `engine` in the background that nobody waits for `id` any more.
pub(crate) fn cancel(app: &App, engine: usize, id: &str) {
    if outbound::closed_ms(app, Target::Engine(engine)) > 0 {
        return;
    }
    let mut client = app.inner.clients[engine].clone();
    let order = CancelOrder {
        request_id: id.to_string(),
    };
    tokio::spawn(async move {
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.cancel(order)).await;
    });
}
