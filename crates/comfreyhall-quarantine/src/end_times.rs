//! Ends that many targets share.
//!
//! When a rack loses its power, dozens of targets end at once, and all their runs
//! with them. A request ends one target at a time, so such ends have another
//! cause: they are weak evidence, and of the features under which only one target
//! ended, a bounded number is sent to other daemons. The load this answers is the loss
//! of a quarter of the engines with some hundred runs.
//!
//! A request that is sent to many targets at once and ends them all is still found:
//! an end is shared only if more targets ended at that time without the request
//! than under it.

use comfreyhall_domain::{Map, Name};

use crate::{
    Fingerprint,
    attribution::LATE_WEIGHT,
    case::{Case, TargetEnd},
};

/// Ends at most this far apart belong to one moment: the racks of a row lose their
/// power together, and a busy daemon notices a closed connection some hundred ms
/// later.
const MOMENT_MS: u64 = 1_000;

/// Other targets that must end in the same moment for an end to be shared. A
/// request that ends its targets costs at most this many less one before every
/// daemon holds it back, so two such requests do not hide each other.
const SHARED_TARGETS: usize = 8;

/// Features of one moment with a single end that are sent to other daemons.
const MAX_SHARED_CASES: usize = 32;

/// Targets kept; the oldest are dropped first.
const MAX_TARGETS: usize = 1_024;

/// When each target ended, whatever became of the requests that were there.
#[derive(Debug, Default)]
pub(crate) struct EndTimes {
    by_target: Map<Name, u64>,
    /// The same times in order: when many targets end at once, each of hundreds of
    /// findings asks how many ended around it.
    sorted: Vec<u64>,
}

impl EndTimes {
    /// Records that `target` ended; returns whether that is new or earlier than
    /// was known. The earliest report counts: later ones were delayed on their way
    /// between daemons.
    pub(crate) fn record(&mut self, target: &Name, at_ms: u64) -> bool {
        let earlier = self.of(target).is_none_or(|known| at_ms < known);
        if earlier {
            self.forget(target);
            self.by_target.insert(target.clone(), at_ms);
            let place = self.sorted.partition_point(|at| *at <= at_ms);
            self.sorted.insert(place, at_ms);
        }
        if self.by_target.len() > MAX_TARGETS {
            let oldest = self.by_target.iter().min_by_key(|(name, at)| (**at, *name));
            if let Some(target) = oldest.map(|(name, _)| name.clone()) {
                self.forget(&target);
            }
        }
        earlier
    }

    fn forget(&mut self, target: &Name) {
        let Some(at_ms) = self.by_target.remove(target) else {
            return;
        };
        if let Ok(place) = self.sorted.binary_search(&at_ms) {
            self.sorted.remove(place);
        }
    }

    /// Forgets ends before `since_ms`.
    pub(crate) fn expire(&mut self, since_ms: u64) {
        self.by_target.retain(|_, at| *at >= since_ms);
        self.sorted.retain(|at| *at >= since_ms);
    }

    /// When `target` ended.
    pub(crate) fn of(&self, target: &Name) -> Option<u64> {
        self.by_target.get(target).copied()
    }

    fn time_of(&self, end: &TargetEnd) -> u64 {
        self.of(&end.target).unwrap_or(end.at_ms)
    }

    /// How many targets ended around `at_ms`.
    fn count_around(&self, at_ms: u64) -> usize {
        let before = |limit_ms| self.sorted.partition_point(|at| *at < limit_ms);
        before(at_ms + MOMENT_MS + 1) - before(at_ms.saturating_sub(MOMENT_MS))
    }

    /// Whether so many targets ended around `at_ms` that a request is not the
    /// cause.
    pub(crate) fn is_mass(&self, at_ms: u64) -> bool {
        self.count_around(at_ms) > SHARED_TARGETS
    }

    /// Whether `end` of `case` has a cause that other targets share.
    pub(crate) fn is_shared(&self, case: &Case, end: &TargetEnd) -> bool {
        let at_ms = self.time_of(end);
        let is_near = |e: &&TargetEnd| {
            let time = self.of(&e.target);
            time.is_some_and(|t| t.abs_diff(at_ms) <= MOMENT_MS)
        };
        let own = case.ends.iter().filter(is_near).count();
        let others = self.count_around(at_ms) - own;
        others >= SHARED_TARGETS && others > own
    }

    /// Weight of those of the ends of `case` that `counted` selects: shared ones
    /// count together as a late end, once per moment.
    pub(crate) fn weight(&self, case: &Case, counted: impl Fn(&TargetEnd) -> bool) -> u32 {
        let counted = case.ends.iter().filter(|e| counted(e));
        let (shared, alone): (Vec<&TargetEnd>, Vec<&TargetEnd>) =
            counted.partition(|e| self.is_shared(case, e));
        let mut times: Vec<u64> = shared.iter().map(|e| self.time_of(e)).collect();
        times.sort_unstable();
        let moments = times.chunk_by(|a, b| b - a <= MOMENT_MS).count() as u32;
        alone.iter().map(|e| e.weight()).sum::<u32>() + moments * LATE_WEIGHT
    }

    /// Which of the `cases` of the moment of `target` need not be sent to other
    /// daemons: the newest of those with a single end, except the last report of a
    /// target.
    pub(crate) fn excess(&self, cases: &Map<Fingerprint, Case>, target: &Name) -> Vec<Fingerprint> {
        let Some(at_ms) = self.of(target).filter(|at| self.is_mass(*at)) else {
            return Vec::new();
        };
        let in_moment = |e: &TargetEnd| self.time_of(e).abs_diff(at_ms) <= MOMENT_MS;
        let single = cases.iter().filter_map(|(f, c)| match &c.ends[..] {
            [end] if end.serial > 0 && in_moment(end) => Some((*f, end)),
            _ => None,
        });
        let mut single: Vec<(Fingerprint, &TargetEnd)> = single.collect();
        let mut excess = single.len().saturating_sub(MAX_SHARED_CASES);
        if excess == 0 {
            return Vec::new();
        }
        let mut reports: Map<&Name, usize> = Map::default();
        for end in cases.values().flat_map(Case::sent_ends) {
            *reports.entry(&end.target).or_default() += 1;
        }
        single.sort_by_key(|(_, end)| std::cmp::Reverse(end.serial));
        single.retain(|(_, end)| {
            let others = reports
                .get_mut(&end.target)
                .filter(|n| excess > 0 && **n > 1);
            others.is_some_and(|n| {
                *n -= 1;
                excess -= 1;
                true
            })
        });
        single.into_iter().map(|(f, _)| f).collect()
    }
}
