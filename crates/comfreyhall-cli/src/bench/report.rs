//! The counters of a run and its report.

use super::deadly::DeadlyReport;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::oracle::Violations;
use crate::args::BenchCmd;

/// Largest stall the histogram records, in ms.
pub(super) const STALL_MAX_MS: u64 = 600_000;

/// The result of one attempt, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// A complete and correct answer.
    Answered,
    /// An error that says the attempt did not run.
    NotRun,
    /// An error with unknown outcome, or no answer before the timeout.
    Unknown,
    /// The connection closed before the answer was complete.
    Truncated,
    /// An answer for another request, adapter or version.
    Wrong,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// The request id of the attempt.
    pub(super) id: String,
    pub(super) result: AttemptResult,
}

/// One request with all its attempts.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    /// Whether it must run at most once.
    pub(super) at_most_once: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl RequestRecord {
    /// Whether an at-most-once request has had `max_unknown` unknown outcomes.
    pub(super) fn is_inconclusive(&self, max_unknown: usize) -> bool {
        let is_unknown =
            |a: &&Attempt| matches!(a.result, AttemptResult::Unknown | AttemptResult::Truncated);
        self.at_most_once && self.attempts.iter().filter(is_unknown).count() >= max_unknown
    }

    /// The result of the last attempt.
    pub(super) fn last_result(&self) -> Option<AttemptResult> {
        self.attempts.last().map(|a| a.result)
    }
}

/// The counters of one or more callers.
pub(super) struct Tally {
    pub(super) stalls: Histogram<u64>,
    pub(super) stalled: u64,
    pub(super) records: Vec<RequestRecord>,
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            stalls: Histogram::new_with_max(STALL_MAX_MS, 3).expect("valid histogram bounds"),
            stalled: 0,
            records: Vec::new(),
        }
    }

    /// Records the load stall of an answered request.
    pub(super) fn record_stall(&mut self, ms: u64) {
        if ms > 0 {
            self.stalled += 1;
        }
        let _ = self.stalls.record(ms.min(STALL_MAX_MS));
    }

    pub(super) fn merge(&mut self, other: Self) {
        self.stalls
            .add(&other.stalls)
            .expect("equal histogram bounds");
        self.stalled += other.stalled;
        self.records.extend(other.records);
    }

    fn count_attempts(&self, result: AttemptResult) -> u64 {
        let all = self.records.iter().flat_map(|j| &j.attempts);
        all.filter(|a| a.result == result).count() as u64
    }

    fn count_requests(&self, result: AttemptResult, at_most_once: bool) -> u64 {
        let all = self.records.iter();
        all.filter(|j| j.at_most_once == at_most_once && j.last_result() == Some(result))
            .count() as u64
    }
}

/// The results of one run.
#[derive(Debug, Serialize, PartialEq)]
pub(crate) struct Report {
    pub(crate) label: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    /// Requests, regardless of their number of attempts.
    pub(crate) requests: u64,
    pub(crate) attempts: u64,
    pub(crate) answered: u64,
    /// Requests that were abandoned and whose last attempt was reported as "not run".
    pub(crate) refused: u64,
    /// Attempts reported as "not run"; most were retried.
    pub(crate) not_run: u64,
    /// At-most-once requests that ended with an unknown outcome.
    pub(crate) unknown: u64,
    /// Repeatable requests that ended without an answer or a refusal.
    pub(crate) lost: u64,
    /// At-most-once requests that ran more than once.
    pub(crate) doubled: u64,
    /// Attempts whose connection closed before the answer was complete.
    pub(crate) cut_off: u64,
    /// Attempts reported as "not run" that ran.
    pub(crate) misreported: u64,
    /// Attempts answered with another id, adapter, version or text.
    pub(crate) wrong: u64,
    pub(crate) stall_p50_ms: u64,
    pub(crate) stall_p95_ms: u64,
    pub(crate) stall_p99_ms: u64,
    pub(crate) stall_max_ms: u64,
    /// Sum of the load stalls of all requests, in seconds.
    pub(crate) stall_total_s: f64,
    /// Share of answered requests that waited for a load.
    pub(crate) stalled_share: f64,
    /// Used share of engine batch steps.
    pub(crate) batch_efficiency: f64,
    /// Faults injected during the run.
    pub(crate) faults: u64,
    /// The deadly request, if the settings name one.
    pub(crate) deadly: Option<DeadlyReport>,
}

