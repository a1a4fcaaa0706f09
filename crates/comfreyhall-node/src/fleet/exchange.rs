//! Gossip calls to the other daemons, and the answers to theirs.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::News;
use rand::{Rng, seq::IteratorRandom};

use super::{
    Origin,
    hub::KnownSummary,
    periods::{self, GOSSIP_PERIOD_MS},
    rows::{ReportedVersions, add_rows},
    state::{Fleet, State},
};
use crate::node::Node;

/// Longest duration of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between calls to a peer that does not answer, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// Time without a call after which a peer that should have called is called instead, in ms.
const SILENT_MS: u64 = 600;

/// Starts the gossip task.
pub(crate) fn spawn(node: &Arc<Node>) {
    super::progress::spawn(node);
    super::fetch::spawn(node);
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            for addr in due_peers(&node) {
                tokio::spawn(exchange_gossip(node.clone(), addr));
            }
            let jitter = rand::rng().random_range(0..GOSSIP_PERIOD_MS / 5);
            tokio::time::sleep(Duration::from_millis(GOSSIP_PERIOD_MS + jitter)).await;
        }
    });
}

/// Returns the peers to call now and marks them as called.
fn due_peers(node: &Node) -> Vec<Name> {
    let now = node.now();
    let mut state = node.fleet.state();
    let me = node.fleet.me.peer.as_str();
    state.forget_silent(now);
    let holding = node.leases.holds_any(node.settings().bounds.fencing);
    let out = if periods::is_large(state.peers.len()) {
        state.due_in_large(holding, now)
    } else {
        state.due_small(me, now)
    };
    for addr in &out {
        if let Some(peer) = state.peers.get_mut(addr) {
            peer.calling = true;
            peer.called_at_ms = now;
            peer.holder_hint = false;
        }
    }
    out
}

impl State {
    /// Peers to call in a small fleet.
    fn due_small(&self, me: &str, now: u64) -> Vec<Name> {
        let limit = Fleet::alive_ms(self.peers.len());
        let due = self.peers.iter().filter(|(addr, peer)| {
            let silence_ms = now.saturating_sub(peer.gossip_at_ms);
            // One call per pair, made by the daemon with the lower address.
            let is_caller = me < &***addr || silence_ms > SILENT_MS;
            let unreachable = peer.gossip_at_ms == 0 || silence_ms > limit;
            let early = unreachable
                && now.saturating_sub(peer.called_at_ms) < UNREACHABLE_PAUSE_MS
                && peer.called_at_ms > 0;
            is_caller && !early && !peer.calling
        });
        due.map(|(addr, _)| addr.clone()).collect()
    }
}

/// The gossip of a call to the peer at `addr`.
pub(super) fn call_for(node: &Node, addr: &str) -> News {
    let mut gossip = node.fleet.gossip_for(node, addr);
    node.fleet.push_rows(node, addr, &mut gossip);
    node.fleet.add_known_roster(addr, &mut gossip);
    node.metrics.gossip_sent(&gossip);
    gossip
}

async fn exchange_gossip(node: Arc<Node>, addr: Name) {
    let Some(mut client) = node.fleet.client(&addr) else {
        return;
    };
    let gossip = call_for(&node, &addr);
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(gossip)).await;
    if let Some(peer) = node.fleet.state().peers.get_mut(&addr) {
        peer.calling = false;
        if !matches!(answer, Ok(Ok(_))) {
            // The next requests get a new connection; answers on this one go on.
            peer.answer_client = None;
        }
    }
    match answer {
        Ok(Ok(reply)) => node
            .fleet
            .apply_gossip(&node, reply.into_inner(), Origin::Answer),
        Ok(Err(status)) => {
            log::debug!(target: "fleet", peer:% = addr, error:% = status.message(); "peer unreachable");
        }
        Err(_) => log::debug!(target: "fleet", peer:% = addr; "peer did not answer in time"),
    }
}

/// Exchanges gossip with every peer at once, as before a stop.
pub(crate) async fn notify_all(node: &Arc<Node>) {
    let addrs: Vec<Name> = {
        let now = node.now();
        let state = node.fleet.state();
        state.alive_peers(now).map(|(a, _)| a.clone()).collect()
    };
    let calls = addrs.into_iter().map(|a| exchange_gossip(node.clone(), a));
    futures::future::join_all(calls).await;
}

/// Most peers that a daemon calls to learn who continues its former groups.
const MAX_ASKED: usize = 16;

/// Exchanges gossip with some peers, heard or not, as after a start.
pub(crate) async fn hear_peers(node: &Arc<Node>) {
    let addrs: Vec<Name> = {
        let state = node.fleet.state();
        let known = state.peers.keys().cloned();
        known.choose_multiple(&mut rand::rng(), MAX_ASKED)
    };
    let calls = addrs.into_iter().map(|a| exchange_gossip(node.clone(), a));
    futures::future::join_all(calls).await;
}

/// Calls the peers that must learn at once of a request that ends targets:
/// everyone in a small fleet; in a large one the lease holders, who pass it on
/// with their next answers.
pub(crate) fn notify_findings(node: &Arc<Node>) {
    let now = node.now();
    let addrs: Vec<Name> = {
        let state = node.fleet.state();
        let large = periods::is_large(state.peers.len());
        let called = state.alive_peers(now).filter(|(_, p)| !large || p.holds());
        called.map(|(a, _)| a.clone()).collect()
    };
    for addr in addrs {
        tokio::spawn(exchange_gossip(node.clone(), addr));
    }
}

/// Announces a newly acquired lease to every peer.
///
/// In a large fleet daemons report to holders only, and would learn of a new
/// one by chance, seconds later; until then they know no holder and place no
/// adapter there. In a small fleet the next period reaches everyone.
pub(crate) async fn announce_lease(node: Arc<Node>) {
    let large = periods::is_large(node.fleet.state().peers.len());
    if large {
        notify_all(&node).await;
    }
}

/// Answers the gossip of another daemon.
pub(crate) fn answer(node: &Arc<Node>, asked: News) -> News {
    let addr = asked.from.as_ref().map(|d| d.peer.clone());
    let addr = addr.unwrap_or_default();
    let versions = ReportedVersions::from(&asked);
    let asker = asked.from.clone();
    let known = KnownSummary::from(&asked);
    node.fleet.apply_gossip(node, asked, Origin::Call);
    let mut gossip = node.fleet.gossip_for(node, &addr);
    add_rows(node, versions, &mut gossip);
    if let Some(asker) = asker {
        node.fleet.add_totals(node, &asker, known, &mut gossip);
    }
    node.metrics.gossip_sent(&gossip);
    gossip
}
