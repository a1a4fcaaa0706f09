//! One load on one engine, and what the view shows of it.

use std::{sync::Arc, time::Duration};

use comfreyhall_capacity::{Order, Outcome};
use comfreyhall_placement::{EngineView, SlotView};
use comfreyhall_protocol::{LoadOrder, LoadReply, proves_not_run};
use tokio::time::error::Elapsed;
use tonic::{Response, Status};

use super::Placement;
use crate::{
    app::App,
    outbound::{self, Target},
};

/// Time a load may take beyond twice the expected wait at the weight store.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Commands `engine` to load an adapter; true once it is resident.
///
/// The engine continues the load after the timeout passes here, because other
/// requests may have joined it.
pub(super) async fn load(
    app: &App,
    engine: usize,
    placement: &Placement<'_>,
    victims: Vec<Arc<str>>,
    token: u64,
) -> bool {
    let key = placement.key;
    let target = Target::Engine(engine);
    if outbound::unavailable_ms(app, target) > 0 {
        return false;
    }
    let (adapter, version) = placement.adapter_and_version();
    let command = LoadOrder {
        adapter: adapter.to_string(),
        version: version.to_string(),
        victims: victims.iter().map(|v| v.to_string()).collect(),
        fence: token,
        only_named: placement.copy,
    };
    let Some(order) = reserve(app, engine, key, victims.len()) else {
        return false;
    };
    mark_loading(app, engine, key);
    app.inner.metrics.count_load();
    let mut client = app.inner.engine_clients[engine].clone();
    let load_timeout = load_timeout(app);
    let answer =
        tokio::time::timeout(placement.timeout.min(load_timeout), client.load(command)).await;
    let answer = answer.map(|a| outbound::record_answer(app, target, None, a));
    let (outcome, evicted) = outcome_of(&answer);
    let now = app.now_ms();
    app.accounts()[engine].settle_sent(order, outcome, &evicted, now);
    let reason = match answer {
        Ok(Ok(reply)) if reply.get_ref().loaded => {
            show_resident(app, engine, key, &evicted);
            return true;
        }
        Ok(Ok(reply)) => format!("refused: {}", reply.get_ref().error),
        Ok(Err(s)) => format!("failed: {}", s.message()),
        Err(_) if placement.timeout >= load_timeout => {
            app.inner.stuck_loads.mark(engine, key);
            "is stuck; its engine is avoided for it".to_string()
        }
        Err(_) => "took longer than its request allows".to_string(),
    };
    log::warn!(target: "orders", "load of {key} {reason}");
    if outcome != Outcome::Unanswered {
        remove_from_view(app, engine, key);
    }
    false
}

/// An order to load `key`, if `engine` has a slot for it or may evict one of `victims`.
fn reserve(app: &App, engine: usize, key: &Arc<str>, victims: usize) -> Option<Order<Arc<str>>> {
    let slots = app.inner.settings.engines[engine].slots as usize + victims;
    let now = app.now_ms();
    let account = &mut app.accounts()[engine];
    match account.load(key, 0, slots) {
        Ok(order) => {
            account.send(&order, now);
            Some(order)
        }
        Err(why) => {
            log::info!(target: "orders", "load of {key} not commanded: {why:?}, {} of {slots} slots in use", account.occupied());
            None
        }
    }
}

/// What an answer says about a command to load, and which adapter was evicted for it.
fn outcome_of(
    answer: &Result<Result<Response<LoadReply>, Status>, Elapsed>,
) -> (Outcome, Arc<str>) {
    match answer {
        Ok(Ok(reply)) if reply.get_ref().loaded => (
            Outcome::AlreadyDone,
            reply.get_ref().evicted.as_str().into(),
        ),
        Ok(Ok(_)) => (Outcome::Rejected, "".into()),
        Ok(Err(status)) if proves_not_run(status) => (Outcome::NotSent, "".into()),
        Ok(Err(_)) | Err(_) => (Outcome::Unanswered, "".into()),
    }
}

/// Time after which a load started now counts as stuck.
///
/// The weight store serves loads in turn, so a long wait alone proves nothing;
/// twice the time that all pending loads need does.
fn load_timeout(app: &App) -> Duration {
    let loading_slots = |e: &EngineView| e.slots.iter().filter(|s| s.loading).count();
    let pending: usize = app.view().iter().map(loading_slots).sum();
    let rate = app.inner.settings.platform.loads_per_sec;
    LOAD_SLACK + Duration::from_secs_f64(2.0 * (pending + 1) as f64 / rate)
}

/// Whether the view shows `key` as loading on `engine`.
pub(super) fn is_loading(app: &App, engine: usize, key: &str) -> bool {
    let view = app.view();
    let mut slots = view[engine].slots.iter();
    slots.any(|s| &*s.key == key && s.loading)
}

/// Shows `key` as loading on `engine` in the view until the command ends.
///
/// Otherwise every request for a cold adapter that arrives before the next
/// status poll starts its own load, often on another engine. The weight store's
/// queue then fills with duplicates of the same few adapters, and load waits
/// grow to seconds for all callers.
fn mark_loading(app: &App, engine: usize, key: &Arc<str>) {
    let mut view = app.view();
    let slots = &mut view[engine].slots;
    if !slots.iter().any(|s| s.key == *key) {
        slots.push(SlotView {
            key: key.clone(),
            pins: 0,
            loading: true,
        });
    }
}

/// Shows `key` as resident on `engine`, in place of `evicted`, so that later
/// requests see it before the next status poll.
pub(super) fn show_resident(app: &App, engine: usize, key: &Arc<str>, evicted: &str) {
    let mut view = app.view();
    let slots = &mut view[engine].slots;
    slots.retain(|s| *s.key != *evicted && s.key != *key);
    slots.push(SlotView {
        key: key.clone(),
        pins: 0,
        loading: false,
    });
}

/// Removes `key` from `engine` in the view.
pub(crate) fn remove_from_view(app: &App, engine: usize, key: &str) {
    app.view()[engine].slots.retain(|s| &*s.key != key);
}
