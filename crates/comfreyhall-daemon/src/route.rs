//! Routes one request: has its adapter placed on an engine and starts it there.

mod attempt;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_life::SendTiming;
use comfreyhall_protocol::{
    CancelOrder, GenerateChunk, GenerateRequest, engine_client::EngineClient,
};
use comfreyhall_quarantine::Fingerprint;
use comfreyhall_relay::EndCause;
use tonic::{Streaming, transport::Channel};

use self::attempt::{Attempts, Ended, StartError};
use crate::{
    app::App,
    ends,
    error::RouteError,
    orders::{self, PlaceOutcome},
    outbound::{self, Target},
    quarantine::{self, SuspectTarget},
    stopping,
};

/// Placement attempts per request before it fails.
const MAX_TRIES: u32 = 4;

/// Longest time a request waits for an unpinned slot.
const BUSY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before checking for an unpinned slot again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Time without an answer to a request that may be repeated after which another engine is
/// asked beside the silent one.
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

    /// Its next send; `may_have_run` by those before.
    fn send_timing(&self, app: &App, may_have_run: bool) -> SendTiming {
        let left_ms = self.remaining().as_millis() as u64;
        SendTiming {
            deadline_ms: app.now_ms().saturating_add(left_ms),
            run_ms: 0,
            may_have_run,
        }
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
    /// A client on the connection of the run.
    pub(crate) client: EngineClient<Channel>,
    /// The engine's chunks.
    pub(crate) stream: Streaming<GenerateChunk>,
}

/// The search for an engine that starts one request.
struct Search<'a> {
    app: &'a App,
    request: &'a RoutedRequest,
    key: Arc<str>,
    attempts: Attempts,
    load_wait: Duration,
    /// Why it may have run, if it may.
    may_run: Option<String>,
    /// Why the last chosen engine could not be called.
    unavailable: Option<RouteError>,
}

/// What a search comes to next.
enum Found {
    Place(PlaceOutcome),
    Started(Box<StartedRun>),
    /// A planned stop lets it wait no longer.
    TooLate,
}

/// Places the adapter of `request` and starts the request on an engine.
///
/// Failure case: an engine accepts the request and its answer is lost. If the
/// attempts elsewhere then fail too, the outcome must not be reported as "not
/// run", and a request that may not be repeated must not be sent elsewhere at
/// all. So every failed attempt either proves that the request did not run or
/// is recorded in `may_run` for the rest of the call. An engine that is silent
/// may still answer: its attempt stays open beside the next one.
pub(crate) async fn start(app: &App, request: &RoutedRequest) -> Result<StartedRun, RouteError> {
    let mut search = Search::new(app, request);
    tokio::select! {
        started = search.run() => started,
        () = stopping::answer_due(app) => Err(match search.may_have_run() {
            true => RouteError::stop_ended(),
            false => RouteError::Draining,
        }),
    }
}

impl<'a> Search<'a> {
    fn new(app: &'a App, request: &'a RoutedRequest) -> Self {
        Self {
            app,
            request,
            key: request.key(),
            attempts: Attempts::new(app, &request.command.request_id),
            load_wait: Duration::ZERO,
            may_run: None,
            unavailable: None,
        }
    }

    /// Searches until an engine has accepted the request.
    async fn run(&mut self) -> Result<StartedRun, RouteError> {
        let (app, request) = (self.app, self.request);
        for _ in 0..MAX_TRIES {
            if request.remaining().is_zero() || (!request.repeatable && !self.attempts.is_empty()) {
                return self.finish(RouteError::Expired).await;
            }
            let started_at = Instant::now();
            let engine = match self.place().await? {
                Found::Started(run) => return Ok(*run),
                Found::TooLate => return self.finish(RouteError::Draining).await,
                Found::Place(PlaceOutcome::Resident(engine)) => engine,
                Found::Place(PlaceOutcome::Loaded(engine)) => {
                    self.load_wait += started_at.elapsed();
                    engine
                }
                Found::Place(PlaceOutcome::Failed) => {
                    self.load_wait += started_at.elapsed();
                    continue;
                }
                Found::Place(PlaceOutcome::Busy) => {
                    let reason = all_unavailable(app).unwrap_or(RouteError::Busy);
                    return self.finish(reason).await;
                }
            };
            if request.remaining().is_zero() {
                return self.finish(RouteError::Expired).await;
            }
            let may_have_run = self.may_have_run();
            if !stopping::may_send(app, request.send_timing(app, may_have_run)) {
                return self.finish(RouteError::Draining).await;
            }
            if let Err(e) = quarantine::admit(app, &request.fingerprint, may_have_run) {
                return match self.attempts.is_empty() {
                    true => Err(e),
                    false => self.finish(e).await,
                };
            }
            if let Err(reason) = outbound::admit(app, Target::Engine(engine)) {
                self.unavailable = Some(reason);
                continue;
            }
            self.attempts.begin(engine, request.command.clone());
            if let Some(run) = self.await_answer(engine).await? {
                return Ok(run);
            }
        }
        let reason = self.unavailable.take();
        self.finish(reason.unwrap_or(RouteError::Exhausted(MAX_TRIES)))
            .await
    }

