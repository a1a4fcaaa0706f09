//! Answers to callers.

use std::pin::Pin;

use bytes::Bytes;
use comfreyhall_domain::Answer;
use futures::Stream;
use http::{HeaderMap, StatusCode};

/// A stream of whole events; an error means that it was interrupted.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, String>> + Send>>;

/// The answer to a caller.
pub enum Reply {
    /// No configuration is known yet, or the daemon is about to stop.
    NotReady {
        /// When to retry, in ms.
        retry_ms: u64,
    },
    /// No route matches the request.
    NoRoute,
    /// The caller's key belongs to no workspace: the request has not run and
    /// never will.
    UnknownKey,
    /// No target answered.
    Unanswered(Answer),
    /// A target's complete answer.
    Complete {
        /// Status code.
        status: StatusCode,
        /// End-to-end headers.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// A target's event stream.
    Stream {
        /// Status code.
        status: StatusCode,
        /// End-to-end headers.
        headers: HeaderMap,
        /// The events.
        body: EventStream,
    },
}

/// What follows after a send.
pub(super) enum Next {
    Reply(Reply),
    Retry,
}

/// Passes on a target's own answer. An error whose status would tell the caller
/// "not run" without the target's proof becomes one that promises nothing.
pub(super) fn complete_reply(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    match promises.contains(&status) {
        true => Reply::Unanswered(Answer::Unknown),
        false => Reply::Complete {
            status,
            headers,
            body,
        },
    }
}
