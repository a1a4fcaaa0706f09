//! Catalog operations; each write is a change (see `change`).

use std::time::{SystemTime, UNIX_EPOCH};

use comfreyhall_protocol::Row;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Adapter, Audit, CatalogError, Config, Customer, Rows, Rules, Table, Version,
    change::{AUDIT_PREFIX, Change},
    records::{BULK_KEY, Labels},
    table::{check, put},
};

/// Records per commit when seeding.
const SEED_BATCH: usize = 200;

/// Key of the active configuration.
pub(crate) const CONFIG_KEY: &str = "config/current";

/// The catalog: customers, adapters, configuration and the audit trail as table rows.
#[derive(Clone)]
pub struct Catalog<R: Rows = Table> {
    table: R,
    actor: String,
}

/// Wall-clock time in ms since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Encodes a record as JSON.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("catalog records serialise")
}

/// Decodes a row's JSON value.
pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, CatalogError> {
    serde_json::from_slice(&row.value).map_err(|e| CatalogError::Invalid {
        problem: format!("row {} does not hold a valid record: {e}", row.key),
        remedy: "rewrite the record with the command line",
    })
}

fn check_name(name: &str) -> Result<(), CatalogError> {
    let ok = !name.is_empty()
        && name.len() <= 64
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.');
    if ok {
        return Ok(());
    }
    Err(CatalogError::Invalid {
        problem: format!("{name:?} is not a valid name"),
        remedy: "use up to 64 letters, digits, '-', '_' or '.'",
    })
}

/// Key of a customer record.
pub(crate) fn customer_key(name: &str) -> String {
    format!("customer/{name}")
}

/// Key of an adapter record.
pub(crate) fn adapter_key(name: &str) -> String {
    format!("adapter/{name}")
}

impl<R: Rows> Catalog<R> {
    /// A catalog stored in `table`; the audit trail names `actor` for its changes.
    pub fn new(table: R, actor: &str) -> Self {
        Self {
            table,
            actor: actor.to_string(),
        }
    }

    /// The name that the audit trail gives for changes.
    pub(crate) fn actor(&self) -> &str {
        &self.actor
    }

    /// The table that stores the catalog.
    pub fn rows(&self) -> &R {
        &self.table
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
        what: &'static str,
        name: &str,
    ) -> Result<(T, u64), CatalogError> {
        let row = self.table.get(key).await?.ok_or(CatalogError::Missing {
            what,
            name: name.to_string(),
        })?;
        Ok((decode(&row)?, row.version))
    }

    async fn write(
        &self,
        key: String,
        version: u64,
        value: Vec<u8>,
        action: &str,
    ) -> Result<(), CatalogError> {
        let change = Change {
            action,
            key: &key,
            checks: vec![check(&key, version)],
            puts: |_| vec![put(&key, value.clone())],
        };
        self.commit_change(change).await.map(|_| ())
    }

    /// Reads the active configuration; version 0 before any was accepted.
    pub async fn config(&self) -> Result<Config, CatalogError> {
        match self.table.get(CONFIG_KEY).await? {
            Some(row) => decode(&row),
            None => Ok(Config::default()),
        }
    }

    /// Activates `rules` and returns their version.
    ///
    /// `base` is the version that the operator edited; if another version is
    /// active by now, the change is rejected with `Conflict`. Without `base` the
    /// rules replace whatever is active at the time of the call.
    pub async fn apply(&self, rules: &Rules, base: Option<u64>) -> Result<u64, CatalogError> {
        rules.check()?;
        let row = self.table.get(CONFIG_KEY).await?;
        let current: u64 = match &row {
            Some(row) => decode::<Config>(row)?.version,
            None => 0,
        };
        if base.is_some_and(|b| b != current) {
            return Err(CatalogError::Conflict {
                key: CONFIG_KEY.to_string(),
            });
        }
        let change = Change {
            action: "config.apply",
            key: CONFIG_KEY,
            checks: vec![check(CONFIG_KEY, row.map_or(0, |r| r.version))],
            puts: |version| {
                let config = Config {
                    version,
                    rules: rules.rules.clone(),
                };
                vec![put(CONFIG_KEY, encode(&config))]
            },
        };
        self.commit_change(change).await
    }

    /// Creates a customer; fails with `Exists` if the name is taken.
    pub async fn create_customer(&self, customer: &Customer) -> Result<(), CatalogError> {
        check_name(&customer.name)?;
        let key = customer_key(&customer.name);
        let result = self
            .write(key, 0, encode(customer), "customer.create")
            .await;
        match result {
            Err(CatalogError::Conflict { .. }) => Err(CatalogError::Exists {
                what: "customer",
                name: customer.name.clone(),
            }),
            other => other,
        }
    }

