//! Customers, adapters, versions, service terms and configuration.
//!
//! All of it lives in the platform's table service: comfreyhall keeps no store
//! of its own. Every change is one conditional commit that writes the record,
//! bumps the epoch and adds an audit entry together, so the audit trail holds
//! exactly the changes that took effect, in their one order. Operators who
//! race each other on the same record get one winner; the loser gets
//! [`CatalogError::Conflict`] and rereads. Daemons keep up through a
//! [`Follower`].

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
