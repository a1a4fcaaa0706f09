//! HTTP client for calls to a daemon, as any caller makes them.

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

/// Timeout of a call that an operator makes.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A pooled HTTP/1 client.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A response: status, selected headers and body.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) stall_ms: Option<u64>,
    pub(crate) body: Bytes,
}

/// Why a call got no response.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect; is the daemon running?")]
    NotSent,
    /// The connection closed before the response was complete.
    #[error("the connection closed before the answer was complete; try again")]
    ConnectionLost,
    /// The call timed out.
    #[error("no answer in time; try again or allow more time")]
    TimedOut,
}

/// The parameters of one call.
pub(crate) struct HttpCall<'a> {
    pub(crate) url: &'a str,
    /// Body of a POST; `None` makes the call a GET.
    pub(crate) body: Option<Vec<u8>>,
    /// The request id.
    pub(crate) id: Option<&'a str>,
    /// The idempotency key; also marks the call as non-idempotent.
    pub(crate) key: Option<&'a str>,
    /// Time limit of the whole call.
    pub(crate) time_limit: Duration,
}

impl<'a> HttpCall<'a> {
    /// A GET of `url`.
    pub(crate) fn get(url: &'a str, time_limit: Duration) -> Self {
        Self {
            url,
            body: None,
            id: None,
            key: None,
            time_limit,
        }
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
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

/// Makes one call and reads the whole response.
pub(crate) async fn call(client: &HttpClient, http_call: HttpCall<'_>) -> Result<Reply, CallError> {
    let time_limit = http_call.time_limit;
    let req = http_call.into_request().map_err(|_| CallError::NotSent)?;
    match tokio::time::timeout(time_limit, exchange(client, req)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut),
    }
}

async fn exchange(client: &HttpClient, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
    let resp = client
        .request(req)
        .await
        .map_err(|e| match e.is_connect() {
            true => CallError::NotSent,
            false => CallError::ConnectionLost,
        })?;
    let status = resp.status().as_u16();
    let stall_ms = resp
        .headers()
        .get(STALL_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let body = resp.into_body().collect().await;
    let body = body.map_err(|_| CallError::ConnectionLost)?.to_bytes();
    Ok(Reply {
        status,
        stall_ms,
        body,
    })
}
