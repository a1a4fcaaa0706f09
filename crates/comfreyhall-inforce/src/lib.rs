//! Tracks which settings are active on a daemon, and whether requests may be
//! decided by them.
//!
//! Settings are rows of the platform's store, with versions from one counter. A
//! daemon learns them from the store or from other daemons. [`SettingsTracker`]
//! alone tracks how far that knowledge reaches: which version is active, how it was
//! obtained, how old it may be, which newer version has been reported, and whether
//! the store answers. If each caller worked that out for itself, a part of the rows
//! of a newer version could pass for all of it, an old version could count as
//! confirmed, and requests to newly added routes could be refused.
//!
//! All functions take the time as an argument, in ms of the daemon's steady clock,
//! and perform no network I/O.

mod tracker;

pub use tracker::{
    AppliedVersion, CatchUp, Freshness, NewerVersion, SettingsTracker, Source, Verdict,
};

#[cfg(test)]
mod tests;
