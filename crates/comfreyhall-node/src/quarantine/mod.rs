//! Holding back requests that end the targets that run them.
//!
//! A run whose connection its target closed is a doubt about that target until
//! it is known whether the target has ended ([`confirm`]); if it has, the run
//! speaks against its request. What is found goes to the other daemons at once
//! ([`spread`]) and with all news, and each holds back what the findings of all
//! of them together weigh enough against.
//!
//! Only a connection that the target closed counts, and only of a target that
//! has ended: callers that leave, time limits, resets on the way and engines
//! that fall silent with their rack prove nothing about a request.

mod confirm;
mod log;
mod spread;
pub(crate) mod wire;

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_domain::{Map, Name, Set, Stage};
use comfreyhall_quarantine::{Change, Evidence, Fingerprint, Observation, Quarantine, Status};
use tokio::sync::Notify;

pub(crate) use self::spread::spawn;
use crate::{node::Node, outbound};

/// How long a target that was found to have ended is remembered, in ms: the
/// connections of all its runs break within some ms, and each daemon's core may
/// be busy for some hundred.
const ENDED_MS: u64 = 10_000;

/// What this daemon knows of requests that end targets.
#[derive(Default)]
pub(crate) struct QuarantineTracker {
    state: Mutex<State>,
    /// Wakes the duty that tells the other daemons.
    found: Notify,
    /// Wakes requests that wait to learn whether their target has ended.
    settled: Notify,
}

#[derive(Default)]
struct State {
    known: Quarantine,
    /// Requests whose connections these targets closed.
    doubts: Map<Name, Map<Fingerprint, Doubt>>,
    /// Targets that have ended, and when that was found.
    ended: Map<Name, u64>,
    /// Requests that are being tried here.
    trials: Set<Fingerprint>,
}

/// A run whose connection its target closed.
#[derive(Clone, Copy)]
struct Doubt {
    /// When, in ms.
    at: u64,
    /// Whether the target had just begun it.
    early: bool,
}

/// When the caller of a request that is being tried is told to come back, in
/// ms: its fate is known to everyone by then.
pub(crate) const TRIAL_RETRY_MS: u64 = 5_000;

/// Whether a request may be sent now.
pub(crate) enum Admission {
    /// Like any other.
    Allowed,
    /// Once, to see whether it is to blame.
    Trial(Trial),
    /// Not; its caller may come back after so many ms.
    Quarantined(u64),
}

/// A trial of a request that is held back; nobody else here makes one while
/// this lives.
pub(crate) struct Trial {
    node: Arc<Node>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let state = &self.node.quarantine;
        state.state().trials.remove(&self.fingerprint);
    }
}

impl QuarantineTracker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether nothing is known against any request: then no request needs a
    /// fingerprint.
    pub(crate) fn is_empty(&self) -> bool {
        self.state().known.is_empty()
    }

    /// Whether a target ended under `fingerprint`.
    pub(crate) fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.state().known.is_suspect(fingerprint)
    }

    /// The targets that ended under `fingerprint`, for the log.
    pub(crate) fn describe_ends(&self, fingerprint: &Fingerprint, now: u64) -> String {
        log::ends(self.state().known.target_ends(fingerprint), now)
    }
}

/// Whether `fingerprint` may be sent by this daemon now.
pub(crate) fn admit(node: &Arc<Node>, fingerprint: Fingerprint) -> Admission {
    if !node.quarantine.state().known.is_quarantined(&fingerprint) {
        return Admission::Allowed;
    }
    let now = node.now();
    let rank = node.fleet.rank(&fingerprint.to_string(), now);
    let mut state = node.quarantine.state();
    match state.known.status(&fingerprint, rank, now) {
        Status::Allowed => Admission::Allowed,
        Status::Quarantined { retry_ms } => Admission::Quarantined(retry_ms),
        Status::Trial if state.trials.insert(fingerprint) => {
            drop(state);
            let node = node.clone();
            Admission::Trial(Trial { node, fingerprint })
        }
        Status::Trial => Admission::Quarantined(TRIAL_RETRY_MS),
    }
}

