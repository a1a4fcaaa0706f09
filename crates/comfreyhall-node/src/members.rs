//! Finding the other daemons through the platform's store.
//!
//! Each daemon writes one row when it starts and drops it when it stops; who
//! is alive is learned by talking, so nothing is written in between. The
//! rows of instances that died are pruned by one daemon of those that no
//! longer hear of them.

use std::{sync::Arc, time::Duration};

use comfreyhall_catalog::{CatalogError, Rows, delete, put};
use rand::Rng;

use crate::{follow, node::Node};

const PREFIX: &str = "member/";

/// Pause between listings for each 16 daemons: peers introduce each other
/// within a second, so this only joins parts of a fleet that know nothing of
/// each other, and it comes to one call in 20 s for each 16 daemons.
const PERIOD_MS: u64 = 20_000;

/// Daemons that ask the store at once who there is, of many that do not know.
const ASKERS: usize = 4;

/// Daemons for which one listing in a period will do.
const LISTED_BY: usize = 16;

/// Pause between looks at whether a listing is due, and at least after a
/// failed call.
const LOOK: Duration = Duration::from_millis(500);

/// Starts the duty.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    tokio::spawn(keep(node.clone(), rows));
}

async fn keep<R: Rows>(node: Arc<Node>, rows: R) {
    let key = format!("{PREFIX}{}", node.settings().listen.peers);
    let mut written = false;
    let mut listed = None;
    let began = node.now();
    let mut failures = 0;
    while !node.draining() {
        let now = node.now();
        // Whoever has met the others need not look for them right away.
        let met = now.saturating_sub(began) < period_ms(&node) && node.fleet.size(now) > 1;
        let unsure = unsure(&node, now);
        let due = listed.is_none_or(|at| now.saturating_sub(at) >= period_ms(&node));
        if !written {
            match write(&node, &rows, &key).await {
                Ok(()) => {
                    written = true;
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    log::warn!(target: "members", error:% = e; "own row not written");
                }
            }
        } else if unsure || (due && !met) {
            match round(&node, &rows, &key).await {
                Ok(()) => {
                    listed = Some(node.now());
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    log::warn!(target: "members", error:% = e; "members not listed");
                }
            }
        }
        let pause = match failures {
            0 => LOOK,
            _ => follow::pause(&node, failures).max(LOOK),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
        }
    }
    if let Err(e) = rows.commit(Vec::new(), vec![delete(&key)]).await {
        log::warn!(target: "members", error:% = e; "own row not dropped");
    }
}

/// Whether this daemon should ask who there is, for the caps of workspaces. Some
/// of those that start together ask, and the others hear it from them.
fn unsure(node: &Node, now: u64) -> bool {
    let size = node.fleet.size(now);
    node.quotas.in_use()
        && node.fleet.members(now).is_none()
        && rand::rng().random_range(0..size) < ASKERS
}

fn period_ms(node: &Node) -> u64 {
    let size = node.fleet.size(node.now()).max(LISTED_BY);
    PERIOD_MS * size as u64 / LISTED_BY as u64
}

/// Sees that the own row is there, meets the others, prunes lost ones.
async fn round<R: Rows>(node: &Node, rows: &R, key: &str) -> Result<(), CatalogError> {
    let found = rows.scan(PREFIX, "", 0).await?;
    if !found.iter().any(|row| row.key == key) {
        // Others took this daemon for lost while it was cut off.
        write(node, rows, key).await?;
    }
    let now = node.now();
    for row in found {
        let addr = row.key.strip_prefix(PREFIX).unwrap_or_default();
        if node.fleet.is_lost(addr, now) && node.fleet.has_lowest_addr(now) {
            log::info!(target: "members", addr; "row of a lost daemon dropped");
            rows.commit(Vec::new(), vec![delete(&row.key)]).await?;
        } else {
            node.fleet.add_peer(addr, false);
        }
    }
    node.fleet.listed();
    Ok(())
}

async fn write<R: Rows>(node: &Node, rows: &R, key: &str) -> Result<(), CatalogError> {
    let id = node.settings().id.to_string();
    let entry = put(key, id.into_bytes());
    rows.commit(Vec::new(), vec![entry]).await.map(|_| ())
}