impl Report {
    pub(super) fn new(
        cmd: &BenchCmd,
        seconds: f64,
        t: &Tally,
        (used, offered): (u64, u64),
        faults: u64,
        violations: &Violations,
    ) -> Self {
        let quantile = |p: f64| t.stalls.value_at_quantile(p);
        let answered = t.count_requests(AttemptResult::Answered, false)
            + t.count_requests(AttemptResult::Answered, true);
        let lost = [AttemptResult::Unknown, AttemptResult::Truncated]
            .map(|result| t.count_requests(result, false));
        let unknown = [AttemptResult::Unknown, AttemptResult::Truncated]
            .map(|result| t.count_requests(result, true));
        Self {
            label: cmd.label.clone(),
            seed: cmd.seed,
            seconds: (seconds * 10.0).round() / 10.0,
            requests: t.records.len() as u64,
            attempts: t.records.iter().map(|j| j.attempts.len() as u64).sum(),
            answered,
            refused: t.count_requests(AttemptResult::NotRun, false)
                + t.count_requests(AttemptResult::NotRun, true),
            not_run: t.count_attempts(AttemptResult::NotRun),
            unknown: unknown.iter().sum(),
            lost: lost.iter().sum(),
            doubled: violations.doubled,
            cut_off: t.count_attempts(AttemptResult::Truncated),
            misreported: violations.misreported,
            wrong: t.count_attempts(AttemptResult::Wrong),
            stall_p50_ms: quantile(0.5),
            stall_p95_ms: quantile(0.95),
            stall_p99_ms: quantile(0.99),
            stall_max_ms: t.stalls.max(),
            stall_total_s: (t.stalls.mean() * t.stalls.len() as f64 / 10.0).round() / 100.0,
            stalled_share: share(t.stalled, answered),
            batch_efficiency: share(used, offered),
            faults,
            deadly: None,
        }
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    (part as f64 / whole as f64 * 1000.0).round() / 1000.0
}

/// The report as text.
pub(crate) fn text(r: &Report) -> String {
    let deadly = r.deadly.as_ref().map_or(String::new(), |d| {
        format!(
            "deadly request: {} attempts, {} held back, begun by engines {} times\n",
            d.attempts, d.quarantined, d.started
        )
    });
    format!(
        "bench {label} (seed {seed}, {secs} s, {faults} faults): {req} requests in {att} attempts, {ok} answered, {refused} refused, {unk} unknown\n\
         broken promises: {lost} lost, {doubled} doubled, {cut} cut off, {mis} misreported, {wrong} wrong\n\
         load stall ms: p50 {p50}  p95 {p95}  p99 {p99}  max {max}  total {tot} s, {stalled:.1}% of answers stalled\n\
         batch efficiency: {eff:.1}% of engine step slots used\n{deadly}",
        label = r.label,
        seed = r.seed,
        secs = r.seconds,
        faults = r.faults,
        req = r.requests,
        att = r.attempts,
        ok = r.answered,
        refused = r.refused,
        unk = r.unknown,
        lost = r.lost,
        doubled = r.doubled,
        cut = r.cut_off,
        mis = r.misreported,
        wrong = r.wrong,
        p50 = r.stall_p50_ms,
        p95 = r.stall_p95_ms,
        p99 = r.stall_p99_ms,
        max = r.stall_max_ms,
        tot = r.stall_total_s,
        stalled = r.stalled_share * 100.0,
        eff = r.batch_efficiency * 100.0,
    )
}
