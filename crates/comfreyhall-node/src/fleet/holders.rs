//! Lease holders, and which daemons are well placed to hold a lease.

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Cession, Daemon, fleet_client::FleetClient};
use comfreyhall_routing::selection::rendezvous_rank;
use tonic::transport::Channel;

use super::{
    periods,
    state::{Fleet, State},
};

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

/// Whether `daemon` reaches the engines of `group`, as far as it knows.
fn reaches(daemon: &Daemon, group: &str) -> bool {
    !daemon.isolated && !daemon.lost_groups.iter().any(|g| g == group)
}

impl State {
    /// Ready peers that may continue `group`, the best first: those that reach its
    /// engines, then those in its domain.
    fn ranked_successors(&self, group: &str, now: u64) -> Vec<Name> {
        let large = periods::is_large(self.peers.len());
        let ready = self.alive_peers(now).filter_map(|(addr, peer)| {
            let about = peer.daemon.as_ref().filter(|a| a.ready)?;
            let weak = large && about.millicores < MIN_HOLDER_MILLICORES;
            let far = about.domain != group;
            let rank = (!reaches(about, group), weak, far, peer.holdings.len());
            Some((rank, addr))
        });
        let mut ranked: Vec<_> = ready.collect();
        ranked.sort();
        ranked.into_iter().map(|(_, addr)| addr.clone()).collect()
    }
}

impl Fleet {
    /// The holder of the lease of `group`, other than this daemon.
    pub(crate) fn holder(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let answering = state
            .recent_peers(now)
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
        let ranked = state.ranked_successors(group, now);
        ranked.into_iter().next()
    }

    /// Daemons that may continue `group` when this one does not reach its engines, the
    /// best first, with clients to ask them.
    pub(crate) fn reaching_successors(
        &self,
        group: &str,
        most: usize,
        now: u64,
    ) -> Vec<(Name, FleetClient<Channel>)> {
        let state = self.state();
        let ranked = state.ranked_successors(group, now).into_iter();
        let reaching = ranked.filter_map(|addr| {
            let peer = state.peers.get(&addr)?;
            peer.daemon.as_ref().filter(|d| reaches(d, group))?;
            Some((addr, peer.client.clone()))
        });
        reaching.take(most).collect()
    }

    /// Announces to peers until `until_ms` that `to` continues `group` under `token`.
    pub(crate) fn announce_handover(&self, group: &str, token: u64, to: &str, until_ms: u64) {
        let mut state = self.state();
        state.handovers.retain(|(_, c)| c.group != group);
        let cession = Cession {
            group: group.to_string(),
            token,
            to: to.to_string(),
        };
        state.handovers.push((until_ms, cession));
    }

    /// Whether this daemon has too little processor to hold leases in a large
    /// fleet while others can.
    pub(crate) fn is_underpowered(&self) -> bool {
        periods::is_large(self.state().peers.len()) && self.me.millicores < MIN_HOLDER_MILLICORES
    }

    /// Whether the peer at `addr` is better placed for the lease of `group`
    /// than this daemon: in its domain, and not weaker.
    pub(crate) fn is_better_placed(&self, group: &str, addr: &str) -> bool {
        let state = self.state();
        let large = periods::is_large(state.peers.len());
        let strong = |d: &Daemon| !large || d.millicores >= MIN_HOLDER_MILLICORES;
        let about = state.peers.get(addr).and_then(|p| p.daemon.as_ref());
        let near = about.is_some_and(|d| {
            d.domain == group && strong(d) >= strong(&self.me) && reaches(d, group)
        });
        near && self.me.domain != group
    }

    /// Returns which daemons precede this one for the lease of `group`.
    ///
    /// In a large fleet a holder answers the reports of all daemons, so daemons
    /// with clearly more processor come first: with 0.12 of a core, holders
    /// left 2,221 placement requests unanswered in 34 s, three quarters of all
    /// that failed. Daemons in the group's domain, next to its engines, come
    /// next. Before all others come daemons that reach its engines; `loses_group` says
    /// whether this one does not.
    pub(crate) fn precedence(&self, group: &str, loses_group: bool, now: u64) -> Precedence {
        let state = self.state();
        let large = periods::is_large(state.peers.len());
        let class = |d: &Daemon, reaches: bool| {
            (
                reaches,
                large && d.millicores >= MIN_HOLDER_MILLICORES,
                d.domain == group,
            )
        };
        let turn = |d: &Daemon| rendezvous_rank(group, &d.peer);
        let about = state
            .alive_peers(now)
            .filter_map(|(_, p)| p.daemon.as_ref());
        let ready: Vec<&Daemon> = about.filter(|a| a.ready).collect();
        let mine = class(&self.me, !loses_group);
        let class = |d: &Daemon| class(d, reaches(d, group));
        let equals = ready.iter().filter(|d| class(d) == mine);
        Precedence {
            better: ready.iter().any(|d| class(d) > mine),
            equals: equals.filter(|d| turn(d) < turn(&self.me)).count() as u64,
        }
    }
}
