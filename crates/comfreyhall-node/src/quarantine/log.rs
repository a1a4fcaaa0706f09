//! Logs and metrics of requests that end targets.

use comfreyhall_quarantine::{Change, Evidence, Observation, Quarantine, TargetEnd};

use crate::node::Node;

/// Lists which targets ended, how long ago, and who observed it.
pub(super) fn ends(ends: &[TargetEnd], now: u64) -> String {
    let one = |e: &TargetEnd| {
        let age = now.saturating_sub(e.at_ms);
        format!("{} {age} ms ago, told by {}", e.target, e.observer)
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
        match change {
            Change::Suspected(fingerprint) => {
                node.metrics.quarantine("suspect");
                if let Some(left_out) = suspect_line(node, cause, now) {
                    let evidence = ends(known.target_ends(fingerprint), now);
                    log::info!(target: "quarantine", fingerprint:%, evidence, left_out; "request suspect");
                }
            }
            Change::Quarantined(fingerprint) => {
                node.metrics.quarantine("held_back");
                let evidence = ends(known.target_ends(fingerprint), now);
                log::warn!(target: "quarantine", fingerprint:%, evidence; "request held back");
            }
            Change::Released(fingerprint) => {
                node.metrics.quarantine("let_go");
                let why = cause.map_or("too old".to_string(), |e| reason(e, now));
                let evidence = ends(known.target_ends(fingerprint), now);
                log::info!(target: "quarantine", fingerprint:%, why, evidence; "request let go");
            }
        }
    }
}

/// Whether to write a line about a suspect, and how many were left out before it.
///
/// When many targets end at once, each daemon hears of all their requests within
/// a second: the daemon that made the finding writes the line.
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
        log::info!(target: "quarantine", left_out; "requests suspect, lines left out");
    }
}

/// Describes a finding, its observer and its age.
fn reason(evidence: &Evidence, now: u64) -> String {
    let age = now.saturating_sub(evidence.at_ms);
    let what = match &evidence.observation {
        Observation::Completed => "it ran whole",
        Observation::TargetEnded { .. } => "another request explains what ended",
    };
    format!("{what}, {age} ms ago, told by {}", evidence.observer)
}
