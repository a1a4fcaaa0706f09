//! A planned stop: nothing in progress is cut off.
//!
//! On the signal the daemon says so to its peers and to the readiness check,
//! so callers are no longer sent to it; those with an older address answer
//! still come, and are served, for as long as they may keep it. Then it
//! waits for what is in progress and ends within the bound.

use std::{sync::Arc, time::Duration};

use comfreyhall_life::Event;

use crate::{fleet, node::Node};

/// Time for callers to learn that this daemon leaves: one address answer's
/// time-to-live and a little.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the bound after which what still runs is left behind.
const LAST_PART: f64 = 0.93;

/// Pause between looks.
const LOOK: Duration = Duration::from_millis(50);

/// Whether a stopping daemon still takes a request that may last until
/// `limit`.
///
/// What goes wrong without it: a caller with an old address answer sends a
/// stream seconds after the signal, and the process ends in its middle. Once
/// callers have had time to learn of the stop, only what surely ends before
/// the process is taken.
pub(crate) fn accepts(node: &Node, limit: u64) -> bool {
    let began = node.drain_began_ms();
    if node.rejects_all() {
        return false;
    }
    if began == 0 || node.now().saturating_sub(began) < LINGER.as_millis() as u64 {
        return true;
    }
    limit < began + last_ms(node)
}

/// Ms after the signal at which the process ends at the latest.
fn last_ms(node: &Node) -> u64 {
    (node.settings().bounds.grace_s * 1_000.0 * LAST_PART) as u64
}

/// Leaves: returns once nothing is in progress or time is up.
///
/// `close_idle` is called when callers have had time to learn of it: take no
/// new connections then and close idle ones; those in use end on their own.
pub async fn drain(node: &Arc<Node>, close_idle: impl Fn()) {
    let began = node.now();
    node.set_drain_began(began);
    node.life.handle(Event::Stop);
    log::info!(target: "stop", in_flight = node.in_flight(); "leaving");
    fleet::tell_all(node).await;
    tokio::time::sleep(LINGER).await;
    close_idle();
    drained(node, began).await;
    // What goes wrong without it: nothing is in progress, the process is
    // about to end, and a request that comes in that instant is passed on
    // and cut. From here on everything is refused.
    node.reject_all();
    drained(node, began).await;
    // The last answers are still on their way to their callers.
    tokio::time::sleep(LOOK * 4).await;
    node.life.handle(Event::Drained);
    log::info!(target: "stop", in_flight = node.in_flight(); "stopped");
}

/// Waits until nothing is in progress, at most until the bound.
async fn drained(node: &Node, began: u64) {
    while node.in_flight() > 0 && node.now().saturating_sub(began) < last_ms(node) {
        tokio::time::sleep(LOOK).await;
    }
}
