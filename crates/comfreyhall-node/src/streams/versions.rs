//! The software versions of all services, from the known targets.

use comfreyhall_domain::{Name, Set, Stage};
use comfreyhall_streams::{Listing, Timing, VersionHistory};

use crate::view::View;

/// How long a version that left may have streams that callers resume, in ms.
const HORIZON_MS: u64 = 60_000;

/// The times that proofs depend on, for this bound on new work at draining targets.
pub(crate) fn timing(drain_ms: u64) -> Timing {
    Timing {
        horizon_ms: HORIZON_MS,
        max_age_ms: drain_ms,
    }
}

/// Records the versions of the known targets; returns the services of which several
/// may have streams.
pub(crate) fn observe(view: &mut View, timing: &Timing, now: u64) -> Vec<Name> {
    let known = view.versions.keys().cloned();
    let listed = view.targets.values().map(|t| t.service.clone());
    let services: Set<Name> = known.chain(listed).collect();
    let mut mixed = Vec::new();
    for service in services {
        let targets = view.targets.values().filter(|t| t.service == service);
        let listings: Vec<Listing> = targets
            .map(|t| Listing {
                boot: t.id.clone(),
                software: t.software.clone(),
                ready: t.stage == Stage::Ready,
            })
            .collect();
        let history = view
            .versions
            .entry(service.clone())
            .or_insert_with(|| VersionHistory::new(view.list_times.clone()));
        history.observe(&listings, timing, now);
        if history.is_mixed() {
            mixed.push(service);
        }
    }
    mixed
}

/// Records that the known targets were complete at `as_of_ms`.
pub(crate) fn confirm(view: &mut View, timing: &Timing, as_of_ms: u64) {
    view.list_times.confirm(as_of_ms, timing);
    for history in view.versions.values_mut() {
        history.confirm(as_of_ms, timing);
    }
}
