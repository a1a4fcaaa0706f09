//! How far a target can be trusted, from what its answers were like.
//!
//! Targets fail in ways their health check does not show: they answer a part
//! of their requests with errors, not at all, or with bytes that are no
//! answer. A share of good answers that forgets makes such a target dearer
//! to choose, never impossible: when all targets fail alike, all stay in.

/// Time after which half of what was seen is forgotten, in ms. Long enough
/// to steer away from a target that fails for some seconds, short enough to
/// try it again soon after; faults in the deployments served last 3 to 12 s.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Good answers assumed before any is seen: one failure among few requests
/// is no proof.
const PRIOR: f64 = 3.0;

/// A forgetful share of good answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    at: u64,
}

impl Health {
    fn decay(&mut self, now: u64) {
        let age = now.saturating_sub(self.at) as f64;
        let keep = (-age / HALF_LIFE_MS).exp2();
        self.good *= keep;
        self.bad *= keep;
        self.at = now;
    }

    /// Takes in one answer. `weight`: how much it proves.
    pub fn record(&mut self, ok: bool, weight: f64, now: u64) {
        self.decay(now);
        match ok {
            true => self.good += weight,
            false => self.bad += weight,
        }
    }

    /// Share of good answers to expect, 0 to 1.
    pub fn success_rate(&self, now: u64) -> f64 {
        let mut h = *self;
        h.decay(now);
        (h.good + PRIOR) / (h.good + h.bad + PRIOR)
    }
}
