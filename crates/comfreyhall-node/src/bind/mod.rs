//! Finding an engine for a run: the holder of a group's lease chooses.
//!
//! What goes wrong without it: each of 195 daemons sees one request in two
//! hundred and hears of the others a second late, so engines that look idle
//! get several prompts at once while others wait, places are counted on that
//! are taken, and one request in six is sent to an engine that refuses it.
//! The holder gives the orders for its engines and is told of every run there
//! when it begins, is read and ends, so it knows what is on their tables as
//! they do. A daemon chooses the group, by sums that may be old, and asks the
//! group's holder for the engine.
//!
//! A holder that does not answer is done without: the daemon sends to the
//! engine that it takes for the best one itself, if no load has to come first.

mod here;
mod wire;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;

pub(crate) use self::wire::answer;
use crate::{choose::Need, node::Node};

/// Longest a holder's answer is waited for if no load has to come first, in
/// ms: it takes some ms, and some tens on a busy core. A request that has
/// waited this long still meets an objective of a second.
const ANSWER_MS: u64 = 120;

/// Time for the answer to come back after the longest wait for a load, in ms.
const RETURN_MS: u64 = 30;

/// One request that wants an engine of a group.
#[derive(Debug, Clone)]
pub(crate) struct Bind {
    /// Number of the run.
    pub(crate) run: u64,
    pub(crate) group: Name,
    pub(crate) service: Name,
    pub(crate) need: Arc<Need>,
    /// Least version that will do; 0 for any.
    pub(crate) version: u64,
    /// Rank of its route; 0 is first.
    pub(crate) priority: u8,
    /// Latency objective of its route, in ms.
    pub(crate) aim_ms: u64,
    /// Ms since it arrived.
    pub(crate) spent_ms: u64,
    /// Ms that its caller still waits.
    pub(crate) left_ms: u64,
    /// Engines it was sent to.
    pub(crate) tried: Vec<Name>,
    /// Engines that cannot take it now.
    pub(crate) closed: Vec<Name>,
    /// Whether it may only go to engines it was sent to.
    pub(crate) only_tried: bool,
    /// Whether it waits for a load; else it wants an answer at once.
    pub(crate) may_wait: bool,
}

impl Bind {
    /// Longest it waits for its adapter, in ms.
    fn limit_ms(&self) -> u64 {
        self.left_ms.min(self.aim_ms) + 1
    }
}

/// The engine of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Bound {
    pub(crate) target: Name,
    /// The adapter's version there.
    pub(crate) version: u64,
    /// Prompt tokens that it has to read there.
    pub(crate) unread: u64,
    /// Ms to the first token that the holder expects.
    pub(crate) wait_ms: u64,
    /// Whether the adapter is asked for so often that each failure domain is
    /// to have engines of its own for it.
    pub(crate) hot: bool,
    /// Whether the holder has granted it a part of the engine's limit.
    pub(crate) granted: bool,
}

/// Why a run has no engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Unbound {
    /// The holder does not answer, or is none any more; nothing is known.
    #[error("the holder does not answer")]
    Unanswered,
    /// A load has to come first, and the request did not want to wait for one.
    #[error("a load has to come first")]
    MustWait,
    /// Its wait would be too long.
    #[error("the wait would be {0} ms")]
    TooLong(u64),
    /// No engine of the group can take it now.
    #[error("{why}")]
    Unplaced {
        /// Why none can.
        why: String,
        /// Engines that take no orders: they are gone, or another boot.
        gone: Vec<Name>,
    },
}

impl Unbound {
    fn unplaced(why: &str) -> Self {
        Unbound::Unplaced {
            why: why.to_string(),
            gone: Vec::new(),
        }
    }
}

/// The engine for a run, chosen by the holder of its group's lease.
pub(crate) async fn bind(node: &Arc<Node>, ask: Bind) -> Result<Bound, Unbound> {
    if node.token(&ask.group).is_some() {
        return here::bind(node, ask).await;
    }
    let now = node.now();
    let holder = node.fleet.holder(&ask.group, now);
    let holder = holder.ok_or(Unbound::Unanswered)?;
    let mut client = node.fleet.client(&holder).ok_or(Unbound::Unanswered)?;
    let limit = match ask.may_wait {
        true => ask.limit_ms() + RETURN_MS,
        false => ANSWER_MS,
    };
    let call = client.bind(wire::ask(node.fleet.peer_addr(), &ask));
    let why = match tokio::time::timeout(Duration::from_millis(limit), call).await {
        Ok(Ok(reply)) => return wire::reply(reply.into_inner()),
        Ok(Err(status)) => status.message().to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    log::info!(target: "bind", peer:% = holder, group:% = ask.group, run = ask.run, waits = ask.may_wait, why; "holder not heard");
    node.fleet.suspend_holder(&holder, node.now());
    Err(Unbound::Unanswered)
}
