//! Decides which software version of a service may continue a stream.
//!
//! Targets of several software versions may serve one service side by side, and what
//! they write does not fit together: a stream that was interrupted may only go on at
//! the version that began it. The caller may resume it at any daemon.
//!
//! A daemon knows the version in one of two ways. Either somebody recorded it
//! ([`StreamRecords`]), which happens only while several versions may serve; or only
//! one version can have begun the stream ([`VersionHistory::only_version`]). The second
//! proof needs no message. It holds because daemons give a version that has just
//! appeared no new streams for a while ([`VersionHistory::begin_rule`]): a daemon whose
//! list of targets is younger than that has seen every version that can have begun a
//! stream. Without either, the resumption is rejected.
//!
//! All functions take the time as an argument, in ms of the daemon's steady clock, and
//! perform no network I/O.

mod history;
mod proof;
mod records;
mod rule;

pub use history::{ListTimes, Listing, Reported, Stored, Timing, VersionHistory};
pub use proof::{Answer, Evidence, Proof, conclude};
pub use records::{StreamRecord, StreamRecords};
pub use rule::SoftwareRule;

/// A software version, or `None` if the target does not report one.
pub type Software = Option<comfreyhall_domain::Name>;

#[cfg(test)]
mod tests;
