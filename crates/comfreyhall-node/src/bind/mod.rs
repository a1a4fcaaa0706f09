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
mod wire;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_slots::SlotShare;
use comfreyhall_streams::SoftwareRule;

pub(crate) use self::wire::answer;
use crate::{criteria::Requirements, node::Node};

/// Timeout of a holder's answer if no load has to come first, in ms: it takes a
/// few ms, and some tens of ms on a busy core. A request that has waited this
/// long still meets an objective of a second.
const ANSWER_TIMEOUT_MS: u64 = 120;

/// Time for the answer to return after the longest wait for a load, in ms.
const RETURN_ALLOWANCE_MS: u64 = 30;

/// One request that needs an engine of a group.
#[derive(Debug, Clone)]
pub(crate) struct BindParams {
    /// Number of the run.
    pub(crate) run: u64,
    pub(crate) group: Name,
    pub(crate) service: Name,
    /// Name of its route.
    pub(crate) route: Name,
    /// Whose share of the slots it uses.
    pub(crate) share: SlotShare,
    /// Identity over all attempts of its caller; 0 if unknown.
    pub(crate) identity: u64,
    pub(crate) requirements: Arc<Requirements>,
    /// Minimum version of the adapter; 0 for any.
    pub(crate) min_version: u64,
    /// Priority of its route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Latency objective of its route, in ms.
    pub(crate) objective_ms: u64,
    /// Ms since it arrived.
    pub(crate) elapsed_ms: u64,
    /// Ms until its deadline.
    pub(crate) remaining_ms: u64,
    /// Engines that have already received it.
    pub(crate) tried: Vec<Name>,
    /// Engines that cannot take it now.
    pub(crate) unavailable: Vec<Name>,
    /// Whether only engines in `tried` may be used.
    pub(crate) only_tried: bool,
    /// Whether it waits for a load; otherwise it expects an answer at once.
    pub(crate) may_wait: bool,
    /// How long it would wait for a slot, in ms, when no other group has one
    /// sooner; 0 as long as other groups are to be asked.
    pub(crate) patience_ms: u64,
    /// Software versions that may receive it.
    pub(crate) software: SoftwareRule,
}

impl BindParams {
    /// Longest wait for its adapter, in ms.
    pub(crate) fn limit_ms(&self) -> u64 {
        let useful_ms = self.objective_ms.max(self.patience_ms);
        self.remaining_ms.min(useful_ms) + 1
    }
}

/// The engine of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Binding {
    pub(crate) target: Name,
    /// The adapter's version there.
    pub(crate) version: u64,
    /// Prompt tokens to prefill there.
    pub(crate) unread_tokens: u64,
    /// Ms to the first token that the holder expects.
    pub(crate) wait_ms: u64,
    /// Whether the adapter is requested so often that each failure domain should
    /// have engines of its own for it.
    pub(crate) hot: bool,
    /// Whether the holder has granted it a part of the engine's limit.
    pub(crate) granted: bool,
}

/// Why a run has no engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BindError {
    /// The holder does not answer, or no longer holds the lease; nothing is
    /// known.
    #[error("the holder does not answer")]
    NoAnswer,
    /// A load has to come first, and the request did not wait for one.
    #[error("a load has to come first")]
    LoadRequired,
    /// Its wait would be too long, in ms.
    #[error("the wait would be {0} ms")]
    TooLong(u64),
    /// No slot becomes free for it in time.
    #[error("no slot in time; one is expected in {return_ms} ms")]
    NoSlot {
        /// Ms after which the holder expects a slot for it.
        return_ms: u64,
    },
    /// No engine of the group can take it now.
    #[error("{reason}")]
    NoEngine {
        /// Why none can.
        reason: String,
        /// Engines that take no commands: they are gone, or have restarted.
        gone: Vec<Name>,
    },
}

impl BindError {
    fn no_engine(reason: &str) -> Self {
        BindError::NoEngine {
            reason: reason.to_string(),
            gone: Vec::new(),
        }
    }
}

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
    let call = client.bind(wire::ask(node.fleet.peer_addr(), &params));
    let why = match tokio::time::timeout(Duration::from_millis(limit), call).await {
        Ok(Ok(reply)) => return wire::reply(reply.into_inner()),
        Ok(Err(status)) => status.message().to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    log::info!(target: "bind", peer:% = holder, group:% = params.group, run = params.run, waits = params.may_wait, why; "lease holder does not answer");
    node.fleet.suspend_holder(&holder, node.now());
    Err(BindError::NoAnswer)
}
