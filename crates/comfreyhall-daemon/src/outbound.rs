//! Limits, cooldowns and draining announced by engines and plain services, and
//! whether a target may be called.
//!
//! `comfreyhall-backpressure` parses and keeps these notices. Here every call
//! to a target is checked before it is made, and its answer is read for
//! notices. A limit is divided equally among all instances in the settings.

pub(crate) mod state;

use std::sync::Arc;

use comfreyhall_backpressure::{Change, Notice, parse_cooldown, parse_draining, parse_limit};
use comfreyhall_placement::EngineView;
use comfreyhall_protocol::notice::{COOLDOWN, DRAINING, LIMIT, values};
use tonic::{Response, Status, metadata::MetadataMap};

use self::state::State;
pub(crate) use self::state::Target;
use crate::{app::App, error::RouteError};

/// Retry delay while all targets drain, in ms: replacements start within some
/// seconds.
const DRAINING_RETRY_MS: u64 = 1_000;

/// Name of the current boot (one start of the process) of `target`; a plain
/// service does not distinguish its boots.
fn boot_name(app: &App, target: Target) -> Arc<str> {
    let settings = &app.inner.settings;
    match target {
        Target::Engine(index) => {
            format!("{}#{}", settings.engines[index].id, app.boot(index)).into()
        }
        Target::Service(index) => settings.services[index].id.clone(),
    }
}

/// Time in ms for which `target` accepts neither calls nor commands, regardless
/// of its limit.
pub(crate) fn unavailable_ms(app: &App, target: Target) -> u64 {
    let state = app.inner.outbound.state();
    if state.signals.is_empty() {
        return 0;
    }
    let (boot_name, now) = (boot_name(app, target), app.now_ms());
    match state.signals.is_draining(&boot_name, now) {
        true => DRAINING_RETRY_MS,
        false => state.signals.cooldown_ms(&boot_name, now),
    }
}

/// Time in ms until `target` may accept a request.
fn wait_ms(app: &App, target: Target) -> u64 {
    let unavailable = unavailable_ms(app, target);
    let state = app.inner.outbound.state();
    let (boot_name, now) = (boot_name(app, target), app.now_ms());
    let limit = state.signals.limit(&boot_name, now);
    let daemons = app.inner.settings.instances.len();
    let limit_wait_ms = limit.map_or(0, |limit| {
        state.shares.wait_ms(&boot_name, limit, daemons, now)
    });
    unavailable.max(limit_wait_ms)
}

/// Admits one request to `target`, or says when to retry; called right before
/// each send.
pub(crate) fn admit(app: &App, target: Target) -> Result<(), RouteError> {
    let unavailable = unavailable_ms(app, target);
    if unavailable > 0 {
        return Err(RouteError::Unavailable(unavailable));
    }
    let mut state = app.inner.outbound.state();
    if state.signals.is_empty() {
        return Ok(());
    }
    let (boot_name, now) = (boot_name(app, target), app.now_ms());
    let Some(limit) = state.signals.limit(&boot_name, now) else {
        return Ok(());
    };
    let daemons = app.inner.settings.instances.len();
    let taken = state.shares.try_take(&boot_name, limit, daemons, now);
    taken.map_err(RouteError::Unavailable)
}

/// Marks engines that accept nothing now as down in `view`.
pub(crate) fn hide_unavailable(app: &App, view: &mut [EngineView]) {
    if app.inner.outbound.state().signals.is_empty() {
        return;
    }
    for (index, engine) in view.iter_mut().enumerate() {
        engine.up &= wait_ms(app, Target::Engine(index)) == 0;
    }
}

/// Time in ms until one of `targets` may accept a request, if none does now.
pub(crate) fn all_unavailable_ms(app: &App, targets: impl Iterator<Item = Target>) -> Option<u64> {
    if app.inner.outbound.state().signals.is_empty() {
        return None;
    }
    let waits: Vec<u64> = targets.map(|target| wait_ms(app, target)).collect();
    waits.into_iter().min().filter(|ms| *ms > 0)
}

/// Records the notices in an answer of `target` and passes the answer on.
/// `sent_at_ms`: when the request was sent; `None` for calls that are not
/// requests.
pub(crate) fn record_answer<T>(
    app: &App,
    target: Target,
    sent_at_ms: Option<u64>,
    answer: Result<Response<T>, Status>,
) -> Result<Response<T>, Status> {
    match &answer {
        Ok(reply) => record_metadata(app, target, sent_at_ms, reply.metadata(), false),
        Err(status) => record_metadata(app, target, sent_at_ms, status.metadata(), true),
    }
    answer
}

fn record_metadata(
    app: &App,
    target: Target,
    sent_at_ms: Option<u64>,
    metadata: &MetadataMap,
    rejected: bool,
) {
    let mut anomalies = Vec::new();
    let limit = parse_limit(values(metadata, LIMIT), &mut anomalies);
    let mut cooldown_ms = match rejected {
        true => parse_cooldown(values(metadata, COOLDOWN), &mut anomalies),
        false => None,
    };
    let draining = parse_draining(values(metadata, DRAINING), &mut cooldown_ms, &mut anomalies);
    let notice = Notice {
        limit,
        cooldown_ms,
        draining,
        anomalies,
        ..Notice::default()
    };
    let (boot_name, now) = (boot_name(app, target), app.now_ms());
    let mut state = app.inner.outbound.state();
    let changes = state
        .signals
        .record_notice(&boot_name, &notice, sent_at_ms, now);
    let expired = match state.signals.is_empty() {
        true => Vec::new(),
        false => state.signals.expire(now),
    };
    let State { signals, shares } = &mut *state;
    shares.retain(|target| signals.limit(target, now).is_some());
    drop(state);
    for problem in notice.anomalies {
        log::debug!(target: "outbound", "{boot_name} sent an invalid notice: {problem}");
    }
    for change in changes {
        log_change(&boot_name, change);
    }
    for (boot_name, change) in expired {
        log_change(&boot_name, change);
    }
}

fn log_change(boot_name: &str, change: Change) {
    match change {
        Change::Limited { limit, .. } => {
            log::info!(target: "outbound", "{boot_name} accepts {} requests per second", limit.per_s());
        }
        Change::Unlimited { after_ms } => {
            log::info!(target: "outbound", "{boot_name} is no longer limited, after {after_ms} ms");
        }
        Change::CooldownStarted { cooldown_ms } => {
            log::info!(target: "outbound", "{boot_name} asks for a cooldown of {cooldown_ms} ms");
        }
        Change::CooldownEnded => {
            log::info!(target: "outbound", "{boot_name} has ended its cooldown")
        }
        Change::Draining => log::info!(target: "outbound", "{boot_name} is draining"),
    }
}