    /// Creates an adapter with no versions for an existing customer.
    pub async fn create_adapter(
        &self,
        name: &str,
        customer: &str,
        labels: Labels,
    ) -> Result<(), CatalogError> {
        check_name(name)?;
        let (_, owner_version): (Customer, u64) = self
            .read(&customer_key(customer), "customer", customer)
            .await?;
        let adapter = Adapter {
            name: name.to_string(),
            customer: customer.to_string(),
            labels,
            versions: Vec::new(),
        };
        let key = adapter_key(name);
        // The customer record must still be the one read: otherwise a customer
        // deleted and recreated meanwhile would own an adapter it never requested.
        let change = Change {
            action: "adapter.create",
            key: &key,
            checks: vec![
                check(&key, 0),
                check(&customer_key(customer), owner_version),
            ],
            puts: |_| vec![put(&key, encode(&adapter))],
        };
        match self.commit_change(change).await {
            Err(CatalogError::Conflict { key: k }) if k == key => Err(CatalogError::Exists {
                what: "adapter",
                name: name.to_string(),
            }),
            other => other.map(|_| ()),
        }
    }

    /// Adds a version to an adapter; fails with `Exists` if it already has it.
    pub async fn add_version(&self, adapter: &str, version: Version) -> Result<(), CatalogError> {
        check_name(&version.name)?;
        let key = adapter_key(adapter);
        let (mut record, row_version): (Adapter, u64) = self.read(&key, "adapter", adapter).await?;
        if record.has_version(&version.name) {
            return Err(CatalogError::Exists {
                what: "version",
                name: format!("{adapter}@{}", version.name),
            });
        }
        record.versions.push(version);
        self.write(key, row_version, encode(&record), "version.add")
            .await
    }

    /// Sets a label on a record; `kind` is `customer` or `adapter`.
    pub async fn label(
        &self,
        kind: &str,
        name: &str,
        label: (String, String),
    ) -> Result<(), CatalogError> {
        match kind {
            "customer" => {
                let key = customer_key(name);
                let (mut c, v): (Customer, u64) = self.read(&key, "customer", name).await?;
                c.labels.insert(label.0, label.1);
                self.write(key, v, encode(&c), "customer.label").await
            }
            "adapter" => {
                let key = adapter_key(name);
                let (mut a, v): (Adapter, u64) = self.read(&key, "adapter", name).await?;
                a.labels.insert(label.0, label.1);
                self.write(key, v, encode(&a), "adapter.label").await
            }
            _ => Err(CatalogError::Invalid {
                problem: format!("{kind:?} cannot carry labels"),
                remedy: "label a customer or an adapter",
            }),
        }
    }

    /// Reads one adapter.
    pub async fn adapter(&self, name: &str) -> Result<Adapter, CatalogError> {
        let (a, _) = self.read(&adapter_key(name), "adapter", name).await?;
        Ok(a)
    }

    /// Reads one customer.
    pub async fn customer(&self, name: &str) -> Result<Customer, CatalogError> {
        let (c, _) = self.read(&customer_key(name), "customer", name).await?;
        Ok(c)
    }

    /// Lists all customers in name order.
    pub async fn customers(&self) -> Result<Vec<Customer>, CatalogError> {
        let rows = self.table.scan("customer/", "", 0).await?;
        rows.iter().map(decode).collect()
    }

    /// Lists all adapters in name order.
    pub async fn adapters(&self) -> Result<Vec<Adapter>, CatalogError> {
        let rows = self.table.scan("adapter/", "", 0).await?;
        rows.iter().map(decode).collect()
    }

    /// The newest `limit` audit entries, oldest first.
    pub async fn audit_trail(&self, limit: usize) -> Result<Vec<Audit>, CatalogError> {
        let rows = self.table.scan(AUDIT_PREFIX, "", 0).await?;
        let skip = rows.len().saturating_sub(limit);
        rows[skip..].iter().map(decode).collect()
    }

    /// Creates many customers and adapters in batches; adapters get the versions given.
    ///
    /// Existing records are left unchanged, so seeding is idempotent.
    pub async fn seed(
        &self,
        customers: &[Customer],
        adapters: &[Adapter],
    ) -> Result<usize, CatalogError> {
        let mut rows: Vec<(String, Vec<u8>)> = Vec::new();
        for c in customers {
            rows.push((customer_key(&c.name), encode(c)));
        }
        for a in adapters {
            rows.push((adapter_key(&a.name), encode(a)));
        }
        let mut created = 0;
        for batch in rows.chunks(SEED_BATCH) {
            created += self.seed_batch(batch).await?;
        }
        Ok(created)
    }

    async fn seed_batch(&self, batch: &[(String, Vec<u8>)]) -> Result<usize, CatalogError> {
        let mut missing = Vec::new();
        for (key, value) in batch {
            if self.table.get(key).await?.is_none() {
                missing.push((key.clone(), value.clone()));
            }
        }
        if missing.is_empty() {
            return Ok(0);
        }
        let change = Change {
            action: "seed",
            key: BULK_KEY,
            checks: missing.iter().map(|(key, _)| check(key, 0)).collect(),
            puts: |_| missing.iter().map(|(k, v)| put(k, v.clone())).collect(),
        };
        self.commit_change(change).await?;
        Ok(missing.len())
    }
}
