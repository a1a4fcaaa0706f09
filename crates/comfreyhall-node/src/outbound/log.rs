//! Log lines and metrics for what targets announce.

use comfreyhall_backpressure::{Change, Notice};
use comfreyhall_domain::{Name, Target};

use crate::node::Node;

/// Logs each problem in `notice`, rate limited.
pub(super) fn log_problems(node: &Node, target: &Target, notice: &Notice, now: u64) {
    for problem in &notice.anomalies {
        if let Some(left_out) = node.log_limits.bad_notice.take(now) {
            log::warn!(target: "outbound", id:% = target.id, problem:%, left_out; "target says something odd");
        }
    }
}

/// Logs one change; `by` is who learned of it from the target, and `age` an
/// upper bound of the ms since then.
pub(super) fn log_change(node: &Node, target: &Name, change: Change, by: &str, age: u64) {
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
        Change::CooldownStarted { cooldown_ms } => {
            log::info!(target: "outbound", id:% = target, rest = cooldown_ms, by, age; "target at rest");
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
