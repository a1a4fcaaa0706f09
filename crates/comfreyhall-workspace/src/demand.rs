//! How much is asked for, by a count that forgets.

/// Time after which half of what was asked for is forgotten, in ms: demand
/// moves within seconds, and a single request says little.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Units a second over about the last second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandRate {
    count: f64,
    updated_at_ms: u64,
}

impl DemandRate {
    /// Takes in a request of `units` at `now`.
    pub(crate) fn add(&mut self, units: f64, now: u64) {
        self.count = self.decayed(now) + units;
        self.updated_at_ms = now;
    }

    /// Units a second.
    pub(crate) fn rate(&self, now: u64) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS
    }

    fn decayed(&self, now: u64) -> f64 {
        let age_ms = now.saturating_sub(self.updated_at_ms) as f64;
        self.count * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
