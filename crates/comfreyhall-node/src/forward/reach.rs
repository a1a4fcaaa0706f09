//! Whether this daemon reaches targets, from its calls to them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Name, Target};
use comfreyhall_routing::ReachChange;
use rand::seq::IteratorRandom;

use crate::{node::Node, outbound};

/// Interval between checks of an isolated daemon whether it reaches targets again.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Targets probed in each period: one of them may be gone.
const PROBED_TARGETS: usize = 2;

/// Starts the task that notices when an isolated daemon reaches targets again:
/// since it passes requests on, none of its own would show it.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            if node.is_isolated() {
                probe_some(&node);
            }
        }
    });
}

fn probe_some(node: &Arc<Node>) {
    let targets: Vec<Arc<Target>> = node.view().targets.values().cloned().collect();
    for target in targets
        .into_iter()
        .choose_multiple(&mut rand::rng(), PROBED_TARGETS)
    {
        let node = node.clone();
        // A successful one is recorded as contact with a target.
        tokio::spawn(async move { outbound::probe(&node, &target).await });
    }
}

impl Node {
    /// Whether this daemon reaches no target.
    pub(crate) fn is_isolated(&self) -> bool {
        self.view().reachability.isolated_since().is_some()
    }

    /// Records that a target answered.
    pub(crate) fn record_reached(&self) {
        let change = self.view().reachability.record_answer(self.now());
        if let Some(change) = change {
            log_change(change);
        }
    }

    /// Records that `target` could not be reached.
    pub(crate) fn record_unreached(&self, target: &Name) {
        let now = self.now();
        let mut view = self.view();
        let known = view.targets.len();
        let change = view.reachability.record_failure(target, known, now);
        drop(view);
        if let Some(change) = change {
            log_change(change);
        }
    }
}

fn log_change(change: ReachChange) {
    match change {
        ReachChange::Isolated(failed) => {
            let failed = failed.join(" ");
            log::warn!(target: "forward", failed; "no target is reached; requests are passed on");
        }
        ReachChange::Restored(after) => {
            log::info!(target: "forward", after; "targets are reached again");
        }
    }
}
