//! What a request may do: its adapter and version, and the rules over them.

use comfreyhall_catalog::{CatalogError, Effects, Subject};

use crate::{app::App, error::RouteError};

/// What the catalog and the rules say of a request.
#[derive(Debug)]
pub(crate) struct Resolved {
    /// The customer that owns the adapter.
    pub(crate) customer: String,
    /// The customer's promised longest wait for a load, in ms.
    pub(crate) stall_ms: u64,
    /// Priority from the rules or the customer's terms.
    pub(crate) priority: i32,
    pub(crate) effects: Effects,
}

fn down(e: CatalogError) -> RouteError {
    RouteError::CatalogDown(e.to_string())
}

/// Checks that `adapter` has `version` and that the rules admit it.
///
/// A version that the cached record lacks may be new, so the record is read
/// once more before the request is refused.
pub(crate) async fn resolve(
    app: &App,
    adapter: &str,
    version: &str,
) -> Result<Resolved, RouteError> {
    let follower = &app.inner.follower;
    let missing = |e| match e {
        CatalogError::Missing { .. } => RouteError::UnknownAdapter(adapter.to_string()),
        e => down(e),
    };
    let mut record = follower.adapter(adapter).await.map_err(missing)?;
    if !record.has_version(version) {
        record = follower.refresh(adapter).await.map_err(missing)?;
    }
    let found = record.versions.iter().find(|v| v.name == version);
    let Some(found) = found else {
        return Err(RouteError::UnknownVersion(adapter.into(), version.into()));
    };
    let customer = follower.customer(&record.customer).await.map_err(down)?;
    let effects = follower.config().effects(&Subject {
        customer: (&customer.name, &customer.labels),
        adapter: (adapter, &record.labels),
        version: (version, &found.labels),
        instance: (&app.instance.id, &app.inner.labels),
    });
    if effects.admit == Some(false) {
        return Err(RouteError::Withdrawn);
    }
    Ok(Resolved {
        customer: customer.name.clone(),
        stall_ms: customer.terms.stall_ms,
        priority: effects.priority.unwrap_or(customer.terms.priority),
        effects,
    })
}
