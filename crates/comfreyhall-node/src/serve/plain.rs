//! Answers that are not streams: read to their end, checked and passed on.

use std::sync::Arc;

use bytes::Bytes;
use comfreyhall_domain::{Outcome, RouteKind, Target};
use http::{HeaderMap, StatusCode};

use super::{ActiveRequest, reply::Next, reply::complete_reply, request::FAILED_WEIGHT};
use crate::{
    active_send::ActiveSend,
    collect::{CollectError, Exceeded, collect},
    node::Node,
    ports::{Body, BodyError, EndCause, Framing},
    quarantine,
};

/// An answer that is no stream.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether it is certain that the body is complete.
    pub(crate) proven: bool,
}

/// Reads the body of an answer to its end; returns with it whether it is certain that it
/// is complete.
///
/// # Errors
///
/// The answer ended early.
pub(super) async fn read(
    node: &Arc<Node>,
    target: &Target,
    framing: Framing,
    body: Body,
) -> Result<(Bytes, bool), BodyError> {
    let body = collect(&node.answer_budget, body).await;
    let body = body.map_err(body_error)?;
    if framing == Framing::Explicit {
        return Ok((body, true));
    }
    let has_ended = match body.is_empty() {
        true => Some(true),
        false => quarantine::has_ended(node, &target.id).await,
    };
    match has_ended {
        Some(true) => Err(BodyError {
            reason: "the target ended with its answer".to_string(),
            cause: EndCause::TargetEnded,
        }),
        known => Ok((body, known.is_some())),
    }
}

impl ActiveRequest {
    /// Turns a whole answer into the caller's, or decides to retry.
    pub(super) fn handle_whole(&mut self, answer: WholeAnswer, mut send: ActiveSend) -> Next {
        let WholeAnswer {
            status,
            headers,
            body,
            proven,
        } = answer;
        send.record_first_event();
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
            cause: match exceeded {
                Exceeded::TooLong => EndCause::TooLarge,
                Exceeded::Spent => EndCause::OutOfMemory,
            },
        },
    }
}
