//! How much a workspace may use over all daemons together.

/// What a cap counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, prompt and output together.
    Tokens {
        /// What a request that does not say its size counts as.
        default_tokens: u64,
    },
}

/// A bound on use: so much a second, and so much more at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Quota {
    /// How much a request with `tokens`, prompt and output together, counts.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens,
            (
                QuotaUnit::Tokens {
                    default_tokens: default,
                },
                None,
            ) => default,
        }
    }
}

/// How far the use of a workspace may lie above its cap in some window, as the
/// deployment promises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window, in ms.
    pub window_ms: u64,
    /// Part of what the cap allows in the window.
    pub overshoot: f64,
    /// Units besides.
    pub slack: f64,
}

impl Tolerance {
    /// Units above `cap` in a window.
    pub fn tolerated_excess(&self, quota: &Quota) -> f64 {
        self.overshoot * self.allowed(quota) + self.slack
    }

    /// Units that `cap` itself allows in a window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate * self.window_ms as f64 / 1_000.0 + quota.burst
    }
}
