//! Relays an engine's tokens to a caller and resumes the stream after a
//! failure.
//!
//! Failure cases: the engine crashes, its connection resets or falls silent,
//! its tokens are duplicated or have a gap, or they belong to another request.
//! The relay checks every chunk against the request and forwards only chunks
//! that match. A request that may be repeated is then resumed on another engine
//! from the first token that the caller does not have; one that may not ends
//! with an unknown outcome. A run whose connection is silent stays open: another
//! one is started beside it, and whichever brings the next token goes on.

mod beside;

use std::time::{Duration, Instant};

use comfreyhall_protocol::GenerateChunk;
use comfreyhall_relay::EndCause;
use futures::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;
use tonic::Status;

use crate::{
    app::{App, CancelGuard, InFlightGuard},
    ends::{self, OpenAnswer},
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
    answer: OpenAnswer,
    _guards: (InFlightGuard, CancelGuard),
}

/// Why a run ended before the answer was complete.
struct Break {
    cause: EndCause,
    reason: String,
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

/// The next chunk of `request` in `item`, none if it is a known one, or why its run ended.
fn check_item(
    request: &RoutedRequest,
    item: Option<Result<GenerateChunk, Status>>,
) -> Result<Option<GenerateChunk>, Break> {
    let (cause, reason) = match item {
        Some(Ok(chunk)) => match check_chunk(request, &chunk) {
            ChunkCheck::Next => return Ok(Some(chunk)),
            ChunkCheck::Duplicate => return Ok(None),
            ChunkCheck::Mismatch => (EndCause::Broken, "a chunk of another answer"),
        },
        Some(Err(status)) => {
            return Err(Break {
                cause: ends::cause_of(&status),
                reason: status.message().to_string(),
            });
        }
        None => (EndCause::ConnectionClosed, "the stream ended early"),
    };
    Err(Break {
        cause,
        reason: reason.to_string(),
    })
}

impl Relay {
    pub(crate) fn new(
        app: &App,
        request: RoutedRequest,
        run: StartedRun,
        cancelled: CancellationToken,
        answer: OpenAnswer,
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
            answer,
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
            if relay.finished {
                relay.answer.close();
            }
            Some((item, relay))
        })
    }

    async fn next(&mut self) -> Result<GenerateChunk, RouteError> {
        loop {
            let deadline = tokio::time::Instant::from_std(self.request.deadline);
            let may_seek = self.request.repeatable && self.resumes < MAX_RESUMES;
            let silence = beside::silence(&self.app, self.run.engine, self.run.client.clone());
            let item = tokio::select! {
                item = self.run.stream.next() => item,
                () = self.cancelled.cancelled() => return self.abort(RouteError::Cancelled),
                () = tokio::time::sleep_until(deadline) => return self.abort(RouteError::DeadlineExceeded),
                () = silence, if may_seek => {
                    match self.seek().await? {
                        Some(chunk) => return Ok(chunk),
                        None => continue,
                    }
                }
            };
            match check_item(&self.request, item) {
                Ok(Some(chunk)) => return Ok(self.take(chunk)),
                Ok(None) => {}
                Err(ended) => self.resume(ended).await?,
            }
        }
    }

    /// Takes the next chunk of the answer.
    fn take(&mut self, chunk: GenerateChunk) -> GenerateChunk {
        self.request.command.resume_from += 1;
        self.first_token_at.get_or_insert_with(Instant::now);
        if chunk.done {
            quarantine::record_completed(&self.app, self.request.fingerprint);
        }
        self.app.inner.metrics.count_token();
        chunk
    }

    /// Ends the answer with `reason` and cancels the run at the engine.
    fn abort<T>(&self, reason: RouteError) -> Result<T, RouteError> {
        let id = &self.request.command.request_id;
        let cause = match reason {
            RouteError::DeadlineExceeded => EndCause::DeadlinePassed,
            _ => EndCause::CallerLeft,
        };
        ends::record(&self.app, id, cause, &reason.to_string());
        route::cancel(&self.app, self.run.engine, id);
        Err(reason)
    }

    /// Starts another run beside the open one, which is silent. Returns the next chunk from
    /// whichever brings it first; the other one is cancelled. `None`: no other run began.
    async fn seek(&mut self) -> Result<Option<GenerateChunk>, RouteError> {
        let id = self.request.command.request_id.clone();
        log::warn!(target: "relay", "{id} is silent at token {}", self.request.command.resume_from);
        let cancelled = self.cancelled.clone();
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
        let request = self.request.clone();
        let mut ended = None;
        let begun = {
            let beside = beside::begin(&self.app, &request, self.run.engine);
            tokio::pin!(beside);
            loop {
                tokio::select! {
                    biased;
                    item = self.run.stream.next(), if ended.is_none() => {
                        match check_item(&request, item) {
                            Ok(Some(chunk)) => break Err(Some(chunk)),
                            Ok(None) => {}
                            // The other run may still begin.
                            Err(why) => ended = Some(why),
                        }
                    }
                    begun = &mut beside => break begun.map_err(|e| {
                        log::debug!(target: "relay", "no run beside the silent one of {id}: {e}");
                        None
                    }),
                    () = cancelled.cancelled() => return self.abort(RouteError::Cancelled),
                    () = tokio::time::sleep_until(deadline) => return self.abort(RouteError::DeadlineExceeded),
                }
            }
        };
        match (begun, ended) {
            (Ok((run, chunk)), ended) => {
                match ended {
                    Some(ended) => self.record_break(&ended),
                    None => {
                        ends::record(&self.app, &id, EndCause::Superseded, "another run went on")
                    }
                }
                // A cancel names the request: at the same engine it would end both runs.
                if run.engine != self.run.engine {
                    route::cancel(&self.app, self.run.engine, &id);
                }
                self.resumes += 1;
                self.app.inner.metrics.count_resume();
                self.first_token_at = None;
                self.run = run;
                Ok(Some(self.take(chunk)))
            }
            (Err(Some(chunk)), _) => Ok(Some(self.take(chunk))),
            (Err(None), Some(ended)) => self.resume(ended).await.map(|()| None),
            (Err(None), None) => Ok(None),
        }
    }

    /// Records that the run ended early.
    fn record_break(&mut self, ended: &Break) {
        let id = &self.request.command.request_id;
        let at = SuspectTarget::Engine(self.run.engine, self.run.boot);
        let first_token_at = self.first_token_at.take();
        let early = first_token_at.is_none_or(|at| at.elapsed() < quarantine::EARLY_WINDOW);
        quarantine::record_broken_run(&self.app, at, self.request.fingerprint, early);
        ends::record(&self.app, id, ended.cause, &ended.reason);
        log::warn!(target: "relay", "{id} broke off at token {}: {}", self.request.command.resume_from, ended.reason);
    }

    /// Resumes the answer on an engine after its run has ended early.
    async fn resume(&mut self, ended: Break) -> Result<(), RouteError> {
        self.record_break(&ended);
        if !self.request.repeatable || self.resumes >= MAX_RESUMES {
            return Err(RouteError::OutcomeUnknown(ended.reason));
        }
        if Instant::now() >= self.request.deadline {
            return Err(RouteError::DeadlineExceeded);
        }
        self.resumes += 1;
        self.app.inner.metrics.count_resume();
        // The previous run may still hold its slot.
        let id = &self.request.command.request_id;
        route::cancel(&self.app, self.run.engine, id);
        let cancelled = self.cancelled.clone();
        self.run = tokio::select! {
            run = self.restart() => run?,
            () = cancelled.cancelled() => return self.abort(RouteError::Cancelled),
        };
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
