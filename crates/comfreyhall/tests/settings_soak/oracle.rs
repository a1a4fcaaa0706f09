//! Decides which versions may be active in a daemon, and which answers violate that.
//!
//! The oracle knows when each version was sent and acknowledged, when each daemon
//! process started, and when faults disturbed which daemons. It does not depend on
//! how daemons learn of versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::{Duration, Instant},
};

use super::history::{self, Outcome, Path};

/// Time within which an acknowledged version must be active in every daemon.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// A daemon that has run without a disturbance for this long counts as undisturbed.
pub const UNDISTURBED_TIME: Duration = Duration::from_secs(4);

/// Time after an answer from which the daemon may not answer by an older version.
pub const REGRESSION_DELAY: Duration = Duration::from_millis(250);

/// Consecutive rejections on routes that certainly exist, from which a daemon counts
/// as not serving them. Fewer are allowed, as admission control rejects single
/// requests when the wait is too long.
pub const REJECTION_STREAK: usize = 3;

/// A version of the settings that was published.
#[derive(Debug, Clone, Copy)]
pub struct Version {
    pub number: u64,
    pub sent: Instant,
    pub acked: Instant,
}

/// The daemons that a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    All,
    Daemon(usize),
}

/// A time span in which a daemon may serve an older version or reject requests.
#[derive(Debug, Clone)]
pub struct Disturbance {
    pub scope: Scope,
    pub span: Range<Instant>,
}

/// Everything that was done to the fleet in a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Ordered by number.
    pub versions: Vec<Version>,
    /// Process starts, each with the index of the daemon.
    pub starts: Vec<(usize, Instant)>,
    pub disturbances: Vec<Disturbance>,
}

/// One answer of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub daemon: usize,
    pub path: Path,
    pub outcome: Outcome,
    pub sent: Instant,
    pub ended: Instant,
}

/// The guarantee that an answer violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// An undisturbed daemon answered by a version older than any that may be active.
    Stale,
    /// A daemon answered by an older version than in an earlier answer.
    Regressed,
    /// No version that had been sent allows the answer.
    Impossible,
    /// A daemon, even a disturbed one, answered 404 on a route that every version
    /// which may be active has.
    NotFound,
    /// An undisturbed daemon repeatedly rejected requests on routes that every version
    /// which may be active has.
    Rejected,
}

/// An answer that violates a guarantee, with details for the report.
#[derive(Debug, Clone, Copy)]
pub struct Violation {
    pub kind: ViolationKind,
    pub answer: Answer,
    /// Time since the first version was acknowledged.
    pub elapsed: Duration,
    /// Newest version that allows the answer.
    pub allowed_by: u64,
    /// Oldest version that may be active.
    pub required: u64,
    /// Time since the oldest version that may be active was acknowledged.
    pub required_age: Duration,
    /// Uptime of the daemon.
    pub uptime: Duration,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            kind,
            answer: a,
            elapsed,
            allowed_by,
            required,
            required_age,
            uptime,
        } = self;
        write!(
            f,
            "{elapsed:.2?} n{} {kind:?}: {:?} {:?} by {allowed_by}, required {required} acknowledged {required_age:.2?} before, up {uptime:.2?}",
            a.daemon, a.path, a.outcome
        )
    }
}

impl Record {
    fn newest_sent(&self, sent_before: Instant) -> u64 {
        let versions = self.versions.iter().filter(|v| v.sent < sent_before);
        versions.map(|v| v.number).max().unwrap_or(0)
    }

    /// The oldest version that may be active at `at`: the newest one that had been
    /// acknowledged for longer than [`APPLY_LIMIT`].
    fn required(&self, at: Instant) -> Option<Version> {
        let required = self.versions.iter().filter(|v| v.acked + APPLY_LIMIT < at);
        required.max_by_key(|v| v.number).copied()
    }

    fn start(&self, daemon: usize, at: Instant) -> Option<Instant> {
        let starts = self.starts.iter().filter(|(d, t)| *d == daemon && *t <= at);
        starts.map(|(_, t)| *t).max()
    }

    fn is_undisturbed(&self, daemon: usize, at: Instant) -> bool {
        let from = at - UNDISTURBED_TIME;
        let affects = |w: Scope| w == Scope::All || w == Scope::Daemon(daemon);
        let disturbed = self
            .disturbances
            .iter()
            .any(|d| affects(d.scope) && d.span.start <= at && d.span.end >= from);
        !disturbed && self.start(daemon, at).is_some_and(|s| s < from)
    }

