//! Quarantine of requests that crash the targets that run them.
//!
//! Without it, a request that crashes its engine is restarted on the next
//! engine, also through other daemons, and each engine ends with all of its
//! runs. `comfreyhall-quarantine` makes the decisions. This module checks why a
//! run broke off (the engine or service has ended, or only an answer was lost),
//! and exchanges the evidence with other daemons.

mod confirm;
mod exchange;
pub(crate) mod state;

pub(crate) use self::{
    confirm::{SuspectTarget, answer},
    exchange::{merge_evidence, spawn, unseen_evidence},
};

use std::time::{Duration, Instant};

use comfreyhall_quarantine::{
    Change, Evidence, Feature, Fingerprint, Observation, Quarantine, Status, process_time,
};

use crate::{app::App, error::RouteError};

/// Minimum time between two trials of a request by this daemon: longer than an
/// engine takes to end.
const TRIAL_INTERVAL: Duration = Duration::from_secs(10);

/// A run that breaks off within this time of its first token counts as early.
pub(crate) const EARLY_WINDOW: Duration = Duration::from_millis(300);

/// Checks that `fingerprint` may be sent now. `may_have_run`: an earlier send
/// of this attempt may have run.
pub(crate) fn admit(
    app: &App,
    fingerprint: &Fingerprint,
    may_have_run: bool,
) -> Result<(), RouteError> {
    let rank = rank(app, fingerprint);
    let mut state = app.inner.quarantine.state();
    let retry_ms = match state
        .quarantine
        .status(fingerprint, rank, process_time(app.now_ms()))
    {
        Status::Allowed | Status::Probe { .. } => return Ok(()),
        Status::Quarantined { retry_ms } => retry_ms,
        Status::Pending { wait_ms } => wait_ms,
        Status::Trial => {
            let last = state.trials.get(fingerprint);
            if last.is_none_or(|at| at.elapsed() > TRIAL_INTERVAL) {
                state.trials.insert(*fingerprint, Instant::now());
                return Ok(());
            }
            TRIAL_INTERVAL.as_millis() as u64
        }
    };
    match may_have_run {
        true => Err(RouteError::QuarantinedUnknown),
        false => Err(RouteError::Quarantined(retry_ms)),
    }
}

/// Rank of this instance among all in retrying `fingerprint`.
fn rank(app: &App, fingerprint: &Fingerprint) -> usize {
    let order_of = |id: &str| Fingerprint::of([fingerprint.as_bytes(), id.as_bytes()]);
    let own = order_of(&app.instance.id);
    let others = app.inner.peers.keys();
    others.filter(|id| order_of(id) < own).count()
}

/// Records that a run of `fingerprint` broke off at a target, once the target
/// is confirmed to have ended. `early`: the run had just begun.
pub(crate) fn record_broken_run(
    app: &App,
    target: SuspectTarget,
    fingerprint: Fingerprint,
    early: bool,
) {
    let app = app.clone();
    tokio::spawn(async move {
        let Some(target) = confirm::ended_boot(&app, target).await else {
            return;
        };
        record_and_publish(
            &app,
            fingerprint,
            Observation::TargetEnded { target, early },
        );
    });
}

/// Records that a target completed a run of `fingerprint`.
pub(crate) fn record_completed(app: &App, fingerprint: Fingerprint) {
    if app
        .inner
        .quarantine
        .state()
        .quarantine
        .is_suspect(&fingerprint)
    {
        record_and_publish(app, fingerprint, Observation::Completed);
    }
}

/// Records an observation of this daemon and sends it to all others.
fn record_and_publish(app: &App, fingerprint: Fingerprint, observation: Observation) {
    let evidence = Evidence {
        feature: Feature::request(fingerprint),
        observation,
        at_ms: process_time(app.now_ms()),
        observer: app.instance.id.clone(),
    };
    if record(app, evidence) {
        for peer in app.inner.peers.keys() {
            tokio::spawn(exchange::run(app.clone(), peer.clone()));
        }
    }
}

/// Records evidence from any daemon; returns whether it is new.
fn record(app: &App, evidence: Evidence) -> bool {
    let now = process_time(app.now_ms());
    let mut state = app.inner.quarantine.state();
    let serial_before = state.quarantine.serial();
    let own = evidence.observer == app.instance.id;
    let changes = state.quarantine.record(evidence, now);
    for change in &changes {
        report_change(app, &state.quarantine, *change, own, now);
    }
    state.quarantine.serial() > serial_before
}

/// Logs and counts a change; `own`: by an observation of this daemon.
fn report_change(app: &App, quarantine: &Quarantine, change: Change, own: bool, now: u64) {
    let (fingerprint, what) = match change {
        Change::Suspected(fingerprint) => (fingerprint, "is suspect"),
        Change::Quarantined(fingerprint) => (fingerprint, "is held back"),
        Change::Released(fingerprint) => (fingerprint, "is released"),
        Change::Cleared(fingerprint) => (fingerprint, "is cleared"),
    };
    let target_ends = quarantine.target_ends(&fingerprint).iter().map(|end| {
        let age = now.saturating_sub(end.at_ms);
        format!(
            "{} ended {age} ms ago, reported by {}",
            end.target, end.observer
        )
    });
    let target_ends: Vec<String> = target_ends.collect();
    app.inner.metrics.count_quarantine(match change {
        Change::Suspected(_) => "suspect",
        Change::Quarantined(_) => "held_back",
        Change::Released(_) => "let_go",
        Change::Cleared(_) => "cleared",
    });
    // The daemon that made the observation writes the line: when many engines end at
    // once, every daemon receives the evidence on all their requests.
    let level = match change {
        Change::Suspected(_) if !own => log::Level::Debug,
        _ => log::Level::Warn,
    };
    log::log!(target: "quarantine", level, "request {fingerprint} {what}: {}", target_ends.join("; "));
}
