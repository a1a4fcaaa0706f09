//! Answers of a quota coordinator to other daemons.

use std::sync::Arc;

use comfreyhall_protocol::{CapCall, CapReply};
use comfreyhall_workspace::SettleReply;

use super::{refresh, state::QuotaKind, wire};
use crate::{node::Node, outbound};

/// Answers a settlement call of another daemon.
pub(crate) fn answer(node: &Arc<Node>, message: CapCall) -> CapReply {
    let kind = wire::kind_from_wire(message.of());
    outbound::merge_notices(node, &message.words, &message.from);
    refresh(node, kind);
    let call = wire::from_call(message);
    let now = node.now();
    let known_since = node.fleet.known_since_ms(&call.from).unwrap_or(now);
    let answered = match &mut node.quotas_of(kind).state().limiter {
        Some(limiter) => limiter.handle_settle(&call, known_since, now),
        None => SettleReply {
            boot: node.fleet.boot(),
            clock_ms: now,
            ..SettleReply::default()
        },
    };
    let words = match kind {
        QuotaKind::Workspaces => Vec::new(),
        QuotaKind::Targets => outbound::notices(node, &call.group),
    };
    wire::reply(answered, words)
}
