//! Errors answered to callers: typed kinds that say whether the request ran.

use axum::{
    Json,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use comfreyhall_protocol::api::{ErrorBody, ErrorDetail, Outcome};
use thiserror::Error;

/// Why a request was not answered with a completion.
#[derive(Debug, Error)]
pub(crate) enum RouteError {
    #[error(
        "model {0:?} is not adapter@version; name the adapter and its version, as in \"narrator@v2\""
    )]
    BadModel(String),
    #[error("{0}; correct the request body")]
    BadRequest(String),
    #[error("adapter {0} is not in the catalog; create it with `comfreyhall adapter create`")]
    UnknownAdapter(String),
    #[error("adapter {0} has no version {1}; add it with `comfreyhall version add`")]
    UnknownVersion(String, String),
    #[error("every engine slot is in use; send again after the delay")]
    Busy,
    #[error("this instance is leaving; ask /v1/addresses for another and send there")]
    Leaving,
    #[error("the catalog could not be read ({0}); send again after the delay")]
    CatalogDown(String),
    #[error("no engine took the request after {0} tries; send again after the delay")]
    Exhausted(u32),
}

impl RouteError {
    fn kind(&self) -> (&'static str, StatusCode, Option<u64>) {
        use RouteError::*;
        match self {
            BadModel(_) => ("bad_model", StatusCode::BAD_REQUEST, None),
            BadRequest(_) => ("bad_request", StatusCode::BAD_REQUEST, None),
            UnknownAdapter(_) => ("unknown_adapter", StatusCode::NOT_FOUND, None),
            UnknownVersion(..) => ("unknown_version", StatusCode::NOT_FOUND, None),
            Busy => ("busy", StatusCode::SERVICE_UNAVAILABLE, Some(250)),
            Leaving => ("leaving", StatusCode::SERVICE_UNAVAILABLE, Some(0)),
            CatalogDown(_) => ("catalog_down", StatusCode::SERVICE_UNAVAILABLE, Some(1_000)),
            Exhausted(_) => ("exhausted", StatusCode::SERVICE_UNAVAILABLE, Some(250)),
        }
    }

    /// The answer, tagged with the caller's request id.
    ///
    /// Every error here comes before any engine accepted the request, so
    /// its outcome is always "not run".
    pub(crate) fn answer(&self, request_id: &str) -> Response {
        let (kind, code, retry) = self.kind();
        let body = ErrorBody {
            error: ErrorDetail {
                kind: kind.to_string(),
                message: self.to_string(),
                outcome: Outcome::NotRun,
                retry_after_ms: retry,
                request_id: request_id.to_string(),
            },
        };
        let mut resp = (code, Json(body)).into_response();
        if let Some(ms) = retry {
            let secs = ms.div_ceil(1_000).to_string();
            resp.headers_mut().insert(
                "retry-after",
                secs.parse().expect("digits are a header value"),
            );
        }
        resp
    }
}
