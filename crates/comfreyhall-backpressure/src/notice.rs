//! What a target says of itself in the head of one answer.

use thiserror::Error;

/// Least rate that is told apart, in requests a second: a target that names
/// less, or nothing at all, still gets a request now and then, since only its
/// answers can take the limit back.
const LEAST: f64 = 0.1;

/// Rate from which on a limit is none, in requests a second: no target takes
/// as many.
const MOST: f64 = 1_000_000.0;

/// Rate of a limit that cannot be read, in requests a second: the target is in
/// need, and nobody knows how much.
const UNREAD: f64 = 1.0;

/// Requests a second that a target takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// The rate of a limit that cannot be read.
    pub(crate) const UNREAD: Self = Self(UNREAD);

    /// The limit `per_s`; `None` if it is so high that it limits nothing.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        match per_s {
            _ if per_s.is_nan() => Some(Self::UNREAD),
            _ if per_s >= MOST => None,
            _ => Some(Self(per_s.max(LEAST))),
        }
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

/// What is odd about a notice, and how it is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Anomaly {
    /// Its limit is no number.
    #[error("the limit is no number, so one request a second is sent; name a number")]
    LimitInvalid,
    /// Its limit is below the least.
    #[error("the limit is below 0.1 a second, so one request in 10 s is sent; name more, or leave")]
    LimitTooLow,
    /// Its limit is so high that it says nothing.
    #[error("the limit is over any rate, so it counts as none; leave it out")]
    LimitTooHigh,
    /// Its rest is no number of seconds.
    #[error("the rest is no number of seconds, so 3 s are kept; give seconds, not a date")]
    CooldownInvalid,
    /// Its rest is below nothing.
    #[error("the rest is below 0 s, so none is kept; give more, or leave it out")]
    CooldownNegative,
    /// Its rest is longer than any that is kept.
    #[error("the rest is over 300 s, so 300 s are kept; ask again then, or leave")]
    CooldownTooLong,
    /// It asks for several rests.
    #[error("several rests are asked for, so the longest is kept; ask for one")]
    CooldownRepeated,
    /// Whether it leaves is neither yes nor no.
    #[error("whether it leaves is neither 0 nor 1, so it gets 3 s of rest; write 1 to leave")]
    DrainingInvalid,
    /// It names several limits.
    #[error("several limits are named, so the lowest counts; name one")]
    LimitRepeated,
}

/// What a target says of itself in the head of one answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Notice {
    /// Requests a second that it takes from all daemons together.
    pub limit: Option<Rate>,
    /// How long it wants nothing from this daemon, in ms.
    pub cooldown_ms: Option<u64>,
    /// Whether this start of it leaves.
    pub draining: bool,
    /// What in it was not read as written.
    pub anomalies: Vec<Anomaly>,
}
