//! The HTTP server for callers; the gRPC service for peers shares its port.

mod answer;
mod call;
mod complete;

use std::time::{Duration, Instant};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::HeaderMap,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use comfreyhall_life::{Event, Stage};
use comfreyhall_protocol::{REQUEST_ID_HEADER, api::CancelRequest, peer_server::PeerServer};
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::{app::App, error::RouteError, member, peer::PeerService};

/// Longest time the server may take to close its connections once drained.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers until a planned stop has drained all requests.
pub(crate) async fn serve(app: App, listener: TcpListener) -> eyre::Result<()> {
    let peers = PeerServer::new(PeerService { app: app.clone() });
    let router = Router::new()
        .route("/v1/completions", post(complete::text))
        .route("/v1/chat/completions", post(complete::chat))
        .route("/v1/call/{method}", post(call::call))
        .route("/v1/cancel", post(cancel))
        .route("/v1/addresses", get(addresses))
        .route("/v1/config", get(config))
        .route("/v1/drain", post(drain))
        .route("/v1/health", get(health))
        .route("/v1/stats", get(stats))
        .route("/v1/metrics", get(metrics))
        .with_state(app.clone())
        .merge(tonic::service::Routes::new(peers).into_axum_router());
    let stopped = {
        let app = app.clone();
        async move { app.inner.lifecycle.wait_for_stage(Stage::Stopped).await }
    };
    let server = axum::serve(listener, router).with_graceful_shutdown(stopped);
    let close_timeout = async {
        app.inner.lifecycle.wait_for_stage(Stage::Stopped).await;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    };
    // All answers are written by now; an idle connection that a caller keeps
    // open must not keep the process alive.
    tokio::select! {
        served = server.into_future() => served?,
        () = close_timeout => {}
    }
    log::info!(target: "daemon", "stopped");
    Ok(())
}

async fn drain(State(app): State<App>) -> impl IntoResponse {
    app.inner.lifecycle.handle(Event::Stop);
    Json(serde_json::json!({ "draining": true }))
}

async fn cancel(State(app): State<App>, Json(req): Json<CancelRequest>) -> impl IntoResponse {
    let found = app.cancel(&req.request_id);
    Json(serde_json::json!({ "request_id": req.request_id, "found": found }))
}

async fn config(State(app): State<App>) -> impl IntoResponse {
    let follower = &app.inner.follower;
    let config = follower.config();
    Json(serde_json::json!({
        "instance": &*app.instance.id,
        "epoch": follower.epoch(),
        "version": config.version,
        "rules": config.rules,
    }))
}

async fn health(State(app): State<App>) -> impl IntoResponse {
    Json(serde_json::json!({
        "instance": &*app.instance.id,
        "stage": app.inner.lifecycle.stage(),
        "in_flight": app.in_flight(),
        "orders_token": app.inner.lease.token(Instant::now()),
    }))
}

async fn metrics(State(app): State<App>) -> impl IntoResponse {
    app.inner.metrics.render()
}

async fn stats(State(app): State<App>) -> impl IntoResponse {
    let cached = app.inner.follower.cached();
    let table = app.inner.table.traffic();
    Json(app.inner.counters.snapshot(&app.instance.id, cached, table))
}

#[derive(Deserialize)]
struct AddressQuery {
    domain: Option<String>,
}

async fn addresses(State(app): State<App>, Query(q): Query<AddressQuery>) -> impl IntoResponse {
    Json(member::addresses(&app, q.domain.as_deref()))
}

/// The caller's request id, or a random one.
fn request_id(headers: &HeaderMap) -> String {
    header(headers, REQUEST_ID_HEADER)
        .map(str::to_string)
        .unwrap_or_else(|| format!("req-{:016x}", rand::random::<u64>()))
}

/// A header's text, if it is present, not empty and at most 128 bytes long.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let text = headers.get(name)?.to_str().ok()?;
    (!text.is_empty() && text.len() <= 128).then_some(text)
}

/// Answers a request with an error, and counts and logs it.
fn refuse(app: &App, id: &str, error: &RouteError) -> Response {
    let outcome = if error.not_run() {
        "not_run"
    } else {
        "unknown"
    };
    log::debug!(target: "route", "{id} ends {outcome}: {error}");
    app.inner.metrics.count_request(outcome);
    error.response(id)
}

/// Checks that this instance accepts new requests now.
fn admit(app: &App) -> Result<(), RouteError> {
    match app.inner.lifecycle.stage() {
        Stage::Starting => Err(RouteError::Starting),
        Stage::Serving => Ok(()),
        Stage::Leaving | Stage::Stopped => Err(RouteError::Draining),
    }
}
