//! What is known of one request.

use comfreyhall_domain::Name;

use crate::{Fingerprint, weigh};

/// Targets kept for one request: more than are needed to hold it back for
/// certain, so that what its bystanders lost can be put down to it.
const MOST_ENDS: usize = 16;

/// How much the moments at which two daemons take the same thing to have
/// happened may differ, in ms: each counts back from when it was told.
///
/// What goes wrong without it: one takes what comes back to it for newer, and
/// both tell each other the same for ever.
const SAME_MS: u64 = 2_000;

/// Something seen of a request, to be told to every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was seen.
    pub observation: Observation,
    /// When, in ms of the clock of the daemon that keeps it.
    pub at_ms: u64,
    /// Id of the daemon that saw it.
    pub observer: Name,
}

/// What was seen of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// This boot of a target ended while the request was there.
    TargetEnded {
        /// The boot that ended.
        target: Name,
        /// Whether the request had just begun to run there, as far as is known.
        early: bool,
    },
    /// A target ran it to its end, so it is not what ends targets.
    Completed,
}

/// One target that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// The boot that ended.
    pub target: Name,
    /// When, in ms.
    pub at_ms: u64,
    /// Id of the daemon that saw it.
    pub observer: Name,
    /// Whether the request had just begun to run there.
    pub early: bool,
    /// Number of this finding here.
    pub(crate) serial: u64,
}

impl TargetEnd {
    /// How much it says against the request.
    pub(crate) fn weight(&self) -> u32 {
        match self.early {
            true => weigh::EARLY,
            false => weigh::LATE,
        }
    }
}

/// When a request was last seen to run whole.
#[derive(Debug, Clone)]
pub(crate) struct Cleared {
    pub(crate) at: u64,
    pub(crate) witness: Name,
    pub(crate) serial: u64,
}

/// Everything known of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Case {
    /// Targets that ended under it, each once.
    pub(crate) ends: Vec<TargetEnd>,
    /// Kept after the ends are dropped: older evidence may still be on its
    /// way from a daemon that has not heard.
    pub(crate) cleared: Option<Cleared>,
}

impl Case {
    /// When anything about it was last seen.
    pub(crate) fn last(&self) -> u64 {
        let ends = self.ends.iter().map(|e| e.at_ms);
        let cleared = self.cleared.iter().map(|c| c.at);
        ends.chain(cleared).max().unwrap_or(0)
    }

    /// When the last target ended under it.
    pub(crate) fn last_end(&self) -> u64 {
        self.ends.iter().map(|e| e.at_ms).max().unwrap_or(0)
    }

    /// How much all ends say against it.
    pub(crate) fn weight(&self) -> u32 {
        self.ends.iter().map(TargetEnd::weight).sum()
    }

    /// Whether `target` ended under it.
    pub(crate) fn has(&self, target: &Name) -> bool {
        self.ends.iter().any(|e| e.target == *target)
    }

    /// Adds a target that ended under it; whether that is new.
    pub(crate) fn end(&mut self, end: TargetEnd) -> bool {
        let cleared = self.cleared.as_ref().is_some_and(|c| c.at >= end.at_ms);
        if cleared || self.has(&end.target) || self.ends.len() >= MOST_ENDS {
            return false;
        }
        self.ends.push(end);
        true
    }

    /// Takes in that it ran whole; whether that is new.
    pub(crate) fn clear(&mut self, cleared: Cleared) -> bool {
        let before = self.ends.len();
        self.ends.retain(|e| e.at_ms > cleared.at);
        let known = self.cleared.as_ref().map(|c| c.at + SAME_MS);
        let new = self.ends.len() < before || known.is_none_or(|k| k < cleared.at);
        if new {
            self.cleared = Some(cleared);
        }
        new
    }
}
