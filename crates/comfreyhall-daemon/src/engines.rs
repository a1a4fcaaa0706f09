//! Engine status polls, which keep the placement view current.

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_protocol::StatusQuery;
use prost::Message;

use crate::{
    app::App,
    engine_view::{EngineAccount, apply_status, view_of},
    outbound::{self, Target},
};

/// Timeout of a status poll, after which the engine counts as down.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts one poll task per engine.
pub(crate) fn spawn_polls(app: &App) {
    for index in 0..app.inner.engine_clients.len() {
        tokio::spawn(poll(app.clone(), index));
    }
}

async fn poll(app: App, index: usize) {
    let engine = app.inner.settings.engines[index].clone();
    let period = Duration::from_millis(app.inner.settings.tuning.poll_ms);
    let mut tick = tokio::time::interval(period);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut client = app.inner.engine_clients[index].clone();
    let mut was_up = true;
    loop {
        tick.tick().await;
        let target = Target::Engine(index);
        if outbound::unavailable_ms(&app, target) > 0 {
            continue;
        }
        let asked_ms = app.now_ms();
        let answer = tokio::time::timeout(POLL_TIMEOUT, client.status(StatusQuery {})).await;
        let answer = answer.map(|a| outbound::record_answer(&app, target, None, a));
        let status = match answer {
            Ok(Ok(reply)) => Some(reply.into_inner()),
            _ => None,
        };
        let received = status.as_ref().map_or(0, |status| status.encoded_len());
        app.inner.counters.count_control(0, received);
        let up = status.is_some();
        if up != was_up {
            log::warn!(target: "engines", "engine {} is {}", engine.id, if up { "back" } else { "not answering" });
            was_up = up;
            if !up {
                app.inner.run_links[index].renew();
            }
        }
        if let Some(status) = &status {
            app.inner.metrics.record_engine(&engine.id, status);
            let boot = app.inner.engine_boots[index].swap(status.epoch, Ordering::Relaxed);
            let account = &mut app.accounts()[index];
            if boot != status.epoch {
                *account = EngineAccount::unsequenced();
            }
            apply_status(account, status, asked_ms);
        }
        let accounts = app.accounts();
        let mut view = app.view();
        match status {
            Some(status) => view[index] = view_of(&engine, &status, &accounts[index]),
            None => view[index].up = false,
        }
    }
}
