//! Health of a target, derived from its answers.
//!
//! Targets fail in ways that their health check does not show: they answer some
//! of their requests with errors, not at all, or with malformed data. A
//! decaying success rate makes such a target more expensive to choose, but
//! never excludes it: when all targets fail alike, all stay candidates.

/// Time after which an observation counts half. Long enough to avoid a target
/// that fails for some seconds, short enough to try it again soon after: faults
/// in the deployments served last 3 to 12 s.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Successes assumed before any answer: one failure among few requests is weak
/// evidence.
const PRIOR_SUCCESSES: f64 = 3.0;

/// An exponentially decaying success rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    successes: f64,
    failures: f64,
    updated_ms: u64,
}

impl Health {
    fn decay(&mut self, now: u64) {
        let age = now.saturating_sub(self.updated_ms) as f64;
        let factor = (-age / HALF_LIFE_MS).exp2();
        self.successes *= factor;
        self.failures *= factor;
        self.updated_ms = now;
    }

    /// Records one answer; `weight` is how strong this evidence is.
    pub fn record(&mut self, success: bool, weight: f64, now: u64) {
        self.decay(now);
        match success {
            true => self.successes += weight,
            false => self.failures += weight,
        }
    }

    /// Expected share of good answers, 0 to 1.
    pub fn success_rate(&self, now: u64) -> f64 {
        let mut current = *self;
        current.decay(now);
        (current.successes + PRIOR_SUCCESSES)
            / (current.successes + current.failures + PRIOR_SUCCESSES)
    }
}
