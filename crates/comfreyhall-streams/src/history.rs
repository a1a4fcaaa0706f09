//! The software versions of one service, as one daemon has listed them.

use comfreyhall_domain::{Map, Name};

use crate::{Software, SoftwareRule};

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
    /// Id of its boot (one start of the process).
    pub boot: Name,
    /// Its software version.
    pub software: Software,
    /// Whether it takes new requests.
    pub ready: bool,
}

/// What one daemon reports of a version to another.
#[derive(Debug, Clone)]
pub struct Reported {
    /// The version.
    pub software: Software,
    /// Whether every daemon with a complete history knows it.
    pub established: bool,
    /// How long ago it was last listed, in ms; 0 if it is now.
    pub left_ago_ms: u64,
}

/// What one daemon has stored of a version.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The version.
    pub software: Software,
    /// Whether every daemon with a complete history knew it.
    pub established: bool,
}

/// One listed boot.
#[derive(Debug, Clone, Copy)]
struct Boot {
    listed_ms: u64,
    /// Since when it takes requests; `None` if it does not.
    ready_ms: Option<u64>,
}

/// What is known of one version.
#[derive(Debug, Clone, Default)]
struct Seen {
    boots: Map<Name, Boot>,
    /// Whether one boot was listed for so long that every daemon with a complete
    /// history has listed it too, and the version was stored before.
    established: bool,
    /// Whether this daemon's stored record names it.
    stored: bool,
    /// When a target of it was last listed; `None` while one is.
    left_ms: Option<u64>,
    /// When a target of it last took requests; `None` while one does.
    unready_ms: Option<u64>,
}

impl Seen {
    /// `ready_ms`: since when a target that is listed for the first time counts as
    /// ready.
    fn observe(&mut self, listed: &[&Listing], ready_ms: u64, now: u64) {
        self.boots
            .retain(|id, _| listed.iter().any(|l| l.boot == *id));
        for target in listed {
            let boot = self.boots.entry(target.boot.clone()).or_insert(Boot {
                listed_ms: now,
                ready_ms: None,
            });
            boot.ready_ms = match target.ready {
                true => Some(boot.ready_ms.unwrap_or(ready_ms)),
                false => None,
            };
        }
        self.left_ms = match listed.is_empty() {
            true => Some(self.left_ms.unwrap_or(now)),
            false => None,
        };
        self.unready_ms = match listed.iter().any(|l| l.ready) {
            true => None,
            false => Some(self.unready_ms.unwrap_or(now)),
        };
    }

    /// Whether a target of it takes requests, or did within `window_ms`.
    fn was_ready(&self, window_ms: u64, now: u64) -> bool {
        self.unready_ms
            .is_none_or(|since| now.saturating_sub(since) < window_ms)
    }

    /// Whether one boot has taken requests for `span_ms` until `as_of_ms`.
    fn steadily_ready(&self, span_ms: u64, as_of_ms: u64) -> bool {
        let steady = |boot: &Boot| {
            boot.ready_ms
                .is_some_and(|since| as_of_ms.saturating_sub(since) >= span_ms)
        };
        self.boots.values().any(steady)
    }
}

/// The times at which a daemon knew the complete list of targets.
#[derive(Debug, Clone, Default)]
pub struct ListTimes {
    /// Whether the whole fleet started for the first time with this daemon.
    first_start: bool,
    /// Since when no listed target can have been missed.
    complete_from_ms: Option<u64>,
    /// The newest time; 0 for never.
    as_of_ms: u64,
}

impl ListTimes {
    /// Before any list. `first_start`: the whole fleet starts for the first time, so
    /// that no target has served before.
    pub fn new(first_start: bool) -> Self {
        Self {
            first_start,
            ..Self::default()
        }
    }

    /// Records that the list was complete at `as_of_ms`.
    ///
    /// Between two lists that are far apart, a target may have started and ended.
    pub fn confirm(&mut self, as_of_ms: u64, timing: &Timing) {
        let gap_ms = as_of_ms.saturating_sub(self.as_of_ms);
        match self.as_of_ms {
            0 if self.is_first_complete() => self.complete_from_ms = Some(0),
            0 => self.complete_from_ms = Some(as_of_ms),
            _ if gap_ms > timing.max_age_ms => self.complete_from_ms = Some(as_of_ms),
            _ => {}
        }
        self.as_of_ms = self.as_of_ms.max(as_of_ms);
    }

    /// Whether all is known of the time before the first list, which is to come.
    fn is_first_complete(&self) -> bool {
        self.as_of_ms == 0 && (self.first_start || self.complete_from_ms == Some(0))
    }

    /// Age of the newest complete list, in ms.
    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.as_of_ms)
    }

    fn is_fresh(&self, timing: &Timing, now: u64) -> bool {
        self.as_of_ms > 0 && self.age_ms(now) <= timing.max_age_ms
    }
}

/// The software versions of one service, as one daemon has listed them.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    list: ListTimes,
    seen: Map<Software, Seen>,
}

impl VersionHistory {
    /// A history of a service of which no target was listed until now.
    pub fn new(list: ListTimes) -> Self {
        Self {
            list,
            seen: Map::default(),
        }
    }

    /// Records the targets known at `now`; versions that left before the horizon are
    /// forgotten.
    pub fn observe(&mut self, listed: &[Listing], timing: &Timing, now: u64) {
        for target in listed {
            self.seen.entry(target.software.clone()).or_default();
        }
        // What was known of earlier streams covers the time before the first list.
        let ready_ms = match self.list.is_first_complete() {
            true => 0,
            false => now,
        };
        for (software, seen) in &mut self.seen {
            let of_it = listed.iter().filter(|l| l.software == *software);
            seen.observe(&of_it.collect::<Vec<_>>(), ready_ms, now);
        }
        let kept = |left_ms: Option<u64>| {
            left_ms.is_none_or(|at| now.saturating_sub(at) < timing.horizon_ms)
        };
        self.seen.retain(|_, seen| kept(seen.left_ms));
    }

