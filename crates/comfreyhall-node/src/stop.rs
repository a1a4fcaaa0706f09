//! Graceful stop: nothing in progress is interrupted.
//!
//! On the signal the daemon notifies its peers and the readiness check, so that
//! callers are no longer sent to it. Callers with an older address answer still
//! arrive, and are served for as long as they may cache it. Then the daemon
//! waits for requests in progress, and ends within the bound.

use std::{sync::Arc, time::Duration};

use comfreyhall_life::Event;
use comfreyhall_relay::EndCause;

use crate::{fleet, node::Node};

/// Time for callers to learn that this daemon is draining: the time-to-live of
/// an address answer and a margin.
const LINGER: Duration = Duration::from_millis(2_500);

/// Time before the platform kills the process at which remaining requests are abandoned, in
/// ms, so that the process still ends by itself.
const STOP_MARGIN_MS: u64 = 400;

/// Interval between checks.
const POLL: Duration = Duration::from_millis(50);

/// Whether a draining daemon still accepts a request that may last until
/// `limit`.
///
/// A caller with an old address answer may send a stream seconds after the
/// signal, and the process would end in the middle of it. Once callers have had
/// time to learn of the stop, only requests that surely end before the process
/// are accepted.
pub(crate) fn accepts(node: &Node, limit: u64) -> bool {
    let began = node.drain_began_ms();
    if node.rejects_all() {
        return false;
    }
    if began == 0 || node.now().saturating_sub(began) < LINGER.as_millis() as u64 {
        return true;
    }
    limit < began + grace_ms(node)
}

/// Why a request that is dropped now ends before its answer is complete.
pub(crate) fn cause_of_drop(node: &Node) -> EndCause {
    let began = node.drain_began_ms();
    match began > 0 && node.now() >= began + grace_ms(node) {
        true => EndCause::GraceEnded,
        false => EndCause::CallerLeft,
    }
}

/// Time in ms after the signal at which the process ends at the latest.
fn grace_ms(node: &Node) -> u64 {
    bound_ms(node.settings().bounds.grace_s)
}

/// The same for a process that is killed after `grace_s`.
fn bound_ms(grace_s: f64) -> u64 {
    ((grace_s * 1_000.0) as u64).saturating_sub(STOP_MARGIN_MS)
}

/// Drains the daemon; returns once nothing is in progress or the time limit is
/// reached, with the time that is left until then.
///
/// `close_idle` is called when callers have had time to learn of the stop: it
/// should accept no new connections from then on and close idle ones; those in
/// use end on their own.
pub async fn drain(node: &Arc<Node>, close_idle: impl Fn()) -> Duration {
    let began = node.now();
    node.set_drain_began(began);
    node.life.handle(Event::Stop);
    log::info!(target: "stop", in_flight = node.in_flight(); "leaving");
    fleet::notify_all(node).await;
    tokio::time::sleep(LINGER).await;
    close_idle();
    await_idle(node, began).await;
    // From here on everything is rejected: otherwise a request that arrives
    // just before the process ends would be forwarded and cut off.
    node.reject_all();
    await_idle(node, began).await;
    if node.in_flight() == 0 {
        // The last answers are still on their way to their callers.
        tokio::time::sleep(POLL * 4).await;
    }
    node.life.handle(Event::Drained);
    log::info!(target: "stop", in_flight = node.in_flight(); "stopped");
    let used_ms = node.now().saturating_sub(began);
    Duration::from_millis(grace_ms(node).saturating_sub(used_ms))
}

/// Waits until nothing is in progress, at most until the bound.
async fn await_idle(node: &Node, began: u64) {
    while node.in_flight() > 0 && node.now().saturating_sub(began) < grace_ms(node) {
        tokio::time::sleep(POLL).await;
    }
}

#[cfg(test)]
#[path = "stop_tests.rs"]
mod tests;
