//! How much a workspace may use over all daemons together.

/// What a cap counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens, prompt and output together.
    Tokens {
        /// What a request that does not say its size counts as.
        plain: u64,
    },
}

/// A bound on use: so much a second, and so much more at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cap {
    /// What it counts.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Cap {
    /// How much a request with `tokens`, prompt and output together, counts.
    pub fn size(&self, tokens: Option<u64>) -> u64 {
        match (self.unit, tokens) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some(tokens)) => tokens,
            (Unit::Tokens { plain }, None) => plain,
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
    pub fn of(&self, cap: &Cap) -> f64 {
        self.overshoot * self.allowed(cap) + self.slack
    }

    /// Units that `cap` itself allows in a window.
    pub fn allowed(&self, cap: &Cap) -> f64 {
        cap.rate * self.window_ms as f64 / 1_000.0 + cap.burst
    }
}
