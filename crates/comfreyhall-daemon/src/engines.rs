//! Engine clients and the status polls that keep the placement view fresh.

use std::time::Duration;

use comfreyhall_placement::{EngineView, SlotView};
use comfreyhall_protocol::{EngineStatus, StatusQuery, engine_client::EngineClient};
use comfreyhall_settings::Engine;
use prost::Message;
use tonic::transport::{Channel, Endpoint};

use crate::app::App;

/// How long connecting to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Keepalive period on engine connections.
///
/// A connection can go silent for good while new ones work, because a box
/// between the two ends lost track of it. Without keepalives a stream on it
/// would hang until its deadline; with them the transport notices within a
/// few periods and the request fails over.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// Longest a status poll may take before the engine counts as down.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// A lazily connecting client for one engine.
pub(crate) fn client(engine: &Engine) -> EngineClient<Channel> {
    let channel = Endpoint::from_shared(format!("http://{}", engine.listen))
        .expect("engine address was checked in settings")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE)
        .keep_alive_while_idle(true)
        .connect_lazy();
    EngineClient::new(channel)
}

/// The view of an engine before its first poll: up, empty.
pub(crate) fn empty_view(engine: &Engine) -> EngineView {
    EngineView {
        id: engine.id.clone(),
        slots: Vec::new(),
        capacity: engine.slots,
        load: 0,
        width: engine.width,
        up: true,
    }
}

/// Builds a view from a status answer.
fn view_of(engine: &Engine, status: &EngineStatus) -> EngineView {
    let slots = status
        .slots
        .iter()
        .map(|s| SlotView {
            key: format!("{}@{}", s.adapter, s.version).into(),
            pins: s.pins,
            loading: s.loading,
        })
        .collect();
    EngineView {
        id: engine.id.clone(),
        slots,
        capacity: engine.slots,
        load: status.queued + status.active,
        width: status.width,
        up: true,
    }
}

/// Starts one poll task per engine.
pub(crate) fn spawn_polls(app: &App) {
    for index in 0..app.inner.clients.len() {
        tokio::spawn(poll(app.clone(), index));
    }
}

async fn poll(app: App, index: usize) {
    let engine = app.inner.settings.engines[index].clone();
    let period = Duration::from_millis(app.inner.settings.tuning.poll_ms);
    let mut tick = tokio::time::interval(period);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut client = app.inner.clients[index].clone();
    let mut was_up = true;
    loop {
        tick.tick().await;
        let answer = tokio::time::timeout(POLL_TIMEOUT, client.status(StatusQuery {})).await;
        let status = match answer {
            Ok(Ok(reply)) => Some(reply.into_inner()),
            _ => None,
        };
        let received = status.as_ref().map_or(0, |s| s.encoded_len());
        app.inner.counters.control(0, received);
        let up = status.is_some();
        if up != was_up {
            log::warn!(target: "engines", "engine {} is {}", engine.id, if up { "back" } else { "not answering" });
            was_up = up;
        }
        let mut view = app.inner.view.lock().unwrap();
        match status {
            Some(s) => view[index] = view_of(&engine, &s),
            None => view[index].up = false,
        }
    }
}
