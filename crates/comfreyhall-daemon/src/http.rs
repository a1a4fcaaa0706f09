//! The caller-facing HTTP server.

use std::{convert::Infallible, sync::atomic::Ordering, time::Duration};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::{HeaderMap, HeaderValue},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{get, post},
};
use comfreyhall_protocol::{
    ENGINE_HEADER, GenerateChunk, GenerateRequest, REQUEST_ID_HEADER, STALL_HEADER,
    api::{Choice, Completion, CompletionRequest, ErrorBody, ErrorDetail, Outcome},
};
use futures::{Stream, StreamExt};
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::{app::App, error::RouteError, member, route};

/// Most tokens one request may ask for.
const MAX_TOKENS: u32 = 4_096;

/// Serves callers until a planned stop has drained every request.
pub(crate) async fn serve(app: App, listener: TcpListener) -> eyre::Result<()> {
    let router = Router::new()
        .route("/v1/completions", post(complete))
        .route("/v1/addresses", get(addresses))
        .route("/v1/drain", post(drain))
        .route("/v1/health", get(health))
        .route("/v1/stats", get(stats))
        .with_state(app.clone());
    axum::serve(listener, router)
        .with_graceful_shutdown(stopped(app))
        .await?;
    Ok(())
}

/// Resolves once a stop was asked for and the requests in progress ended.
async fn stopped(app: App) {
    comfreyhall_telemetry::stop_signal().await;
    log::info!(target: "daemon", "stop asked; draining requests in progress");
    leave(&app).await;
}

async fn leave(app: &App) {
    app.inner.leaving.store(true, Ordering::Relaxed);
    member::beat(app).await;
    let limit = Duration::from_millis(app.inner.settings.tuning.drain_ms);
    let drained = tokio::time::timeout(limit, async {
        loop {
            let idle = app.inner.idle.notified();
            if app.inner.in_flight.load(Ordering::Relaxed) == 0 {
                return;
            }
            idle.await;
        }
    })
    .await;
    if drained.is_err() {
        log::warn!(target: "daemon", "drain limit passed with requests still running");
    }
    log::info!(target: "daemon", "drained; stopping");
}

async fn drain(State(app): State<App>) -> impl IntoResponse {
    tokio::spawn(async move {
        leave(&app).await;
        std::process::exit(0);
    });
    Json(serde_json::json!({ "draining": true }))
}

async fn health(State(app): State<App>) -> impl IntoResponse {
    Json(serde_json::json!({
        "instance": &*app.instance.id,
        "leaving": app.leaving(),
        "in_flight": app.inner.in_flight.load(Ordering::Relaxed),
    }))
}

async fn stats(State(app): State<App>) -> impl IntoResponse {
    let r = &app.inner.resolver;
    let reads = r.reads.load(Ordering::Relaxed);
    Json(
        app.inner
            .counters
            .snapshot(&app.instance.id, r.cached(), reads),
    )
}

#[derive(Deserialize)]
struct AddressQuery {
    domain: Option<String>,
}

async fn addresses(State(app): State<App>, Query(q): Query<AddressQuery>) -> impl IntoResponse {
    Json(member::addresses(&app, q.domain.as_deref()).await)
}

fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok())
        .filter(|v| !v.is_empty() && v.len() <= 128)
        .map(str::to_string)
        .unwrap_or_else(|| format!("req-{:016x}", rand::random::<u64>()))
}

async fn complete(
    State(app): State<App>,
    headers: HeaderMap,
    body: Result<Json<CompletionRequest>, axum::extract::rejection::JsonRejection>,
) -> Response {
    let id = request_id(&headers);
    let req = match body {
        Ok(Json(req)) => req,
        Err(e) => return RouteError::BadRequest(e.body_text()).answer(&id),
    };
    match accept(&app, &id, req).await {
        Ok(resp) => resp,
        Err(e) => e.answer(&id),
    }
}

