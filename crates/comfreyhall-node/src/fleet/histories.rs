//! Which adapters engines have cached, sent once to each peer.
//!
//! Gossip of single loads reaches the daemons that run at the time. One that
//! started later, and may hold the lease next, learns of earlier loads here.

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Holding, LoadHistory};

use super::state::Fleet;
use crate::{node::Node, view::View};

/// Load histories in one message: about 1 KB, so that a daemon that starts in a
/// fleet of 60 groups receives 24 KB a second of them at most.
const PER_MESSAGE: usize = 6;

/// Loads sent for each engine: what is likely to be still cached.
const MAX_LOADS: usize = 40;

/// Count of a peer that has received all histories.
const ALL_SENT: usize = usize::MAX;

impl Fleet {
    /// The next load histories for the peer at `addr`, of the engines of the
    /// groups whose leases this daemon holds.
    pub(super) fn next_histories(
        &self,
        node: &Node,
        holdings: &[Holding],
        addr: &str,
    ) -> Vec<LoadHistory> {
        if !node.policies().weight_affinity || holdings.is_empty() {
            return Vec::new();
        }
        let sent = self.state().peers.get(addr).map(|p| p.histories_sent);
        if sent.is_none_or(|sent| sent == ALL_SENT) {
            return Vec::new();
        }
        // Lock order: the view before the state.
        let view = node.view();
        let held = |domain: &str| holdings.iter().any(|h| h.group == domain);
        let own = view.targets.values().filter(|t| held(&t.failure_domain));
        let mut targets: Vec<Name> = own.map(|t| t.id.clone()).collect();
        targets.sort();
        let skipped = {
            let mut state = self.state();
            let Some(peer) = state.peers.get_mut(addr) else {
                return Vec::new();
            };
            let skipped = peer.histories_sent;
            peer.histories_sent = match skipped + PER_MESSAGE {
                next if next < targets.len() => next,
                _ if targets.is_empty() => 0,
                _ => ALL_SENT,
            };
            skipped
        };
        let due = targets.iter().skip(skipped).take(PER_MESSAGE);
        let due = due.map(|target| LoadHistory {
            target: target.to_string(),
            ids: view.residency.last_loads(target, MAX_LOADS),
        });
        due.filter(|h| !h.ids.is_empty()).collect()
    }
}

/// Learns the load histories that a holder sent.
pub(super) fn apply_histories(view: &mut View, histories: &[LoadHistory]) {
    for history in histories {
        let target: Name = history.target.as_str().into();
        if view.targets.contains_key(&target) {
            view.residency.merge_loads(&target, &history.ids);
        }
    }
}

#[cfg(test)]
mod tests;
