//! Discovery of the other daemons through the platform's store.
//!
//! Each daemon writes one row when it starts and deletes it when it stops.
//! Liveness is known from gossip, so nothing is written in between, except when other
//! software versions of targets may have streams: the row names them. The rows of
//! instances that crashed are deleted by one of the daemons that no longer see
//! them. When the store comes back from a copy, each daemon writes its row again.

use std::{sync::Arc, time::Duration};

use comfreyhall_catalog::{CatalogError, Rows, delete, put};
use comfreyhall_domain::Set;
use rand::Rng;

use crate::{
    follow,
    node::Node,
    streams::{
        stored::{self, MemberValue},
        versions,
    },
};

const PREFIX: &str = "member/";

/// Listing interval for each 16 daemons: peers introduce each other within a
/// second, so this only joins parts of a fleet that know nothing of each other,
/// at the cost of one call in 20 s for each 16 daemons.
const PERIOD_MS: u64 = 20_000;

/// Number of daemons, of many that do not know the members, that list them from
/// the store at once.
const INITIAL_LISTERS: usize = 4;

/// Daemons for which one listing in a period is enough.
const LISTING_UNIT: usize = 16;

/// Interval between checks whether a listing is due, and minimum pause after a
/// failed call.
const POLL: Duration = Duration::from_millis(500);

/// Starts the task.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    tokio::spawn(run(node.clone(), rows));
}

async fn run<R: Rows>(node: Arc<Node>, rows: R) {
    let key = format!("{PREFIX}{}", node.settings().listen.peers);
    let mut written: Option<MemberValue> = None;
    let mut era = newest_era(&node, &rows);
    let mut inherited = node.settings().first_start;
    let mut listed = None;
    let began = node.now();
    let mut failures = 0;
    while !node.draining() {
        let now = node.now();
        // A daemon that has met others need not list them right away.
        let has_peers = now.saturating_sub(began) < period_ms(&node) && node.fleet.size(now) > 1;
        let listing_needed = needs_listing(&node, now);
        let due = listed.is_none_or(|at| now.saturating_sub(at) >= period_ms(&node));
        if !inherited {
            match learn_versions(&node, &rows).await {
                Ok(()) => {
                    inherited = true;
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    log::warn!(target: "members", error:% = e; "stored software versions not read");
                }
            }
        }
        let newest_era = newest_era(&node, &rows);
        if newest_era != era {
            if era > 0 {
                log::info!(target: "members", from = era, to = newest_era; "the store came back from a copy; writing the own row again");
                written = None;
            }
            era = newest_era;
        }
        let value = own_value(&node, era);
        if written.as_ref() == Some(&value) {
            value.mark_stored(&mut node.view());
        } else if inherited {
            match write_own_row(&node, &rows, &key, &value).await {
                Ok(()) => {
                    written = Some(value);
                    failures = 0;
                }
                Err(e) => {
                    failures += 1;
                    log::warn!(target: "members", error:% = e; "own row not written");
                }
            }
        }
        let written = written.is_some();
        let first = written && listed.is_none();
        if first || (written && (listing_needed || (due && !has_peers))) {
            match list_members(&node, &rows, &key).await {
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
            0 => POLL,
            _ => follow::pause(&node, failures).max(POLL),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
        }
    }
    if let Err(e) = rows.commit(Vec::new(), vec![delete(&key)]).await {
        log::warn!(target: "members", error:% = e; "own row not deleted");
    }
}

/// Newest era of the store that this daemon or a peer has seen: one that calls the store
/// seldom learns of it from others.
pub(crate) fn newest_era<R: Rows>(node: &Node, rows: &R) -> u32 {
    rows.era().max(node.view().records.settings.version.era())
}

/// Whether this daemon should list the members again, which the quotas of
/// workspaces and the retry budgets need. Of daemons that start together some list
/// them, and the others learn the result from these.
fn needs_listing(node: &Node, now: u64) -> bool {
    let size = node.fleet.size(now);
    node.fleet.members(now).is_none() && rand::rng().random_range(0..size) < INITIAL_LISTERS
}

fn period_ms(node: &Node) -> u64 {
    let size = node.fleet.size(node.now()).max(LISTING_UNIT);
    PERIOD_MS * size as u64 / LISTING_UNIT as u64
}

/// Ensures that the own row exists, adds the other daemons as peers, and
/// deletes the rows of lost ones.
async fn list_members<R: Rows>(node: &Node, rows: &R, key: &str) -> Result<(), CatalogError> {
    let found = rows.scan(PREFIX, "", 0).await?;
    if !found.iter().any(|row| row.key == key) {
        // Other daemons took this one for lost while it was cut off.
        write_own_row(node, rows, key, &own_value(node, newest_era(node, rows))).await?;
    }
    let now = node.now();
    let listed: Set<String> = found.iter().map(|row| row.key.clone()).collect();
    for row in found {
        let addr = row.key.strip_prefix(PREFIX).unwrap_or_default();
        if node.fleet.is_lost(addr, now) && node.fleet.has_lowest_addr(now) {
            log::info!(target: "members", addr; "row of a lost daemon dropped");
            rows.commit(Vec::new(), vec![delete(&row.key)]).await?;
        } else {
            node.fleet.add_peer(addr, false);
        }
    }
    let is_listed = |addr: &str| listed.contains(&format!("{PREFIX}{addr}"));
    node.fleet.mark_members_listed(is_listed);
    Ok(())
}

fn own_value(node: &Node, era: u32) -> MemberValue {
    let settings = node.settings();
    let timing = versions::timing(settings.bounds.drain_ms);
    MemberValue::current(&node.view(), &settings.id, era, &timing, node.now())
}

async fn write_own_row<R: Rows>(
    node: &Node,
    rows: &R,
    key: &str,
    value: &MemberValue,
) -> Result<(), CatalogError> {
    rows.commit(Vec::new(), vec![put(key, value.encode())])
        .await?;
    value.mark_stored(&mut node.view());
    Ok(())
}

/// Learns which software versions all members have stored, before this daemon replaces
/// its own row.
async fn learn_versions<R: Rows>(node: &Node, rows: &R) -> Result<(), CatalogError> {
    let found = rows.scan(PREFIX, "", 0).await?;
    let values: Vec<Vec<u8>> = found.into_iter().map(|row| row.value).collect();
    let now = node.now();
    let era = newest_era(node, rows);
    stored::learn(&mut node.view(), &values, era, now);
    Ok(())
}