/// The target closed the connection of a run of `fingerprint`; `early`: it had
/// just begun to run it, as far as is known.
pub(crate) fn connection_closed(
    node: &Arc<Node>,
    target: &Name,
    fingerprint: Fingerprint,
    early: bool,
) {
    if !stays(node, target) {
        return;
    }
    let now = node.now();
    let mut state = node.quarantine.state();
    state
        .ended
        .retain(|_, at| now.saturating_sub(*at) < ENDED_MS);
    if state.ended.contains_key(target) {
        drop(state);
        found(node, fingerprint, ended(target, early), now);
        return;
    }
    let first = !state.doubts.contains_key(target);
    let doubts = state.doubts.entry(target.clone()).or_default();
    doubts.insert(fingerprint, Doubt { at: now, early });
    drop(state);
    if first {
        tokio::spawn(confirm::run(node.clone(), target.clone()));
    }
}

/// Whether `target` is to stay: one that leaves ends whatever it runs, and its
/// entry may go before it does. One that crashes is listed for some seconds.
fn stays(node: &Node, target: &Name) -> bool {
    if outbound::is_draining(node, target) {
        return false;
    }
    let view = node.view();
    let known = view.targets.get(target);
    known.is_some_and(|t| t.stage == Stage::Ready)
}

/// A target ran `fingerprint` to its end.
pub(crate) fn run_completed(node: &Arc<Node>, fingerprint: Fingerprint) {
    if node.quarantine.is_suspect(&fingerprint) {
        found(node, fingerprint, Observation::Completed, node.now());
    }
}

/// Whether it is still open if a target that closed a connection of
/// `fingerprint` has ended.
fn doubted(node: &Node, fingerprint: &Fingerprint) -> bool {
    let state = node.quarantine.state();
    let mut doubts = state.doubts.values();
    doubts.any(|of_target| of_target.contains_key(fingerprint))
}

/// The doubts about `target` are settled.
fn settle(node: &Arc<Node>, target: &Name, has_ended: bool) {
    let now = node.now();
    let mut state = node.quarantine.state();
    let doubts = state.doubts.remove(target).unwrap_or_default();
    if has_ended {
        state.ended.insert(target.clone(), now);
    }
    drop(state);
    if has_ended {
        for (fingerprint, doubt) in doubts {
            found(node, fingerprint, ended(target, doubt.early), doubt.at);
        }
    }
    node.quarantine.settled.notify_waiters();
}

fn ended(target: &Name, early: bool) -> Observation {
    Observation::TargetEnded {
        target: target.clone(),
        early,
    }
}

/// Takes in what this daemon saw at `at`.
///
/// What goes wrong if an end counts from when it was looked at: the request
/// runs whole in between, and is a suspect again for what was before.
fn found(node: &Arc<Node>, fingerprint: Fingerprint, finding: Observation, at: u64) {
    let evidence = Evidence {
        fingerprint,
        observation: finding,
        at_ms: at,
        observer: node.settings().id.as_ref().into(),
    };
    if learn(node, evidence) {
        node.quarantine.found.notify_one();
    }
}

/// Takes in a finding, whoever made it; whether it is new.
fn learn(node: &Node, evidence: Evidence) -> bool {
    let now = node.now();
    let mut state = node.quarantine.state();
    let before = state.known.serial();
    let changes = state.known.record(evidence.clone(), now);
    let new = state.known.serial() > before;
    log::changes(node, &state.known, &changes, Some(&evidence), now);
    drop(state);
    if let Observation::TargetEnded { target, .. } = evidence.observation
        && new
    {
        // A boot that has ended takes nothing any more; without this every
        // daemon finds out by itself until the entry goes.
        node.view().unavailable_until.insert(target, now + ENDED_MS);
    }
    new
}

/// Forgets what is too old.
fn forget(node: &Node) {
    let now = node.now();
    let mut state = node.quarantine.state();
    let changes: Vec<Change> = state.known.expire(now);
    log::changes(node, &state.known, &changes, None, now);
}