    /// The oldest and the newest version that allow `answer`.
    fn allowing_versions(&self, answer: &Answer) -> Option<(u64, u64)> {
        let newest_sent = self.newest_sent(answer.ended);
        let allows = |n: &u64| history::allows(*n, answer.path, answer.outcome);
        let first = (1..=newest_sent).find(allows)?;
        let last = (1..=newest_sent).rev().find(allows)?;
        Some((first, last))
    }

    /// Whether every version that may be active has the answer's route. On any other
    /// route, a daemon that knows that it may be behind can reject the request instead
    /// of answering 404.
    fn must_have_route(&self, answer: &Answer) -> bool {
        let required = self.required(answer.sent).map_or(0, |v| v.number);
        let newest_sent = self.newest_sent(answer.ended);
        required > 0 && (required..=newest_sent).all(|n| history::has_route(n, answer.path))
    }

    /// Whether the answer at index `at` completes a streak of rejections by its daemon.
    fn completes_streak(&self, answers: &[Answer], at: usize) -> bool {
        let answer = &answers[at];
        let earlier = answers[..=at].iter().rev();
        let theirs = earlier.filter(|a| a.daemon == answer.daemon && self.must_have_route(a));
        let rejected = theirs.take_while(|a| a.outcome == Outcome::Rejected);
        rejected.take(REJECTION_STREAK).count() == REJECTION_STREAK
    }

    fn violation_kind(&self, answer: &Answer, newest_shown: u64) -> Option<ViolationKind> {
        let required = self.required(answer.sent).map_or(0, |v| v.number);
        let undisturbed = self.is_undisturbed(answer.daemon, answer.sent);
        match answer.outcome {
            Outcome::Inconclusive => return None,
            Outcome::Rejected => {
                return (undisturbed && self.must_have_route(answer))
                    .then_some(ViolationKind::Rejected);
            }
            Outcome::AnsweredBy(_) | Outcome::NotFound => {}
        }
        let Some((_, last)) = self.allowing_versions(answer) else {
            return Some(ViolationKind::Impossible);
        };
        if last < required && undisturbed {
            return Some(ViolationKind::Stale);
        }
        if last < required && answer.outcome == Outcome::NotFound {
            return Some(ViolationKind::NotFound);
        }
        (last < newest_shown).then_some(ViolationKind::Regressed)
    }
}

/// The violations in `answers`.
pub fn find_violations(record: &Record, answers: &[Answer]) -> Vec<Violation> {
    let mut out = Vec::new();
    for (at, answer) in answers.iter().enumerate() {
        let start = record.start(answer.daemon, answer.sent);
        let newest_shown = answers.iter().enumerate().filter(|(earlier_at, earlier)| {
            *earlier_at != at
                && earlier.daemon == answer.daemon
                && earlier.ended + REGRESSION_DELAY < answer.sent
                && Some(earlier.sent) >= start
                && matches!(earlier.outcome, Outcome::AnsweredBy(_) | Outcome::NotFound)
        });
        let newest_shown =
            newest_shown.filter_map(|(_, earlier)| record.allowing_versions(earlier));
        let newest_shown = newest_shown.map(|(first, _)| first).max().unwrap_or(0);
        let Some(kind) = record.violation_kind(answer, newest_shown) else {
            continue;
        };
        if kind == ViolationKind::Rejected && !record.completes_streak(answers, at) {
            continue;
        }
        let required = record.required(answer.sent);
        let first_acked = record.versions.first().map_or(answer.sent, |v| v.acked);
        out.push(Violation {
            kind,
            answer: *answer,
            elapsed: answer.sent.saturating_duration_since(first_acked),
            allowed_by: record.allowing_versions(answer).map_or(0, |(_, last)| last),
            required: required.map_or(0, |v| v.number),
            required_age: required.map_or(Duration::ZERO, |v| answer.sent - v.acked),
            uptime: start.map_or(Duration::ZERO, |s| answer.sent - s),
        });
    }
    out
}

/// The number of violations of each kind, and of the daemons that caused them.
pub fn count_by_kind(violations: &[Violation]) -> BTreeMap<String, (usize, usize)> {
    let mut daemons: BTreeMap<String, (usize, BTreeSet<usize>)> = BTreeMap::new();
    for violation in violations {
        let entry = daemons.entry(format!("{:?}", violation.kind)).or_default();
        entry.0 += 1;
        entry.1.insert(violation.answer.daemon);
    }
    let counted = daemons
        .into_iter()
        .map(|(kind, (n, d))| (kind, (n, d.len())));
    counted.collect()
}
