//! Where the weights of adapters are, and what a load costs from there.

use comfreyhall_domain::{AdapterRef, Name};

use crate::node::{Node, View};

/// What loading an adapter on an engine takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Expected duration of the load, in ms.
    pub(crate) load_ms: f64,
    /// Whether the engine has the weights cached.
    pub(crate) cached: bool,
}

/// Estimates a load of `adapter` on `target`.
pub(crate) fn estimate(
    node: &Node,
    view: &View,
    adapter: &AdapterRef,
    target: &Name,
    now: u64,
) -> LoadEstimate {
    let cached = view.residency.likely_cached(adapter, target, now);
    LoadEstimate {
        load_ms: node.controllers.expected_load_ms(cached),
        cached,
    }
}
