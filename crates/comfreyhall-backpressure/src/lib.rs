//! Backpressure signals that targets send in their answers, and what follows
//! from them.
//!
//! A target under load says so in the headers of its answers ([`Notice`]). If
//! nobody read them, every daemon would go on as before, and a target that
//! asked for fewer requests would stay overloaded.
//!
//! Every daemon keeps [`TargetSignals`]: the last notice of each target. They
//! belong to one boot of the target (one start of its process), by its id;
//! another boot at the same address has none. Everything here takes the time as
//! an argument, in ms of a monotonic clock, and does no I/O.

mod notice;
mod parse;
mod rejections;
mod shares;
mod signals;

pub use notice::{Anomaly, Notice, Rate};
pub use parse::{parse_cooldown, parse_draining, parse_limit, parse_rejections};
pub use rejections::rejection_pause_ms;
pub use shares::LimitShares;
pub use signals::{Change, LimitReport, TargetSignals};

#[cfg(test)]
mod tests;
