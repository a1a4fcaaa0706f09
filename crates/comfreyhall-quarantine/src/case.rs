//! Evidence about one feature of requests.

use comfreyhall_domain::Name;

use crate::{Feature, FeatureKind, attribution};

/// Targets kept for one request: more than are needed to quarantine it for
/// certain, so that the ends of its bystanders' targets can be attributed to
/// it.
const MAX_CASE_ENDS: usize = 16;

/// How much the times at which two daemons place the same observation may
/// differ: messages carry its age, and each daemon counts back from the receipt.
///
/// Without this tolerance a daemon takes its own observation, sent back to it,
/// for a newer one, and two daemons send each other the same one for ever.
const TIME_TOLERANCE_MS: u64 = 2_000;

/// An observation of a feature, to be sent to every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The feature.
    pub feature: Feature,
    /// What was observed.
    pub observation: Observation,
    /// When, in ms of the clock of the daemon that keeps it.
    pub at_ms: u64,
    /// Id of the daemon that observed it.
    pub observer: Name,
}

/// What was observed of a request, and so of each of its features.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// This boot of a target ended while the request was there.
    TargetEnded {
        /// The boot that ended.
        target: Name,
        /// Whether the request had just started to run there, as far as is
        /// known.
        early: bool,
    },
    /// A target ran it to completion, or went on well after it had begun to answer,
    /// so none of its features is what ends targets.
    Completed,
}

/// A target that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// The boot that ended.
    pub target: Name,
    /// When it ended.
    pub at_ms: u64,
    /// Id of the daemon that observed it.
    pub observer: Name,
    /// Whether the request had just started to run there.
    pub early: bool,
    /// Local sequence number of this observation; 0 if it is not sent to other
    /// daemons.
    pub(crate) serial: u64,
}

impl TargetEnd {
    /// Weight of this end as evidence against the request.
    pub(crate) fn weight(&self) -> u32 {
        match self.early {
            true => attribution::EARLY_WEIGHT,
            false => attribution::LATE_WEIGHT,
        }
    }
}

/// When a request with the feature was last observed to complete.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) at_ms: u64,
    pub(crate) observer: Name,
    pub(crate) serial: u64,
}

/// All evidence about one feature.
#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub(crate) kind: FeatureKind,
    /// Targets that ended under it, each once.
    pub(crate) ends: Vec<TargetEnd>,
    /// Kept after the ends are dropped: older evidence may still be on its way
    /// from a daemon that does not know yet.
    pub(crate) completion: Option<Completion>,
}

impl Case {
    /// One without evidence.
    pub(crate) fn new(kind: FeatureKind) -> Self {
        Self {
            kind,
            ends: Vec::new(),
            completion: None,
        }
    }

    /// Time of the latest observation.
    pub(crate) fn last_ms(&self) -> u64 {
        let ends = self.ends.iter().map(|e| e.at_ms);
        let completion = self.completion.iter().map(|c| c.at_ms);
        ends.chain(completion).max().unwrap_or(0)
    }

    /// Time at which the last target ended under it.
    pub(crate) fn last_end_ms(&self) -> u64 {
        self.ends.iter().map(|e| e.at_ms).max().unwrap_or(0)
    }

    /// The ends that are sent to other daemons.
    pub(crate) fn sent_ends(&self) -> impl Iterator<Item = &TargetEnd> {
        self.ends.iter().filter(|e| e.serial > 0)
    }

    /// Has all ends sent to other daemons, once there are several; returns the last
    /// sequence number used, from `serial` on.
    pub(crate) fn send_all(&mut self, mut serial: u64) -> u64 {
        let several = self.ends.len() > 1;
        for end in self.ends.iter_mut().filter(|e| several && e.serial == 0) {
            serial += 1;
            end.serial = serial;
        }
        serial
    }

    /// Sum of the weights of all ends.
    pub(crate) fn weight(&self) -> u32 {
        self.ends.iter().map(TargetEnd::weight).sum()
    }

    /// Whether `target` ended under it.
    pub(crate) fn ended_target(&self, target: &Name) -> bool {
        self.ends.iter().any(|e| e.target == *target)
    }

    /// Adds a target that ended under it; returns whether that is new. `replace`:
    /// whether a case that is full drops its oldest end for a later one.
    pub(crate) fn add_end(&mut self, end: TargetEnd, replace: bool) -> bool {
        let completed_since = self
            .completion
            .as_ref()
            .is_some_and(|c| c.at_ms >= end.at_ms);
        if completed_since {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.target == end.target) {
            // Several runs with a segment may have been there, one of them just begun.
            let stronger = !self.kind.is_request() && end.early && !known.early;
            if stronger {
                *known = end;
            }
            return stronger;
        }
        if self.ends.len() >= MAX_CASE_ENDS && !(replace && self.drop_older(end.at_ms)) {
            return false;
        }
        self.ends.push(end);
        true
    }

    /// Drops the oldest end if it is older than `at_ms`, whichever daemon reported
    /// it; returns whether it is.
    fn drop_older(&mut self, at_ms: u64) -> bool {
        let oldest = self.ends.iter().enumerate().min_by_key(|(_, e)| e.at_ms);
        let oldest = oldest.map(|(i, e)| (i, e.at_ms + TIME_TOLERANCE_MS));
        let Some((i, _)) = oldest.filter(|(_, until)| *until < at_ms) else {
            return false;
        };
        self.ends.remove(i);
        true
    }

    /// Records that it completed; returns whether that is new.
    pub(crate) fn record_completion(&mut self, completion: Completion) -> bool {
        let before = self.ends.len();
        self.ends.retain(|e| e.at_ms > completion.at_ms);
        let known_until_ms = self
            .completion
            .as_ref()
            .map(|c| c.at_ms + TIME_TOLERANCE_MS);
        let new = self.ends.len() < before || known_until_ms.is_none_or(|k| k < completion.at_ms);
        if new {
            self.completion = Some(completion);
        }
        new
    }
}
