//! Everything that goes to targets.
//!
//! The one place that calls the [`Backend`](crate::ports::Backend): requests and
//! their repeats, resumed streams, orders, reports and probes. What targets say
//! of themselves is taken in here from the head of each answer, whatever its
//! status and whoever still waits for it.

mod log;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_backpressure::{Gates, Notice};
use comfreyhall_domain::{Ask, Target};
use tokio::time::timeout;

use crate::{
    node::Node,
    ports::{Extra, Heard, NoReport, Order, OrderReply, Pulse, Report, Response, SendError},
};

/// What this daemon knows of what targets say.
#[derive(Default)]
pub(crate) struct Outbound {
    gates: Mutex<Gates>,
}

impl Outbound {
    fn gates(&self) -> MutexGuard<'_, Gates> {
        self.gates.lock().expect("no holder of this lock panics")
    }
}

/// Takes in what `target` says in the answer to what was sent at `sent`.
fn hear(node: &Node, target: &Target, notice: &Notice, sent: u64) {
    let now = node.now();
    log::odd(node, target, notice, now);
    let change = node.outbound.gates().hear(&target.id, notice, sent, now);
    if let Some(change) = change {
        log::changed(node, &target.id, change, now - sent);
    }
}

/// Sends a request; an answer that stays away for `patience` is a doubt.
pub(crate) async fn send(
    node: &Arc<Node>,
    target: &Arc<Target>,
    ask: Arc<Ask>,
    extra: Extra,
    patience: Duration,
) -> Result<Response, SendError> {
    let sent = node.now();
    let call = node.backend.send(target.clone(), ask, extra);
    let answer = timeout(patience, call).await;
    let response = answer.unwrap_or_else(|_| Err(SendError::Doubt("no answer in time".into())))?;
    hear(node, target, &response.notice, sent);
    Ok(response)
}

/// Gives an order; waits for the answer for `patience`.
pub(crate) async fn order(
    node: &Node,
    target: &Arc<Target>,
    order: Order,
    patience: Duration,
) -> OrderReply {
    let sent = node.now();
    let call = node.backend.order(target.clone(), order);
    match timeout(patience, call).await {
        Ok(heard) => take(node, target, heard, sent),
        Err(_) => OrderReply::Silent("no answer in time".into()),
    }
}

/// Asks for a report; waits for it for `patience`.
pub(crate) async fn report(
    node: &Node,
    target: &Arc<Target>,
    patience: Duration,
) -> Result<Report, NoReport> {
    let sent = node.now();
    let call = node.backend.report(target.clone());
    match timeout(patience, call).await {
        Ok(heard) => take(node, target, heard, sent),
        Err(_) => Err(NoReport::Silent("no answer in time".into())),
    }
}

/// Looks whether `target` is there.
pub(crate) async fn probe(node: &Node, target: &Arc<Target>) -> Pulse {
    let sent = node.now();
    let heard = node.backend.probe(target.clone()).await;
    take(node, target, heard, sent)
}

fn take<T>(node: &Node, target: &Target, heard: Heard<T>, sent: u64) -> T {
    hear(node, target, &heard.notice, sent);
    heard.answer
}
