//! The groups that leases are taken for.

use comfreyhall_domain::Name;

use crate::node::Node;

/// Failure domains that contain engines.
pub(crate) fn groups(node: &Node) -> Vec<Name> {
    let view = node.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let engines = view.targets.values().filter(|t| {
        let service = config.services.get(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    });
    let mut out: Vec<Name> = engines.map(|t| t.failure_domain.clone()).collect();
    out.sort();
    out.dedup();
    out
}
