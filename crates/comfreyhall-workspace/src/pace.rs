//! How much is asked for, by a count that forgets.

/// Time after which half of what was asked for is forgotten, in ms: demand
/// moves within seconds, and a single request says little.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Units a second over about the last second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    count: f64,
    at: u64,
}

impl Pace {
    /// Takes in a request of `units` at `now`.
    pub(crate) fn bump(&mut self, units: f64, now: u64) {
        self.count = self.decayed(now) + units;
        self.at = now;
    }

    /// Units a second.
    pub(crate) fn rate(&self, now: u64) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS
    }

    fn decayed(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.count * (-age / HALF_LIFE_MS).exp2()
    }
}
