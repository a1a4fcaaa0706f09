//! Completion requests, in both OpenAI shapes.

use std::{
    pin::Pin,
    time::{Duration, Instant},
};

use axum::{
    Json,
    extract::{State, rejection::JsonRejection},
    http::{HeaderMap, HeaderValue},
    response::{IntoResponse, Response, sse::Sse},
};
use comfreyhall_once::Claim;
use comfreyhall_protocol::{
    ENGINE_HEADER, GenerateChunk, GenerateRequest, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER,
    STALL_HEADER,
    api::{ChatRequest, CompletionRequest},
};
use comfreyhall_quarantine::Fingerprint;
use futures::{Stream, StreamExt};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::{
    admit,
    answer::{self, Shape, Whole},
    header, request_id,
};
use crate::{
    app::App,
    claims::{self, Turn},
    error::RouteError,
    relay::Relay,
    resolve::{Resolved, resolve},
    route::{self, Job, Started},
};

/// Most tokens one request may ask for.
const MAX_TOKENS: u32 = 4_096;

/// Longest deadline a request may name, in ms.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Chunks a claimed run may be ahead of its caller.
const CLAIMED_BUFFER: usize = 64;

/// An answer's chunks, however they come about.
type Chunks = Pin<Box<dyn Stream<Item = Result<GenerateChunk, RouteError>> + Send>>;

/// One request, whichever API it came by.
struct Ask {
    id: String,
    /// The caller's idempotency key.
    key: Option<String>,
    shape: Shape,
    body: CompletionRequest,
}

pub(super) async fn text(
    State(app): State<App>,
    headers: HeaderMap,
    body: Result<Json<CompletionRequest>, JsonRejection>,
) -> Response {
    answer(app, &headers, Shape::Text, body.map(|Json(b)| b)).await
}

pub(super) async fn chat(
    State(app): State<App>,
    headers: HeaderMap,
    body: Result<Json<ChatRequest>, JsonRejection>,
) -> Response {
    let body = body.map(|Json(b)| CompletionRequest::from(b));
    answer(app, &headers, Shape::Chat, body).await
}

async fn answer(
    app: App,
    headers: &HeaderMap,
    shape: Shape,
    body: Result<CompletionRequest, JsonRejection>,
) -> Response {
    let id = request_id(headers);
    let body = match body {
        Ok(body) => body,
        Err(e) => return RouteError::BadRequest(e.body_text()).answer(&id),
    };
    let ask = Ask {
        key: header(headers, IDEMPOTENCY_HEADER).map(str::to_string),
        id,
        shape,
        body,
    };
    match serve(&app, &ask).await {
        Ok(resp) => resp,
        Err(e) => super::refuse(&app, &ask.id, &e),
    }
}

async fn serve(app: &App, ask: &Ask) -> Result<Response, RouteError> {
    let tracked = app.track();
    admit(app)?;
    app.inner.counters.request();
    let (adapter, version) = split_model(&ask.body.model)?;
    check(&ask.body)?;
    let resolved = resolve(app, adapter, version).await?;
    limit(&ask.body, &resolved)?;
    let job = job(app, ask, adapter, version, &resolved);
    let key = claim_key(ask, &resolved);
    let claim = match &key {
        None => None,
        Some(key) => match claims::claim(app, key, &ask.id).await? {
            Turn::Run(claim) => Some(claim),
            Turn::Replay(kept) => return replay(ask, &kept),
        },
    };
    let (guard, cancelled) = app.cancellable(&ask.id);
    let started = tokio::select! {
        started = route::start(app, &job) => started,
        () = cancelled.cancelled() => Err(RouteError::Cancelled),
    };
    let started = match started {
        Ok(started) => started,
        Err(e) => {
            if let Some(claim) = claim.filter(|_| e.not_run()) {
                claims::release(app, claim).await;
            }
            return Err(e);
        }
    };
    app.inner.metrics.stall(started.stall, resolved.stall_ms);
    let headers = headers(app, &ask.id, &started);
    let relay = Relay::new(app, job, started, cancelled, (tracked, guard));
    let chunks: Chunks = match (claim, key) {
        (Some(claim), Some(key)) => claimed(app, relay, claim, key),
        _ => Box::pin(relay.chunks()),
    };
    Ok((headers, respond(app, ask, chunks).await).into_response())
}

async fn respond(app: &App, ask: &Ask, chunks: Chunks) -> Response {
    let app = app.clone();
    let counted = chunks.inspect(move |c| match c {
        Ok(c) if c.done => app.inner.metrics.request("answered"),
        Ok(_) => {}
        Err(_) => app.inner.metrics.request("unknown"),
    });
    if ask.body.stream {
        let events = answer::sse(ask.shape, ask.id.clone(), counted);
        return Sse::new(events).into_response();
    }
    answer::collect(ask.shape, &ask.id, counted).await
}

