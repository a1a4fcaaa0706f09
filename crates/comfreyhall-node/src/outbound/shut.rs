//! Which targets are no choice now, and until when.

use std::sync::Arc;

use comfreyhall_domain::{Map, Name, Set, Target};

use crate::node::Node;

/// When to look for another target where all leave, in ms: others come in some
/// seconds, and are listed within one.
const LEAVING_MS: u64 = 1_000;

/// Targets named in one line of the log.
const NAMED: usize = 8;

/// Why nothing may be sent to a target now, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unavailable {
    /// What it said.
    pub(crate) why: &'static str,
    /// Until it may take something, in ms.
    pub(crate) retry_ms: u64,
}

/// Why `target` takes neither requests nor orders now, whatever its limit.
pub(crate) fn unavailable(node: &Node, target: &Name) -> Option<Unavailable> {
    let now = node.now();
    let gates = node.outbound.gates();
    if gates.is_draining(target, now) {
        return Some(Unavailable {
            why: "it leaves",
            retry_ms: LEAVING_MS,
        });
    }
    let retry_ms = gates.cooldown_ms(target, now);
    let why = "it asked for rest";
    (retry_ms > 0).then_some(Unavailable { why, retry_ms })
}

/// Whether `target` has said that it leaves.
pub(crate) fn is_draining(node: &Node, target: &Name) -> bool {
    node.outbound.gates().is_draining(target, node.now())
}

/// What the first few of `targets` said, for the log: a fleet of hundreds must
/// not fill it with one line.
pub(crate) fn describe_unavailable(node: &Node, targets: &[Arc<Target>], now: u64) -> String {
    let gates = node.outbound.gates();
    let said = targets.iter().take(NAMED).map(|t| {
        let id = &t.id;
        if gates.is_draining(id, now) {
            return format!("{id} leaves");
        }
        match (gates.cooldown_ms(id, now), gates.limit(id, now)) {
            (0, Some(limit)) => format!("{id} takes {} a second", limit.per_s()),
            (0, None) => format!("{id} said nothing"),
            (ms, _) => format!("{id} rests for {ms} ms"),
        }
    });
    let said: Vec<String> = said.collect();
    let more = targets.len().saturating_sub(NAMED);
    match more {
        0 => said.join(", "),
        _ => format!("{} and {more} more", said.join(", ")),
    }
}

/// Targets that take nothing now, or nothing more to hold.
#[derive(Debug, Default)]
pub(crate) struct UnavailableTargets {
    /// Those to which nothing may be sent, and for how many ms.
    sends: Map<Name, u64>,
    /// Those that are to load nothing more.
    loads: Set<Name>,
}

impl UnavailableTargets {
    /// As far as is known here.
    pub(crate) fn current(node: &Node, now: u64) -> Self {
        let mut targets = Self::default();
        let gates = node.outbound.gates();
        for (target, _) in gates.draining(now) {
            targets.sends.insert(target.clone(), LEAVING_MS);
            targets.loads.insert(target.clone());
        }
        for (target, ms) in gates.cooldowns(now) {
            let known = targets.sends.entry(target.clone()).or_default();
            *known = ms.max(*known);
            targets.loads.insert(target.clone());
        }
        for (target, _) in gates.limits(now) {
            let ms = node.target_limits.unavailable_ms(target, now);
            if ms > 0 {
                let known = targets.sends.entry(target.clone()).or_default();
                *known = ms.max(*known);
            }
            if !node.target_limits.has_spare(target, now) {
                targets.loads.insert(target.clone());
            }
        }
        targets
    }

    /// Whether nothing may be sent to `target`.
    pub(crate) fn blocks_sends(&self, target: &Name) -> bool {
        self.sends.contains_key(target)
    }

    /// Whether `target` is to load nothing more: it takes less than it is asked
    /// for already.
    pub(crate) fn blocks_loads(&self, target: &Name) -> bool {
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
