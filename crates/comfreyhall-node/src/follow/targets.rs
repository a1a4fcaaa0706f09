//! Follows the targets in the platform's store.
//!
//! Targets publish themselves about every second, so a feed of them would
//! answer all the time. They are polled at a period that leaves room in the
//! bound for draining targets. One read serves the fleet: the daemon with the
//! oldest data reads, and the others get the changes with the next gossip.
//!
//! While the store is down, the entries of live targets expire. Counting these
//! targets as ended would stop all service the moment the store is back, so
//! after an outage removals count only once a listing taken the return time
//! after the store's return still lacks them.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{StoreLink, start_if_synced};
use crate::{
    node::Node,
    ports::{RecordBatch, Topic},
    records,
    rows::Provenance,
};

/// Parts that the bound for draining targets is divided into. The data is
/// renewed at an age drawn between one and two parts, so that one daemon reads
/// first and the others need not. Gossip takes a quarter of a second more, and
/// a slow store as much again.
const PARTS_PER_DRAIN: u64 = 4;

/// Age in parts at which a daemon that reports to lease holders reads the
/// targets itself; up to half a part is added. Holders read first, and their
/// data is a part and a report of the fleet old when it arrives. At two to
/// three parts 195 daemons read 31 times a second.
const REPORTING_PARTS: f64 = 2.5;

/// Interval between checks of the age, in ms.
const AGE_POLL_MS: u64 = 50;

/// Reads more than this many periods apart count as an outage of the store.
const OUTAGE_PERIODS: u64 = 3;

/// Reads the targets when the known ones are too old.
pub(super) async fn follow_targets(node: Arc<Node>) {
    let mut outage = Outage::default();
    let mut link = StoreLink::new("targets");
    loop {
        let period_ms = node.settings().bounds.drain_ms / PARTS_PER_DRAIN;
        await_age(&node, due_ms(&node, period_ms)).await;
        let began = node.now();
        let answer = match node.source.read(Topic::Targets).await {
            Ok(rest) => rest.await,
            Err(e) => Err(e),
        };
        link.note(&node, &answer, began);
        match answer {
            Ok(listed) => apply_listing(&node, &mut outage, listed, began, 2 * period_ms),
            Err(_) => link.pause(&node).await,
        }
    }
}

/// Age in ms at which this daemon reads the targets.
fn due_ms(node: &Node, period_ms: u64) -> u64 {
    let half = (period_ms / 2).max(1);
    let jitter = rand::rng().random_range(0..half);
    if node.fleet.reports_to_holders(node) {
        return (REPORTING_PARTS * period_ms as f64) as u64 + jitter;
    }
    match node.fleet.is_large() {
        // A holder's data is old when it reaches the others.
        true => half + jitter,
        false => period_ms + 2 * jitter,
    }
}

/// Waits until the known targets are `due` ms old.
async fn await_age(node: &Node, due: u64) {
    loop {
        let as_of = node.view().records.targets.as_of_ms;
        if as_of == 0 || node.now().saturating_sub(as_of) >= due {
            return;
        }
        tokio::time::sleep(Duration::from_millis(AGE_POLL_MS)).await;
    }
}

/// The last outage of the store, as observed by this daemon.
#[derive(Debug, Default)]
struct Outage {
    /// When the store answered again; 0 if there was no outage.
    ended_at_ms: u64,
    /// Era of the last listing.
    era: u32,
}

fn apply_listing(
    node: &Node,
    outage: &mut Outage,
    listed: RecordBatch,
    began: u64,
    period_ms: u64,
) {
    let now = node.now();
    let last = {
        let mut view = node.view();
        let targets = &mut view.records.targets;
        // A peer's data received meanwhile may be newer than this answer.
        let last = targets.as_of_ms;
        targets.as_of_ms = last.max(began);
        last
    };
    if last > 0 && now.saturating_sub(last) > OUTAGE_PERIODS * period_ms {
        outage.ended_at_ms = now;
    }
    // Targets that came after the copy was made have to write their entries again.
    let era = listed.version.era();
    if outage.era > 0 && era > outage.era {
        outage.ended_at_ms = now;
    }
    outage.era = outage.era.max(era);
    let origin = Provenance::store(began);
    records::apply(node, Topic::Targets, listed.clone(), &origin);
    let return_ms = (node.settings().bounds.return_s * 1_000.0) as u64;
    if outage.ended_at_ms == 0 || now.saturating_sub(outage.ended_at_ms) >= return_ms {
        records::remove_unlisted(node, &listed);
    }
    records::prove_targets(node, listed.version, began);
    let targets: Vec<_> = node.view().targets.values().cloned().collect();
    node.backend.retain(&targets);
    start_if_synced(node);
}
