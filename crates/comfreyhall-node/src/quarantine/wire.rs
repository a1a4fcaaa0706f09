//! Findings as messages between daemons.

use std::sync::Arc;

use comfreyhall_protocol as proto;
use comfreyhall_quarantine::{Evidence, Finding, Fingerprint};

use super::{Node, learn};

fn to_wire(evidence: Evidence, now: u64) -> proto::Evidence {
    let early = matches!(evidence.finding, Finding::Ended { early: true, .. });
    proto::Evidence {
        early,
        print: evidence.print.as_bytes().to_vec(),
        target: match evidence.finding {
            Finding::Ended { target, .. } => target.to_string(),
            Finding::RanWhole => String::new(),
        },
        age_ms: now.saturating_sub(evidence.at),
        witness: evidence.witness.to_string(),
    }
}

fn from_wire(evidence: &proto::Evidence, now: u64) -> Option<Evidence> {
    Some(Evidence {
        print: Fingerprint::from_bytes(&evidence.print)?,
        finding: match evidence.target.as_str() {
            "" => Finding::RanWhole,
            target => Finding::Ended {
                target: target.into(),
                early: evidence.early,
            },
        },
        at: now.saturating_sub(evidence.age_ms),
        witness: evidence.witness.as_str().into(),
    })
}

/// What to tell a daemon that has heard all findings up to `serial`, and the
/// number of the last one told.
pub(crate) fn since(node: &Node, serial: u64) -> (Vec<proto::Evidence>, u64) {
    let now = node.now();
    let (told, last) = node.quarantine.state().known.since(serial);
    let told = told.into_iter().map(|e| to_wire(e, now));
    (told.collect(), last)
}

/// Takes in what another daemon has told.
pub(crate) fn hear(node: &Arc<Node>, told: &[proto::Evidence]) {
    let now = node.now();
    for evidence in told {
        match from_wire(evidence, now) {
            Some(evidence) => {
                learn(node, evidence);
            }
            None => {
                log::warn!(target: "quarantine", witness:% = evidence.witness; "finding without a fingerprint passed over; upgrade that daemon");
            }
        }
    }
}
