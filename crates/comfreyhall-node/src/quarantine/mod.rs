//! Quarantines requests, and prompt segments of requests, that end the targets that run
//! them.
//!
//! A run whose connection its target closed stays unresolved until it is known
//! whether the target has ended ([`confirm`]); if it has, the run is evidence
//! against its request and each of its segments. Findings are sent to the other daemons
//! at once ([`spread`]) and with all gossip, and each daemon quarantines the features
//! against which the findings of all of them have enough weight. What daemons have to
//! know that start after all others were lost is in the platform's table ([`store`]).
//!
//! Only a connection closed by the target counts, and only if the target has
//! ended: callers that disconnect, timeouts, resets on the path and engines
//! that stop answering with their rack prove nothing about a request.

mod confirm;
mod log;
mod lost;
pub(crate) mod reach;
mod spread;
pub(crate) mod state;
mod store;
pub(crate) mod wire;

use std::sync::Arc;

use comfreyhall_catalog::Rows;
use comfreyhall_domain::{Name, Stage};
use comfreyhall_quarantine::{
    Change, Evidence, Feature, Fingerprint, MAX_PROBE_WAIT_MS, Observation, Status, process_time,
};

use self::state::ClosedRun;
pub(crate) use self::{
    confirm::{has_ended, is_proven_ended},
    state::QuarantineTracker,
};
use crate::{node::Node, outbound};

/// How long a target that was found to have ended is recorded, in ms: the
/// connections of all its runs break within a few ms, and each daemon's core
/// may be busy for a few hundred.
const ENDED_TTL_MS: u64 = 10_000;

/// Retry delay given to the caller of a request that is on trial, in ms: the
/// result is known to everyone by then.
pub(crate) const TRIAL_RETRY_MS: u64 = 5_000;

/// Whether a request may be sent now.
pub(crate) enum Admission {
    /// As the probe of these.
    Allowed(Vec<Fingerprint>),
    /// Once, to test whether this feature is the cause.
    Trial(Trial),
    /// Not now.
    Quarantined(Rejection),
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejection {
    /// The feature that ends targets.
    pub(crate) feature: Feature,
    /// When its caller may retry, in ms.
    pub(crate) retry_ms: u64,
}

/// A trial of a quarantined feature; no other one of it starts here while this exists.
pub(crate) struct Trial {
    node: Arc<Node>,
    pub(crate) feature: Feature,
}

/// Starts the tasks; `rows` stores evidence.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    spread::spawn(node);
    store::spawn(node, rows);
}

impl Drop for Trial {
    fn drop(&mut self) {
        let state = &self.node.quarantine;
        state.state().trials.remove(&self.feature.fingerprint);
    }
}

impl QuarantineTracker {
    /// Describes the targets that ended while running `fingerprint`, for the
    /// log.
    pub(crate) fn describe_ends(&self, node: &Node, fingerprint: &Fingerprint) -> String {
        log::ends(self.state().known.target_ends(fingerprint), time(node))
    }
}

/// The time of evidence, in ms.
fn time(node: &Node) -> u64 {
    process_time(node.now())
}

/// Decides whether this daemon may send a request with these features now, which has
/// waited here for `waited_ms` and is the probe of `own` already; how long it has to
/// wait, in ms, if that is open.
fn admit(
    node: &Arc<Node>,
    features: &[Feature],
    own: &[Fingerprint],
    waited_ms: u64,
) -> Result<Admission, u64> {
    let now = time(node);
    let mut trial = None;
    let mut pending_ms = 0;
    for feature in features {
        match status(node, feature, now) {
            Status::Allowed | Status::Probe { .. } => {}
            Status::Trial if trial.is_none() => trial = Some(*feature),
            Status::Trial => return Ok(rejected(*feature, TRIAL_RETRY_MS)),
            Status::Pending { wait_ms } => pending_ms = pending_ms.max(wait_ms),
            Status::Quarantined { retry_ms } => return Ok(rejected(*feature, retry_ms)),
        }
    }
    if pending_ms > 0 {
        return Err(pending_ms);
    }
    let Some(feature) = trial else {
        return start_probes(node, features, own, waited_ms);
    };
    let mut state = node.quarantine.state();
    if !state.trials.insert(feature.fingerprint) {
        return Ok(rejected(feature, TRIAL_RETRY_MS));
    }
    let node = node.clone();
    Ok(Admission::Trial(Trial { node, feature }))
}

/// Makes a request the probe of its suspect features, if it is its turn for all of them
/// or it has waited long enough.
fn start_probes(
    node: &Node,
    features: &[Feature],
    own: &[Fingerprint],
    waited_ms: u64,
) -> Result<Admission, u64> {
    let now = time(node);
    let mut state = node.quarantine.state();
    let probes = state.known.probes(features, own, now);
    let wait_ms = probes.iter().map(|(_, wait_ms)| *wait_ms).max();
    if let Some(wait_ms) = wait_ms.filter(|ms| *ms > 0 && waited_ms < MAX_PROBE_WAIT_MS) {
        return Err(wait_ms);
    }
    let probes: Vec<Fingerprint> = probes.into_iter().map(|(f, _)| f).collect();
    for fingerprint in &probes {
        state.known.start_probe(*fingerprint, now);
    }
    Ok(Admission::Allowed(probes))
}

/// Whether a request with these features has to wait for its turn as a probe.
pub(crate) fn must_wait(node: &Node, features: &[Feature], own: &[Fingerprint]) -> bool {
    let now = time(node);
    let state = node.quarantine.state();
    let probes = state.known.probes(features, own, now);
    probes.iter().any(|(_, wait_ms)| *wait_ms > 0)
}

