//! What a load of an adapter is expected to take.

use comfreyhall_domain::{AdapterRef, Name};

use crate::{node::Node, view::View, weights};

/// What loading an adapter on an engine takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Expected duration of the load, in ms.
    pub(crate) load_ms: f64,
    /// Whether the engine has the weights cached.
    pub(crate) cached: bool,
}

/// Estimates a load of `adapter` on `target`.
pub(crate) fn estimate_load(
    node: &Node,
    view: &View,
    adapter: &AdapterRef,
    target: &Name,
    now: u64,
) -> LoadEstimate {
    let affinity = node.policies().weight_affinity;
    let cached = weights::is_cached(affinity, view, adapter, target, now);
    let mut load_ms = node.controllers.expected_load_ms(cached);
    if !cached && affinity {
        load_ms += node.controllers.store_state().wait_ms();
    }
    LoadEstimate { load_ms, cached }
}
