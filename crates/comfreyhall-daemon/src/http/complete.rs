//! Completion requests, in both OpenAI formats.

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
    answer::{self, ApiFormat, CompleteAnswer},
    header, request_id,
};
use crate::{
    app::App,
    claims::{self, ClaimedKey},
    ends::OpenAnswer,
    error::RouteError,
    relay::Relay,
    resolve::{Resolved, resolve},
    route::{self, RoutedRequest, StartedRun},
};

/// Maximum tokens one request may ask for.
const MAX_TOKENS: u32 = 4_096;

/// Longest deadline a request may set, in ms.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Chunks that a claimed run may be ahead of its caller.
const CLAIMED_BUFFER: usize = 64;

/// An answer's chunks, from a relay or from a claimed run's channel.
type Chunks = Pin<Box<dyn Stream<Item = Result<GenerateChunk, RouteError>> + Send>>;

/// A completion request of either API.
struct IncomingRequest {
    id: String,
    /// The caller's idempotency key.
    key: Option<String>,
    format: ApiFormat,
    body: CompletionRequest,
}

pub(super) async fn text(
    State(app): State<App>,
    headers: HeaderMap,
    body: Result<Json<CompletionRequest>, JsonRejection>,
) -> Response {
    answer(app, &headers, ApiFormat::Text, body.map(|Json(b)| b)).await
}

pub(super) async fn chat(
    State(app): State<App>,
    headers: HeaderMap,
    body: Result<Json<ChatRequest>, JsonRejection>,
) -> Response {
    let body = body.map(|Json(b)| CompletionRequest::from(b));
    answer(app, &headers, ApiFormat::Chat, body).await
}

async fn answer(
    app: App,
    headers: &HeaderMap,
    format: ApiFormat,
    body: Result<CompletionRequest, JsonRejection>,
) -> Response {
    let id = request_id(headers);
    let body = match body {
        Ok(body) => body,
        Err(e) => return RouteError::BadRequest(e.body_text()).response(&id),
    };
    let request = IncomingRequest {
        key: header(headers, IDEMPOTENCY_HEADER).map(str::to_string),
        id,
        format,
        body,
    };
    match serve(&app, &request).await {
        Ok(resp) => resp,
        Err(e) => super::refuse(&app, &request.id, &e),
    }
}

async fn serve(app: &App, request: &IncomingRequest) -> Result<Response, RouteError> {
    let tracked = app.track_request();
    admit(app)?;
    app.inner.counters.count_request();
    let (adapter, version) = split_model(&request.body.model)?;
    validate(&request.body)?;
    let resolved = resolve(app, adapter, version).await?;
    check_token_limit(&request.body, &resolved)?;
    let routed = build_routed_request(app, request, adapter, version, &resolved);
    let key = claim_key(request, &resolved);
    let claim = match &key {
        None => None,
        Some(key) => match claims::claim(app, key, &request.id).await? {
            ClaimedKey::Run(claim) => Some(claim),
            ClaimedKey::Replay(stored) => return replay(request, &stored),
        },
    };
    let (guard, cancelled) = app.register_cancel(&request.id);
    let mut open = OpenAnswer::new(app, &request.id);
    let started = tokio::select! {
        started = route::start(app, &routed) => started,
        () = cancelled.cancelled() => Err(RouteError::Cancelled),
    };
    let started = match started {
        Ok(started) => started,
        Err(e) => {
            open.close();
            if let Some(claim) = claim.filter(|_| e.not_run()) {
                claims::release(app, claim).await;
            }
            return Err(e);
        }
    };
    app.inner
        .metrics
        .record_stall(started.load_wait, resolved.stall_ms);
    let headers = answer_headers(app, &request.id, &started);
    let relay = Relay::new(app, routed, started, cancelled, open, (tracked, guard));
    let chunks: Chunks = match (claim, key) {
        (Some(claim), Some(key)) => run_claimed(app, relay, claim, key),
        _ => Box::pin(relay.chunks()),
    };
    Ok((headers, respond(app, request, chunks).await).into_response())
}

async fn respond(app: &App, request: &IncomingRequest, chunks: Chunks) -> Response {
    let app = app.clone();
    let counted = chunks.inspect(move |chunk| match chunk {
        Ok(chunk) if chunk.done => app.inner.metrics.count_request("answered"),
        Ok(_) => {}
        Err(_) => app.inner.metrics.count_request("unknown"),
    });
    if request.body.stream {
        let events = answer::sse(request.format, request.id.clone(), counted);
        return Sse::new(events).into_response();
    }
    answer::collect(request.format, &request.id, counted).await
}

