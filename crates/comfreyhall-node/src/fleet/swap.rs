//! Calling the other daemons, and answering them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{
    EnsureReply, EnsureRequest, News,
    fleet_server::{self, FleetServer},
};
use rand::{Rng, seq::IteratorRandom};
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use super::{
    FANOUT, Fleet, PERIOD_MS,
    news::{Lack, add_rows, rows_since},
};
use crate::{keeper, node::Node, ports::Topic};

/// Longest one swap may take.
const SWAP_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer not heard from for this long is forgotten, in ms.
const FORGET_MS: u64 = 60_000;

/// Pause between calls to a peer that does not answer, in ms.
const DEAD_PAUSE_MS: u64 = 1_000;

/// A peer that should have called and has not for this long is called, in ms.
const SILENT_MS: u64 = 600;

/// Starts swapping news.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            for addr in due(&node) {
                tokio::spawn(swap(node.clone(), addr));
            }
            let jitter = rand::rng().random_range(0..PERIOD_MS / 5);
            tokio::time::sleep(Duration::from_millis(PERIOD_MS + jitter)).await;
        }
    });
}

/// Peers to call now.
fn due(node: &Node) -> Vec<Name> {
    let now = node.now();
    let mut state = node.fleet.state();
    let me = node.fleet.me.peer.as_str();
    let limit = Fleet::alive_ms(state.peers.len());
    state.peers.retain(|_, p| {
        let last = p.heard.max(p.called);
        p.seed || p.heard == 0 && p.called == 0 || now.saturating_sub(last) < FORGET_MS
    });
    let mut out: Vec<Name> = Vec::new();
    for (addr, peer) in &state.peers {
        let quiet = now.saturating_sub(peer.heard);
        // One call a pair: the one with the smaller address makes it.
        let turn = me < &**addr || quiet > SILENT_MS;
        let rest = peer.heard == 0 || quiet > limit;
        let early = rest && now.saturating_sub(peer.called) < DEAD_PAUSE_MS && peer.called > 0;
        if turn && !early && !peer.calling {
            out.push(addr.clone());
        }
    }
    let out = out.into_iter().choose_multiple(&mut rand::rng(), FANOUT);
    for addr in &out {
        if let Some(peer) = state.peers.get_mut(addr) {
            peer.calling = true;
            peer.called = now;
        }
    }
    out
}

async fn swap(node: Arc<Node>, addr: Name) {
    let Some(mut client) = node.fleet.client(&addr) else {
        return;
    };
    let mut news = node.fleet.news_for(&node, &addr);
    let (asked, known) = {
        let state = node.fleet.state();
        let peer = state.peers.get(&addr);
        (
            peer.and_then(|p| p.about.clone()),
            peer.map_or(0, |p| p.targets),
        )
    };
    if asked.is_none() {
        // A peer met for the first time may have just started.
        news.settings = rows_since(&node, Topic::Settings, 0);
    }
    news.targets = rows_since(&node, Topic::Targets, known);
    let answer = tokio::time::timeout(SWAP_TIMEOUT, client.exchange(news)).await;
    if let Some(peer) = node.fleet.state().peers.get_mut(&addr) {
        peer.calling = false;
    }
    match answer {
        Ok(Ok(reply)) => node.fleet.learn(&node, reply.into_inner()),
        Ok(Err(status)) => {
            log::debug!(target: "fleet", peer:% = addr, error:% = status.message(); "peer not reached");
        }
        Err(_) => log::debug!(target: "fleet", peer:% = addr; "peer silent"),
    }
}

/// Tells every peer at once, as before a stop.
pub(crate) async fn tell_all(node: &Arc<Node>) {
    let addrs: Vec<Name> = {
        let now = node.now();
        let state = node.fleet.state();
        state.alive(now).map(|(a, _)| a.clone()).collect()
    };
    let calls = addrs.into_iter().map(|a| swap(node.clone(), a));
    futures::future::join_all(calls).await;
}

/// Answers the other daemons.
struct Answers(Arc<Node>);

#[tonic::async_trait]
impl fleet_server::Fleet for Answers {
    async fn exchange(&self, req: Request<News>) -> Result<Response<News>, Status> {
        let asked = req.into_inner();
        let addr = asked.from.as_ref().map(|d| d.peer.clone());
        let addr = addr.unwrap_or_default();
        let lack = Lack::from(&asked);
        self.0.fleet.learn(&self.0, asked);
        let mut news = self.0.fleet.news_for(&self.0, &addr);
        add_rows(&self.0, lack, &mut news);
        Ok(Response::new(news))
    }

    async fn ensure(&self, req: Request<EnsureRequest>) -> Result<Response<EnsureReply>, Status> {
        Ok(Response::new(
            keeper::answer(&self.0, req.into_inner()).await,
        ))
    }
}

/// Answers the other daemons on `listener` for as long as the process runs.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) -> eyre::Result<()> {
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(1)))
        .http2_keepalive_timeout(Some(Duration::from_secs(1)))
        .add_service(FleetServer::new(Answers(node)))
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}
