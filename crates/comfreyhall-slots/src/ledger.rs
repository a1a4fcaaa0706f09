//! Slot time by share: who has used less than others goes first.
//!
//! A share that sends six times its usual requests fills the list of waiting
//! requests. Served by priority and arrival it would get six times the slots,
//! and the others would lose theirs. So a share that has used more than an even
//! part of the slots lately yields to those that have used less; what these do
//! not use, it gets.
//!
//! Shares of workspaces come before priorities. Shares of priorities exist only
//! where callers need no key; there a more urgent route keeps its precedence,
//! because serving it less than a less urgent one costs more, and yields only
//! while it has nearly all slots.

use comfreyhall_protocol::Map;

use crate::SlotShare;

/// Half-life of the slot time that a share has used, in ms.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Part of the slots that no priority gets before others that wait.
const NEARLY_ALL: f64 = 0.9;

/// Slot time relative to an even part up to which a workspace does not yield:
/// the usual variation between workspaces of about equal use.
const EVEN_PART_TOLERANCE: f64 = 1.25;

/// Steps of precedence per doubling of a workspace's slot time. Within a step
/// requests are served by priority and arrival.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Slot time that decays.
#[derive(Debug, Clone, Copy, Default)]
struct SlotTime {
    used_ms: f64,
    at_ms: u64,
}

impl SlotTime {
    fn at(self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at_ms) as f64;
        self.used_ms * (-age / HALF_LIFE_MS).exp2()
    }
}

/// Slot time, decayed, of a run that has held its slot for the last `age_ms`.
pub fn slot_time_ms(age_ms: u64) -> f64 {
    let scale = HALF_LIFE_MS / std::f64::consts::LN_2;
    scale * (1.0 - (-(age_ms as f64) / HALF_LIFE_MS).exp2())
}

/// Slot time of ended runs in one group of engines, by share.
#[derive(Debug, Default)]
pub struct SlotLedger {
    used: Map<SlotShare, SlotTime>,
}

impl SlotLedger {
    /// Adds `slot_ms` of slot time that `share` has used until now.
    pub fn add_use(&mut self, share: &SlotShare, slot_ms: f64, now: u64) {
        let used = self.used.entry(share.clone()).or_default();
        *used = SlotTime {
            used_ms: used.at(now) + slot_ms,
            at_ms: now,
        };
    }

    /// Slot time that `share` has used lately, in ms.
    pub fn used_ms(&self, share: &SlotShare, now: u64) -> f64 {
        self.used.get(share).map_or(0.0, |u| u.at(now))
    }

    /// Each share with at least 1 ms of slot time left, and drops the others.
    pub fn shares(&mut self, now: u64) -> impl Iterator<Item = (&SlotShare, f64)> {
        self.used.retain(|_, u| u.at(now) >= 1.0);
        self.used.iter().map(move |(share, u)| (share, u.at(now)))
    }

    /// The slot time of all shares, with the runs in progress, given by share
    /// and start, and with the shares of waiting requests.
    pub fn share_use<'a>(
        &mut self,
        runs: impl Iterator<Item = (&'a SlotShare, u64)>,
        waiting: impl Iterator<Item = &'a SlotShare>,
        now: u64,
    ) -> ShareUse {
        let mut used: Map<SlotShare, f64> = self.shares(now).map(|(s, u)| (s.clone(), u)).collect();
        for (share, began_ms) in runs {
            *used.entry(share.clone()).or_default() += slot_time_ms(now.saturating_sub(began_ms));
        }
        for share in waiting {
            used.entry(share.clone()).or_default();
        }
        let total_ms = used.values().sum();
        ShareUse { used, total_ms }
    }
}

/// Slot time of all shares at one moment.
#[derive(Debug, Clone, Default)]
pub struct ShareUse {
    used: Map<SlotShare, f64>,
    total_ms: f64,
}

impl ShareUse {
    /// Slot time of `share` in ms.
    pub fn used_ms(&self, share: &SlotShare) -> f64 {
        self.used.get(share).copied().unwrap_or(0.0)
    }

    /// All shares with their slot time in ms.
    pub fn iter(&self) -> impl Iterator<Item = (&SlotShare, f64)> {
        self.used.iter().map(|(share, used)| (share, *used))
    }

    /// Precedence of `share`; the lowest is served first.
    pub(crate) fn level(&self, share: &SlotShare) -> u32 {
        if self.total_ms <= 0.0 || self.used.len() < 2 {
            return 0;
        }
        let used = self.used_ms(share);
        if share.is_priority() {
            return u32::from(used / self.total_ms > NEARLY_ALL);
        }
        let even_ms = self.total_ms / self.used.len() as f64;
        let ratio = used / even_ms;
        match ratio > EVEN_PART_TOLERANCE {
            true => 1 + (ratio.log2() * STEPS_PER_DOUBLING) as u32,
            false => 0,
        }
    }
}
