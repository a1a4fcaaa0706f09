//! Adapters as text, `model/adapter`.

use comfreyhall_domain::{AdapterRef, Name};

/// Formats an adapter as `model/adapter`.
pub(crate) fn adapter_key(adapter: &AdapterRef) -> Name {
    format!(
        "{}/{}",
        adapter.model,
        adapter.adapter.as_deref().unwrap_or("")
    )
    .into()
}

pub(crate) fn parse_adapter_key(key: &str) -> Option<AdapterRef> {
    let (model, adapter) = key.split_once('/')?;
    Some(AdapterRef {
        model: model.into(),
        adapter: (!adapter.is_empty()).then(|| adapter.into()),
    })
}
