//! Logs and metrics of what ends targets.

use comfreyhall_quarantine::{
    Change, Evidence, Feature, FeatureKind, Observation, Quarantine, TargetEnd,
};

use crate::node::Node;

/// Lists which targets ended, how long ago, and who observed it.
pub(super) fn ends(ends: &[TargetEnd], now: u64) -> String {
    let one = |e: &TargetEnd| {
        let age = now.saturating_sub(e.at_ms);
        format!("{} {age} ms ago, reported by {}", e.target, e.observer)
    };
    let all: Vec<String> = ends.iter().map(one).collect();
    all.join("; ")
}

/// Logs one line for each change, with the evidence that decided it; `cause` is
/// the finding that led to it, if there was one.
pub(super) fn changes(
    node: &Node,
    known: &Quarantine,
    changes: &[Change],
    cause: Option<&Evidence>,
    now: u64,
) {
    for change in changes {
        let fingerprint = change.fingerprint();
        let what = name(known.kind(&fingerprint));
        let evidence = ends(known.target_ends(&fingerprint), now);
        match change {
            Change::Suspected(_) => {
                node.metrics.quarantine("suspect", what);
                if let Some(left_out) = suspect_line(node, cause, now) {
                    log::info!(target: "quarantine", what, fingerprint:%, evidence, left_out; "suspect");
                }
            }
            Change::Cleared(_) => node.metrics.quarantine("cleared", what),
            Change::Quarantined(_) => {
                node.metrics.quarantine("held_back", what);
                log::warn!(target: "quarantine", what, fingerprint:%, evidence; "quarantined");
            }
            Change::Released(_) => {
                node.metrics.quarantine("let_go", what);
                let why = cause.map_or("too old".to_string(), |e| reason(e, now));
                log::info!(target: "quarantine", what, fingerprint:%, why, evidence; "released");
            }
        }
    }
}

/// Names a kind of feature.
pub(super) fn name(kind: Option<FeatureKind>) -> &'static str {
    match kind {
        Some(FeatureKind::Segment { .. }) => "segment",
        Some(FeatureKind::Request) | None => "request",
    }
}

/// Logs that the run of request `id` clears `feature`, rate limited.
pub(super) fn cleared(node: &Node, feature: &Feature, id: &str) {
    if let Some(left_out) = node.log_limits.suspect.take(node.now()) {
        let (what, fingerprint) = (name(Some(feature.kind)), feature.fingerprint);
        let evidence = node.quarantine.describe_ends(node, &fingerprint);
        log::info!(target: "quarantine", id, what, fingerprint:%, evidence, left_out; "cleared by a run that went on");
    }
}

/// Whether to write a line about a suspect, and how many were left out before it.
///
/// When many targets end at once, each daemon gets the findings on all their requests
/// within a second: the daemon that made the finding writes the line.
fn suspect_line(node: &Node, cause: Option<&Evidence>, now: u64) -> Option<u64> {
    let settings = node.settings();
    if !settings.policies.bounded_suspects {
        return Some(0);
    }
    let own = cause.is_some_and(|e| e.observer == settings.id);
    own.then(|| node.log_limits.suspect.take(now)).flatten()
}

/// Logs how many lines about suspects were left out since the last line.
pub(super) fn left_out(node: &Node) {
    let left_out = node.log_limits.suspect.take_left_out();
    if left_out > 0 {
        log::info!(target: "quarantine", left_out; "suspects, lines left out");
    }
}

/// Describes a finding, its observer and its age.
fn reason(evidence: &Evidence, now: u64) -> String {
    let age = now.saturating_sub(evidence.at_ms);
    let what = match &evidence.observation {
        Observation::Completed => "a run went on",
        Observation::TargetEnded { .. } => "another feature explains what ended",
    };
    format!("{what}, {age} ms ago, reported by {}", evidence.observer)
}
