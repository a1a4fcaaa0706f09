//! What is logged and counted of what targets say.

use comfreyhall_backpressure::{Change, Notice};
use comfreyhall_domain::{Name, Target};

use crate::node::Node;

/// One line for each odd notice, but for a flood of them.
pub(super) fn odd(node: &Node, target: &Target, notice: &Notice, now: u64) {
    for problem in &notice.anomalies {
        if let Some(left_out) = node.log_limits.odd.take(now) {
            log::warn!(target: "outbound", id:% = target.id, problem:%, left_out; "target says something odd");
        }
    }
}

/// One line for each change; `by`: whom the target told, `age`: ms since it did
/// at most.
pub(super) fn changed(node: &Node, target: &Name, change: Change, by: &str, age: u64) {
    match change {
        Change::Limited {
            limit,
            previous: before,
        } => {
            let (limit, before) = (limit.per_s(), before.map_or(0.0, |b| b.per_s()));
            log::info!(target: "outbound", id:% = target, limit, before, by, age; "target limited");
            node.metrics.target_notice("limited");
        }
        Change::Unlimited { after_ms } => {
            log::info!(target: "outbound", id:% = target, after = after_ms, by, age; "target no longer limited");
            node.metrics.target_notice("unlimited");
        }
        Change::CooldownStarted {
            cooldown_ms: rest_ms,
        } => {
            log::info!(target: "outbound", id:% = target, rest = rest_ms, by, age; "target at rest");
            node.metrics.target_notice("resting");
        }
        Change::CooldownEnded => {
            log::info!(target: "outbound", id:% = target; "target no longer at rest");
            node.metrics.target_notice("rested");
        }
        Change::Draining => {
            log::info!(target: "outbound", id:% = target, by, age; "target leaves");
            node.metrics.target_notice("leaving");
        }
    }
}
