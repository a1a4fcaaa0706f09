//! Graceful stop: nothing in progress is interrupted.
//!
//! On the signal the daemon notifies its peers and the readiness check, so that
//! callers are no longer sent to it. Callers with an older address answer still
//! arrive, and are served for as long as they may cache it. Then the daemon
//! waits for requests in progress, and ends within the bound.
//!
//! A request that waits unsent would be dropped at that end: each wait ends before, with
//! a rejection, and nothing is sent whose answer is expected later.

use std::{sync::Arc, time::Duration};

use comfreyhall_life::{Event, Grace, SendTiming};
use comfreyhall_relay::EndCause;

use crate::{fleet, node::Node};

/// Time for callers to learn that this daemon is draining, in ms: the time-to-live of an
/// address answer and a margin.
const LINGER_MS: u64 = 2_500;

/// Interval between checks.
const POLL: Duration = Duration::from_millis(50);

/// Whether a request may be sent now, as far as a planned stop is concerned.
pub(crate) fn may_send(node: &Node, send: SendTiming) -> bool {
    match node.grace() {
        None => true,
        Some(grace) => !node.rejects_all() && grace.allows(send, node.now()),
    }
}

/// Waits until a planned stop forbids to send a request.
pub(crate) async fn too_late(node: &Node, send: SendTiming) {
    let grace = node.stop_began().await;
    if node.rejects_all() {
        return;
    }
    match grace.send_by_ms(send) {
        Some(by_ms) => sleep_until(node, by_ms).await,
        None => std::future::pending().await,
    }
}

/// Waits until a planned stop is so near its end that requests without an answer get one.
pub(crate) async fn answer_due(node: &Node) {
    let grace = node.stop_began().await;
    sleep_until(node, grace.answer_by_ms()).await;
}

async fn sleep_until(node: &Node, at_ms: u64) {
    let left_ms = at_ms.saturating_sub(node.now());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}

/// What `work` comes to; `None` if `limit` ends first.
pub(crate) async fn before<T>(
    limit: impl Future<Output = ()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        () = limit => None,
        done = work => Some(done),
    }
}

/// Why a request that is dropped now ends before its answer is complete.
pub(crate) fn cause_of_drop(node: &Node) -> EndCause {
    match node.grace() {
        Some(grace) if node.now() >= grace.answer_by_ms() => EndCause::GraceEnded,
        _ => EndCause::CallerLeft,
    }
}

/// Drains the daemon; returns once nothing is in progress or the time limit is
/// reached, with the time that is left until then.
///
/// `close_idle` is called when callers have had time to learn of the stop: it
/// should accept no new connections from then on and close idle ones; those in
/// use end on their own.
pub async fn drain(node: &Arc<Node>, close_idle: impl Fn()) -> Duration {
    let kill_ms = (node.settings().bounds.grace_s * 1_000.0) as u64;
    let grace = Grace::new(node.now(), LINGER_MS, kill_ms);
    node.begin_stop(grace);
    node.life.handle(Event::Stop);
    log::info!(target: "stop", in_flight = node.in_flight(); "leaving");
    fleet::notify_all(node).await;
    tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
    close_idle();
    await_idle(node, grace).await;
    // From here on everything is rejected: otherwise a request that arrives
    // just before the process ends would be forwarded and cut off.
    node.reject_all();
    await_idle(node, grace).await;
    if node.in_flight() == 0 {
        // The last answers are still on their way to their callers.
        tokio::time::sleep(POLL * 4).await;
    }
    node.life.handle(Event::Drained);
    log::info!(target: "stop", in_flight = node.in_flight(); "stopped");
    Duration::from_millis(grace.ends_ms().saturating_sub(node.now()))
}

/// Waits until nothing is in progress, at most until the bound.
async fn await_idle(node: &Node, grace: Grace) {
    while node.in_flight() > 0 && node.now() < grace.ends_ms() {
        tokio::time::sleep(POLL).await;
    }
}
