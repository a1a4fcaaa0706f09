//! Who calls, and how much: workspaces, their keys, and their caps.
//!
//! [`Workspaces`] is what a configuration says: which keys belong to which
//! workspace, its rank, and how much it may use over all daemons together.
//! Keys are known by their hashes only ([`key`]). A [`RateLimiter`] keeps the caps of
//! one daemon together with those of the others; there are two of them,
//! [`LendingLimiter`] and [`SharingLimiter`].
//!
//! Everything here takes the time as an argument, in ms of a steady clock that
//! counts suspended time, and touches no network.

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
    FleetView, GrantLine, PeerProcess, PlacedQuota, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, UsageLine, coordinator_group,
};
pub use quota::{Quota, QuotaUnit, Tolerance};
pub use sharing::SharingLimiter;
pub use workspace::{Allowance, Workspace, Workspaces};

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