    /// Whether one of its attempts may have run it.
    fn may_have_run(&self) -> bool {
        self.may_run.is_some() || !self.attempts.is_empty()
    }

    /// Has the adapter placed, while open attempts may be answered.
    async fn place(&mut self) -> Result<Found, RouteError> {
        let (app, request, key) = (self.app, self.request, self.key.clone());
        let placing = place(app, request, &key);
        let too_late = stopping::too_late(app, request.send_timing(app, self.may_have_run()));
        tokio::pin!(placing, too_late);
        loop {
            tokio::select! {
                biased;
                Some(ended) = self.attempts.next() => {
                    if let Some(run) = self.note(ended)? {
                        return Ok(Found::Started(Box::new(run)));
                    }
                }
                () = &mut too_late => return Ok(Found::TooLate),
                placed = &mut placing => return Ok(Found::Place(placed)),
            }
        }
    }

    /// Awaits the answer of `engine`, for a limited time if the request may be repeated.
    async fn await_answer(&mut self, engine: usize) -> Result<Option<StartedRun>, RouteError> {
        let limit = match self.request.repeatable {
            true => ACCEPT_TIMEOUT,
            false => self.request.remaining(),
        };
        let until = Instant::now() + limit.min(self.request.remaining());
        while self.attempts.includes(engine) {
            let left = until.saturating_duration_since(Instant::now());
            match self.attempts.next_within(left).await {
                Ok(Some(ended)) => {
                    if let Some(run) = self.note(ended)? {
                        return Ok(Some(run));
                    }
                }
                Ok(None) => break,
                Err(()) => {
                    let reason = "no answer to the order";
                    log::warn!(target: "route", "engine {engine} may run {}: {reason}", self.request.command.request_id);
                    self.app.view()[engine].up = false;
                    // If it answers elsewhere, its connection alone is silent.
                    self.app.inner.run_links[engine].renew();
                    break;
                }
            }
        }
        Ok(None)
    }

    /// Notes how an attempt ended; returns its run if the engine has accepted it.
    fn note(&mut self, ended: Ended) -> Result<Option<StartedRun>, RouteError> {
        let (app, id) = (self.app, &self.request.command.request_id);
        let engine = ended.engine;
        match ended.result {
            Ok(stream) => {
                self.attempts.end(EndCause::Superseded, Some(engine));
                return Ok(Some(StartedRun {
                    engine,
                    boot: ended.boot,
                    load_wait: self.load_wait,
                    client: ended.client,
                    stream,
                }));
            }
            // The adapter left the slot between the status report and this
            // command (another daemon evicted it): remove it from the view and
            // place it again.
            Err(StartError::NotResident) => orders::remove_from_view(app, engine, &self.key),
            Err(StartError::NotRun(reason)) => {
                log::warn!(target: "route", "engine {engine} did not run {id}: {reason}");
                app.view()[engine].up = false;
            }
            Err(StartError::MayRun(status)) => {
                let reason = status.message().to_string();
                let at = SuspectTarget::Engine(engine, ended.boot);
                quarantine::record_broken_run(app, at, self.request.fingerprint, true);
                log::warn!(target: "route", "engine {engine} may run {id}: {reason}");
                ends::record(app, id, ends::cause_of(&status), &reason);
                app.view()[engine].up = false;
                if !self.attempts.includes(engine) {
                    cancel(app, engine, id);
                }
                if !self.request.repeatable {
                    return Err(RouteError::OutcomeUnknown(reason));
                }
                self.may_run = Some(reason);
            }
        }
        Ok(None)
    }

    /// Awaits the attempts that are open, until the deadline; `otherwise` says why there are
    /// no more.
    async fn finish(&mut self, otherwise: RouteError) -> Result<StartedRun, RouteError> {
        while !self.attempts.is_empty() {
            match self.attempts.next_within(self.request.remaining()).await {
                Ok(Some(ended)) => {
                    if let Some(run) = self.note(ended)? {
                        return Ok(run);
                    }
                }
                _ => {
                    self.attempts.end(EndCause::DeadlinePassed, None);
                    self.may_run = Some("no answer to the order".to_string());
                }
            }
        }
        Err(match self.may_run.take() {
            Some(reason) => RouteError::OutcomeUnknown(reason),
            None => otherwise,
        })
    }
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

/// Cancels the request `id` at `engine`, in the background.
pub(crate) fn cancel(app: &App, engine: usize, id: &str) {
    if outbound::unavailable_ms(app, Target::Engine(engine)) > 0 {
        return;
    }
    let mut client = app.inner.engine_clients[engine].clone();
    let command = CancelOrder {
        request_id: id.to_string(),
    };
    // None while the process ends.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    runtime.spawn(async move {
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.cancel(command)).await;
    });
}
