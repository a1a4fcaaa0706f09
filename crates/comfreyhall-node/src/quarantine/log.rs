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
                let evidence = ends(known.target_ends(fingerprint), now);
                log::info!(target: "quarantine", fingerprint:%, evidence; "request suspect");
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

/// Describes a finding, its observer and its age.
fn reason(evidence: &Evidence, now: u64) -> String {
    let age = now.saturating_sub(evidence.at_ms);
    let what = match &evidence.observation {
        Observation::Completed => "it ran whole",
        Observation::TargetEnded { .. } => "another request explains what ended",
    };
    format!("{what}, {age} ms ago, told by {}", evidence.observer)
}
