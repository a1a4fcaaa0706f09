//! Workspaces, their API keys, and their quotas.
//!
//! [`Workspaces`] holds what a configuration says: which keys belong to which
//! workspace, its rank, and how much it may use over all daemons together. Keys
//! are stored only as hashes ([`key`]). A [`RateLimiter`] enforces quotas on
//! one daemon in cooperation with the other daemons; there are three of them:
//! [`LendingLimiter`] and [`SharingLimiter`] for the quotas of workspaces, and
//! [`GrantingLimiter`] for the limits of targets.
//!
//! All functions take the time as an argument, in ms of a steady clock that
//! includes time spent suspended, and perform no network I/O.

mod demand;
mod entry;
mod granting;
pub mod key;
mod lending;
mod limiter;
mod quota;
mod sharing;
mod workspace;

pub use entry::{EntryProblem, RawNumber, RawUnit, WorkspaceEntry, read_entries};
pub use granting::GrantingLimiter;
pub use key::{KeyHash, KeyHasher, PresentedKey, Salt};
pub use lending::LendingLimiter;
pub use limiter::{
    FleetView, GrantLine, LendingReport, LendingStart, PeerProcess, PlacedQuota, QuotaSnapshot,
    RateLimiter, ReserveOutcome, SettleReply, SettleRequest, UsageLine, coordinator_group,
};
pub use quota::{Quota, QuotaUnit, Tolerance};
pub use sharing::SharingLimiter;
pub use workspace::{Allowance, Workspace, Workspaces};

/// A shared, immutable string.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
