//! Which settings are in force on a daemon, and what may be judged by them.
//!
//! Settings are rows of the platform's store, with versions from one counter. A
//! daemon learns them from the store or from other daemons. [`SettingsTracker`] is the one
//! owner of how far that knowledge reaches: which version is in force, how it came,
//! how old it may be, what newer version was heard of, and whether the store
//! answers. What goes wrong when each caller works that out for itself: rows that
//! are a part of a newer version pass for all of it, an old version counts as
//! confirmed, and routes that were added are denied.
//!
//! Everything here takes the time as an argument, in ms of the daemon's steady
//! clock, and touches no network.

mod in_force;

pub use in_force::{AppliedVersion, CatchUp, Freshness, NewerVersion, SettingsTracker, Source};

#[cfg(test)]
mod tests;
