//! Findings in messages between daemons.

use std::sync::Arc;

use comfreyhall_protocol as proto;
use comfreyhall_quarantine::Evidence;

use super::{Node, learn, time};

/// Returns the findings for a daemon that has received all up to `serial`, and
/// the serial of the last one.
pub(crate) fn findings_since(node: &Node, serial: u64) -> (Vec<proto::Evidence>, u64) {
    let now = time(node);
    let (findings, last) = node.quarantine.state().known.evidence_since(serial);
    (findings.iter().map(|e| e.to_wire(now)).collect(), last)
}

/// Applies the findings of another daemon.
pub(crate) fn apply_findings(node: &Arc<Node>, findings: &[proto::Evidence]) {
    let now = time(node);
    for evidence in findings {
        match Evidence::from_wire(evidence, now) {
            Some(evidence) => {
                learn(node, evidence);
            }
            None => {
                log::warn!(target: "quarantine", observer:% = evidence.observer; "finding without a fingerprint ignored; upgrade that daemon");
            }
        }
    }
}
