//! What engines and plain services say of themselves, and whether they may be
//! sent to.
//!
//! `comfreyhall-backpressure` reads and keeps their words; here every call to a
//! target asks before it is made, and hears the answer. A limit is kept in equal
//! parts of all instances of the settings.

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_backpressure::{
    Change, LimitShares, Notice, TargetSignals, parse_cooldown, parse_draining, parse_limit,
};
use comfreyhall_placement::EngineView;
use comfreyhall_protocol::notice::{COOLDOWN, DRAINING, LIMIT, values};
use tonic::{Response, Status, metadata::MetadataMap};

use crate::{app::App, error::RouteError};

/// When to come back where all targets leave, in ms: others come in some seconds.
const LEAVING_MS: u64 = 1_000;

/// A target of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// The engine with this index.
    Engine(usize),
    /// The plain service with this index.
    Service(usize),
}

/// What targets have said.
#[derive(Default)]
pub(crate) struct Outbound {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    gates: TargetSignals,
    parts: LimitShares,
}

impl Outbound {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// The name of one start of `target`; a plain service does not tell its starts
/// apart.
fn name(app: &App, target: Target) -> Arc<str> {
    let settings = &app.inner.settings;
    match target {
        Target::Engine(at) => format!("{}#{}", settings.engines[at].id, app.boot(at)).into(),
        Target::Service(at) => settings.services[at].id.clone(),
    }
}

/// Ms for which `target` takes neither calls nor orders, whatever its limit.
pub(crate) fn closed_ms(app: &App, target: Target) -> u64 {
    let state = app.inner.outbound.state();
    if state.gates.is_empty() {
        return 0;
    }
    let (name, now) = (name(app, target), app.now_ms());
    match state.gates.is_draining(&name, now) {
        true => LEAVING_MS,
        false => state.gates.cooldown_ms(&name, now),
    }
}

/// Ms until a request may be worth sending to `target`.
fn wait_ms(app: &App, target: Target) -> u64 {
    let closed = closed_ms(app, target);
    let state = app.inner.outbound.state();
    let (name, now) = (name(app, target), app.now_ms());
    let limit = state.gates.limit(&name, now);
    let daemons = app.inner.settings.instances.len();
    let limited = limit.map_or(0, |l| state.parts.wait_ms(&name, l, daemons, now));
    closed.max(limited)
}

/// Whether a request may be sent to `target` now; asked right before each send.
pub(crate) fn admit(app: &App, target: Target) -> Result<(), RouteError> {
    let closed = closed_ms(app, target);
    if closed > 0 {
        return Err(RouteError::Shut(closed));
    }
    let mut state = app.inner.outbound.state();
    if state.gates.is_empty() {
        return Ok(());
    }
    let (name, now) = (name(app, target), app.now_ms());
    let Some(limit) = state.gates.limit(&name, now) else {
        return Ok(());
    };
    let daemons = app.inner.settings.instances.len();
    let taken = state.parts.try_take(&name, limit, daemons, now);
    taken.map_err(RouteError::Shut)
}

/// Hides engines that take nothing now from `view`.
pub(crate) fn hide(app: &App, view: &mut [EngineView]) {
    if app.inner.outbound.state().gates.is_empty() {
        return;
    }
    for (at, engine) in view.iter_mut().enumerate() {
        engine.up &= wait_ms(app, Target::Engine(at)) == 0;
    }
}

/// Ms until one of `targets` may take something, if none does now.
pub(crate) fn all_ms(app: &App, targets: impl Iterator<Item = Target>) -> Option<u64> {
    if app.inner.outbound.state().gates.is_empty() {
        return None;
    }
    let waits: Vec<u64> = targets.map(|t| wait_ms(app, t)).collect();
    waits.into_iter().min().filter(|ms| *ms > 0)
}

/// The answer of `target` to a request sent at `sent`, or to something else,
/// heard.
pub(crate) fn hear<T>(
    app: &App,
    target: Target,
    sent: Option<u64>,
    answer: Result<Response<T>, Status>,
) -> Result<Response<T>, Status> {
    match &answer {
        Ok(reply) => take(app, target, sent, reply.metadata(), false),
        Err(status) => take(app, target, sent, status.metadata(), true),
    }
    answer
}

fn take(app: &App, target: Target, sent: Option<u64>, metadata: &MetadataMap, turned: bool) {
    let mut odd = Vec::new();
    let limit = parse_limit(values(metadata, LIMIT), &mut odd);
    let mut rest_ms = match turned {
        true => parse_cooldown(values(metadata, COOLDOWN), &mut odd),
        false => None,
    };
    let leaving = parse_draining(values(metadata, DRAINING), &mut rest_ms, &mut odd);
    let notice = Notice {
        limit,
        cooldown_ms: rest_ms,
        draining: leaving,
        anomalies: odd,
    };
    let (name, now) = (name(app, target), app.now_ms());
    let mut state = app.inner.outbound.state();
    let changes = state.gates.record_notice(&name, &notice, sent, now);
    let ended = match state.gates.is_empty() {
        true => Vec::new(),
        false => state.gates.expire(now),
    };
    let State { gates, parts } = &mut *state;
    parts.retain(|target| gates.limit(target, now).is_some());
    drop(state);
    for problem in notice.anomalies {
        log::debug!(target: "outbound", "{name} says something odd: {problem}");
    }
    for change in changes {
        tell(&name, change);
    }
    for (name, change) in ended {
        tell(&name, change);
    }
}

fn tell(name: &str, change: Change) {
    match change {
        Change::Limited { limit, .. } => {
            log::info!(target: "outbound", "{name} takes {} requests a second", limit.per_s());
        }
        Change::Unlimited { after_ms } => {
            log::info!(target: "outbound", "{name} is no longer limited, after {after_ms} ms");
        }
        Change::CooldownStarted {
            cooldown_ms: rest_ms,
        } => {
            log::info!(target: "outbound", "{name} wants {rest_ms} ms of rest");
        }
        Change::CooldownEnded => log::info!(target: "outbound", "{name} has had its rest"),
        Change::Draining => log::info!(target: "outbound", "{name} leaves"),
    }
}