    /// Records that the observed targets were the complete list at `as_of_ms`.
    pub fn confirm(&mut self, as_of_ms: u64, timing: &Timing) {
        self.list.confirm(as_of_ms, timing);
        for seen in self.seen.values_mut() {
            let mut boots = seen.boots.values();
            let long = |b: &Boot| as_of_ms.saturating_sub(b.listed_ms) >= timing.hold_ms();
            seen.established |= seen.stored && boots.any(long);
        }
    }

    /// Records what another daemon has seen of a version. One that this daemon has not
    /// listed may still have streams.
    pub fn learn(&mut self, reported: &Reported, now: u64) {
        let left_ms = now.saturating_sub(reported.left_ago_ms);
        let seen = self.seen.entry(reported.software.clone()).or_default();
        seen.established |= reported.established;
        if seen.boots.is_empty() {
            let latest = |at: Option<u64>| Some(at.map_or(left_ms, |at| at.max(left_ms)));
            seen.left_ms = latest(seen.left_ms);
            seen.unready_ms = latest(seen.unready_ms);
        }
    }

    /// Records that this daemon's stored record names `versions`.
    pub fn mark_stored(&mut self, versions: &[Software]) {
        for (software, seen) in &mut self.seen {
            seen.stored = versions.contains(software);
        }
    }

    /// Records the versions that all daemons had stored by `now`: no other one has begun
    /// a stream before.
    pub fn learn_stored(&mut self, versions: &[Stored], now: u64) {
        for version in versions {
            let reported = Reported {
                software: version.software.clone(),
                established: version.established,
                left_ago_ms: 0,
            };
            self.learn(&reported, now);
        }
        self.list.complete_from_ms = Some(0);
        for boot in self.seen.values_mut().flat_map(|s| s.boots.values_mut()) {
            boot.ready_ms = boot.ready_ms.map(|_| 0);
        }
    }

    /// Records another daemon's proof that `software` alone has served since
    /// `since_ms`.
    pub fn learn_only(&mut self, software: &Name, since_ms: u64) {
        let agrees = self.seen.keys().all(|s| s.as_ref() == Some(software));
        if agrees && let Some(from) = &mut self.list.complete_from_ms {
            *from = (*from).min(since_ms);
        }
    }

    /// What this daemon has seen of all versions that may have streams.
    pub fn report(&self, now: u64) -> impl Iterator<Item = Reported> {
        let report = move |(software, seen): (&Software, &Seen)| Reported {
            software: software.clone(),
            established: seen.established,
            left_ago_ms: seen.left_ms.map_or(0, |at| now.saturating_sub(at)),
        };
        self.seen.iter().map(report)
    }

    /// Whether streams of several versions may exist.
    pub fn is_mixed(&self) -> bool {
        self.seen.len() > 1 || self.seen.contains_key(&None)
    }

    /// Number of versions that may have streams.
    pub fn versions(&self) -> usize {
        self.seen.len()
    }

    /// Age of the newest complete list of targets, in ms.
    pub fn age_ms(&self, now: u64) -> u64 {
        self.list.age_ms(now)
    }

    /// Whether it names every version that may have streams at `now`.
    pub fn is_complete(&self, timing: &Timing, now: u64) -> bool {
        let from_ms = self.list.complete_from_ms;
        from_ms.is_some_and(|at| at <= now.saturating_sub(timing.horizon_ms))
    }

    /// How long this history has been complete, in ms.
    pub fn span_ms(&self, now: u64) -> u64 {
        let from = self.list.complete_from_ms.unwrap_or(now);
        now.saturating_sub(from)
    }

    /// The version that must have begun every stream that can still be resumed;
    /// `None` if that is not certain.
    pub fn only_version(&self, timing: &Timing, now: u64) -> Option<&Name> {
        let complete_from = self.list.complete_from_ms?;
        let complete = self.is_complete(timing, now);
        if !self.list.is_fresh(timing, now) || !complete || self.is_mixed() {
            return None;
        }
        let (software, seen) = self.seen.iter().next()?;
        let span_ms = match complete_from {
            0 => timing.hold_ms().min(self.list.as_of_ms),
            _ => timing.hold_ms(),
        };
        let steady = seen.steadily_ready(span_ms, self.list.as_of_ms);
        software.as_ref().filter(|_| steady)
    }

    /// Which versions may begin streams now.
    ///
    /// A version that not every daemon knows is held back while another one takes
    /// requests, or may do so: a daemon that knows only that one would continue the
    /// stream there.
    pub fn begin_rule(&self, timing: &Timing, now: u64) -> SoftwareRule {
        let stale = !self.list.is_fresh(timing, now);
        let has_alternative = |software: &Software| {
            let mut others = self.seen.iter().filter(|(other, _)| *other != software);
            others.any(|(_, seen)| stale || seen.was_ready(timing.hold_ms(), now))
        };
        let new = self.seen.iter().filter(|(_, seen)| !seen.established);
        let held = new.filter(|(software, _)| has_alternative(software));
        let held: Vec<Software> = held.map(|(software, _)| software.clone()).collect();
        match held.is_empty() {
            true => SoftwareRule::Any,
            false => SoftwareRule::Except(held),
        }
    }
}
