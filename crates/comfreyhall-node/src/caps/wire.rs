//! Settling, as messages between daemons.

use std::sync::Arc;

use comfreyhall_protocol::{CapCall, CapLine, CapReply, CapSettled, CapsOf};
use comfreyhall_workspace::{Call, Line, Reply, Settled};

use super::QuotaKind;
use crate::{node::Node, outbound};

fn kind_from_wire(of: CapsOf) -> QuotaKind {
    match of {
        CapsOf::Workspaces => QuotaKind::Workspaces,
        CapsOf::Targets => QuotaKind::Targets,
    }
}

/// A call about caps `of` workspaces or targets. One about targets bears what
/// they told this daemon.
pub(super) fn call(node: &Node, of: QuotaKind, call: &Call) -> CapCall {
    let lines = call.lines.iter().map(|l| CapLine {
        workspace: l.workspace.clone(),
        held: l.held,
        reserved: l.reserved,
        returned: l.returned,
        need: l.need,
        least: l.least,
        want: l.want,
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
            QuotaKind::Targets => outbound::own_words(node, &call.group),
        },
    }
}

fn from_call(call: CapCall) -> Call {
    let lines = call.lines.into_iter().map(|l| Line {
        workspace: l.workspace,
        held: valid_units(l.held),
        reserved: valid_units(l.reserved),
        returned: valid_units(l.returned),
        need: valid_units(l.need),
        least: valid_units(l.least),
        want: valid_units(l.want),
        demand: valid_units(l.demand),
    });
    Call {
        from: call.from,
        boot: call.boot,
        serial: call.serial,
        group: call.group,
        share: valid_units(call.share),
        as_of: call.as_of,
        term_ms: call.term_ms,
        lines: lines.collect(),
    }
}

/// A number of units as another daemon told it; nonsense is none.
fn valid_units(told: f64) -> f64 {
    if told.is_finite() { told.max(0.0) } else { 0.0 }
}

fn reply(node: &Node, of: QuotaKind, group: &str, reply: Reply) -> CapReply {
    let lines = reply.lines.into_iter().map(|l| CapSettled {
        workspace: l.workspace,
        grant: l.grant,
        retry_ms: l.retry_ms,
        others: l.others,
        lent: l.lent,
    });
    CapReply {
        boot: reply.boot,
        clock: reply.clock,
        part: reply.part,
        lines: lines.collect(),
        words: match of {
            QuotaKind::Workspaces => Vec::new(),
            QuotaKind::Targets => outbound::words(node, group),
        },
    }
}

pub(super) fn from_reply(node: &Node, reply: CapReply) -> Reply {
    outbound::learn(node, &reply.words, "home");
    let lines = reply.lines.into_iter().map(|l| Settled {
        workspace: l.workspace,
        grant: valid_units(l.grant),
        retry_ms: l.retry_ms,
        others: valid_units(l.others),
        lent: valid_units(l.lent),
    });
    Reply {
        boot: reply.boot,
        clock: reply.clock,
        part: valid_units(reply.part),
        lines: lines.collect(),
    }
}

/// Answers another daemon that settles here.
pub(crate) fn answer(node: &Arc<Node>, message: CapCall) -> CapReply {
    let of = kind_from_wire(message.of());
    outbound::learn(node, &message.words, &message.from);
    super::refresh(node, of);
    let call = from_call(message);
    let now = node.now();
    let met = node.fleet.known_since_ms(&call.from).unwrap_or(now);
    let answered = match &mut node.caps_of(of).state().meter {
        Some(meter) => meter.answer(&call, met, now),
        None => Reply {
            boot: node.fleet.boot(),
            clock: now,
            ..Reply::default()
        },
    };
    reply(node, of, &call.group, answered)
}
