//! Routing decisions as pure functions of time and observed state.
//!
//! Everything here takes the time as an argument, in milliseconds of a
//! monotonic clock, and does no I/O: [`TargetStats`] estimates how long a
//! request would wait at each target, [`Residency`] tracks which target holds
//! which adapter, [`PaceTable`] how fast each engine is,
//! [`RunTimes`] how long a run takes, [`PrefixIndex`] which prompt prefixes a
//! target has cached, [`Contacts`] which targets this daemon reaches, [`selection`] compares targets, [`RetryBudget`] bounds retries across the
//! fleet, and [`admission`] decides when to reject a request and when its
//! caller should retry.

pub mod admission;
mod average;
mod budget;
mod cache;
mod contacts;
mod duration;
mod health;
mod interference;
mod latency;
mod lost_share;
mod pace;
mod pace_class;
mod prefix;
mod reachability;
mod residency;
mod run_time;
pub mod selection;
mod target_stats;

pub use budget::RetryBudget;
pub use cache::{CacheDepth, LoadOrder, cache_id};
pub use contacts::Contacts;
pub use health::Health;
pub use interference::Interference;
pub use latency::{LatencyModel, SpeedFactor};
pub use lost_share::LostShare;
pub use pace::{Pace, PaceTable, StreamSample};
pub use prefix::PrefixIndex;
pub use reachability::{ReachChange, Reachability};
pub use residency::{Presence, Residency};
pub use run_time::{OutputEstimate, RunTimes};
pub use target_stats::{TargetStats, Work};

#[cfg(test)]
mod pace_tests;
#[cfg(test)]
mod tests;
