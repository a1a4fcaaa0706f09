//! Settlement messages between daemons.

use comfreyhall_protocol::{CapCall, CapLine, CapReply, CapSettled, CapsOf, TargetWord};
use comfreyhall_workspace::{GrantLine, SettleReply, SettleRequest, UsageLine};

use super::state::QuotaKind;

pub(super) fn kind_from_wire(kind: CapsOf) -> QuotaKind {
    match kind {
        CapsOf::Workspaces => QuotaKind::Workspaces,
        CapsOf::Targets => QuotaKind::Targets,
    }
}

/// Encodes a call about quotas of workspaces or targets, with the notices of targets
/// in `words`.
pub(super) fn call(kind: QuotaKind, call: &SettleRequest, words: Vec<TargetWord>) -> CapCall {
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
        unlent_ms: call.unlent_ms,
        lines: lines.collect(),
        of: match kind {
            QuotaKind::Workspaces => CapsOf::Workspaces,
            QuotaKind::Targets => CapsOf::Targets,
        }
        .into(),
        words,
    }
}

pub(super) fn from_call(call: CapCall) -> SettleRequest {
    let lines = call.lines.into_iter().map(|l| UsageLine {
        workspace: l.workspace,
        balance: valid_units(l.held),
        reserved: valid_units(l.reserved),
        returned: valid_units(l.returned),
        need: valid_units(l.need),
        min_need: valid_units(l.least),
        prefetch: valid_units(l.want),
        demand: valid_units(l.demand),
    });
    SettleRequest {
        from: call.from,
        boot: call.boot,
        serial: call.serial,
        group: call.group,
        share: valid_units(call.share),
        as_of: call.as_of,
        term_ms: call.term_ms,
        unlent_ms: call.unlent_ms,
        lines: lines.collect(),
    }
}

/// Reads a number of units from another daemon; an invalid one counts as zero.
fn valid_units(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

/// Encodes an answer, with the notices of targets in `words`.
pub(super) fn reply(reply: SettleReply, words: Vec<TargetWord>) -> CapReply {
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
        words,
    }
}

pub(super) fn from_reply(reply: CapReply) -> SettleReply {
    let lines = reply.lines.into_iter().map(|l| GrantLine {
        workspace: l.workspace,
        grant: valid_units(l.grant),
        retry_ms: l.retry_ms,
        other_demand: valid_units(l.others),
        lent: valid_units(l.lent),
    });
    SettleReply {
        boot: reply.boot,
        clock_ms: reply.clock,
        lendable_share: valid_units(reply.part),
        lines: lines.collect(),
    }
}
