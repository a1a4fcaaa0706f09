//! What a lease holder reports of the paces of its engines.
//!
//! A holder learns of all streams of its group, another daemon of a few. So it
//! sends reports to the others, and its successor continues from these. Each engine
//! that differs from the mean, or from the last report on it, gets a new serial;
//! each peer is sent the serials that it has not received yet, a bounded number
//! in one message. The next report on the engine makes up for a lost message.

use comfreyhall_domain::Name;
use comfreyhall_protocol::News;
use comfreyhall_routing::Pace;

use super::state::{Fleet, State};
use crate::node::Node;

impl Fleet {
    /// Adds the paces of the engines of held groups to a message for the peer at
    /// `addr`.
    pub(super) fn add_paces(&self, node: &Node, addr: &str, gossip: &mut News) {
        if gossip.holdings.is_empty() || !node.policies().engine_pace {
            return;
        }
        let now = node.now();
        // Lock order: the view before the state.
        let view = node.view();
        let mut state = self.state();
        if state.paces.needs_update(now) {
            let held = |domain: &str| gossip.holdings.iter().any(|h| h.group == domain);
            let targets = view.targets.values().filter(|t| held(&t.failure_domain));
            let paces = targets.map(|t| (t.id.clone(), view.paces.current(&t.id, now)));
            for pace in state.paces.update(paces, now) {
                node.metrics.engine_pace(pace.long_read);
            }
        }
        let State { peers, paces, .. } = &mut *state;
        if let Some(peer) = peers.get_mut(addr) {
            gossip.paces = paces.next(&mut peer.paces_sent);
        }
        gossip.event_wait_ms = view.paces.event_wait_ms();
    }

    /// Takes over what the holder that sent `gossip` reports of its engines.
    pub(super) fn learn_paces(&self, node: &Node, gossip: &News, now: u64) {
        let mut view = node.view();
        for told in &gossip.paces {
            let target: Name = told.target.as_str().into();
            let Some(group) = view.targets.get(&target).map(|t| t.failure_domain.clone()) else {
                continue;
            };
            let is_holder = gossip.holdings.iter().any(|h| *h.group == *group);
            if !is_holder || node.token(&group).is_some() {
                continue;
            }
            let pace = Pace {
                read: told.read,
                long_read: told.long_read,
                gap: told.gap,
                late_gaps: told.late_gaps,
            };
            view.paces.set(&target, pace, now);
        }
        let own = node.leases.holds_any(node.settings().bounds.fencing);
        if gossip.event_wait_ms > 0.0 && !gossip.holdings.is_empty() && !own {
            view.paces.set_event_wait(gossip.event_wait_ms);
        }
    }
}

#[cfg(test)]
mod tests;
