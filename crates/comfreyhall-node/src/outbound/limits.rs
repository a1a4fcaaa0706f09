//! Limits that targets name, known to all daemons and kept by them together.
//!
//! The holder of a group's lease grants what the group's targets take
//! ([`Granting`](comfreyhall_workspace::Granting)): it binds the runs there as
//! well, and there is one of it. It hears of a limit from its own answers or
//! from those who ask it, and tells all others with its news.

use std::sync::Arc;

use comfreyhall_backpressure::{Rate, Word};
use comfreyhall_domain::{Cap, Map, Name, Set, Target, Unit};
use comfreyhall_protocol::TargetWord;
use comfreyhall_workspace::{Kept, home_group};

use super::log;
use crate::{
    caps::{self, Credit, Of, Refused},
    node::Node,
};

/// The limits in force, and which group's home keeps each.
pub(crate) fn limits(node: &Node, now: u64) -> Map<Name, Kept> {
    let gates = node.outbound.gates();
    if gates.is_empty() {
        return Map::default();
    }
    let limited: Vec<(Name, Rate)> = gates.limited(now).map(|(t, r)| (t.clone(), r)).collect();
    drop(gates);
    let groups = caps::groups(node);
    let kept = limited.into_iter().filter_map(|(target, rate)| {
        let group = group_of(node, &target, &groups)?;
        let cap = Cap {
            unit: Unit::Requests,
            rate: rate.per_s(),
            burst: 0.0,
        };
        Some((target, Kept { cap, group }))
    });
    kept.collect()
}

/// The group that keeps the limit of `target`: that of its failure domain, whose
/// holder binds runs to it, or any that all daemons agree on.
fn group_of(node: &Node, target: &Name, groups: &[Name]) -> Option<Name> {
    let known = node.view().targets.get(target).cloned();
    let domain = known.and_then(|t| groups.iter().find(|g| **g == t.domain));
    domain.or_else(|| home_group(target, groups)).cloned()
}

/// Targets that take nothing now, or nothing more to hold.
#[derive(Debug, Default)]
pub(crate) struct Shut {
    /// Those to which nothing may be sent, and for how many ms.
    sends: Map<Name, u64>,
    /// Those that are to load nothing more.
    loads: Set<Name>,
}

impl Shut {
    /// As far as is known here.
    pub(crate) fn now(node: &Node, now: u64) -> Self {
        let mut shut = Self::default();
        let gates = node.outbound.gates();
        for (target, _) in gates.limited(now) {
            let ms = node.limits.closed_ms(target, now);
            if ms > 0 {
                shut.sends.insert(target.clone(), ms);
            }
            if !node.limits.spare(target, now) {
                shut.loads.insert(target.clone());
            }
        }
        shut
    }

    /// Whether nothing may be sent to `target`.
    pub(crate) fn sends(&self, target: &Name) -> bool {
        self.sends.contains_key(target)
    }

    /// Whether `target` is to load nothing more: it takes less than it is asked
    /// for already.
    pub(crate) fn loads(&self, target: &Name) -> bool {
        self.loads.contains(target)
    }

    /// Ms until one of `targets` may take something, if none does now.
    pub(crate) fn all_ms<'a>(&self, targets: impl Iterator<Item = &'a Name>) -> Option<u64> {
        let mut least = None;
        for target in targets {
            let ms = *self.sends.get(target)?;
            least = Some(least.map_or(ms, |l: u64| l.min(ms)));
        }
        least
    }
}

/// Takes a part of the limit of `target`, if it has one.
pub(super) async fn reserve(node: &Arc<Node>, target: &Target) -> Result<Option<Credit>, Refused> {
    if node
        .outbound
        .gates()
        .limit(&target.id, node.now())
        .is_none()
    {
        return Ok(None);
    }
    let credit = caps::reserve(node, Of::Targets, &target.id, 1).await;
    credit.map(Some)
}

/// Takes a part of the limit of `target` for a run that is bound here; whether
/// the target is limited, or `None` if there is nothing left.
pub(crate) fn grant(node: &Node, target: &Name) -> Option<bool> {
    let now = node.now();
    match node.outbound.gates().limit(target, now) {
        None => Some(false),
        Some(_) => node.limits.take_here(target, now).then_some(true),
    }
}

/// Tells the home of `target` what it said here.
pub(super) fn announce(node: &Arc<Node>, target: &Name) {
    let groups = caps::groups(node);
    if let Some(group) = group_of(node, target, &groups) {
        caps::tell_home(node, Of::Targets, group);
    }
}

fn to_wire(target: &Name, word: Word, now: u64) -> TargetWord {
    TargetWord {
        target: target.to_string(),
        limit: word.limit.map_or(0.0, Rate::per_s),
        age_ms: now.saturating_sub(word.heard),
    }
}

/// What targets of `group` told this daemon itself.
pub(crate) fn own_words(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |word, of| word.own && of == group)
}

/// What is known of targets of `group`.
pub(crate) fn words(node: &Node, group: &str) -> Vec<TargetWord> {
    select(node, |_, of| of == group)
}

/// What a holder tells everybody of the targets of its groups.
pub(crate) fn words_of_holder(node: &Node) -> Vec<TargetWord> {
    if node.outbound.gates().is_empty() {
        return Vec::new();
    }
    let held = node.leases.held(node.settings().bounds.fencing);
    select(node, |_, of| held.iter().any(|(group, _)| **group == *of))
}

fn select(node: &Node, wanted: impl Fn(&Word, &str) -> bool) -> Vec<TargetWord> {
    let now = node.now();
    let known: Vec<(Name, Word)> = {
        let gates = node.outbound.gates();
        gates.words(now).map(|(t, w)| (t.clone(), w)).collect()
    };
    if known.is_empty() {
        return Vec::new();
    }
    let groups = caps::groups(node);
    let told = known.iter().filter(|(target, word)| {
        group_of(node, target, &groups).is_some_and(|group| wanted(word, &group))
    });
    told.map(|(target, word)| to_wire(target, *word, now))
        .collect()
}

/// Takes in what `from` was told by targets.
pub(crate) fn learn(node: &Node, words: &[TargetWord], from: &str) {
    let now = node.now();
    let mut changed = false;
    for told in words {
        let target: Name = told.target.as_str().into();
        let word = Word {
            limit: (told.limit > 0.0).then(|| Rate::of(told.limit)).flatten(),
            heard: now.saturating_sub(told.age_ms),
            own: false,
        };
        let change = node.outbound.gates().told(&target, word, now);
        if let Some(change) = change {
            log::changed(node, &target, change, from, told.age_ms);
            changed = true;
        }
    }
    if changed {
        caps::refresh(node, Of::Targets);
    }
}
