//! Telling the other daemons what was found, at once.
//!
//! What goes wrong if findings wait for the next news: three targets have ended
//! under a request, and daemons that have not heard go on sending it.

use std::{sync::Arc, time::Duration};

use super::{Node, forget};
use crate::fleet;

/// Pause that gathers the findings of one crash into one call.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Least pause between two rounds of calls: under a series of crashes the cost
/// of telling stays bounded.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Pause between looks for what is too old.
const FORGET_PAUSE: Duration = Duration::from_secs(10);

/// Starts the duties.
pub(crate) fn spawn(node: &Arc<Node>) {
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
