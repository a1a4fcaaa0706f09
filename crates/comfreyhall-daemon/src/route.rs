//! Routes one request: has its adapter placed on an engine and starts it there.

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
    orders::{self, PlaceOutcome},
    outbound::{self, Target},
    quarantine::{self, SuspectTarget},
};

/// Placement attempts per request before it fails.
const MAX_TRIES: u32 = 4;

/// Longest time a request waits for an unpinned slot.
const BUSY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before checking for an unpinned slot again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest time an engine may take to accept a request that may be repeated elsewhere.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a cancel command, which is best effort.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to run on an engine, over all of its attempts.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) command: GenerateRequest,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether it may be sent to another engine when it may have run already.
    pub(crate) repeatable: bool,
    /// Identifies the request over all attempts, for the quarantine.
    pub(crate) fingerprint: Fingerprint,
}

impl RoutedRequest {
    /// `adapter@version`.
    pub(crate) fn key(&self) -> Arc<str> {
        format!("{}@{}", self.command.adapter, self.command.version).into()
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A run that an engine has accepted.
pub(crate) struct StartedRun {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// The engine's boot (one start of its process) that executes the run.
    pub(crate) boot: u64,
    /// Time spent waiting for an adapter load.
    pub(crate) load_wait: Duration,
    /// The engine's chunks.
    pub(crate) stream: Streaming<GenerateChunk>,
}

/// Why an engine did not start a run.
enum StartError {
    /// The adapter is not resident there, and the request did not run.
    NotResident,
    /// The request did not run there.
    NotRun(String),
    /// The request may be running there.
    MayRun {
        reason: String,
        /// Whether the call timed out. An engine whose process ended closes its
        /// connections instead, so a timeout does not suggest that it ended.
        timed_out: bool,
    },
}

/// Places the adapter of `request` and starts the request on an engine.
///
/// Failure case: an engine accepts the request and its answer is lost. If the
/// attempts elsewhere then fail too, the outcome must not be reported as "not
/// run", and a request that may not be repeated must not be sent elsewhere at
/// all. So every failed attempt either proves that the request did not run or
/// is recorded in `may_run` for the rest of the call.
pub(crate) async fn start(app: &App, request: &RoutedRequest) -> Result<StartedRun, RouteError> {
    let key = request.key();
    let mut load_wait = Duration::ZERO;
    let mut may_run: Option<String> = None;
    // Why the last chosen engine could not be called.
    let mut unavailable: Option<RouteError> = None;
    let fail = |may_run: &Option<String>, otherwise| match may_run {
        Some(reason) => RouteError::OutcomeUnknown(reason.clone()),
        None => otherwise,
    };
    for _ in 0..MAX_TRIES {
        if request.remaining().is_zero() {
            return Err(fail(&may_run, RouteError::Expired));
        }
        let started_at = Instant::now();
        let engine = match place(app, request, &key).await {
            PlaceOutcome::Resident(engine) => engine,
            PlaceOutcome::Loaded(engine) => {
                load_wait += started_at.elapsed();
                engine
            }
            PlaceOutcome::Failed => {
                load_wait += started_at.elapsed();
                continue;
            }
            PlaceOutcome::Busy => {
                let reason = all_unavailable(app).unwrap_or(RouteError::Busy);
                return Err(fail(&may_run, reason));
            }
        };
        if request.remaining().is_zero() {
            return Err(fail(&may_run, RouteError::Expired));
        }
        quarantine::admit(app, &request.fingerprint, may_run.is_some())?;
        if let Err(reason) = outbound::admit(app, Target::Engine(engine)) {
            unavailable = Some(reason);
            continue;
        }
        let boot = app.boot(engine);
        match send(app, engine, request).await {
            Ok(stream) => {
                return Ok(StartedRun {
                    engine,
                    boot,
                    load_wait,
                    stream,
                });
            }
            // The adapter left the slot between the status report and this
            // command (another daemon evicted it): remove it from the view and
            // place it again.
            Err(StartError::NotResident) => orders::remove_from_view(app, engine, &key),
            Err(StartError::NotRun(reason)) => {
                log::warn!(target: "route", "engine {engine} did not run {}: {reason}", request.command.request_id);
                app.view()[engine].up = false;
            }
            Err(StartError::MayRun { reason, timed_out }) => {
                if !timed_out {
                    let at = SuspectTarget::Engine(engine, boot);
                    quarantine::record_broken_run(app, at, request.fingerprint, true);
                }
                log::warn!(target: "route", "engine {engine} may run {}: {reason}", request.command.request_id);
                app.view()[engine].up = false;
                cancel(app, engine, &request.command.request_id);
                if !request.repeatable {
                    return Err(RouteError::OutcomeUnknown(reason));
                }
                may_run = Some(reason);
            }
        }
    }
    let reason = unavailable.unwrap_or(RouteError::Exhausted(MAX_TRIES));
    Err(fail(&may_run, reason))
}

/// The error to return if every engine is unavailable now.
fn all_unavailable(app: &App) -> Option<RouteError> {
    let engines = (0..app.inner.engine_clients.len()).map(Target::Engine);
    outbound::all_unavailable_ms(app, engines).map(RouteError::Unavailable)
}

/// Has the adapter placed, waiting briefly for an unpinned slot.
///
/// The pin counts in the view are as old as the engines' reports, so "every
/// slot is in use" is often outdated, and a pinned slot is usually released
/// within the duration of one answer. After [`BUSY_TIMEOUT`] the request is
/// rejected with a retry delay.
async fn place(app: &App, request: &RoutedRequest, key: &Arc<str>) -> PlaceOutcome {
    let started_at = Instant::now();
    loop {
        let placed = orders::place(app, key, request.remaining()).await;
        let may_wait = started_at.elapsed() < BUSY_TIMEOUT && !request.remaining().is_zero();
        if placed != PlaceOutcome::Busy || !may_wait || all_unavailable(app).is_some() {
            return placed;
        }
        tokio::time::sleep(BUSY_RETRY_DELAY).await;
    }
}

/// Makes one attempt to start the request on `engine`.
///
/// Silence proves nothing. A request that may be repeated is sent elsewhere after some of it;
/// any other waits until its deadline, as to give up would only make its outcome unknown.
async fn send(
    app: &App,
    engine: usize,
    request: &RoutedRequest,
) -> Result<Streaming<GenerateChunk>, StartError> {
    let (mut client, timeout) = match request.repeatable {
        true => (app.inner.engine_clients[engine].clone(), ACCEPT_TIMEOUT),
        false => (app.inner.run_links[engine].client(), request.remaining()),
    };
    let timeout = request.remaining().min(timeout);
    let sent_at_ms = app.now_ms();
    let answer = tokio::time::timeout(timeout, client.generate(request.command.clone())).await;
    match answer.map(|a| outbound::record_answer(app, Target::Engine(engine), Some(sent_at_ms), a))
    {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(s)) => Err(start_error(&s)),
        Err(_) => Err(StartError::MayRun {
            reason: "no answer to the order".into(),
            timed_out: true,
        }),
    }
}

fn start_error(status: &Status) -> StartError {
    let reason = status.message().to_string();
    match (proves_not_run(status), status.code()) {
        (true, Code::FailedPrecondition) => StartError::NotResident,
        (true, _) => StartError::NotRun(reason),
        (false, _) => StartError::MayRun {
            reason,
            timed_out: false,
        },
    }
}

/// Cancels the request `id` at `engine`, in the background.
pub(crate) fn cancel(app: &App, engine: usize, id: &str) {
    if outbound::unavailable_ms(app, Target::Engine(engine)) > 0 {
        return;
    }
    let mut client = app.inner.engine_clients[engine].clone();
    let command = CancelOrder {
        request_id: id.to_string(),
    };
    tokio::spawn(async move {
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.cancel(command)).await;
    });
}
