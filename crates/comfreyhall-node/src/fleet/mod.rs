//! Peer exchange: the other daemons, and gossip with them.
//!
//! Once per period a daemon exchanges gossip with each peer, in one call per
//! pair for both directions: its work at each target (so that estimates include
//! everyone's work), the leases it holds, the adapters it has just placed, and
//! the demand it has seen. A daemon that the store rejects gets newer rows from
//! its peers in the same way. Addresses of peers that were not seen recently
//! are not given to callers. In a large fleet ([`hub`]) gossip goes through the
//! lease holders.

mod exchange;
mod fetch;
mod gossip;
mod histories;
mod holders;
mod hub;
mod kept;
mod kept_fetch;
mod members;
mod pace_log;
mod paces;
mod periods;
mod progress;
mod roster;
mod rows;
pub(crate) mod runs;
mod sender;
pub(crate) mod state;
mod totals;
pub(crate) mod updates;
mod usage;
mod versions;

pub(crate) use self::{
    exchange::{announce_lease, answer, hear_peers, notify_all, notify_findings, spawn},
    fetch::send_settings,
    runs::Run,
    state::LoadTiming,
    updates::{RunChange, RunUpdate},
};

use std::time::Duration;

use comfreyhall_domain::Name;
use rand::seq::IteratorRandom;

use self::state::Fleet;
use crate::node::Node;

/// Maximum number of addresses in one answer that callers accept.
const MAX_ADDRESSES: usize = 64;

/// How long callers may cache an address answer. Some keep it three times as
/// long, and a stopping daemon serves at least that long.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// How a gossip message arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// In a call from a peer.
    Call,
    /// In the answer to a call of this daemon; only answers carry totals and
    /// rosters.
    Answer,
}

impl Fleet {
    /// Counts a run that the daemon at `peer` is about to send.
    pub(crate) fn add_bound_run(&self, node: &Node, peer: &str, id: u64, run: Run) {
        let until = node.now() + self.liveness_ms();
        let mut state = self.state();
        let Some(known) = state.peers.get_mut(peer) else {
            return;
        };
        let Some(name) = known.daemon.as_ref().map(|a| Name::from(a.id.as_str())) else {
            return;
        };
        let (target, work) = (run.target.clone(), run.work());
        known.runs.begin(id, run);
        drop(state);
        node.view().board.add_peer_work(&name, &target, work, until);
    }

    pub(crate) fn addresses(&self, node: &Node) -> (Vec<Name>, Duration) {
        let now = node.now();
        let mut out: Vec<Name> = Vec::new();
        if node.ready() {
            out.push(self.me.front.as_str().into());
        }
        let state = self.state();
        let daemons = state
            .alive_peers(now)
            .filter_map(|(_, p)| p.daemon.as_ref());
        let daemons = daemons.filter(|a| a.ready);
        out.extend(daemons.map(|a| Name::from(a.front.as_str())));
        if out.len() > MAX_ADDRESSES {
            out = out
                .into_iter()
                .choose_multiple(&mut rand::rng(), MAX_ADDRESSES);
        }
        let bound = Duration::from_secs_f64(node.settings().bounds.address_s);
        (out, ADDRESS_TTL.min(bound))
    }
}

#[cfg(test)]
mod members_tests;
#[cfg(test)]
mod tests;
