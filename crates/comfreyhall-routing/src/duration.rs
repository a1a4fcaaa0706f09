//! Average duration of plain requests, which expires.
//!
//! Only answers show how long a request takes. After slow answers the estimate
//! can be so high that every request is rejected on arrival; then no answer
//! comes any more, and without an expiry the daemon would reject permanently.

/// Weight of one sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Assumed duration before the first sample, in ms.
const INITIAL_MS: f64 = 60.0;

/// Time without a sample in which the estimate moves halfway back to the
/// initial one, in ms: a daemon sends to each target about this often.
const HALF_LIFE_MS: f64 = 2_000.0;

/// A moving average of durations, and when it was last updated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlainDuration {
    mean_ms: f64,
    at_ms: u64,
}

impl Default for PlainDuration {
    fn default() -> Self {
        Self::first(INITIAL_MS, 0)
    }
}

impl PlainDuration {
    /// The average of one sample.
    pub(crate) fn first(duration_ms: f64, at_ms: u64) -> Self {
        Self {
            mean_ms: duration_ms,
            at_ms,
        }
    }

    /// Adds a sample; it counts the more the longer it is since the last one.
    pub(crate) fn record(&mut self, duration_ms: f64, now: u64) {
        let known_ms = self.at(now);
        let weight = 1.0 - (1.0 - EWMA_WEIGHT) * self.remaining(now);
        self.mean_ms = known_ms + weight * (duration_ms - known_ms);
        self.at_ms = now;
    }

    /// Share of the average that has not expired by `now`.
    fn remaining(self, now: u64) -> f64 {
        let age_ms = now.saturating_sub(self.at_ms) as f64;
        (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// The expected duration at `now`, in ms.
    pub(crate) fn at(self, now: u64) -> f64 {
        INITIAL_MS + (self.mean_ms - INITIAL_MS) * self.remaining(now)
    }
}
