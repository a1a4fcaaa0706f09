//! Finding the other daemons through the platform's store.
//!
//! Each daemon writes one row when it starts and drops it when it stops; who
//! is alive is learned by talking, so nothing is written in between. The
//! rows of instances that died are pruned by whoever cannot reach them.

use std::{sync::Arc, time::Duration};

use comfreyhall_catalog::{Rows, delete, put};

use crate::node::Node;

const PREFIX: &str = "member/";

/// Pause between listings: peers introduce each other within a second, so
/// this only joins parts of a fleet that know nothing of each other.
const PERIOD: Duration = Duration::from_secs(20);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(500);

/// Starts the duty.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    let node = node.clone();
    tokio::spawn(async move {
        let peer = node.settings().listen.peers;
        let key = format!("{PREFIX}{peer}");
        let id = node.settings().id.to_string();
        while !node.leaving() {
            let entry = put(&key, id.clone().into_bytes());
            match rows.commit(Vec::new(), vec![entry]).await {
                Ok(_) => break,
                Err(e) => {
                    log::warn!(target: "members", error:% = e; "own row not written yet");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
        while !node.leaving() {
            let pause = match rows.scan(PREFIX, "", 0).await {
                Ok(found) => {
                    for row in found {
                        let addr = row.key.strip_prefix(PREFIX).unwrap_or_default();
                        node.fleet.meet(addr, false);
                    }
                    PERIOD
                }
                Err(e) => {
                    log::warn!(target: "members", error:% = e; "members not listed");
                    RETRY
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = node.life.reached(comfreyhall_life::Stage::Leaving) => {}
            }
        }
        if let Err(e) = rows.commit(Vec::new(), vec![delete(&key)]).await {
            log::warn!(target: "members", error:% = e; "own row not dropped");
        }
    });
}
