//! Resolves a request's adapter and version in the catalog and applies the
//! operators' rules.

use comfreyhall_catalog::{CatalogError, Effects, Subject};

use crate::{app::App, error::RouteError};

/// What the catalog and the rules define for a request.
#[derive(Debug)]
pub(crate) struct Resolved {
    /// The customer that owns the adapter.
    pub(crate) customer: String,
    /// Longest load wait promised to the customer, in ms.
    pub(crate) stall_ms: u64,
    /// Priority from the rules or the customer's terms.
    pub(crate) priority: i32,
    pub(crate) effects: Effects,
}

fn catalog_unavailable(e: CatalogError) -> RouteError {
    RouteError::CatalogUnavailable(e.to_string())
}

/// Checks that `adapter` has `version` and that the rules admit the request.
///
/// A version that is missing from the cached record may be new, so the record
/// is read again before the request is rejected.
pub(crate) async fn resolve(
    app: &App,
    adapter: &str,
    version: &str,
) -> Result<Resolved, RouteError> {
    let follower = &app.inner.follower;
    let lookup_error = |e| match e {
        CatalogError::Missing { .. } => RouteError::UnknownAdapter(adapter.to_string()),
        e => catalog_unavailable(e),
    };
    let mut record = follower.adapter(adapter).await.map_err(lookup_error)?;
    if !record.has_version(version) {
        record = follower.refresh(adapter).await.map_err(lookup_error)?;
    }
    let found = record.versions.iter().find(|v| v.name == version);
    let Some(found) = found else {
        return Err(RouteError::UnknownVersion(adapter.into(), version.into()));
    };
    let customer = follower
        .customer(&record.customer)
        .await
        .map_err(catalog_unavailable)?;
    let effects = follower.config().effects(&Subject {
        customer: (&customer.name, &customer.labels),
        adapter: (adapter, &record.labels),
        version: (version, &found.labels),
        instance: (&app.instance.id, &app.inner.labels),
    });
    if effects.admit == Some(false) {
        return Err(RouteError::NotAdmitted);
    }
    Ok(Resolved {
        customer: customer.name.clone(),
        stall_ms: customer.terms.stall_ms,
        priority: effects.priority.unwrap_or(customer.terms.priority),
        effects,
    })
}
