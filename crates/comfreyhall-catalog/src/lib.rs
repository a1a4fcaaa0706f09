//! Customers, adapters, versions and service terms, with their audit trail.
//!
//! All of it lives in the platform's table service: comfreyhall keeps no store
//! of its own. Every change is one conditional commit that writes the record
//! and an audit entry together, so the audit trail holds exactly the changes
//! that took effect. Operators who race each other on the same record get one
//! winner; the loser gets [`CatalogError::Conflict`] and rereads.

mod records;
mod store;
mod table;

pub use records::{Adapter, Audit, Customer, Terms, Version};
pub use store::Catalog;
pub use table::{CatalogError, Table};

#[cfg(test)]
mod tests;
