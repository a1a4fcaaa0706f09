//! Who holds the leases on orders, and who is well placed to.

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Cession, Daemon};
use comfreyhall_routing::selection::rendezvous_rank;

use super::{Fleet, hub};

/// Processor with which a daemon is well placed to hold leases in a large
/// fleet, in thousandths of a core: reports of 88 daemons and the orders
/// to thirty engines took 59 to 69 of them.
pub(super) const MUCH_CPU: u32 = 250;

/// Who comes before a daemon for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ahead {
    /// Whether somebody is better placed.
    pub(crate) better: bool,
    /// How many are as well placed and have an earlier turn.
    pub(crate) equals: u64,
}

/// How long a holder that did not answer is not asked, in ms: a third of the
/// shortest lease, so that one that is only slow is soon asked again.
const MUTE_MS: u64 = 1_000;

impl Fleet {
    /// Who holds the lease of `group`, other than this daemon.
    pub(crate) fn holder(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let answering = state.heard(now).filter(|(_, p)| now >= p.mute_until);
        let held = answering.filter_map(|(addr, peer)| {
            let holding = peer.holdings.iter().find(|(g, _)| &**g == group)?;
            Some((holding.1, addr.clone()))
        });
        held.max().map(|(_, addr)| addr)
    }

    /// The holder at `addr` did not answer in time: nobody asks it for a while.
    ///
    /// What goes wrong without it: a holder is frozen or cut off, and until it
    /// counts as lost, some four periods later, each request waits for it.
    pub(crate) fn suspend_holder(&self, addr: &str, now: u64) {
        if let Some(peer) = self.state().peers.get_mut(addr) {
            peer.mute_until = now + MUTE_MS;
        }
    }

    /// Who should go on with `group` when this daemon stops: a daemon that
    /// takes requests, in the group's domain if there is one.
    pub(crate) fn successor(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let large = hub::is_large(state.peers.len());
        let ready = state.alive(now).filter_map(|(addr, peer)| {
            let about = peer.about.as_ref().filter(|a| a.ready)?;
            let weak = large && about.millicores < MUCH_CPU;
            let far = about.domain != group;
            Some((weak, far, peer.holdings.len(), addr.clone()))
        });
        ready.min().map(|(_, _, _, addr)| addr)
    }

    /// Tells peers that `to` goes on with `group` under `token`.
    pub(crate) fn cede(&self, group: &str, token: u64, to: &str) {
        self.state().cessions.push(Cession {
            group: group.to_string(),
            token,
            to: to.to_string(),
        });
    }

    /// Whether this daemon has too little processor to hold leases in a large
    /// fleet while others can.
    pub(crate) fn weak(&self) -> bool {
        hub::is_large(self.state().peers.len()) && self.me.millicores < MUCH_CPU
    }

    /// Whether the peer at `addr` is in a better place for the lease of
    /// `group` than this daemon: of its domain, and no weaker.
    pub(crate) fn better(&self, group: &str, addr: &str) -> bool {
        let state = self.state();
        let large = hub::is_large(state.peers.len());
        let strong = |d: &Daemon| !large || d.millicores >= MUCH_CPU;
        let about = state.peers.get(addr).and_then(|p| p.about.as_ref());
        let near = about.is_some_and(|d| d.domain == group && strong(d) >= strong(&self.me));
        near && self.me.domain != group
    }

    /// Who comes before this daemon for the lease of `group`.
    ///
    /// In a large fleet a holder answers everybody's reports, so the daemons
    /// with clearly more processor come first: on 0.12 of a core holders
    /// left 2,221 wishes for a place unanswered in 34 s, three quarters of all
    /// that failed. Then those in the group's domain come first, beside its
    /// engines.
    pub(crate) fn ahead(&self, group: &str, now: u64) -> Ahead {
        let state = self.state();
        let large = hub::is_large(state.peers.len());
        let class = |d: &Daemon| (large && d.millicores >= MUCH_CPU, d.domain == group);
        let turn = |d: &Daemon| rendezvous_rank(group, &d.peer);
        let about = state.alive(now).filter_map(|(_, p)| p.about.as_ref());
        let ready: Vec<&Daemon> = about.filter(|a| a.ready).collect();
        let mine = class(&self.me);
        let equals = ready.iter().filter(|d| class(d) == mine);
        Ahead {
            better: ready.iter().any(|d| class(d) > mine),
            equals: equals.filter(|d| turn(d) < turn(&self.me)).count() as u64,
        }
    }
}