fn split_model(model: &str) -> Result<(&str, &str), RouteError> {
    model
        .split_once('@')
        .filter(|(a, v)| !a.is_empty() && !v.is_empty())
        .ok_or_else(|| RouteError::BadModel(model.to_string()))
}

fn validate(body: &CompletionRequest) -> Result<(), RouteError> {
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

fn check_token_limit(body: &CompletionRequest, resolved: &Resolved) -> Result<(), RouteError> {
    match resolved.effects.max_tokens {
        Some(limit) if body.max_tokens > limit => Err(RouteError::BadRequest(format!(
            "max_tokens {} is over the {limit} that the operators' rules allow",
            body.max_tokens
        ))),
        _ => Ok(()),
    }
}

fn build_routed_request(
    app: &App,
    request: &IncomingRequest,
    adapter: &str,
    version: &str,
    resolved: &Resolved,
) -> RoutedRequest {
    let default_ms = app.inner.settings.tuning.deadline_ms;
    let timeout = Duration::from_millis(request.body.deadline_ms.unwrap_or(default_ms));
    RoutedRequest {
        command: GenerateRequest {
            request_id: request.id.clone(),
            adapter: adapter.to_string(),
            version: version.to_string(),
            prompt: request.body.prompt.clone(),
            max_tokens: request.body.max_tokens,
            priority: resolved.priority + request.body.priority.clamp(-9, 9),
            ..GenerateRequest::default()
        },
        deadline: Instant::now() + timeout,
        repeatable: !request.body.non_idempotent,
        fingerprint: Fingerprint::of([
            resolved.customer.as_bytes(),
            adapter.as_bytes(),
            version.as_bytes(),
            request.body.prompt.as_bytes(),
            &request.body.max_tokens.to_le_bytes(),
        ]),
    }
}

/// The key under which a non-idempotent request is claimed: the caller's key,
/// or the request id if it gave none, scoped to its customer.
fn claim_key(request: &IncomingRequest, resolved: &Resolved) -> Option<String> {
    request.body.non_idempotent.then(|| {
        let key = request.key.as_ref().unwrap_or(&request.id);
        format!("{}/{key}", resolved.customer)
    })
}

fn answer_headers(app: &App, id: &str, started: &StartedRun) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let stall = started.load_wait.as_millis().to_string();
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

/// Replays the stored answer of a request that already ran.
fn replay(request: &IncomingRequest, stored: &[u8]) -> Result<Response, RouteError> {
    let stored_answer: CompleteAnswer =
        serde_json::from_slice(stored).map_err(|_| RouteError::AnswerUnreadable)?;
    if !request.body.stream {
        return Ok(Json(request.format.complete(&request.id, &stored_answer)).into_response());
    }
    let chunk = stored_answer.into_chunk(&request.id);
    let once = futures::stream::once(async { Ok(chunk) });
    Ok(Sse::new(answer::sse(request.format, request.id.clone(), once)).into_response())
}

/// Runs a claimed request to completion, whether or not its caller stays.
///
/// A caller that lost its connection repeats the request with the same key; if
/// the run ended with the connection, its outcome would remain unknown.
fn run_claimed(app: &App, relay: Relay, claim: Claim, key: String) -> Chunks {
    let (tx, rx) = mpsc::channel(CLAIMED_BUFFER);
    let app = app.clone();
    tokio::spawn(async move {
        let mut chunks = std::pin::pin!(relay.chunks());
        let mut answer_so_far = CompleteAnswer::new();
        while let Some(chunk) = chunks.next().await {
            let done = match &chunk {
                Ok(chunk) => {
                    answer_so_far.push(chunk);
                    chunk.done
                }
                Err(_) => false,
            };
            if done {
                let stored = serde_json::to_vec(&answer_so_far).expect("answers serialise");
                claims::store_answer(&app, claim, &key, stored);
                let _ = tx.send(chunk).await;
                return;
            }
            // A failed send means that the caller left; the run still continues
            // to its end.
            let _ = tx.send(chunk).await;
        }
    });
    Box::pin(ReceiverStream::new(rx))
}
