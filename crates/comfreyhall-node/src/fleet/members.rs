//! Upper bound on the number of daemons.
//!
//! Quotas are divided by this number, so it must not be too small: a daemon
//! that knows few others would overestimate its share of a quota. It is certain
//! only once the list was read from the store, here or by a peer that reports
//! it. A known daemon counts until the store's list has lacked it for some time, even
//! when nobody sees it: it may still serve requests, and this one may be cut off.

use comfreyhall_domain::Name;
use comfreyhall_routing::selection::rendezvous_rank;

use super::{
    holders::MIN_HOLDER_MILLICORES,
    periods,
    state::{FORGET_MS, Fleet, State},
};

/// Listings in a row without a dropped peer after which it counts no more: the row of one
/// that still serves may be deleted by others, and it writes it again at its next listing.
const ABSENT_LISTINGS: u32 = 2;

impl State {
    /// Drops the peers that nobody has seen for long.
    pub(super) fn forget_silent(&mut self, now: u64) {
        let silent = self.peers.extract_if(|_, p| {
            let last = p.gossip_at_ms.max(p.reported_at_ms).max(p.added_at_ms);
            !p.seed && now.saturating_sub(last) >= FORGET_MS
        });
        self.dropped.extend(silent.map(|(addr, _)| (addr, 0)));
    }
}

impl Fleet {
    /// Records that the member list was read from the store, and which addresses are
    /// `listed`.
    pub(crate) fn mark_members_listed(&self, listed: impl Fn(&str) -> bool) {
        let mut state = self.state();
        state.members_listed = true;
        state.dropped.retain(|addr, absent| {
            *absent = if listed(addr) { 0 } else { *absent + 1 };
            *absent < ABSENT_LISTINGS
        });
    }

    /// Daemons that may serve requests, including this one; `None` if there may
    /// be more than are known.
    pub(crate) fn members(&self, now: u64) -> Option<usize> {
        let state = self.state();
        let reported = state
            .recent_peers(now)
            .map(|(_, p)| p.members)
            .max()
            .unwrap_or(0);
        let certain = state.members_listed || reported > 0;
        certain.then(|| reported.max(state.peers.len() + state.dropped.len() + 1))
    }

    /// The same for gossip, from the daemon's own knowledge; 0 if it is not
    /// certain.
    pub(super) fn certain_members(&self) -> u32 {
        let mut state = self.state();
        let reported = state.peers.values().map(|p| p.members).max().unwrap_or(0);
        if reported > 0 && state.peers.len() + 1 >= reported {
            // All daemons known to a peer that has the member list are known
            // here.
            state.members_listed = true;
        }
        match state.members_listed {
            true => (state.peers.len() + 1) as u32,
            false => 0,
        }
    }

    /// The peer to pass a request on to: one that callers may be sent to and that has
    /// lost `most_lost` percent of the targets at most. The fewer it has lost the better,
    /// and then one of the own domain.
    pub(crate) fn reaching_peer(&self, most_lost: u32, now: u64) -> Option<Name> {
        let state = self.state();
        let reaching = state.alive_peers(now).filter_map(|(addr, peer)| {
            let about = peer.daemon.as_ref();
            let about = about.filter(|a| a.ready && !a.isolated)?;
            let elsewhere = about.domain != self.me.domain;
            let rank = (about.lost_percent, elsewhere, rand::random::<u64>());
            (about.lost_percent <= most_lost).then_some((rank, addr))
        });
        reaching.min().map(|(_, addr)| addr.clone())
    }

    /// When the daemon at `peer` became known.
    pub(crate) fn known_since_ms(&self, peer: &str) -> Option<u64> {
        self.state().peers.get(peer).map(|p| p.added_at_ms)
    }

    /// The first live daemon in the order for `group`, used while nobody holds
    /// its lease; daemons with enough processor come first.
    pub(crate) fn preferred_daemon(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let large = periods::is_large(state.peers.len());
        let weak = |millicores: u32| large && millicores < MIN_HOLDER_MILLICORES;
        let alive = state.alive_peers(now).filter_map(|(addr, peer)| {
            let about = peer.daemon.as_ref().filter(|a| a.ready)?;
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
