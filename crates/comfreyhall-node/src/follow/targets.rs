//! Following the targets in the platform's store.
//!
//! Targets publish themselves about every second, so a feed of them would answer
//! all the time; they are read on a beat that leaves room in the bound for targets
//! that leave. One reading serves the fleet: whoever's knowledge is oldest reads,
//! and the others get what changed with the next news.
//!
//! What goes wrong: the store is away, and entries of living targets lapse.
//! Taking them for gone would stop all service the moment the store is back.
//! So after an outage removals count only once a listing taken the return
//! time after the store's return still lacks them.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{Link, settle};
use crate::{
    facts::{self, Provenance},
    node::Node,
    ports::{RecordBatch, Topic},
};

/// Parts of the bound for targets that leave at which knowledge of them is
/// due to be renewed: drawn between one and two parts, so that one daemon
/// reads first and the others need not. News takes a quarter of a second
/// more, and a slow store as much again.
const PARTS_PER_DRAIN: u64 = 4;

/// Parts after which a daemon that reports to holders of leases reads the
/// targets itself, and half a part more at most: holders read first, and what
/// they read is a part and a report of the fleet old when it comes. At two to
/// three parts 195 daemons read 31 times a second.
const SERVED_PARTS: f64 = 2.5;

/// Pause between looks at how old the knowledge is, in ms.
const AGE_LOOK_MS: u64 = 50;

/// Reads further apart than this many beats are an outage of the store.
const OUTAGE_BEATS: u64 = 3;

/// Reads the targets when what is known of them is old.
pub(super) async fn targets(node: Arc<Node>) {
    let mut away = Outage::default();
    let mut link = Link::new("targets");
    loop {
        let beat = node.settings().bounds.drain_ms / PARTS_PER_DRAIN;
        await_age(&node, due_ms(&node, beat)).await;
        let began = node.now();
        let answer = match node.source.read(Topic::Targets).await {
            Ok(rest) => rest.await,
            Err(e) => Err(e),
        };
        link.note(&node, &answer, began);
        match answer {
            Ok(listed) => take(&node, &mut away, listed, began, 2 * beat),
            Err(_) => link.pause(&node).await,
        }
    }
}

/// Age in ms at which this daemon is to read the targets.
fn due_ms(node: &Node, beat: u64) -> u64 {
    let half = (beat / 2).max(1);
    let drawn = rand::rng().random_range(0..half);
    if node.fleet.served(node) {
        return (SERVED_PARTS * beat as f64) as u64 + drawn;
    }
    match node.fleet.large() {
        // What a holder reads is old when the others hear of it.
        true => half + drawn,
        false => beat + 2 * drawn,
    }
}

/// Waits until what is known of the targets is `due` ms old.
async fn await_age(node: &Node, due: u64) {
    loop {
        let as_of = node.view().records.targets.as_of;
        if as_of == 0 || node.now().saturating_sub(as_of) >= due {
            return;
        }
        tokio::time::sleep(Duration::from_millis(AGE_LOOK_MS)).await;
    }
}

/// When the store was last away, as seen by this daemon.
#[derive(Debug, Default)]
struct Outage {
    /// When it answered again; 0 if it never was away.
    over: u64,
}

fn take(node: &Node, away: &mut Outage, listed: RecordBatch, began: u64, beat: u64) {
    let now = node.now();
    let last = {
        let mut view = node.view();
        let targets = &mut view.records.targets;
        // What a peer heard meanwhile may be newer than this answer.
        let last = targets.as_of;
        targets.as_of = last.max(began);
        last
    };
    if last > 0 && now.saturating_sub(last) > OUTAGE_BEATS * beat {
        away.over = now;
    }
    let origin = Provenance::store(began);
    facts::apply(node, Topic::Targets, listed.clone(), &origin);
    let back = (node.settings().bounds.return_s * 1_000.0) as u64;
    if away.over == 0 || now.saturating_sub(away.over) >= back {
        facts::sweep(node, &listed);
    }
    let targets: Vec<_> = node.view().targets.values().cloned().collect();
    node.backend.retain(&targets);
    settle(node);
}
