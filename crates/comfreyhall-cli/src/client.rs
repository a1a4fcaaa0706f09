//! The HTTP client: one call to a daemon, as any caller makes it.

use std::time::Duration;

use comfreyhall_protocol::{
    IDEMPOTENCY_HEADER, NON_IDEMPOTENT_HEADER, REQUEST_ID_HEADER, STALL_HEADER,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use thiserror::Error;

/// Longest one operator's call may take.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A pooled HTTP/1 client.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// An answer: status, selected headers, body.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) stall_ms: Option<u64>,
    pub(crate) body: Bytes,
}

/// Why a call got no answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection could be opened: nothing was sent.
    #[error("no connection; is the daemon running?")]
    NotSent,
    /// The connection ended before the answer was complete.
    #[error("the connection ended early; try again")]
    CutOff,
    /// The time for the call ran out.
    #[error("no answer in time; try again or allow more time")]
    Late,
}

/// One call to make.
pub(crate) struct Send<'a> {
    pub(crate) url: &'a str,
    /// `None` makes it a GET.
    pub(crate) body: Option<Vec<u8>>,
    /// The request id.
    pub(crate) id: Option<&'a str>,
    /// The idempotency key; also marks the call as non-idempotent.
    pub(crate) key: Option<&'a str>,
    /// Longest the call may take.
    pub(crate) limit: Duration,
}

impl<'a> Send<'a> {
    /// A GET of `url`.
    pub(crate) fn get(url: &'a str, limit: Duration) -> Self {
        Self {
            url,
            body: None,
            id: None,
            key: None,
            limit,
        }
    }

    fn request(self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut req = Request::builder().uri(self.url);
        req = match &self.body {
            Some(_) => req
                .method("POST")
                .header("content-type", "application/json"),
            None => req.method("GET"),
        };
        if let Some(id) = self.id {
            req = req.header(REQUEST_ID_HEADER, id);
        }
        if let Some(key) = self.key {
            req = req
                .header(IDEMPOTENCY_HEADER, key)
                .header(NON_IDEMPOTENT_HEADER, "1");
        }
        req.body(Full::new(Bytes::from(self.body.unwrap_or_default())))
    }
}

/// A new pooled client.
pub(crate) fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Makes one call and reads the whole answer.
pub(crate) async fn call(client: &HttpClient, send: Send<'_>) -> Result<Reply, CallError> {
    let limit = send.limit;
    let req = send.request().map_err(|_| CallError::NotSent)?;
    match tokio::time::timeout(limit, exchange(client, req)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::Late),
    }
}

async fn exchange(client: &HttpClient, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
    let resp = client
        .request(req)
        .await
        .map_err(|e| match e.is_connect() {
            true => CallError::NotSent,
            false => CallError::CutOff,
        })?;
    let status = resp.status().as_u16();
    let stall_ms = resp
        .headers()
        .get(STALL_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let body = resp.into_body().collect().await;
    let body = body.map_err(|_| CallError::CutOff)?.to_bytes();
    Ok(Reply {
        status,
        stall_ms,
        body,
    })
}
