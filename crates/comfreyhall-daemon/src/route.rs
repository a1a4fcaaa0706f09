//! Routes one request: place it, load its adapter if needed, start it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use comfreyhall_placement::{Decision, SlotView};
use comfreyhall_protocol::{GenerateChunk, GenerateRequest, LoadOrder};
use tonic::{Code, Streaming};

use crate::{app::App, error::RouteError};

/// Placement tries per request before it is refused as not run.
const TRIES: u32 = 4;

/// Longest a load order may take before the engine counts as unhelpful.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// A request an engine has accepted.
pub(crate) struct Started {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Time spent waiting for an adapter load.
    pub(crate) stall: Duration,
    /// The engine's chunks.
    pub(crate) stream: Streaming<GenerateChunk>,
}

/// Places and starts `req` on an engine.
///
/// Every error returned means no engine accepted the request: it did not run.
pub(crate) async fn start(app: &App, req: GenerateRequest) -> Result<Started, RouteError> {
    let key = format!("{}@{}", req.adapter, req.version);
    let mut stall = Duration::ZERO;
    for _ in 0..TRIES {
        let decision = {
            let view = app.inner.view.lock().unwrap().clone();
            let now = app.now_ms();
            app.inner.policy.lock().unwrap().route(&key, &view, now)
        };
        let engine = match decision {
            Decision::Busy => return Err(RouteError::Busy),
            Decision::Run { engine } => engine,
            Decision::RunAndCopy {
                engine,
                copy,
                victims,
            } => {
                spawn_copy(app, copy, &req, victims);
                engine
            }
            Decision::Load { engine, victims } => {
                let began = Instant::now();
                let loaded = load(app, engine, &req, victims).await;
                stall += began.elapsed();
                if !loaded {
                    continue;
                }
                engine
            }
        };
        let mut client = app.inner.clients[engine].clone();
        match client.generate(req.clone()).await {
            Ok(reply) => {
                return Ok(Started {
                    engine,
                    stall,
                    stream: reply.into_inner(),
                });
            }
            // The adapter left the slot between view and order (another
            // daemon evicted it): forget it there and place again.
            Err(s) if s.code() == Code::FailedPrecondition => forget(app, engine, &key),
            Err(s) => {
                log::warn!(target: "route", "engine {} refused {}: {}", app.inner.view.lock().unwrap()[engine].id, req.request_id, s.message());
                app.inner.view.lock().unwrap()[engine].up = false;
            }
        }
    }
    Err(RouteError::Exhausted(TRIES))
}

/// Orders a copy of `req`'s adapter onto `engine` in the background.
///
/// At most one copy per daemon is in flight: copies share the weight store
/// with first loads, and a queue of copies would delay the loads that
/// requests are actually waiting for.
fn spawn_copy(app: &App, engine: usize, req: &GenerateRequest, victims: Vec<Arc<str>>) {
    if app.inner.copying.swap(true, Ordering::AcqRel) {
        return;
    }
    let app = app.clone();
    let req = req.clone();
    tokio::spawn(async move {
        load(&app, engine, &req, victims).await;
        app.inner.copying.store(false, Ordering::Release);
    });
}

/// Orders `req`'s adapter into a slot of `engine`; true once it is resident.
async fn load(app: &App, engine: usize, req: &GenerateRequest, victims: Vec<Arc<str>>) -> bool {
    let order = LoadOrder {
        adapter: req.adapter.clone(),
        version: req.version.clone(),
        victims: victims.iter().map(|v| v.to_string()).collect(),
        fence: 0,
    };
    let mut client = app.inner.clients[engine].clone();
    let answer = tokio::time::timeout(LOAD_TIMEOUT, client.load(order)).await;
    let reply = match answer {
        Ok(Ok(r)) => r.into_inner(),
        Ok(Err(s)) => {
            log::warn!(target: "route", "load of {}@{} failed: {}", req.adapter, req.version, s.message());
            return false;
        }
        Err(_) => {
            log::warn!(target: "route", "load of {}@{} timed out", req.adapter, req.version);
            return false;
        }
    };
    if !reply.loaded {
        log::info!(target: "route", "load of {}@{} refused: {}", req.adapter, req.version, reply.error);
        return false;
    }
    // Update the view at once so requests that follow see the new slot
    // before the next status poll.
    let key: Arc<str> = format!("{}@{}", req.adapter, req.version).into();
    let mut view = app.inner.view.lock().unwrap();
    let slots = &mut view[engine].slots;
    slots.retain(|s| *s.key != *reply.evicted);
    if !slots.iter().any(|s| s.key == key) {
        slots.push(SlotView {
            key,
            pins: 0,
            loading: false,
        });
    }
    true
}

fn forget(app: &App, engine: usize, key: &str) {
    let mut view = app.inner.view.lock().unwrap();
    view[engine].slots.retain(|s| &*s.key != key);
}
