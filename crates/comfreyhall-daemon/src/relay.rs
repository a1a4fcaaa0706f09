//! Relays an engine's tokens to a caller, and mends the stream on the way.
//!
//! What can go wrong: the engine crashes, its connection resets or goes
//! silent, its tokens come doubled or with a gap, or they belong to another
//! request. The relay checks every chunk against the request before it
//! passes it on, and never passes on what does not fit. A request that may
//! be repeated then goes on at another engine from the first token the
//! caller does not have; one that may not ends with its outcome unknown.

use std::time::{Duration, Instant};

use comfreyhall_protocol::GenerateChunk;
use futures::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;

use crate::{
    app::{App, Cancellable, Tracked},
    error::RouteError,
    quarantine::{self, Suspect},
    route::{self, Job, Started},
};

/// Times one answer goes on at another engine.
const RESUMES: u32 = 8;

/// Pause before trying again to go on with a broken answer.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// What a chunk from an engine means for the answer.
#[derive(Debug, PartialEq, Eq)]
enum Fit {
    /// The next token of this answer.
    Next,
    /// A token the caller has already.
    Doubled,
    /// Not a token of this answer, or one too far ahead.
    Foreign,
}

/// One answer on its way to a caller.
pub(crate) struct Relay {
    app: App,
    job: Job,
    started: Started,
    resumes: u32,
    cancelled: CancellationToken,
    ended: bool,
    /// When the engine's first token came.
    answered: Option<Instant>,
    _guards: (Tracked, Cancellable),
}

fn fit(job: &Job, c: &GenerateChunk) -> Fit {
    let order = &job.order;
    let ours = c.request_id == order.request_id
        && c.adapter == order.adapter
        && c.version == order.version;
    if !ours || c.index > order.resume_from {
        Fit::Foreign
    } else if c.index < order.resume_from {
        Fit::Doubled
    } else {
        Fit::Next
    }
}

impl Relay {
    pub(crate) fn new(
        app: &App,
        job: Job,
        started: Started,
        cancelled: CancellationToken,
        guards: (Tracked, Cancellable),
    ) -> Self {
        Self {
            app: app.clone(),
            job,
            started,
            resumes: 0,
            cancelled,
            ended: false,
            answered: None,
            _guards: guards,
        }
    }

    /// The answer's chunks, each exactly once and in order; an error ends
    /// it, and only a chunk with `done` ends it whole.
    pub(crate) fn chunks(self) -> impl Stream<Item = Result<GenerateChunk, RouteError>> + Send {
        futures::stream::unfold(self, |mut relay| async move {
            if relay.ended {
                return None;
            }
            let item = relay.next().await;
            relay.ended = match &item {
                Ok(c) => c.done,
                Err(_) => true,
            };
            Some((item, relay))
        })
    }

    async fn next(&mut self) -> Result<GenerateChunk, RouteError> {
        loop {
            let until = tokio::time::Instant::from_std(self.job.until);
            let item = tokio::select! {
                item = self.started.stream.next() => item,
                () = self.cancelled.cancelled() => return self.give_up(RouteError::Cancelled),
                () = tokio::time::sleep_until(until) => return self.give_up(RouteError::Deadline),
            };
            let why = match item {
                Some(Ok(c)) => match fit(&self.job, &c) {
                    Fit::Next => {
                        self.job.order.resume_from += 1;
                        self.answered.get_or_insert_with(Instant::now);
                        if c.done {
                            quarantine::ran_whole(&self.app, self.job.fingerprint);
                        }
                        self.app.inner.metrics.token();
                        return Ok(c);
                    }
                    Fit::Doubled => continue,
                    Fit::Foreign => "a chunk of another answer".to_string(),
                },
                Some(Err(s)) => s.message().to_string(),
                None => "the stream ended early".to_string(),
            };
            self.resume(why).await?;
        }
    }

    /// Ends the answer here and tells the engine so.
    fn give_up(&self, why: RouteError) -> Result<GenerateChunk, RouteError> {
        route::cancel(&self.app, self.started.engine, &self.job.order.request_id);
        Err(why)
    }

    /// Goes on at an engine after the stream broke off because of `why`.
    async fn resume(&mut self, why: String) -> Result<(), RouteError> {
        let id = &self.job.order.request_id;
        let at = Suspect::Engine(self.started.engine, self.started.boot);
        let answered = self.answered.take();
        let early = answered.is_none_or(|at| at.elapsed() < quarantine::EARLY);
        quarantine::broke(&self.app, at, self.job.fingerprint, early);
        log::warn!(target: "relay", "{id} broke off at token {}: {why}", self.job.order.resume_from);
        if !self.job.repeatable || self.resumes >= RESUMES {
            return Err(RouteError::InDoubt(why));
        }
        if Instant::now() >= self.job.until {
            return Err(RouteError::Deadline);
        }
        self.resumes += 1;
        self.app.inner.metrics.resume();
        // The run before this one may still hold its slot.
        route::cancel(&self.app, self.started.engine, id);
        self.started = self.restart().await?;
        Ok(())
    }

    /// Starts the rest of the answer, trying until the caller's time is up.
    ///
    /// A fresh request is refused at once when no engine can take it, since
    /// the caller can come back. This caller holds half an answer: refusing
    /// it would cut that off, and engines that vanished together (a silent
    /// link, a restart) are often back within a second.
    async fn restart(&self) -> Result<Started, RouteError> {
        loop {
            match route::start(&self.app, &self.job).await {
                Ok(started) => return Ok(started),
                // The answer began, so "not run" would be wrong from here on.
                Err(RouteError::Late) => return Err(RouteError::Deadline),
                // Its runs have ended engines: it is not tried any more.
                Err(RouteError::Quarantined(_)) => return Err(RouteError::QuarantinedInDoubt),
                Err(e) if e.not_run() => tokio::time::sleep(RESUME_PAUSE).await,
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
