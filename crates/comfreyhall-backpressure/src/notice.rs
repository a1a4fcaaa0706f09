//! Backpressure signals in the headers of one answer.

use thiserror::Error;

/// Lowest limit in requests a second. A target that asks for less, or for
/// nothing at all, still gets a request now and then, since only its answers
/// can lift the limit.
const MIN_PER_S: f64 = 0.1;

/// Limits of this many requests a second or more count as none: no target takes
/// as many.
const MAX_PER_S: f64 = 1_000_000.0;

/// Limit in requests a second where the value is invalid: the target is
/// overloaded by an unknown amount.
const INVALID_PER_S: f64 = 1.0;

/// Requests a second that a target takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// The limit that replaces an invalid one.
    pub(crate) const INVALID: Self = Self(INVALID_PER_S);

    /// The limit `per_s`; `None` if it is so high that it limits nothing.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        match per_s {
            _ if per_s.is_nan() => Some(Self::INVALID),
            _ if per_s >= MAX_PER_S => None,
            _ => Some(Self(per_s.max(MIN_PER_S))),
        }
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

/// A value in a notice that could not be taken as written, and how it is
/// handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Anomaly {
    /// The limit is not a number.
    #[error("the limit is no number, so one request a second is sent; name a number")]
    LimitInvalid,
    /// The limit is below the lowest.
    #[error(
        "the limit is below 0.1 requests a second, so one request in 10 s is sent; set a higher limit, or drain"
    )]
    LimitTooLow,
    /// The limit is too high to have an effect.
    #[error("the limit is 1000000 requests a second or more, so it is ignored; omit the header")]
    LimitTooHigh,
    /// The cooldown is not a number of seconds.
    #[error("the cooldown is not a number of seconds, so 3 s are used; send seconds, not a date")]
    CooldownInvalid,
    /// The cooldown is negative.
    #[error(
        "the cooldown is negative, so it is ignored; send a positive number, or omit the header"
    )]
    CooldownNegative,
    /// The cooldown is longer than the maximum.
    #[error("the cooldown is over 300 s, so 300 s are used; ask again after that, or drain")]
    CooldownTooLong,
    /// The cooldown is given several times.
    #[error("several cooldowns are given, so the longest is used; send one")]
    CooldownRepeated,
    /// The draining flag is neither 0 nor 1.
    #[error("the draining flag is neither 0 nor 1, so a cooldown of 3 s is used; send 1 to drain")]
    DrainingInvalid,
    /// The number of rejections is not a number, or is given several times.
    #[error(
        "the rejections that the target bears are unclear, so the lowest or one a second is used; send one number"
    )]
    RejectionsInvalid,
    /// The limit is given several times.
    #[error("several limits are given, so the lowest applies; send one")]
    LimitRepeated,
}

/// Backpressure signals in the headers of one answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Notice {
    /// Requests a second that the target takes from all daemons together.
    pub limit: Option<Rate>,
    /// Requests a second that it may reject for want of room, from all daemons
    /// together, before it fails.
    pub max_rejections: Option<Rate>,
    /// How long it asks this daemon not to send.
    pub cooldown_ms: Option<u64>,
    /// Whether this boot of the target is draining.
    pub draining: bool,
    /// Values that were not taken as written.
    pub anomalies: Vec<Anomaly>,
}
