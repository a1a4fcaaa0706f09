//! Times that others state, bounded before anything is calculated with them.
//!
//! Targets, peers, callers and configurations state times as numbers, and a faulty one may
//! state any. Added to a clock they could overflow it, which ends the process.

use std::time::Duration;

/// Longest time that a statement may have, in ms: a day, far above what any of them means.
const MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// A time that a target, a peer, a caller or a configuration has stated; at most a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedTime(u64);

impl StatedTime {
    /// A time in ms.
    pub fn from_ms(ms: u64) -> Self {
        Self(ms.min(MAX_MS))
    }

    /// A time in s.
    pub fn from_secs(seconds: u64) -> Self {
        Self::from_ms(seconds.saturating_mul(1_000))
    }

    /// A time in ms; what is negative or no number is zero.
    pub fn from_ms_f64(ms: f64) -> Self {
        // The conversion saturates.
        Self::from_ms(ms as u64)
    }

    /// The time in ms.
    pub fn ms(self) -> u64 {
        self.0
    }

    /// The time.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}
