//! The planned stop: what it waits for, and what it means for requests.
//!
//! Nothing new is accepted during a stop. A request that was accepted before and waits unsent
//! is rejected before the process ends, and one whose attempts are open then gets an answer.

use std::{future::Future, time::Duration};

use comfreyhall_life::{Event, Grace, SendTiming, Stage};

use crate::{app::App, member};

/// Waits for a planned stop and drains the requests in progress.
///
/// Even when idle, the daemon keeps running for as long as callers may cache an
/// address answer, so that a caller with an old answer gets the addresses of
/// other instances instead of finding nothing there.
pub(crate) async fn stop_task(app: App) {
    tokio::spawn({
        let app = app.clone();
        async move {
            comfreyhall_telemetry::stop_signal().await;
            app.inner.lifecycle.handle(Event::Stop);
        }
    });
    app.inner.lifecycle.wait_for_stage(Stage::Leaving).await;
    let tuning = &app.inner.settings.tuning;
    let length_ms = tuning.address_ttl_ms.saturating_add(tuning.drain_ms);
    // Requests may wait for one half of the time, so that the other one is left to run.
    let grace = Grace::new(app.now_ms(), length_ms / 2, length_ms);
    app.inner.grace.send_replace(Some(grace));
    if let Err(e) = member::write_heartbeat(&app).await {
        log::warn!(target: "member", "draining state not written: {e}");
    }
    tokio::time::sleep(Duration::from_millis(tuning.address_ttl_ms)).await;
    let left = Duration::from_millis(grace.ends_ms().saturating_sub(app.now_ms()));
    if tokio::time::timeout(left, wait_until_idle(&app))
        .await
        .is_err()
    {
        let remaining = app.in_flight();
        log::warn!(target: "daemon", "drain limit passed with {remaining} requests still running");
    }
    app.inner.lifecycle.handle(Event::Drained);
}

async fn wait_until_idle(app: &App) {
    loop {
        let idle = app.inner.idle.notified();
        if app.in_flight() == 0 {
            return;
        }
        idle.await;
    }
}

/// Whether a request may be sent now, as far as a planned stop is concerned.
pub(crate) fn may_send(app: &App, send: SendTiming) -> bool {
    let grace = *app.inner.grace.borrow();
    grace.is_none_or(|grace| grace.allows(send, app.now_ms()))
}

/// Waits until a planned stop forbids to send a request.
pub(crate) fn too_late(app: &App, send: SendTiming) -> impl Future<Output = ()> + use<> {
    let app = app.clone();
    async move {
        match began(&app).await.send_by_ms(send) {
            Some(by_ms) => sleep_until(&app, by_ms).await,
            None => std::future::pending().await,
        }
    }
}

/// Waits until a planned stop is so near its end that requests without an answer get one.
pub(crate) async fn answer_due(app: &App) {
    let grace = began(app).await;
    sleep_until(app, grace.answer_by_ms()).await;
}

async fn began(app: &App) -> Grace {
    let mut grace = app.inner.grace.subscribe();
    let began = grace.wait_for(Option::is_some).await;
    let began = began.ok().and_then(|grace| *grace);
    began.expect("the sender lives as long as the app")
}

async fn sleep_until(app: &App, at_ms: u64) {
    let left_ms = at_ms.saturating_sub(app.now_ms());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}
