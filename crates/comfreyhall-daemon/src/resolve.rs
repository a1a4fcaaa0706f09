//! Resolves a model name to a catalog adapter version, with a short cache.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use comfreyhall_catalog::{Adapter, Catalog, CatalogError};
use comfreyhall_protocol::Map;

use crate::error::RouteError;

/// How long an adapter record is trusted without a reread.
const FRESH: Duration = Duration::from_secs(2);

/// Adapter records by name, reread after [`FRESH`].
pub(crate) struct Resolver {
    catalog: Catalog,
    cache: Mutex<Map<String, (Adapter, Instant)>>,
    /// Catalog reads made, for the control counters.
    pub(crate) reads: std::sync::atomic::AtomicU64,
}

impl Resolver {
    pub(crate) fn new(catalog: Catalog) -> Self {
        Self {
            catalog,
            cache: Mutex::default(),
            reads: Default::default(),
        }
    }

    /// Adapter records in the cache.
    pub(crate) fn cached(&self) -> usize {
        self.cache.lock().unwrap().len()
    }

    /// Checks that `adapter` exists and has `version`.
    pub(crate) async fn check(&self, adapter: &str, version: &str) -> Result<(), RouteError> {
        let cached = self.cache.lock().unwrap().get(adapter).cloned();
        let record = match cached {
            Some((a, at)) if at.elapsed() < FRESH && a.has_version(version) => a,
            stale => match self.catalog.adapter(adapter).await {
                Ok(a) => {
                    self.reads
                        .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let entry = (a.clone(), Instant::now());
                    self.cache
                        .lock()
                        .unwrap()
                        .insert(adapter.to_string(), entry);
                    a
                }
                Err(CatalogError::Missing { .. }) => {
                    return Err(RouteError::UnknownAdapter(adapter.to_string()));
                }
                // A table outage must not stop adapters we already know:
                // serve from the stale record, refuse only the unknown.
                Err(e) => match stale {
                    Some((a, _)) => a,
                    None => return Err(RouteError::CatalogDown(e.to_string())),
                },
            },
        };
        if !record.has_version(version) {
            return Err(RouteError::UnknownVersion(
                adapter.to_string(),
                version.to_string(),
            ));
        }
        Ok(())
    }
}
