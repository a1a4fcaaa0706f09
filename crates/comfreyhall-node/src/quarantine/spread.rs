//! Immediate distribution of findings to the other daemons.
//!
//! If findings waited for the next gossip, daemons that have not received them
//! would go on sending what has ended three targets.

use std::{sync::Arc, time::Duration};

use super::{Node, forget};
use crate::fleet;

/// Delay that batches the findings of one crash into one call.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Minimum pause between two rounds of calls, which limits the cost under a
/// series of crashes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Interval between removals of outdated evidence.
const FORGET_PAUSE: Duration = Duration::from_secs(10);

/// Starts the tasks.
pub(super) fn spawn(node: &Arc<Node>) {
    tokio::spawn(spread_findings(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(FORGET_PAUSE).await;
            forget(&node);
        }
    });
}

async fn spread_findings(node: Arc<Node>) {
    loop {
        node.quarantine.found.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        fleet::notify_findings(&node);
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}
