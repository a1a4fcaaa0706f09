//! Routing decisions as pure functions of time and observed state.
//!
//! Everything here takes the time as an argument, in milliseconds of a
//! monotonic clock, and does no I/O: [`TargetStats`] estimates how long a
//! request would wait at each target, [`Residency`] tracks which target holds
//! which adapter, [`PrefixIndex`] which prompt prefixes a target has cached,
//! [`selection`] compares targets, [`RetryBudget`] bounds retries across the
//! fleet, and [`admission`] decides when to reject a request and when its
//! caller should retry.

pub mod admission;
mod board;
mod budget;
mod health;
mod prefix;
mod residency;
pub mod selection;
mod speed;

pub use board::{TargetStats, Work};
pub use budget::RetryBudget;
pub use health::Health;
pub use prefix::PrefixIndex;
pub use residency::{Presence, Residency};
pub use speed::{LatencyModel, SpeedFactor};

#[cfg(test)]
mod tests;
