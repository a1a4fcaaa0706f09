//! What targets say of themselves in their answers, and what follows from it.
//!
//! A target in need says so in the heads of its answers ([`Notice`]). What
//! goes wrong without this crate: nobody reads the word, every daemon goes on
//! as before, and a target that asked for less gets what it got. One notices
//! targets that stay overloaded for as long as they say that they are.
//!
//! Every daemon keeps [`TargetSignals`]: what each target last said. It belongs to one
//! start of the target, by its id; another start at the same address is free.
//! Everything here takes the time as an argument, in ms of a steady clock, and
//! touches no network.

mod gate;
mod notice;
mod part;
mod read;

pub use gate::{Change, LimitReport, TargetSignals};
pub use notice::{Anomaly, Notice, Rate};
pub use part::LimitShares;
pub use read::{parse_cooldown, parse_draining, parse_limit};

#[cfg(test)]
mod tests;