async fn accept(app: &App, id: &str, req: CompletionRequest) -> Result<Response, RouteError> {
    if app.leaving() {
        return Err(RouteError::Leaving);
    }
    let tracked = app.track();
    app.inner.counters.request();
    let (adapter, version) = req
        .model
        .split_once('@')
        .filter(|(a, v)| !a.is_empty() && !v.is_empty())
        .ok_or_else(|| RouteError::BadModel(req.model.clone()))?;
    if req.max_tokens == 0 || req.max_tokens > MAX_TOKENS {
        return Err(RouteError::BadRequest(format!(
            "max_tokens {} is outside 1 to {MAX_TOKENS}",
            req.max_tokens
        )));
    }
    app.inner.resolver.check(adapter, version).await?;
    let order = GenerateRequest {
        request_id: id.to_string(),
        adapter: adapter.to_string(),
        version: version.to_string(),
        prompt: req.prompt.clone(),
        max_tokens: req.max_tokens,
        priority: req.priority,
        fence: 0,
    };
    let started = route::start(app, order).await?;
    let engine = app.inner.settings.engines[started.engine].id.clone();
    log::debug!(target: "route", "{id} runs {adapter}@{version} on {engine}");
    let mut headers = HeaderMap::new();
    let stall = started.stall.as_millis().to_string();
    headers.insert(STALL_HEADER, HeaderValue::from_str(&stall).expect("digits"));
    headers.insert(
        REQUEST_ID_HEADER,
        HeaderValue::from_str(id).expect("checked id"),
    );
    if let Ok(v) = HeaderValue::from_str(&engine) {
        headers.insert(ENGINE_HEADER, v);
    }
    let chunks = started.stream.map(move |c| {
        let _keep = &tracked;
        c
    });
    if req.stream {
        let events = sse(id.to_string(), chunks);
        return Ok((headers, Sse::new(events)).into_response());
    }
    let whole = collect(id, chunks).await;
    Ok((headers, whole).into_response())
}

fn completion(id: &str, c: &GenerateChunk) -> Completion {
    Completion {
        id: id.to_string(),
        object: "text_completion".into(),
        model: format!("{}@{}", c.adapter, c.version),
        choices: vec![Choice {
            index: 0,
            text: c.text.clone(),
            finish_reason: c.done.then(|| c.finish.clone()),
        }],
    }
}

/// The error sent when an accepted request's stream breaks off.
fn broken(id: &str, status: &tonic::Status) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            kind: "stream_broken".into(),
            message: format!(
                "the engine stopped mid-answer ({}); the request may have run, so check before sending a non-idempotent call again",
                status.message()
            ),
            outcome: Outcome::Unknown,
            retry_after_ms: None,
            request_id: id.to_string(),
        },
    }
}

fn sse(
    id: String,
    chunks: impl Stream<Item = Result<GenerateChunk, tonic::Status>> + Send + 'static,
) -> impl Stream<Item = Result<Event, Infallible>> + Send + 'static {
    let done = futures::stream::once(async { Ok(Event::default().data("[DONE]")) });
    chunks
        .map(move |c| {
            let event = match c {
                Ok(c) => Event::default().json_data(completion(&id, &c)),
                Err(s) => Event::default().event("error").json_data(broken(&id, &s)),
            };
            Ok(event.expect("our types serialise"))
        })
        .chain(done)
}

async fn collect(
    id: &str,
    mut chunks: impl Stream<Item = Result<GenerateChunk, tonic::Status>> + Unpin,
) -> Response {
    let mut text = String::new();
    let mut last: Option<GenerateChunk> = None;
    while let Some(c) = chunks.next().await {
        match c {
            Ok(c) => {
                text.push_str(&c.text);
                last = Some(c);
            }
            Err(s) => {
                let code = axum::http::StatusCode::BAD_GATEWAY;
                return (code, Json(broken(id, &s))).into_response();
            }
        }
    }
    let Some(mut last) = last else {
        let s = tonic::Status::unavailable("no tokens came");
        return (axum::http::StatusCode::BAD_GATEWAY, Json(broken(id, &s))).into_response();
    };
    last.text = text;
    Json(completion(id, &last)).into_response()
}
