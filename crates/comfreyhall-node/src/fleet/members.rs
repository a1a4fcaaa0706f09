//! How many daemons there may be.
//!
//! Caps are divided by this number, so it must not be too small: a daemon that
//! knows of few others takes its part of a cap for larger than it is. It is
//! certain only once the store has told who there is, or somebody who knows it
//! from there. Whoever was heard of counts until it is forgotten, also when it
//! is out of hearing: it may serve requests where it is.

use comfreyhall_domain::Name;
use comfreyhall_routing::selection::rendezvous_rank;

use super::{Fleet, holding::MUCH_CPU, hub};

impl Fleet {
    /// The store has told who there is.
    pub(crate) fn listed(&self) {
        self.state().listed = true;
    }

    /// Daemons that may serve requests, this one included; `None` if there may
    /// be more than are known of.
    pub(crate) fn members(&self, now: u64) -> Option<usize> {
        let state = self.state();
        let told = state.heard(now).map(|(_, p)| p.members).max().unwrap_or(0);
        let certain = state.listed || told > 0;
        certain.then(|| told.max(state.peers.len() + 1))
    }

    /// The same for news, from own knowledge; 0 if it is not certain.
    pub(super) fn known_members(&self) -> u32 {
        let mut state = self.state();
        let told = state.peers.values().map(|p| p.members).max().unwrap_or(0);
        if told > 0 && state.peers.len() + 1 >= told {
            // Everybody that a daemon knew who knew them from the store.
            state.listed = true;
        }
        match state.listed {
            true => (state.peers.len() + 1) as u32,
            false => 0,
        }
    }

    /// Since when the daemon at `peer` is known.
    pub(crate) fn known_since_ms(&self, peer: &str) -> Option<u64> {
        self.state().peers.get(peer).map(|p| p.met)
    }

    /// The daemon alive that comes first for `group` while nobody holds its
    /// lease: one with much processor, if there is one.
    pub(crate) fn first_for(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let large = hub::is_large(state.peers.len());
        let weak = |millicores: u32| large && millicores < MUCH_CPU;
        let alive = state.alive(now).filter_map(|(addr, peer)| {
            let about = peer.about.as_ref().filter(|a| a.ready)?;
            Some((
                weak(about.millicores),
                rendezvous_rank(group, addr),
                addr.clone(),
            ))
        });
        let own = (
            weak(self.me.millicores),
            rendezvous_rank(group, &self.me.peer),
        );
        let (weak, rank, addr) = alive.min()?;
        ((weak, rank) < own).then_some(addr)
    }
}