fn split_model(model: &str) -> Result<(&str, &str), RouteError> {
    model
        .split_once('@')
        .filter(|(a, v)| !a.is_empty() && !v.is_empty())
        .ok_or_else(|| RouteError::BadModel(model.to_string()))
}

fn check(body: &CompletionRequest) -> Result<(), RouteError> {
    let bad = |what: String| Err(RouteError::BadRequest(what));
    if body.max_tokens == 0 || body.max_tokens > MAX_TOKENS {
        return bad(format!(
            "max_tokens {} is outside 1 to {MAX_TOKENS}",
            body.max_tokens
        ));
    }
    match body.deadline_ms {
        Some(ms) if ms == 0 || ms > MAX_DEADLINE_MS => bad(format!(
            "deadline_ms {ms} is outside 1 to {MAX_DEADLINE_MS}"
        )),
        _ => Ok(()),
    }
}

fn limit(body: &CompletionRequest, resolved: &Resolved) -> Result<(), RouteError> {
    match resolved.effects.max_tokens {
        Some(most) if body.max_tokens > most => Err(RouteError::BadRequest(format!(
            "max_tokens {} is over the {most} that the operators' rules allow",
            body.max_tokens
        ))),
        _ => Ok(()),
    }
}

fn job(app: &App, ask: &Ask, adapter: &str, version: &str, resolved: &Resolved) -> Job {
    let default = app.inner.settings.tuning.deadline_ms;
    let deadline = Duration::from_millis(ask.body.deadline_ms.unwrap_or(default));
    Job {
        order: GenerateRequest {
            request_id: ask.id.clone(),
            adapter: adapter.to_string(),
            version: version.to_string(),
            prompt: ask.body.prompt.clone(),
            max_tokens: ask.body.max_tokens,
            priority: resolved.priority + ask.body.priority.clamp(-9, 9),
            ..GenerateRequest::default()
        },
        until: Instant::now() + deadline,
        repeatable: !ask.body.non_idempotent,
        fingerprint: Fingerprint::of([
            resolved.customer.as_bytes(),
            adapter.as_bytes(),
            version.as_bytes(),
            ask.body.prompt.as_bytes(),
            &ask.body.max_tokens.to_le_bytes(),
        ]),
    }
}

/// The key a non-idempotent request is claimed under: the caller's, or the
/// request id when it gave none, within its customer.
fn claim_key(ask: &Ask, resolved: &Resolved) -> Option<String> {
    ask.body.non_idempotent.then(|| {
        let key = ask.key.as_ref().unwrap_or(&ask.id);
        format!("{}/{key}", resolved.customer)
    })
}

fn headers(app: &App, id: &str, started: &Started) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let stall = started.stall.as_millis().to_string();
    let engine = &app.inner.settings.engines[started.engine].id;
    let all = [
        (STALL_HEADER, stall.as_str()),
        (REQUEST_ID_HEADER, id),
        (ENGINE_HEADER, engine),
    ];
    for (name, value) in all {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    headers
}

/// The kept answer of a request that ran before.
fn replay(ask: &Ask, kept: &[u8]) -> Result<Response, RouteError> {
    let whole: Whole = serde_json::from_slice(kept).map_err(|_| RouteError::AnswerAway)?;
    if !ask.body.stream {
        return Ok(Json(ask.shape.whole(&ask.id, &whole)).into_response());
    }
    let chunk = whole.chunk(&ask.id);
    let once = futures::stream::once(async { Ok(chunk) });
    Ok(Sse::new(answer::sse(ask.shape, ask.id.clone(), once)).into_response())
}

/// Runs a claimed request to its end, whether or not its caller stays.
///
/// A caller that lost its connection asks again with the same key; if the
/// run had ended with the connection, its outcome would stay unknown.
fn claimed(app: &App, relay: Relay, claim: Claim, key: String) -> Chunks {
    let (tx, rx) = mpsc::channel(CLAIMED_BUFFER);
    let app = app.clone();
    tokio::spawn(async move {
        let mut chunks = std::pin::pin!(relay.chunks());
        let mut whole = Whole::new();
        while let Some(c) = chunks.next().await {
            let done = match &c {
                Ok(c) => {
                    whole.push(c);
                    c.done
                }
                Err(_) => false,
            };
            if done {
                let kept = serde_json::to_vec(&whole).expect("answers serialise");
                claims::keep(&app, claim, &key, kept);
                let _ = tx.send(c).await;
                return;
            }
            // Nobody reads any more: the run still goes on to its end.
            let _ = tx.send(c).await;
        }
    });
    Box::pin(ReceiverStream::new(rx))
}
