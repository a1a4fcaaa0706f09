//! The software versions of one service, as one daemon has listed them.

use comfreyhall_domain::{Map, Name};

use crate::Software;

/// How much longer a new version is held back than a list of targets may be old, in
/// ms: both are rounded to ms.
const HOLD_MARGIN_MS: u64 = 20;

/// The times that the proof by history depends on.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long after its last listing a version may still have streams, in ms.
    pub horizon_ms: u64,
    /// Maximum age of the list of targets for a proof by history, in ms.
    pub max_age_ms: u64,
}

impl Timing {
    /// How long a version that has just appeared gets no new streams, in ms.
    pub fn hold_ms(&self) -> u64 {
        self.max_age_ms + HOLD_MARGIN_MS
    }
}

/// One listed target.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Its software version.
    pub software: Software,
    /// Whether it takes new requests.
    pub ready: bool,
}

/// What one daemon tells another of a version.
#[derive(Debug, Clone)]
pub struct Reported {
    /// The version.
    pub software: Software,
    /// How long ago it was first listed, in ms.
    pub first_ago_ms: u64,
    /// How long ago it was last listed, in ms; 0 if it is now.
    pub left_ago_ms: u64,
}

/// What is known of one version.
#[derive(Debug, Clone, Copy)]
struct Seen {
    first_ms: u64,
    /// When a target of it was last listed; `None` while one is.
    left_ms: Option<u64>,
    /// When a target of it last took requests; `None` while one does.
    unready_ms: Option<u64>,
}

impl Seen {
    fn within(since_ms: Option<u64>, window_ms: u64, now: u64) -> bool {
        since_ms.is_none_or(|since| now.saturating_sub(since) < window_ms)
    }
}

/// Which versions may begin a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BeginRule {
    /// Versions that have just appeared and begin no streams yet.
    pub held: Vec<Software>,
}

impl BeginRule {
    /// Whether a target that runs `software` may begin a stream.
    pub fn allows(&self, software: &Software) -> bool {
        !self.held.contains(software)
    }
}

/// The software versions of one service, as one daemon has listed them.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// Since when no listed version can have been missed.
    complete_from_ms: Option<u64>,
    seen: Map<Software, Seen>,
}

impl VersionHistory {
    /// An empty history. `first_start`: the whole fleet starts for the first time, so
    /// that no version has served before.
    pub fn new(first_start: bool) -> Self {
        Self {
            complete_from_ms: first_start.then_some(0),
            seen: Map::default(),
        }
    }

    /// Records the targets listed at `now`; versions that left before `horizon_ms` are
    /// forgotten.
    pub fn observe(&mut self, listed: &[Listing], horizon_ms: u64, now: u64) {
        self.complete_from_ms.get_or_insert(now);
        for (software, seen) in &mut self.seen {
            if !listed.iter().any(|l| l.software == *software) {
                seen.left_ms.get_or_insert(now);
            }
            if !listed.iter().any(|l| l.software == *software && l.ready) {
                seen.unready_ms.get_or_insert(now);
            }
        }
        for target in listed {
            let seen = self.seen.entry(target.software.clone()).or_insert(Seen {
                first_ms: now,
                left_ms: None,
                unready_ms: Some(now),
            });
            seen.left_ms = None;
            if target.ready {
                seen.unready_ms = None;
            }
        }
        self.seen
            .retain(|_, seen| Seen::within(seen.left_ms, horizon_ms, now));
    }

    /// Records what another daemon has seen of a version. One that this daemon has not
    /// listed may still have streams.
    pub fn learn(&mut self, reported: &Reported, now: u64) {
        let left_ms = now.saturating_sub(reported.left_ago_ms);
        let seen = self.seen.entry(reported.software.clone()).or_insert(Seen {
            first_ms: left_ms,
            left_ms: Some(left_ms),
            unready_ms: Some(left_ms),
        });
        let first_ms = now.saturating_sub(reported.first_ago_ms);
        seen.first_ms = seen.first_ms.min(first_ms);
        seen.left_ms = seen.left_ms.map(|at| at.max(left_ms));
        seen.unready_ms = seen.unready_ms.map(|at| at.max(left_ms));
    }

    /// Records another daemon's proof that `software` alone has served since
    /// `since_ms`; returns whether this history agrees.
    pub fn learn_only(&mut self, software: &Name, since_ms: u64) -> bool {
        let agrees = self.seen.keys().all(|s| s.as_ref() == Some(software));
        if agrees && let Some(from) = &mut self.complete_from_ms {
            *from = (*from).min(since_ms);
        }
        agrees
    }

    /// What this daemon has seen of all versions that may have streams.
    pub fn report(&self, now: u64) -> impl Iterator<Item = Reported> {
        let report = move |(software, seen): (&Software, &Seen)| Reported {
            software: software.clone(),
            first_ago_ms: now.saturating_sub(seen.first_ms),
            left_ago_ms: seen.left_ms.map_or(0, |at| now.saturating_sub(at)),
        };
        self.seen.iter().map(report)
    }

    /// Whether streams of several versions may exist.
    pub fn is_mixed(&self) -> bool {
        self.seen.len() > 1 || self.seen.contains_key(&None)
    }

    /// Since when this history is complete, by the daemon's clock.
    pub fn complete_from_ms(&self) -> Option<u64> {
        self.complete_from_ms
    }

    /// The version that must have begun every stream that can still be resumed;
    /// `None` if that is not certain. `as_of_ms`: a time at which the list of targets
    /// was complete.
    pub fn only_version(&self, as_of_ms: u64, timing: &Timing, now: u64) -> Option<&Name> {
        let fresh = now.saturating_sub(as_of_ms) <= timing.max_age_ms;
        let complete_from = self.complete_from_ms?;
        let complete = complete_from <= now.saturating_sub(timing.horizon_ms);
        if !fresh || !complete || self.is_mixed() {
            return None;
        }
        self.seen.keys().next()?.as_ref()
    }

    /// Which versions may begin streams now.
    ///
    /// A version that has just appeared is held back only while another one takes
    /// requests, or did a moment ago: a daemon with an older list would continue its
    /// streams there.
    pub fn begin_rule(&self, timing: &Timing, now: u64) -> BeginRule {
        let hold_ms = timing.hold_ms();
        let is_new = |seen: &Seen| now.saturating_sub(seen.first_ms) < hold_ms;
        let has_alternative = |software: &Software| {
            let mut others = self.seen.iter().filter(|(other, _)| *other != software);
            others.any(|(_, seen)| Seen::within(seen.unready_ms, hold_ms, now))
        };
        let held = self
            .seen
            .iter()
            .filter(|(software, seen)| is_new(seen) && has_alternative(software));
        BeginRule {
            held: held.map(|(software, _)| software.clone()).collect(),
        }
    }
}
