//! Findings as daemons tell each other.

use std::sync::Arc;

use comfreyhall_protocol as proto;
use comfreyhall_quarantine::Evidence;

use super::{Node, learn};

/// What to tell a daemon that has heard all findings up to `serial`, and the
/// number of the last one told.
pub(crate) fn since(node: &Node, serial: u64) -> (Vec<proto::Evidence>, u64) {
    let now = node.now();
    let (told, last) = node.quarantine.state().known.evidence_since(serial);
    (told.iter().map(|e| e.to_wire(now)).collect(), last)
}

/// Takes in what another daemon has told.
pub(crate) fn hear(node: &Arc<Node>, told: &[proto::Evidence]) {
    let now = node.now();
    for evidence in told {
        match Evidence::from_wire(evidence, now) {
            Some(evidence) => {
                learn(node, evidence);
            }
            None => {
                log::warn!(target: "quarantine", witness:% = evidence.witness; "finding without a fingerprint passed over; upgrade that daemon");
            }
        }
    }
}
