//! Rate limits that targets announce, shared and enforced by all daemons
//! together.
//!
//! The holder of a group's lease grants the capacity of the group's targets
//! ([`GrantingLimiter`](comfreyhall_workspace::GrantingLimiter)): it also binds the runs
//! there, and there is only one holder. It learns of a limit from its own
//! responses or from the daemons that ask it, and spreads it by gossip.

use std::sync::Arc;

use comfreyhall_backpressure::{LimitReport, Rate};
use comfreyhall_domain::{Map, Name, Quota, QuotaUnit, Target};
use comfreyhall_protocol::TargetWord;
use comfreyhall_workspace::{PlacedQuota, coordinator_group};

use super::{availability::unavailable, log};
use crate::{
    node::Node,
    quotas::{self, Credit, QuotaError, QuotaKind},
};

/// How long the draining of a target is gossiped, in ms: gossip reaches every
/// daemon within some seconds, and a thousand targets may drain within minutes.
const DRAINING_GOSSIP_MS: u64 = 10_000;

/// The active limits, and the group whose coordinator enforces each.
pub(crate) fn limits(node: &Node, now: u64) -> Map<Name, PlacedQuota> {
    let signals = node.outbound.signals();
    if signals.is_empty() {
        return Map::default();
    }
    let limited: Vec<(Name, Rate)> = signals.limits(now).map(|(t, r)| (t.clone(), r)).collect();
    drop(signals);
    let groups = quotas::groups(node);
    let quotas = limited.into_iter().filter_map(|(target, rate)| {
        let group = group_of(node, &target, &groups)?;
        let quota = Quota {
            unit: QuotaUnit::Requests,
            rate: rate.per_s(),
            burst: 0.0,
        };
        Some((target, PlacedQuota { quota, group }))
    });
    quotas.collect()
}

/// The group that enforces the limit of `target`: that of its failure domain,
/// whose lease holder binds runs to it, or otherwise one that all daemons agree
/// on.
fn group_of(node: &Node, target: &Name, groups: &[Name]) -> Option<Name> {
    let known = node.view().targets.get(target).cloned();
    let domain = known.and_then(|t| groups.iter().find(|g| **g == t.failure_domain));
    domain
        .or_else(|| coordinator_group(target, groups))
        .cloned()
}

/// Takes a part of the limit of `target`, if it has one.
pub(super) async fn reserve(
    node: &Arc<Node>,
    target: &Target,
) -> Result<Option<Credit>, QuotaError> {
    if node
        .outbound
        .signals()
        .limit(&target.id, node.now())
        .is_none()
    {
        return Ok(None);
    }
    let credit = quotas::reserve(
        node,
        QuotaKind::Targets,
        &target.id,
        1,
        QuotaKind::Targets.answer_ms(),
    )
    .await;
    credit.map(Some)
}

/// Takes a part of the limit of `target` for a run that is bound here. Returns
/// whether the target is limited, or `None` if it takes nothing now.
pub(crate) fn grant(node: &Node, target: &Name) -> Option<bool> {
    let now = node.now();
    if unavailable(node, target).is_some() {
        return None;
    }
    match node.outbound.signals().limit(target, now) {
        None => Some(false),
        Some(_) => node.target_limits.take_local(target, now).then_some(true),
    }
}

/// Reports what `target` announced here to its coordinator.
pub(super) fn announce(node: &Arc<Node>, target: &Name) {
    let groups = quotas::groups(node);
    if let Some(group) = group_of(node, target, &groups) {
        quotas::notify_coordinator(node, QuotaKind::Targets, group);
    }
}

fn to_wire(target: &Name, notice: LimitReport, now: u64) -> TargetWord {
    TargetWord {
        target: target.to_string(),
        limit: notice.limit.map_or(0.0, Rate::per_s),
        age_ms: now.saturating_sub(notice.received_ms),
        leaving: false,
    }
}

/// What targets of `group` announced to this daemon itself.
pub(crate) fn own_notices(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |notice, of| notice.direct && of == group)
}

/// What is known of targets of `group`.
pub(crate) fn notices(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |_, of| of == group)
}

/// What a lease holder gossips about the targets of its groups.
pub(crate) fn holder_notices(node: &Node) -> Vec<TargetWord> {
    if node.outbound.signals().is_empty() {
        return Vec::new();
    }
    let held = node.leases.held(node.settings().bounds.fencing);
    select(node, |_, of| held.iter().any(|(group, _)| **group == *of))
}

fn select(node: &Node, wanted: impl Fn(&LimitReport, &str) -> bool) -> Vec<TargetWord> {
    let now = node.now();
    let known: Vec<(Name, LimitReport)> = {
        let signals = node.outbound.signals();
        signals
            .limit_reports(now)
            .map(|(t, w)| (t.clone(), w))
            .collect()
    };
    let draining = recently_draining(node, now);
    if known.is_empty() && draining.is_empty() {
        return Vec::new();
    }
    let groups = quotas::groups(node);
    let selected = known.iter().filter(|(target, notice)| {
        group_of(node, target, &groups).is_some_and(|group| wanted(notice, &group))
    });
    let selected = selected.map(|(target, notice)| to_wire(target, *notice, now));
    selected.chain(draining).collect()
}

/// Targets that have been known to drain for a short while only. Draining is
/// final, so any daemon may report it of any target.
fn recently_draining(node: &Node, now: u64) -> Vec<TargetWord> {
    let signals = node.outbound.signals();
    let new = signals
        .draining(now)
        .filter(|(_, age)| *age < DRAINING_GOSSIP_MS);
    let notices = new.map(|(target, age_ms)| TargetWord {
        target: target.to_string(),
        age_ms,
        leaving: true,
        ..TargetWord::default()
    });
    notices.collect()
}

/// Merges what targets announced to `from`.
pub(crate) fn merge_notices(node: &Node, notices: &[TargetWord], from: &str) {
    let now = node.now();
    let mut changed = false;
    for notice in notices {
        let target: Name = notice.target.as_str().into();
        if notice.leaving {
            let change = node
                .outbound
                .signals()
                .record_reported_drain(&target, notice.age_ms, now);
            if let Some(change) = change {
                log::log_change(node, &target, change, from, notice.age_ms);
            }
            continue;
        }
        let limit_report = LimitReport {
            limit: (notice.limit > 0.0)
                .then(|| Rate::from_per_s(notice.limit))
                .flatten(),
            received_ms: now.saturating_sub(notice.age_ms),
            direct: false,
        };
        let change = node
            .outbound
            .signals()
            .record_reported_limit(&target, limit_report, now);
        if let Some(change) = change {
            log::log_change(node, &target, change, from, notice.age_ms);
            changed = true;
        }
    }
    if changed {
        quotas::refresh(node, QuotaKind::Targets);
    }
}
