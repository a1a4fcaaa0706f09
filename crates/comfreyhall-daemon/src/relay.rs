//! Relays an engine's tokens to a caller and resumes the stream after a
//! failure.
//!
//! Failure cases: the engine crashes, its connection resets or falls silent,
//! its tokens are duplicated or have a gap, or they belong to another request.
//! The relay checks every chunk against the request and forwards only chunks
//! that match. A request that may be repeated is then resumed on another engine
//! from the first token that the caller does not have; one that may not ends
//! with an unknown outcome.

use std::time::{Duration, Instant};

use comfreyhall_protocol::GenerateChunk;
use futures::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;

use crate::{
    app::{App, CancelGuard, InFlightGuard},
    error::RouteError,
    quarantine::{self, SuspectTarget},
    route::{self, RoutedRequest, StartedRun},
};

/// Times one answer may be resumed on another engine.
const MAX_RESUMES: u32 = 8;

/// Longest text of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// Delay before another attempt to resume an answer.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of checking an engine's chunk against the answer so far.
#[derive(Debug, PartialEq, Eq)]
enum ChunkCheck {
    /// The next token of this answer.
    Next,
    /// A token that the caller already has.
    Duplicate,
    /// Not a token of this answer, or one that leaves a gap.
    Mismatch,
}

/// An answer that is being streamed to a caller.
pub(crate) struct Relay {
    app: App,
    request: RoutedRequest,
    run: StartedRun,
    resumes: u32,
    cancelled: CancellationToken,
    finished: bool,
    /// When the first token of the current run arrived.
    first_token_at: Option<Instant>,
    _guards: (InFlightGuard, CancelGuard),
}

fn check_chunk(request: &RoutedRequest, chunk: &GenerateChunk) -> ChunkCheck {
    let command = &request.command;
    let same_answer = chunk.request_id == command.request_id
        && chunk.adapter == command.adapter
        && chunk.version == command.version;
    let too_long = chunk.text.len() > MAX_TOKEN_BYTES || chunk.index >= command.max_tokens;
    if !same_answer || too_long || chunk.index > command.resume_from {
        ChunkCheck::Mismatch
    } else if chunk.index < command.resume_from {
        ChunkCheck::Duplicate
    } else {
        ChunkCheck::Next
    }
}

impl Relay {
    pub(crate) fn new(
        app: &App,
        request: RoutedRequest,
        run: StartedRun,
        cancelled: CancellationToken,
        guards: (InFlightGuard, CancelGuard),
    ) -> Self {
        Self {
            app: app.clone(),
            request,
            run,
            resumes: 0,
            cancelled,
            finished: false,
            first_token_at: None,
            _guards: guards,
        }
    }

    /// The answer's chunks, each exactly once and in order. An error ends the
    /// stream early; only a chunk with `done` completes the answer.
    pub(crate) fn chunks(self) -> impl Stream<Item = Result<GenerateChunk, RouteError>> + Send {
        futures::stream::unfold(self, |mut relay| async move {
            if relay.finished {
                return None;
            }
            let item = relay.next().await;
            relay.finished = match &item {
                Ok(chunk) => chunk.done,
                Err(_) => true,
            };
            Some((item, relay))
        })
    }

    async fn next(&mut self) -> Result<GenerateChunk, RouteError> {
        loop {
            let deadline = tokio::time::Instant::from_std(self.request.deadline);
            let item = tokio::select! {
                item = self.run.stream.next() => item,
                () = self.cancelled.cancelled() => return self.abort(RouteError::Cancelled),
                () = tokio::time::sleep_until(deadline) => return self.abort(RouteError::DeadlineExceeded),
            };
            let reason = match item {
                Some(Ok(chunk)) => match check_chunk(&self.request, &chunk) {
                    ChunkCheck::Next => {
                        self.request.command.resume_from += 1;
                        self.first_token_at.get_or_insert_with(Instant::now);
                        if chunk.done {
                            quarantine::record_completed(&self.app, self.request.fingerprint);
                        }
                        self.app.inner.metrics.count_token();
                        return Ok(chunk);
                    }
                    ChunkCheck::Duplicate => continue,
                    ChunkCheck::Mismatch => "a chunk of another answer".to_string(),
                },
                Some(Err(status)) => status.message().to_string(),
                None => "the stream ended early".to_string(),
            };
            let cancelled = self.cancelled.clone();
            tokio::select! {
                resumed = self.resume(reason) => resumed?,
                () = cancelled.cancelled() => return self.abort(RouteError::Cancelled),
            }
        }
    }

    /// Ends the answer with `reason` and cancels the run at the engine.
    fn abort(&self, reason: RouteError) -> Result<GenerateChunk, RouteError> {
        route::cancel(&self.app, self.run.engine, &self.request.command.request_id);
        Err(reason)
    }

    /// Resumes the answer on an engine after the stream broke off because of
    /// `reason`.
    async fn resume(&mut self, reason: String) -> Result<(), RouteError> {
        let id = &self.request.command.request_id;
        let at = SuspectTarget::Engine(self.run.engine, self.run.boot);
        let first_token_at = self.first_token_at.take();
        let early = first_token_at.is_none_or(|at| at.elapsed() < quarantine::EARLY_WINDOW);
        quarantine::record_broken_run(&self.app, at, self.request.fingerprint, early);
        log::warn!(target: "relay", "{id} broke off at token {}: {reason}", self.request.command.resume_from);
        if !self.request.repeatable || self.resumes >= MAX_RESUMES {
            return Err(RouteError::OutcomeUnknown(reason));
        }
        if Instant::now() >= self.request.deadline {
            return Err(RouteError::DeadlineExceeded);
        }
        self.resumes += 1;
        self.app.inner.metrics.count_resume();
        // The previous run may still hold its slot.
        route::cancel(&self.app, self.run.engine, id);
        self.run = self.restart().await?;
        Ok(())
    }

    /// Starts the rest of the answer, retrying until the caller's deadline.
    ///
    /// A new request is rejected at once if no engine can take it, since the
    /// caller can retry. Here the caller already has part of the answer, which
    /// a rejection would cut off, and engines that vanished together (a silent
    /// link, a restart) are often back within a second.
    async fn restart(&self) -> Result<StartedRun, RouteError> {
        loop {
            match route::start(&self.app, &self.request).await {
                Ok(run) => return Ok(run),
                // Part of the answer was sent, so "not run" would be wrong from
                // here on.
                Err(RouteError::Expired) => return Err(RouteError::DeadlineExceeded),
                // Its runs have ended engines: it is not retried.
                Err(RouteError::Quarantined(_)) => return Err(RouteError::QuarantinedUnknown),
                // An engine that is silent may be back, and this request may run again.
                Err(RouteError::OutcomeUnknown(_)) => tokio::time::sleep(RESUME_RETRY_DELAY).await,
                Err(e) if e.not_run() => tokio::time::sleep(RESUME_RETRY_DELAY).await,
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
