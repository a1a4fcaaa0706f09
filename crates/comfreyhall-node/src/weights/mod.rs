//! Where the weights of adapters are, and what a load costs from there.

mod recovery;
mod store;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_routing::{Residency, selection::Candidate};

pub(crate) use self::{
    recovery::recovery_order,
    store::{CallerCounts, StoreQueue, StoreState, StoreWait},
};
use crate::view::View;

/// Why a load came from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadOrigin {
    /// No engine was known to have the weights.
    First,
    /// An engine had them, but no slot for them.
    Full,
    /// The last engine that held it was lost.
    Lost,
    /// The load began under another holder.
    Unknown,
}

impl LoadOrigin {
    pub(crate) fn of(residency: &Residency, adapter: &AdapterRef) -> Self {
        if residency.cached_anywhere(adapter) {
            LoadOrigin::Full
        } else if residency.was_lost(adapter) {
            LoadOrigin::Lost
        } else {
            LoadOrigin::First
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            LoadOrigin::First => "first",
            LoadOrigin::Full => "full",
            LoadOrigin::Lost => "lost",
            LoadOrigin::Unknown => "unknown",
        }
    }
}

/// Whether `target` has the weights of `adapter` cached, with weight affinity
/// (`affinity`) or without.
pub(crate) fn is_cached(
    affinity: bool,
    view: &View,
    adapter: &AdapterRef,
    target: &Name,
    now: u64,
) -> bool {
    match affinity {
        true => view.residency.has_cached(adapter, target),
        false => view.residency.likely_cached(adapter, target, now),
    }
}

/// Those of `targets` that have the weights of `adapter` cached.
pub(crate) fn cached_among(view: &View, adapter: &AdapterRef, targets: &[Name]) -> Vec<Name> {
    let cached = |t: &&Name| view.residency.has_cached(adapter, t);
    targets.iter().filter(cached).cloned().collect()
}

/// Keeps the engines, best first, that an adapter that is not hot may be loaded
/// on.
///
/// Where some have the weights cached, only engines that cost less than the
/// cheapest of those load it from the store. Otherwise all daemons send its
/// requests to one group, `group_of` the best engine, and its holder loads it
/// once; another group is asked when that one has no slot.
pub(crate) fn keep_affine<'a>(
    loaders: Vec<Candidate>,
    retry_cost_ms: f64,
    group_of: impl Fn(&Name) -> Option<&'a Name>,
) -> Vec<Candidate> {
    let cached = loaders.iter().filter(|c| !c.from_store);
    let cheapest = cached
        .map(|c| c.cost_ms(retry_cost_ms))
        .min_by(f64::total_cmp);
    let preferred = loaders.first().and_then(|c| group_of(&c.id)).cloned();
    let keep = |c: &Candidate| match cheapest {
        Some(cost_ms) => !c.from_store || c.cost_ms(retry_cost_ms) < cost_ms,
        None => group_of(&c.id) == preferred.as_ref(),
    };
    loaders.into_iter().filter(keep).collect()
}

#[cfg(test)]
mod tests;
