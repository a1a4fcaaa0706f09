//! Pure decisions about requests.
//!
//! Everything here takes the time as an argument, in milliseconds of a
//! steady clock, and touches no network: [`Board`] estimates how long a
//! request would wait at each target, [`Residency`] knows which target holds
//! which adapter, [`Prefixes`] which prompt parts a target has read,
//! [`pick`] compares targets, [`Budget`] bounds repeats over the fleet, and
//! [`admission`] says when to refuse and when to come back.

pub mod admission;
mod board;
mod budget;
mod health;
pub mod pick;
mod prefix;
mod residency;
mod speed;

pub use board::{Board, Work};
pub use budget::Budget;
pub use health::Health;
pub use prefix::Prefixes;
pub use residency::{Residency, Standing};
pub use speed::{Factor, Line};

#[cfg(test)]
mod tests;
