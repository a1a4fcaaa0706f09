//! Lease holders, and which daemons are well placed to hold a lease.

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Cession, Daemon};
use comfreyhall_routing::selection::rendezvous_rank;

use super::{Fleet, roster};

/// Processor needed to hold leases in a large fleet, in thousandths of a core:
/// the reports of 88 daemons and the commands to thirty engines took 59 to 69
/// of them.
pub(super) const MIN_HOLDER_MILLICORES: u32 = 250;

/// Daemons that precede this one for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Precedence {
    /// Whether any daemon is better placed.
    pub(crate) better: bool,
    /// Number of equally placed daemons with an earlier turn.
    pub(crate) equals: u64,
}

/// How long a holder that did not answer gets no requests, in ms: a third of
/// the shortest lease, so that a merely slow one is soon asked again.
const SUSPEND_MS: u64 = 1_000;

impl Fleet {
    /// The holder of the lease of `group`, other than this daemon.
    pub(crate) fn holder(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let answering = state
            .heard_recently(now)
            .filter(|(_, p)| now >= p.suspended_until_ms);
        let held = answering.filter_map(|(addr, peer)| {
            let holding = peer.holdings.iter().find(|(g, _)| &**g == group)?;
            Some((holding.1, addr.clone()))
        });
        held.max().map(|(_, addr)| addr)
    }

    /// Suspends requests to the holder at `addr`, which did not answer in time.
    ///
    /// Otherwise each request waits for a holder that is frozen or cut off,
    /// until it counts as lost some four periods later.
    pub(crate) fn suspend_holder(&self, addr: &str, now: u64) {
        if let Some(peer) = self.state().peers.get_mut(addr) {
            peer.suspended_until_ms = now + SUSPEND_MS;
        }
    }

    /// The daemon that should continue `group` when this one stops: one that
    /// takes requests, in the group's domain if possible.
    pub(crate) fn successor(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let large = roster::is_large(state.peers.len());
        let ready = state.alive_peers(now).filter_map(|(addr, peer)| {
            let about = peer.daemon.as_ref().filter(|a| a.ready)?;
            let weak = large && about.millicores < MIN_HOLDER_MILLICORES;
            let far = about.domain != group;
            Some((weak, far, peer.holdings.len(), addr.clone()))
        });
        ready.min().map(|(_, _, _, addr)| addr)
    }

    /// Announces to peers that `to` continues `group` under `token`.
    pub(crate) fn announce_handover(&self, group: &str, token: u64, to: &str) {
        self.state().handovers.push(Cession {
            group: group.to_string(),
            token,
            to: to.to_string(),
        });
    }

    /// Whether this daemon has too little processor to hold leases in a large
    /// fleet while others can.
    pub(crate) fn is_underpowered(&self) -> bool {
        roster::is_large(self.state().peers.len()) && self.me.millicores < MIN_HOLDER_MILLICORES
    }

    /// Whether the peer at `addr` is better placed for the lease of `group`
    /// than this daemon: in its domain, and not weaker.
    pub(crate) fn is_better_placed(&self, group: &str, addr: &str) -> bool {
        let state = self.state();
        let large = roster::is_large(state.peers.len());
        let strong = |d: &Daemon| !large || d.millicores >= MIN_HOLDER_MILLICORES;
        let about = state.peers.get(addr).and_then(|p| p.daemon.as_ref());
        let near = about.is_some_and(|d| d.domain == group && strong(d) >= strong(&self.me));
        near && self.me.domain != group
    }

    /// Returns which daemons precede this one for the lease of `group`.
    ///
    /// In a large fleet a holder answers the reports of all daemons, so daemons
    /// with clearly more processor come first: with 0.12 of a core, holders
    /// left 2,221 placement requests unanswered in 34 s, three quarters of all
    /// that failed. Daemons in the group's domain, next to its engines, come
    /// next.
    pub(crate) fn precedence(&self, group: &str, now: u64) -> Precedence {
        let state = self.state();
        let large = roster::is_large(state.peers.len());
        let class = |d: &Daemon| {
            (
                large && d.millicores >= MIN_HOLDER_MILLICORES,
                d.domain == group,
            )
        };
        let turn = |d: &Daemon| rendezvous_rank(group, &d.peer);
        let about = state
            .alive_peers(now)
            .filter_map(|(_, p)| p.daemon.as_ref());
        let ready: Vec<&Daemon> = about.filter(|a| a.ready).collect();
        let mine = class(&self.me);
        let equals = ready.iter().filter(|d| class(d) == mine);
        Precedence {
            better: ready.iter().any(|d| class(d) > mine),
            equals: equals.filter(|d| turn(d) < turn(&self.me)).count() as u64,
        }
    }
}
