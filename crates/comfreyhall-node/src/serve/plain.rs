//! Answers that are not streams: read to their end, checked and passed on.

use std::time::Duration;

use bytes::Bytes;
use comfreyhall_domain::{Outcome, RouteKind};
use http::{HeaderMap, StatusCode};

use super::{
    ActiveRequest, complete_reply,
    send::{FAILED_WEIGHT, Next},
};
use crate::{
    active_send::ActiveSend,
    collect::{CollectError, collect},
    ports::{BodyError, EndCause, Framing, Response},
    quarantine,
};

impl ActiveRequest {
    /// Reads the body of a response and turns it into the caller's answer, or decides to
    /// retry.
    pub(super) async fn handle_plain(&mut self, response: Response, mut send: ActiveSend) -> Next {
        let (status, headers, framing) = (response.status, response.headers, response.framing);
        let left = Duration::from_millis(self.remaining_ms());
        let body = collect(&self.node.answer_budget, response.body);
        let body = match tokio::time::timeout(left, body).await {
            Ok(Ok(body)) => Ok(self.check_ending(framing, body, &send).await),
            Ok(Err(failed)) => Ok(Err(body_error(failed))),
            Err(late) => Err(late),
        };
        match body {
            Ok(Ok((body, proven))) => {
                send.record_first_event();
                self.handle_complete(status, headers, body, proven, send)
            }
            failed => {
                let why = match failed {
                    Ok(Err(failed)) => {
                        if failed.cause.may_be_target_end() {
                            self.report_closed(&send);
                        }
                        failed.reason
                    }
                    _ => "the deadline has passed".to_string(),
                };
                self.history.record(Outcome::Broken);
                send.record_outcome(false, FAILED_WEIGHT);
                self.log_send(&send.target, "broken off", &why);
                Next::Retry
            }
        }
    }

    /// Checks whether a body that has ended is complete; returns with it whether that is
    /// certain.
    async fn check_ending(
        &self,
        framing: Framing,
        body: Bytes,
        send: &ActiveSend,
    ) -> Result<(Bytes, bool), BodyError> {
        if framing == Framing::Explicit {
            return Ok((body, true));
        }
        let has_ended = match body.is_empty() {
            true => Some(true),
            false => quarantine::has_ended(&self.node, &send.target).await,
        };
        match has_ended {
            Some(true) => Err(BodyError {
                reason: "the target ended with its answer".to_string(),
                cause: EndCause::TargetEnded,
            }),
            known => Ok((body, known.is_some())),
        }
    }

    /// Handles a complete response; `proven`: it is certain that it is.
    pub(super) fn handle_complete(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        proven: bool,
        send: ActiveSend,
    ) -> Next {
        let now = self.node.now();
        let ok = !status.is_server_error();
        send.record_outcome(ok, FAILED_WEIGHT);
        if ok {
            let duration_ms = send.elapsed_ms();
            self.node
                .view()
                .board
                .record_duration(&send.target, duration_ms);
        }
        self.history.record(Outcome::Answered);
        if ok && proven {
            self.report_completed();
        }
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, target_id:% = send.target, status = status.as_u16(), ms = now - self.began_ms, aim = self.route.objective_ms, sends = self.history.sends, config = self.config_version, bound = self.bound_after_ms, age = self.settings_age_ms; "answered");
        self.node
            .metrics
            .request(self.route.kind, if ok { "answered" } else { "failed" });
        let retry = self.route.kind == RouteKind::Idempotent
            && !ok
            && (self.tried.len() as u32) < self.route.max_attempts
            && self.remaining_ms() > self.route.objective_ms / 4;
        if retry {
            self.fallback = Some((status, headers, body));
            return Next::Retry;
        }
        self.finished = true;
        Next::Reply(complete_reply(status, headers, body))
    }
}

/// Why the body of a target's answer was not read.
fn body_error(error: CollectError<BodyError>) -> BodyError {
    match error {
        CollectError::Body(error) => error,
        CollectError::Exceeded(exceeded) => BodyError {
            reason: exceeded.to_string(),
            cause: EndCause::TooLarge,
        },
    }
}
