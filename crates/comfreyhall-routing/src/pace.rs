//! How fast each engine is, relative to the mean of all.
//!
//! Engines of one service differ in speed by nature, and any of them may be
//! slow for a moment. Two spans tell these apart: the long one decides which
//! engine an adapter belongs to, the short one where a request goes now. A slow
//! engine is not an unhealthy one.

use comfreyhall_domain::{Map, Name};

/// What a stream that has ended tells of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamSample {
    /// Events received.
    pub events: u32,
    /// Ms from the first event to the last.
    pub stream_ms: u64,
    /// Longest gap between two events, in ms.
    pub longest_gap_ms: u64,
    /// Longest gap of a stream that is in time, in ms; `None` if any gap is.
    pub gap_objective_ms: Option<u64>,
}

/// The pace of one engine; 1 is the mean and 2 takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time to read a prompt.
    pub read: f64,
    /// Time between two events.
    pub gap: f64,
    /// Share of its streams with a gap over the objective of their route.
    pub late_gaps: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            read: 1.0,
            gap: 1.0,
            late_gaps: 0.0,
        }
    }
}

/// The pace of all engines.
#[derive(Debug, Default)]
pub struct PaceTable {
    engines: Map<Name, Pace>,
}

impl PaceTable {
    /// Records a stream of `target` that has ended.
    pub fn record_stream(&mut self, target: &Name, sample: StreamSample, now: u64) {
        let _ = (target, sample, now);
    }

    /// Records that the first event of `target` came after `waited_ms` where
    /// `expected_ms` are usual.
    pub fn record_first(&mut self, target: &Name, waited_ms: f64, expected_ms: f64, now: u64) {
        let _ = (target, waited_ms, expected_ms, now);
    }

    /// Takes over what the lease holder of `target` says of it.
    pub fn set(&mut self, target: &Name, pace: Pace, now: u64) {
        let _ = now;
        self.engines.insert(target.clone(), pace);
    }

    /// The pace of `target` as of `now`.
    pub fn current(&self, target: &Name, now: u64) -> Pace {
        let _ = now;
        self.engines.get(target).copied().unwrap_or_default()
    }

    /// Weight of `target` as a home of adapters; 1 is the mean.
    pub fn home_weight(&self, target: &Name) -> f64 {
        let _ = target;
        1.0
    }

    /// Drops engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| keep(id));
    }
}
