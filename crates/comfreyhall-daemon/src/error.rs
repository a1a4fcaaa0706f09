//! Errors returned to callers: typed kinds that say whether the request ran.

use axum::{
    Json,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use comfreyhall_protocol::api::{ErrorBody, ErrorDetail, Outcome};
use thiserror::Error;

/// Why a request did not get its answer.
#[derive(Debug, Clone, Error)]
pub(crate) enum RouteError {
    #[error(
        "model {0:?} is not adapter@version; name the adapter and its version, as in \"narrator@v2\""
    )]
    BadModel(String),
    #[error("{0}; correct the request")]
    BadRequest(String),
    #[error("adapter {0} is not in the catalog; create it with `comfreyhall adapter create`")]
    UnknownAdapter(String),
    #[error("adapter {0} has no version {1}; add it with `comfreyhall version add`")]
    UnknownVersion(String, String),
    #[error("the operators' rules do not admit this request; ask them to change the rules")]
    NotAdmitted,
    #[error("this instance knows no configuration yet; send again after the delay")]
    Starting,
    #[error("every engine slot is in use; send again after the delay")]
    Busy,
    #[error("every target takes no more now; send again after the delay")]
    Unavailable(u64),
    #[error("this instance is leaving; ask /v1/addresses for another and send there")]
    Draining,
    #[error("the catalog could not be read ({0}); send again after the delay")]
    CatalogUnavailable(String),
    #[error("no claim for this non-idempotent request ({0}); send again after the delay")]
    ClaimUnavailable(String),
    #[error("no target took the request after {0} tries; send again after the delay")]
    Exhausted(u32),
    #[error("the deadline passed before the request ran; send it with a longer deadline")]
    Expired,
    #[error("the deadline passed while the request ran; ask for fewer tokens or allow more time")]
    DeadlineExceeded,
    #[error("the request was cancelled; it may have run in part")]
    Cancelled,
    #[error(
        "a target may have run the request but its answer is lost ({0}); check before sending a non-idempotent request again"
    )]
    OutcomeUnknown(String),
    #[error(
        "another attempt holds this idempotency key and its outcome is not known; ask with the same key later, or check before using a new key"
    )]
    KeyHeld,
    #[error(
        "engines that ran this request ended, so it is not sent for now; change the request, or ask the operators why it ends them"
    )]
    Quarantined(u64),
    #[error(
        "engines that ran this request ended, this attempt's among them; change the request, or ask the operators why it ends them"
    )]
    QuarantinedUnknown,
    #[error("the request ran but its answer cannot be read now; ask again with the same key")]
    AnswerUnreadable,
}

/// How an error is reported: its type, HTTP status, retry delay and outcome.
struct Kind {
    name: &'static str,
    code: StatusCode,
    retry_ms: Option<u64>,
    outcome: Outcome,
}

fn not_run(name: &'static str, code: StatusCode, retry_ms: Option<u64>) -> Kind {
    Kind {
        name,
        code,
        retry_ms,
        outcome: Outcome::NotRun,
    }
}

fn unknown(name: &'static str, code: StatusCode, retry_ms: Option<u64>) -> Kind {
    Kind {
        name,
        code,
        retry_ms,
        outcome: Outcome::Unknown,
    }
}

impl RouteError {
    /// The outcome of a request whose attempts are open at the end of a planned stop.
    pub(crate) fn stop_ended() -> Self {
        RouteError::OutcomeUnknown("the planned stop is at its end".to_string())
    }

    fn kind(&self) -> Kind {
        use RouteError::*;
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let timeout = StatusCode::GATEWAY_TIMEOUT;
        match self {
            BadModel(_) => not_run("bad_model", StatusCode::BAD_REQUEST, None),
            BadRequest(_) => not_run("bad_request", StatusCode::BAD_REQUEST, None),
            UnknownAdapter(_) => not_run("unknown_adapter", StatusCode::NOT_FOUND, None),
            UnknownVersion(..) => not_run("unknown_version", StatusCode::NOT_FOUND, None),
            NotAdmitted => not_run("withdrawn", StatusCode::FORBIDDEN, None),
            Starting => not_run("starting", unavailable, Some(250)),
            Busy => not_run("busy", unavailable, Some(250)),
            Unavailable(ms) => not_run("shut", unavailable, Some(*ms)),
            Draining => not_run("leaving", unavailable, Some(0)),
            CatalogUnavailable(_) => not_run("catalog_down", unavailable, Some(1_000)),
            ClaimUnavailable(_) => not_run("claim_down", unavailable, Some(1_000)),
            Exhausted(_) => not_run("exhausted", unavailable, Some(250)),
            Expired => not_run("late", timeout, None),
            DeadlineExceeded => unknown("deadline", timeout, None),
            Cancelled => unknown("cancelled", StatusCode::CONFLICT, None),
            OutcomeUnknown(_) => unknown("in_doubt", StatusCode::BAD_GATEWAY, None),
            KeyHeld => unknown("held", StatusCode::CONFLICT, Some(1_000)),
            Quarantined(ms) => not_run("quarantined", unavailable, Some(*ms)),
            QuarantinedUnknown => unknown("quarantined", StatusCode::BAD_GATEWAY, None),
            AnswerUnreadable => unknown("answer_away", StatusCode::BAD_GATEWAY, Some(1_000)),
        }
    }

    /// Whether the request certainly did not run.
    pub(crate) fn not_run(&self) -> bool {
        self.kind().outcome == Outcome::NotRun
    }

    /// The error as the JSON body that callers read.
    pub(crate) fn body(&self, request_id: &str) -> ErrorBody {
        let kind = self.kind();
        ErrorBody {
            error: ErrorDetail {
                kind: kind.name.to_string(),
                message: self.to_string(),
                outcome: kind.outcome,
                retry_after_ms: kind.retry_ms,
                request_id: request_id.to_string(),
            },
        }
    }

    /// The HTTP response, tagged with the caller's request id.
    pub(crate) fn response(&self, request_id: &str) -> Response {
        let kind = self.kind();
        let mut resp = (kind.code, Json(self.body(request_id))).into_response();
        if let Some(ms) = kind.retry_ms {
            let secs = ms.div_ceil(1_000).to_string();
            resp.headers_mut().insert(
                "retry-after",
                secs.parse().expect("digits are a header value"),
            );
        }
        resp
    }
}
