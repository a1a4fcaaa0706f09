//! Catalog records, stored in the table service as JSON values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Labels of a record, matched by the selectors of configuration rules.
pub type Labels = BTreeMap<String, String>;

/// Service terms of a customer.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Terms {
    /// Longest promised wait for an adapter load, in ms.
    pub stall_ms: u64,
    /// Priority of the customer's requests; higher runs first.
    pub priority: i32,
}

/// A customer (tenant) of the hosting provider.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Operator labels.
    #[serde(default)]
    pub labels: Labels,
    /// Service terms.
    #[serde(default)]
    pub terms: Terms,
}

/// A version of an adapter's weights.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Version {
    /// Version name, such as `v3`.
    pub name: String,
    /// Operator labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A fine-tuned adapter owned by one customer.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Adapter {
    /// Unique name.
    pub name: String,
    /// The owning customer.
    pub customer: String,
    /// Operator labels.
    #[serde(default)]
    pub labels: Labels,
    /// Versions, oldest first.
    #[serde(default)]
    pub versions: Vec<Version>,
}

impl Adapter {
    /// Whether the adapter has a version named `name`.
    pub fn has_version(&self, name: &str) -> bool {
        self.versions.iter().any(|v| v.name == name)
    }
}

/// An entry of the audit trail, stored under its epoch.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Audit {
    /// Position in the order of all changes; 1 is the first.
    pub epoch: u64,
    /// Wall-clock time of the change, ms since the Unix epoch.
    pub at_ms: u64,
    /// Who made the change, as given on the command line.
    pub actor: String,
    /// What was done, such as `customer.create`.
    pub action: String,
    /// The key of the changed record; [`BULK_KEY`] for a bulk change.
    pub key: String,
    /// Random id of the change, by which the client that made it finds its entry.
    pub change: u64,
}

/// Key in the audit entry of a bulk change, which affects many records.
pub const BULK_KEY: &str = "*";
