//! Determines whether a target has ended.
//!
//! A target that crashes closes all its connections, but a closed connection
//! alone proves nothing: a device on the path may have reset it, or the target
//! aborted a single answer. If each one counted, a switch that restarts and
//! resets all connections of a failure domain three times would have every
//! request in it quarantined. Nor does a refused connection, which looks the same if the
//! path is cut: peers are asked whether they reach the target ([`reach`]).

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Name, Target};
use comfreyhall_quarantine::{EndCheck, Feature, Finding, Fingerprint};

use super::{Admission, Node, QuarantineTracker, admit, is_staying, is_unresolved, reach, resolve};
use crate::{outbound, ports::ProbeResult};

/// How long to wait for the entry of an unresponsive target to disappear, in ms: the
/// platform removes it after a few missed heartbeats.
const ENTRY_TIMEOUT_MS: u64 = 5_000;

/// Interval between checks of the entry.
const ENTRY_POLL: Duration = Duration::from_millis(200);

/// How long the next send of a suspect waits to learn whether its last target
/// has ended: for a target that did, this is known within a few ms.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(150);

/// Resolves the closed connections of `target`.
pub(super) async fn run(node: Arc<Node>, target: Name) {
    let ended = ended(&node, &target).await;
    log::debug!(target: "quarantine", target_id:% = target, ended; "target checked");
    resolve(&node, &target, ended);
}

async fn ended(node: &Arc<Node>, target: &Name) -> bool {
    let mut check = EndCheck::default();
    while let Some(delay) = check.next_delay() {
        tokio::time::sleep(delay).await;
        let Some(known) = node.view().targets.get(target).cloned() else {
            return true;
        };
        match outbound::probe(node, &known).await.into() {
            Finding::Alive => return false,
            Finding::Ended => return true,
            Finding::AskPeers => {
                if let Some(ended) = reach::is_refused_by_all(node, target).await {
                    return ended;
                }
            }
            Finding::Nothing => {}
        }
    }
    let until = node.now() + ENTRY_TIMEOUT_MS;
    while node.now() < until {
        tokio::time::sleep(ENTRY_POLL).await;
        if !node.view().targets.contains_key(target) {
            return true;
        }
    }
    false
}

/// Whether `target` has ended, as far as one probe shows. `None` if the probe shows
/// nothing, or if the target drains: one that stops completes its answers first.
pub(crate) async fn has_ended(node: &Arc<Node>, target: &Name) -> Option<bool> {
    if !is_staying(node, target) {
        return None;
    }
    let Some(known) = node.view().targets.get(target).cloned() else {
        return Some(true);
    };
    match outbound::probe(node, &known).await {
        ProbeResult::Alive => Some(false),
        // What it sent may have been cut short either way.
        ProbeResult::OtherBoot | ProbeResult::Refused => Some(true),
        ProbeResult::NoAnswer => None,
    }
}

/// Whether `target`, which is silent, is proven to have ended: it is listed no more, has
/// not announced that it drains, and a probe does not find it.
pub(crate) async fn is_proven_ended(node: &Arc<Node>, target: &Arc<Target>) -> bool {
    if node.view().targets.contains_key(&target.id) {
        return false;
    }
    if outbound::unavailable(node, &target.id).is_some() {
        return false;
    }
    outbound::probe(node, target).await != ProbeResult::Alive
}

impl QuarantineTracker {
    /// Waits for a limited time until it is known whether targets that closed
    /// connections of runs with doubtful ones of `features` have ended, as the next
    /// target might be one too many.
    pub(crate) async fn await_verdict(&self, node: &Node, features: &[Feature]) {
        let doubtful: Vec<&Feature> = {
            let state = self.state();
            let doubtful = features.iter().filter(|f| match f.kind.is_request() {
                true => state.known.is_suspect(&f.fingerprint),
                false => state.known.is_doubtful(&f.fingerprint),
            });
            doubtful.collect()
        };
        let settled = async {
            loop {
                let notified = self.resolved.notified();
                if !doubtful.iter().any(|f| is_unresolved(node, f)) {
                    return;
                }
                notified.await;
            }
        };
        // After a timeout the request continues with what is known then.
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    }

    /// Decides whether a request with these features may be sent, once it need not wait
    /// for evidence any more. `own`: those of which it is the probe already.
    pub(crate) async fn await_admission(
        &self,
        node: &Arc<Node>,
        features: &[Feature],
        own: &[Fingerprint],
    ) -> Admission {
        let began_ms = node.now();
        loop {
            let notified = self.resolved.notified();
            let waited_ms = node.now() - began_ms;
            let wait_ms = match admit(node, features, own, waited_ms) {
                Ok(admission) => return admission,
                Err(wait_ms) => wait_ms,
            };
            // A run that clears one of the features ends the wait.
            let wait = Duration::from_millis(wait_ms);
            let _ = tokio::time::timeout(wait, notified).await;
        }
    }

    /// Waits until this daemon knows what others have stored, for a limited time after
    /// its start.
    pub(crate) async fn await_loaded(&self) {
        while !self.is_loaded() {
            let notified = self.loading.notified();
            if !self.is_loaded() {
                notified.await;
            }
        }
    }
}
