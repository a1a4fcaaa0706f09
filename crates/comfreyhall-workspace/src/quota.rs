//! Quotas: how much a workspace may use over all daemons together.

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, prompt and output together.
    Tokens {
        /// Number of tokens that a request of unknown size counts as.
        default_tokens: u64,
    },
}

/// A rate limit with a burst allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Quota {
    /// Units that a request with `tokens` (prompt and output together) counts
    /// as.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens,
            (QuotaUnit::Tokens { default_tokens }, None) => default_tokens,
        }
    }
}

/// How far a workspace's use may exceed its quota within a window, as the
/// deployment guarantees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window, in ms.
    pub window_ms: u64,
    /// Tolerated excess as a fraction of what the quota allows in the window.
    pub overshoot: f64,
    /// Tolerated excess in units, in addition to that fraction.
    pub slack: f64,
}

impl Tolerance {
    /// Units by which a window may exceed `quota`.
    pub fn tolerated_excess(&self, quota: &Quota) -> f64 {
        self.overshoot * self.allowed(quota) + self.slack
    }

    /// Units that `quota` itself allows in a window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate * self.window_ms as f64 / 1_000.0 + quota.burst
    }
}
