//! Which targets are unavailable now, and for how long.

use std::sync::Arc;

use comfreyhall_domain::{Map, Name, Set, Target};

use crate::node::Node;

/// Retry delay when all targets are draining, in ms: their replacements start
/// within some seconds, and are listed within one.
const DRAINING_RETRY_MS: u64 = 1_000;

/// Maximum number of targets named in one log line.
const MAX_LISTED_TARGETS: usize = 8;

/// Why nothing may be sent to a target now, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unavailable {
    /// The reason, from what it announced.
    pub(crate) why: &'static str,
    /// Ms until it may take work.
    pub(crate) retry_ms: u64,
}

/// Why `target` takes neither requests nor commands now, whatever its limit.
pub(crate) fn unavailable(node: &Node, target: &Name) -> Option<Unavailable> {
    let now = node.now();
    let signals = node.outbound.signals();
    if signals.is_draining(target, now) {
        return Some(Unavailable {
            why: "it is draining",
            retry_ms: DRAINING_RETRY_MS,
        });
    }
    let retry_ms = signals.cooldown_ms(target, now);
    let why = "it is in cooldown";
    (retry_ms > 0).then_some(Unavailable { why, retry_ms })
}

/// Whether `target` has announced that it is draining.
pub(crate) fn is_draining(node: &Node, target: &Name) -> bool {
    node.outbound.signals().is_draining(target, node.now())
}

/// States of the first few of `targets`, for the log: a fleet of hundreds must
/// not fill it with one line.
pub(crate) fn describe_unavailable(node: &Node, targets: &[Arc<Target>], now: u64) -> String {
    let signals = node.outbound.signals();
    let states = targets.iter().take(MAX_LISTED_TARGETS).map(|t| {
        let id = &t.id;
        if signals.is_draining(id, now) {
            return format!("{id} leaves");
        }
        match (signals.cooldown_ms(id, now), signals.limit(id, now)) {
            (0, Some(limit)) => format!("{id} takes {} a second", limit.per_s()),
            (0, None) => format!("{id} said nothing"),
            (ms, _) => format!("{id} rests for {ms} ms"),
        }
    });
    let states: Vec<String> = states.collect();
    let more = targets.len().saturating_sub(MAX_LISTED_TARGETS);
    match more {
        0 => states.join(", "),
        _ => format!("{} and {more} more", states.join(", ")),
    }
}

/// Targets that take no requests now, or are to load no more adapters.
#[derive(Debug, Default)]
pub(crate) struct UnavailableTargets {
    /// Targets to which nothing may be sent, and for how many ms.
    no_sends: Map<Name, u64>,
    /// Targets that are to load nothing more.
    no_loads: Set<Name>,
}

impl UnavailableTargets {
    /// As known by this daemon.
    pub(crate) fn current(node: &Node, now: u64) -> Self {
        let mut found = Self::default();
        let signals = node.outbound.signals();
        for (target, _) in signals.draining(now) {
            found.no_sends.insert(target.clone(), DRAINING_RETRY_MS);
            found.no_loads.insert(target.clone());
        }
        for (target, ms) in signals.cooldowns(now) {
            let known_ms = found.no_sends.entry(target.clone()).or_default();
            *known_ms = ms.max(*known_ms);
            found.no_loads.insert(target.clone());
        }
        for (target, _) in signals.limits(now) {
            let ms = node.target_limits.unavailable_ms(target, now);
            if ms > 0 {
                let known_ms = found.no_sends.entry(target.clone()).or_default();
                *known_ms = ms.max(*known_ms);
            }
            if !node.target_limits.has_spare(target, now) {
                found.no_loads.insert(target.clone());
            }
        }
        found
    }

    /// Whether nothing may be sent to `target`.
    pub(crate) fn blocks_sends(&self, target: &Name) -> bool {
        self.no_sends.contains_key(target)
    }

    /// Whether `target` is to load nothing more: its limit is below the demand
    /// for what it holds.
    pub(crate) fn blocks_loads(&self, target: &Name) -> bool {
        self.no_loads.contains(target)
    }

    /// Ms until one of `targets` may take work, if none does now.
    pub(crate) fn all_ms<'a>(&self, targets: impl Iterator<Item = &'a Name>) -> Option<u64> {
        let mut least = None;
        for target in targets {
            let ms = *self.no_sends.get(target)?;
            least = Some(least.map_or(ms, |l: u64| l.min(ms)));
        }
        least
    }
}
