//! Pure decisions about requests.
//!
//! Everything here takes the time as an argument, in milliseconds of a
//! steady clock, and touches no network: [`TargetStats`] estimates how long a
//! request would wait at each target, [`Residency`] knows which target holds
//! which adapter, [`PrefixIndex`] which prompt parts a target has read,
//! [`selection`] compares targets, [`RetryBudget`] bounds repeats over the fleet, and
//! [`admission`] says when to refuse and when to come back.

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
