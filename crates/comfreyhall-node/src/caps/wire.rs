//! Settling, as messages between daemons.

use std::sync::Arc;

use comfreyhall_protocol::{CapCall, CapLine, CapReply, CapSettled, CapsOf};
use comfreyhall_workspace::{GrantLine, SettleReply, SettleRequest, UsageLine};

use super::QuotaKind;
use crate::{node::Node, outbound};

fn of_wire(of: CapsOf) -> QuotaKind {
    match of {
        CapsOf::Workspaces => QuotaKind::Workspaces,
        CapsOf::Targets => QuotaKind::Targets,
    }
}

/// A call about caps `of` workspaces or targets. One about targets bears what
/// they told this daemon.
pub(super) fn call(node: &Node, of: QuotaKind, call: &SettleRequest) -> CapCall {
    let lines = call.lines.iter().map(|l| CapLine {
        workspace: l.workspace.clone(),
        held: l.balance,
        reserved: l.reserved,
        returned: l.returned,
        need: l.need,
        least: l.min_need,
        want: l.prefetch,
        demand: l.demand,
    });
    CapCall {
        from: call.from.clone(),
        boot: call.boot,
        serial: call.serial,
        group: call.group.clone(),
        share: call.share,
        as_of: call.as_of,
        term_ms: call.term_ms,
        lines: lines.collect(),
        of: match of {
            QuotaKind::Workspaces => CapsOf::Workspaces,
            QuotaKind::Targets => CapsOf::Targets,
        }
        .into(),
        words: match of {
            QuotaKind::Workspaces => Vec::new(),
            QuotaKind::Targets => outbound::own_notices(node, &call.group),
        },
    }
}

fn from_call(call: CapCall) -> SettleRequest {
    let lines = call.lines.into_iter().map(|l| UsageLine {
        workspace: l.workspace,
        balance: units(l.held),
        reserved: units(l.reserved),
        returned: units(l.returned),
        need: units(l.need),
        min_need: units(l.least),
        prefetch: units(l.want),
        demand: units(l.demand),
    });
    SettleRequest {
        from: call.from,
        boot: call.boot,
        serial: call.serial,
        group: call.group,
        share: units(call.share),
        as_of: call.as_of,
        term_ms: call.term_ms,
        lines: lines.collect(),
    }
}

/// A number of units as another daemon told it; nonsense is none.
fn units(told: f64) -> f64 {
    if told.is_finite() { told.max(0.0) } else { 0.0 }
}

fn reply(node: &Node, of: QuotaKind, group: &str, reply: SettleReply) -> CapReply {
    let lines = reply.lines.into_iter().map(|l| CapSettled {
        workspace: l.workspace,
        grant: l.grant,
        retry_ms: l.retry_ms,
        others: l.other_demand,
        lent: l.lent,
    });
    CapReply {
        boot: reply.boot,
        clock: reply.clock_ms,
        part: reply.lendable_share,
        lines: lines.collect(),
        words: match of {
            QuotaKind::Workspaces => Vec::new(),
            QuotaKind::Targets => outbound::notices(node, group),
        },
    }
}

pub(super) fn from_reply(node: &Node, reply: CapReply) -> SettleReply {
    outbound::merge_notices(node, &reply.words, "home");
    let lines = reply.lines.into_iter().map(|l| GrantLine {
        workspace: l.workspace,
        grant: units(l.grant),
        retry_ms: l.retry_ms,
        other_demand: units(l.others),
        lent: units(l.lent),
    });
    SettleReply {
        boot: reply.boot,
        clock_ms: reply.clock,
        lendable_share: units(reply.part),
        lines: lines.collect(),
    }
}

/// Answers another daemon that settles here.
pub(crate) fn answer(node: &Arc<Node>, message: CapCall) -> CapReply {
    let of = of_wire(message.of());
    outbound::merge_notices(node, &message.words, &message.from);
    super::refresh(node, of);
    let call = from_call(message);
    let now = node.now();
    let met = node.fleet.known_since_ms(&call.from).unwrap_or(now);
    let answered = match &mut node.quotas_of(of).state().meter {
        Some(meter) => meter.handle_settle(&call, met, now),
        None => SettleReply {
            boot: node.fleet.boot(),
            clock_ms: now,
            ..SettleReply::default()
        },
    };
    reply(node, of, &call.group, answered)
}
