//! Binds runs to engines: the holder of a group's lease chooses the engine.
//!
//! A daemon on its own chooses badly: each of 195 daemons sees one request in
//! two hundred and learns of the others a second late. Engines that look idle
//! then receive several prompts at once while others wait, slots that look free
//! are taken, and one request in six is sent to an engine that refuses it. The
//! lease holder sends the commands to its engines and is notified when each run
//! there begins, is prefilled and ends, so its view of them is current. A
//! daemon chooses the group by totals that may be stale, and asks the group's
//! lease holder for the engine.
//!
//! If the holder does not answer, the daemon sends to the engine that it
//! considers best itself, provided that no load has to come first.

mod local;
pub(crate) mod params;
mod wire;

use std::{sync::Arc, time::Duration};

pub(crate) use self::{
    params::{BindError, BindParams, Binding},
    wire::answer,
};
use crate::{node::Node, traffic::Kind};

/// Timeout of a holder's answer if no load has to come first, in ms: it takes a
/// few ms, and some tens of ms on a busy core. A request that has waited this
/// long still meets an objective of a second.
const ANSWER_TIMEOUT_MS: u64 = 120;

/// Time for the answer to return after the longest wait for a load, in ms.
const RETURN_ALLOWANCE_MS: u64 = 30;

/// Binds a run to an engine chosen by the holder of its group's lease.
pub(crate) async fn bind(node: &Arc<Node>, params: BindParams) -> Result<Binding, BindError> {
    if node.token(&params.group).is_some() {
        return local::bind(node, params).await;
    }
    let now = node.now();
    let holder = node.fleet.holder(&params.group, now);
    let holder = holder.ok_or(BindError::NoAnswer)?;
    let mut client = node.fleet.client(&holder).ok_or(BindError::NoAnswer)?;
    let limit = match params.may_wait {
        true => params.limit_ms() + RETURN_ALLOWANCE_MS,
        false => ANSWER_TIMEOUT_MS,
    };
    let ask = wire::ask(node.fleet.peer_addr(), &params);
    let call = client.bind(node.metrics.peer_sent(Kind::Bind, ask));
    let why = match tokio::time::timeout(Duration::from_millis(limit), call).await {
        Ok(Ok(reply)) => return wire::reply(reply.into_inner()),
        Ok(Err(status)) => status.message().to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    log::info!(target: "bind", peer:% = holder, group:% = params.group, run = params.run, waits = params.may_wait, why; "lease holder does not answer");
    node.fleet.suspend_holder(&holder, node.now());
    Err(BindError::NoAnswer)
}