fn rejected(feature: Feature, retry_ms: u64) -> Admission {
    Admission::Quarantined(Rejection { feature, retry_ms })
}

/// What may be done here with a request that has `feature`.
fn status(node: &Node, feature: &Feature, now: u64) -> Status {
    let fingerprint = &feature.fingerprint;
    let state = node.quarantine.state();
    if !state.known.is_quarantined(fingerprint) {
        return state.known.status(fingerprint, 0, now);
    }
    drop(state);
    let rank = node.fleet.rank(&fingerprint.to_string(), node.now());
    node.quarantine.state().known.status(fingerprint, rank, now)
}

/// Records that the target closed the connection of a run with these features;
/// `early`: it had just started the run, as far as is known.
pub(crate) fn connection_closed(
    node: &Arc<Node>,
    target: &Name,
    features: &[Feature],
    early: bool,
) {
    if !is_staying(node, target) {
        return;
    }
    let now = time(node);
    let mut state = node.quarantine.state();
    state
        .ended_targets
        .retain(|_, at| now.saturating_sub(*at) < ENDED_TTL_MS);
    if state.ended_targets.contains_key(target) {
        drop(state);
        for feature in features {
            record_finding(node, *feature, ended_finding(target, early), now);
        }
        return;
    }
    let first = !state.closed_runs.contains_key(target);
    let closed = state.closed_runs.entry(target.clone()).or_default();
    for feature in features {
        let run = closed.entry(feature.fingerprint).or_insert(ClosedRun {
            feature: *feature,
            at: now,
            early,
        });
        run.early |= early;
    }
    drop(state);
    if first {
        tokio::spawn(confirm::run(node.clone(), target.clone()));
    }
}

/// Whether `target` is not draining: a draining one ends all its runs, and its
/// entry may disappear before it does. A crashed one stays listed for some
/// seconds.
fn is_staying(node: &Node, target: &Name) -> bool {
    if outbound::is_draining(node, target) {
        return false;
    }
    let view = node.view();
    let known = view.targets.get(target);
    known.is_some_and(|t| t.stage == Stage::Ready)
}

/// Records that the run of request `id` with these features completed, or went on well
/// after it had begun to answer.
pub(crate) fn run_cleared(node: &Arc<Node>, id: &str, features: &[Feature]) {
    for feature in features {
        if node.quarantine.is_suspect(&feature.fingerprint) {
            log::cleared(node, feature, id);
            record_finding(node, *feature, Observation::Completed, time(node));
        }
    }
}

/// Whether it is still unknown if a target that closed a connection of a run with
/// `feature` has ended.
fn is_unresolved(node: &Node, feature: &Feature) -> bool {
    let state = node.quarantine.state();
    let mut closed = state.closed_runs.values();
    closed.any(|of_target| of_target.contains_key(&feature.fingerprint))
}

/// Resolves the closed connections of `target`.
fn resolve(node: &Arc<Node>, target: &Name, has_ended: bool) {
    let now = time(node);
    let mut state = node.quarantine.state();
    let closed = state.closed_runs.remove(target).unwrap_or_default();
    if has_ended {
        state.ended_targets.insert(target.clone(), now);
    }
    drop(state);
    if has_ended {
        for run in closed.into_values() {
            record_finding(node, run.feature, ended_finding(target, run.early), run.at);
        }
    }
    node.quarantine.resolved.notify_waiters();
}

fn ended_finding(target: &Name, early: bool) -> Observation {
    Observation::TargetEnded {
        target: target.clone(),
        early,
    }
}

/// Records what this daemon observed at `at`.
///
/// If an end counted from the time of the check instead, a request that
/// completes in between would become suspect again for an earlier end.
fn record_finding(node: &Arc<Node>, feature: Feature, finding: Observation, at: u64) {
    let evidence = Evidence {
        feature,
        observation: finding,
        at_ms: at,
        observer: node.settings().id.as_ref().into(),
    };
    if learn(node, evidence) {
        node.quarantine.found.notify_one();
        node.quarantine.mark_changed(feature);
    }
}

/// Applies a finding, whoever made it; returns whether it is new.
fn learn(node: &Node, evidence: Evidence) -> bool {
    let now = time(node);
    let mut state = node.quarantine.state();
    let (before, left_out) = (state.known.serial(), state.known.left_out());
    let changes = state.known.record(evidence.clone(), now);
    let new = state.known.serial() > before;
    node.metrics
        .suspects_left_out(state.known.left_out() - left_out);
    log::changes(node, &state.known, &changes, Some(&evidence), now);
    node.quarantine.update_empty(&state);
    drop(state);
    if new && evidence.observation == Observation::Completed {
        node.quarantine.resolved.notify_waiters();
        // The daemon that stored the evidence deletes it.
        node.quarantine.mark_changed(evidence.feature);
    }
    if let Observation::TargetEnded { target, .. } = evidence.observation
        && new
    {
        // A boot that has ended takes no requests any more; otherwise every
        // daemon would find that out itself until the entry disappears.
        node.view()
            .unavailable_until
            .insert(target, node.now() + ENDED_TTL_MS);
    }
    new
}

/// Removes outdated evidence.
fn forget(node: &Node) {
    let now = time(node);
    log::left_out(node);
    let mut state = node.quarantine.state();
    let changes: Vec<Change> = state.known.expire(now);
    log::changes(node, &state.known, &changes, None, now);
    node.quarantine.update_empty(&state);
}
