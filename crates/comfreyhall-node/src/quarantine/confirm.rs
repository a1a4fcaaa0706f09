//! Finding out whether a target has ended.
//!
//! A target that crashes closes all its connections, but a closed connection
//! alone proves nothing: something between may have reset it, or the target
//! gave up one answer. What goes wrong if each counts: a switch restarts, all
//! connections of a failure domain are reset three times, and every request in
//! it is held back.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_quarantine::Fingerprint;

use super::{Node, QuarantineTracker, doubted, settle};
use crate::{outbound, ports::ProbeResult};

/// Pauses before each look at the target, in ms: a process that ended refuses
/// connections at once; a listener may outlive its process by some ms.
const LOOKS_MS: [u64; 3] = [0, 60, 300];

/// How long the entry of a silent target is waited to go, in ms: the platform
/// removes it after some missed heartbeats.
const GONE_MS: u64 = 5_000;

/// Pause between looks at the entry.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Longest a suspect's next send waits to learn whether its last target has
/// ended: a target that did is known within some ms.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(150);

/// Settles the doubts about `target`.
pub(super) async fn run(node: Arc<Node>, target: Name) {
    let ended = ended(&node, &target).await;
    log::debug!(target: "quarantine", target_id:% = target, ended; "target looked at");
    settle(&node, &target, ended);
}

async fn ended(node: &Arc<Node>, target: &Name) -> bool {
    for pause in LOOKS_MS {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let Some(known) = node.view().targets.get(target).cloned() else {
            return true;
        };
        match outbound::probe(node, &known).await {
            ProbeResult::Alive => return false,
            ProbeResult::Gone => return true,
            ProbeResult::NoAnswer => {}
        }
    }
    let until = node.now() + GONE_MS;
    while node.now() < until {
        tokio::time::sleep(LOOK_PAUSE).await;
        if !node.view().targets.contains_key(target) {
            return true;
        }
    }
    false
}

impl QuarantineTracker {
    /// Waits for a while until it is known whether targets that closed
    /// connections of the suspect `fingerprint` have ended: it may be one too
    /// many.
    pub(crate) async fn await_verdict(&self, node: &Node, fingerprint: &Fingerprint) {
        let settled = async {
            loop {
                let notified = self.settled.notified();
                if !doubted(node, fingerprint) {
                    return;
                }
                notified.await;
            }
        };
        // In time or not: the request goes on with what is known then.
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    }
}
