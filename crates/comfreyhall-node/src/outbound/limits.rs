//! Limits that targets name, known to all daemons and kept by them together.
//!
//! The holder of a group's lease grants what the group's targets take
//! ([`GrantingLimiter`](comfreyhall_workspace::Granting)): it binds the runs there as
//! well, and there is one of it. It hears of a limit from its own answers or
//! from those who ask it, and tells all others with its news.

use std::sync::Arc;

use comfreyhall_backpressure::{LimitReport, Rate};
use comfreyhall_domain::{Map, Name, Quota, QuotaUnit, Target};
use comfreyhall_protocol::TargetWord;
use comfreyhall_workspace::{PlacedQuota, coordinator_group};

use super::{log, shut::unavailable};
use crate::{
    caps::{self, Credit, QuotaError, QuotaKind},
    node::Node,
};

/// How long others are told that a target leaves, in ms: news reaches everybody
/// within some seconds, and a thousand targets may leave within minutes.
const TELL_MS: u64 = 10_000;

/// The limits in force, and which group's home keeps each.
pub(crate) fn limits(node: &Node, now: u64) -> Map<Name, PlacedQuota> {
    let gates = node.outbound.gates();
    if gates.is_empty() {
        return Map::default();
    }
    let limited: Vec<(Name, Rate)> = gates.limits(now).map(|(t, r)| (t.clone(), r)).collect();
    drop(gates);
    let groups = caps::groups(node);
    let kept = limited.into_iter().filter_map(|(target, rate)| {
        let group = group_of(node, &target, &groups)?;
        let cap = Quota {
            unit: QuotaUnit::Requests,
            rate: rate.per_s(),
            burst: 0.0,
        };
        Some((target, PlacedQuota { quota: cap, group }))
    });
    kept.collect()
}

/// The group that keeps the limit of `target`: that of its failure domain, whose
/// holder binds runs to it, or any that all daemons agree on.
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
        .gates()
        .limit(&target.id, node.now())
        .is_none()
    {
        return Ok(None);
    }
    let credit = caps::reserve(node, QuotaKind::Targets, &target.id, 1).await;
    credit.map(Some)
}

/// Takes a part of the limit of `target` for a run that is bound here; whether
/// the target is limited, or `None` if it takes nothing now.
pub(crate) fn grant(node: &Node, target: &Name) -> Option<bool> {
    let now = node.now();
    if unavailable(node, target).is_some() {
        return None;
    }
    match node.outbound.gates().limit(target, now) {
        None => Some(false),
        Some(_) => node.target_limits.take_local(target, now).then_some(true),
    }
}

/// Tells the home of `target` what it said here.
pub(super) fn announce(node: &Arc<Node>, target: &Name) {
    let groups = caps::groups(node);
    if let Some(group) = group_of(node, target, &groups) {
        caps::notify_coordinator(node, QuotaKind::Targets, group);
    }
}

fn to_wire(target: &Name, word: LimitReport, now: u64) -> TargetWord {
    TargetWord {
        target: target.to_string(),
        limit: word.limit.map_or(0.0, Rate::per_s),
        age_ms: now.saturating_sub(word.received_ms),
        leaving: false,
    }
}

/// What targets of `group` told this daemon itself.
pub(crate) fn own_notices(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |word, of| word.direct && of == group)
}

/// What is known of targets of `group`.
pub(crate) fn notices(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |_, of| of == group)
}

/// What a holder tells everybody of the targets of its groups.
pub(crate) fn holder_notices(node: &Node) -> Vec<TargetWord> {
    if node.outbound.gates().is_empty() {
        return Vec::new();
    }
    let held = node.leases.held(node.settings().bounds.fencing);
    select(node, |_, of| held.iter().any(|(group, _)| **group == *of))
}

fn select(node: &Node, wanted: impl Fn(&LimitReport, &str) -> bool) -> Vec<TargetWord> {
    let now = node.now();
    let known: Vec<(Name, LimitReport)> = {
        let gates = node.outbound.gates();
        gates
            .limit_reports(now)
            .map(|(t, w)| (t.clone(), w))
            .collect()
    };
    let leaving = just_leaving(node, now);
    if known.is_empty() && leaving.is_empty() {
        return Vec::new();
    }
    let groups = caps::groups(node);
    let told = known.iter().filter(|(target, word)| {
        group_of(node, target, &groups).is_some_and(|group| wanted(word, &group))
    });
    let told = told.map(|(target, word)| to_wire(target, *word, now));
    told.chain(leaving).collect()
}

/// Targets that are known to leave for a short while. It is final: everybody may
/// tell it of everybody.
fn just_leaving(node: &Node, now: u64) -> Vec<TargetWord> {
    let gates = node.outbound.gates();
    let new = gates.draining(now).filter(|(_, age)| *age < TELL_MS);
    let words = new.map(|(target, age_ms)| TargetWord {
        target: target.to_string(),
        age_ms,
        leaving: true,
        ..TargetWord::default()
    });
    words.collect()
}

/// Takes in what `from` was told by targets.
pub(crate) fn merge_notices(node: &Node, words: &[TargetWord], from: &str) {
    let now = node.now();
    let mut changed = false;
    for told in words {
        let target: Name = told.target.as_str().into();
        if told.leaving {
            let change = node
                .outbound
                .gates()
                .record_reported_drain(&target, told.age_ms, now);
            if let Some(change) = change {
                log::changed(node, &target, change, from, told.age_ms);
            }
            continue;
        }
        let word = LimitReport {
            limit: (told.limit > 0.0)
                .then(|| Rate::from_per_s(told.limit))
                .flatten(),
            received_ms: now.saturating_sub(told.age_ms),
            direct: false,
        };
        let change = node
            .outbound
            .gates()
            .record_reported_limit(&target, word, now);
        if let Some(change) = change {
            log::changed(node, &target, change, from, told.age_ms);
            changed = true;
        }
    }
    if changed {
        caps::refresh(node, QuotaKind::Targets);
    }
}
