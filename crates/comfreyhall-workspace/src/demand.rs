//! Demand rate as an exponentially decaying average.

/// Half-life of recorded demand, in ms: demand changes within seconds, and a
/// single request says little about it.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Demand in units per second, averaged over about the last second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandRate {
    count: f64,
    updated_at_ms: u64,
}

impl DemandRate {
    /// Records a request of `units` at `now`.
    pub(crate) fn add(&mut self, units: f64, now: u64) {
        self.count = self.decayed(now) + units;
        self.updated_at_ms = now;
    }

    /// Units per second.
    pub(crate) fn rate(&self, now: u64) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS
    }

    fn decayed(&self, now: u64) -> f64 {
        let age_ms = now.saturating_sub(self.updated_at_ms) as f64;
        self.count * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
