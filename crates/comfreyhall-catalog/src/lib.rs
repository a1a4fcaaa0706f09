//! The catalog of customers, adapters, versions, service terms and configuration.
//!
//! The records are stored in the platform's table service; comfreyhall has no
//! store of its own. Every change is one conditional commit that writes the
//! record, increments the epoch and adds an audit entry, so the audit trail holds
//! exactly the changes that took effect, in order. When operators change the same
//! record concurrently, one commit succeeds; the others fail with
//! [`CatalogError::Conflict`] and the record must be read again. Daemons follow
//! the catalog through a [`Follower`].

mod change;
mod follow;
mod records;
mod rules;
mod store;
mod table;

pub use follow::{Follower, NewEpoch};
pub use records::{Adapter, Audit, BULK_KEY, Customer, Labels, Terms, Version};
pub use rules::{Config, Effects, Rule, Rules, Select, Subject};
pub use store::{Catalog, now_ms};
pub use table::{CatalogError, Rows, Table, check, delete, put};

#[cfg(test)]
mod tests;
