//! Who calls, and how much: workspaces, their keys, and their caps.
//!
//! [`Workspaces`] is what a configuration says: which keys belong to which
//! workspace, its rank, and how much it may use over all daemons together.
//! Keys are known by their hashes only ([`key`]). A [`Meter`] keeps the caps of
//! one daemon together with those of the others; there are two of them,
//! [`Lending`] and [`Sharing`].
//!
//! Everything here takes the time as an argument, in ms of a steady clock that
//! counts suspended time, and touches no network.

mod cap;
mod entry;
mod granting;
pub mod key;
mod lending;
mod meter;
mod pace;
mod sharing;
mod workspace;

pub use cap::{Cap, Tolerance, Unit};
pub use entry::{Entry, Given, GivenUnit, Problem, read};
pub use granting::Granting;
pub use key::{KeyHash, KeyHasher, PresentedKey, Salt};
pub use lending::Lending;
pub use meter::{Basis, Call, Fleet, Home, Kept, Line, Meter, Reply, Settled, Taken, home_group};
pub use sharing::Sharing;
pub use workspace::{Allowance, Workspace, Workspaces};

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
