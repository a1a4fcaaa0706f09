//! What a run counted, and how it is printed.

use super::deadly::Deadly;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::oracle::Verdict;
use crate::args::BenchCmd;

/// Largest stall the histogram records, in ms.
pub(super) const STALL_MAX_MS: u64 = 600_000;

/// What one attempt was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    /// A whole, right answer.
    Answered,
    /// "Not run".
    NotRun,
    /// "Outcome unknown", or no answer within the attempt's time.
    Unknown,
    /// The connection ended before the answer was complete.
    CutOff,
    /// An answer of another request, adapter or version.
    Wrong,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// The id the attempt was sent under.
    pub(super) id: String,
    pub(super) told: Told,
}

/// One request with all its attempts.
#[derive(Debug, Clone)]
pub(super) struct Journal {
    /// Whether it must run at most once.
    pub(super) once: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Journal {
    /// Whether an at-most-once request met `doubts` unknown outcomes.
    pub(super) fn hopeless(&self, doubts: usize) -> bool {
        let doubtful = |a: &&Attempt| matches!(a.told, Told::Unknown | Told::CutOff);
        self.once && self.attempts.iter().filter(doubtful).count() >= doubts
    }

    /// What the last attempt was told.
    pub(super) fn last(&self) -> Option<Told> {
        self.attempts.last().map(|a| a.told)
    }
}

/// What callers counted.
pub(super) struct Tally {
    pub(super) stalls: Histogram<u64>,
    pub(super) stalled: u64,
    pub(super) journals: Vec<Journal>,
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            stalls: Histogram::new_with_max(STALL_MAX_MS, 3).expect("valid histogram bounds"),
            stalled: 0,
            journals: Vec::new(),
        }
    }

    /// Counts the load stall of an answered request.
    pub(super) fn stall(&mut self, ms: u64) {
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
        self.journals.extend(other.journals);
    }

    fn attempts(&self, told: Told) -> u64 {
        let all = self.journals.iter().flat_map(|j| &j.attempts);
        all.filter(|a| a.told == told).count() as u64
    }

    fn ended(&self, told: Told, once: bool) -> u64 {
        let all = self.journals.iter();
        all.filter(|j| j.once == once && j.last() == Some(told))
            .count() as u64
    }
}

/// What one run measured.
#[derive(Debug, Serialize, PartialEq)]
pub(crate) struct Report {
    pub(crate) label: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    /// Requests, however many attempts each took.
    pub(crate) requests: u64,
    pub(crate) attempts: u64,
    pub(crate) answered: u64,
    /// Requests given up after a last "not run".
    pub(crate) refused: u64,
    /// Attempts told "not run"; most were sent again.
    pub(crate) not_run: u64,
    /// At-most-once requests that ended with an unknown outcome.
    pub(crate) unknown: u64,
    /// Repeatable requests that never got an answer or a refusal.
    pub(crate) lost: u64,
    /// At-most-once requests that ran more than once.
    pub(crate) doubled: u64,
    /// Attempts whose connection ended before the answer was complete.
    pub(crate) cut_off: u64,
    /// Attempts told "not run" that ran.
    pub(crate) misreported: u64,
    /// Attempts answered with another id, adapter, version or text.
    pub(crate) wrong: u64,
    pub(crate) stall_p50_ms: u64,
    pub(crate) stall_p95_ms: u64,
    pub(crate) stall_p99_ms: u64,
    pub(crate) stall_max_ms: u64,
    /// Seconds of load stall summed over requests.
    pub(crate) stall_total_s: f64,
    /// Share of answered requests that waited for a load.
    pub(crate) stalled_share: f64,
    /// Used share of engine batch steps.
    pub(crate) batch_efficiency: f64,
    /// Faults injected during the run.
    pub(crate) faults: u64,
    /// What became of the request that ends engines, if there was one.
    pub(crate) deadly: Option<Deadly>,
}

impl Report {
    pub(super) fn new(
        cmd: &BenchCmd,
        seconds: f64,
        t: &Tally,
        (used, offered): (u64, u64),
        faults: u64,
        verdict: &Verdict,
    ) -> Self {
        let q = |p: f64| t.stalls.value_at_quantile(p);
        let answered = t.ended(Told::Answered, false) + t.ended(Told::Answered, true);
        let lost = [Told::Unknown, Told::CutOff].map(|told| t.ended(told, false));
        let unknown = [Told::Unknown, Told::CutOff].map(|told| t.ended(told, true));
        Self {
            label: cmd.label.clone(),
            seed: cmd.seed,
            seconds: (seconds * 10.0).round() / 10.0,
            requests: t.journals.len() as u64,
            attempts: t.journals.iter().map(|j| j.attempts.len() as u64).sum(),
            answered,
            refused: t.ended(Told::NotRun, false) + t.ended(Told::NotRun, true),
            not_run: t.attempts(Told::NotRun),
            unknown: unknown.iter().sum(),
            lost: lost.iter().sum(),
            doubled: verdict.doubled,
            cut_off: t.attempts(Told::CutOff),
            misreported: verdict.misreported,
            wrong: t.attempts(Told::Wrong),
            stall_p50_ms: q(0.5),
            stall_p95_ms: q(0.95),
            stall_p99_ms: q(0.99),
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

/// The report as people read it.
pub(crate) fn text(r: &Report) -> String {
    let deadly = r.deadly.as_ref().map_or(String::new(), |d| {
        format!(
            "deadly request: {} attempts, {} held back, begun by engines {} times\n",
            d.attempts, d.held, d.begun
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
