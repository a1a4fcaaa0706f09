//! Calling the other daemons, and answering them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{
    BindReply, BindRequest, CapCall, CapReply, News, ProgressReply, ProgressReport, SettingsAsk,
    fleet_server::{self, FleetServer},
};
use rand::Rng;
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use super::{
    Fleet, Origin, PERIOD_MS, State,
    fetch::{self, Pieces},
    hub,
    news::{Lack, add_rows},
};
use crate::{bind, caps, node::Node};

/// Longest one swap may take.
const SWAP_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer that nobody heard from for this long is forgotten, in ms.
pub(super) const FORGET_MS: u64 = 60_000;

/// Pause between calls to a peer that does not answer, in ms.
const DEAD_PAUSE_MS: u64 = 1_000;

/// A peer that should have called and has not for this long is called, in ms.
const SILENT_MS: u64 = 600;

/// Starts swapping news.
pub(crate) fn spawn(node: &Arc<Node>) {
    super::progress::spawn(node);
    super::fetch::spawn(node);
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
    state.peers.retain(|_, p| {
        let last = p.heard.max(p.vouched).max(p.met);
        p.seed || now.saturating_sub(last) < FORGET_MS
    });
    let holding = node.leases.holds_any(node.settings().bounds.fencing);
    let out = if hub::is_large(state.peers.len()) {
        state.due_large(holding, now)
    } else {
        state.due_small(me, now)
    };
    for addr in &out {
        if let Some(peer) = state.peers.get_mut(addr) {
            peer.calling = true;
            peer.called = now;
            peer.hinted = false;
        }
    }
    out
}

impl State {
    /// Peers to call in a small fleet.
    fn due_small(&self, me: &str, now: u64) -> Vec<Name> {
        let limit = Fleet::alive_ms(self.peers.len());
        let due = self.peers.iter().filter(|(addr, peer)| {
            let quiet = now.saturating_sub(peer.heard);
            // One call a pair: the one with the smaller address makes it.
            let turn = me < &***addr || quiet > SILENT_MS;
            let rest = peer.heard == 0 || quiet > limit;
            let early = rest && now.saturating_sub(peer.called) < DEAD_PAUSE_MS && peer.called > 0;
            turn && !early && !peer.calling
        });
        due.map(|(addr, _)| addr.clone()).collect()
    }
}

async fn swap(node: Arc<Node>, addr: Name) {
    let Some(mut client) = node.fleet.client(&addr) else {
        return;
    };
    let mut news = node.fleet.news_for(&node, &addr);
    node.fleet.push_rows(&node, &addr, &mut news);
    node.fleet.tell_roster(&addr, &mut news);
    let answer = tokio::time::timeout(SWAP_TIMEOUT, client.exchange(news)).await;
    if let Some(peer) = node.fleet.state().peers.get_mut(&addr) {
        peer.calling = false;
    }
    match answer {
        Ok(Ok(reply)) => node.fleet.learn(&node, reply.into_inner(), Origin::Answer),
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

/// Has those called who must hear at once of a request that ends targets:
/// everyone in a small fleet, the holders of leases in a large one, who tell
/// the others with their next answers.
pub(crate) fn tell_found(node: &Arc<Node>) {
    let now = node.now();
    let addrs: Vec<Name> = {
        let state = node.fleet.state();
        let large = hub::is_large(state.peers.len());
        let heard = state.alive(now).filter(|(_, p)| !large || p.holds());
        heard.map(|(a, _)| a.clone()).collect()
    };
    for addr in addrs {
        tokio::spawn(swap(node.clone(), addr));
    }
}

/// Tells every peer of a lease just taken.
///
/// What goes wrong without it: in a large fleet daemons report to holders
/// only, and learn of a new one by chance, seconds later; until then they
/// know of no holder and place no adapter there. In a small fleet the next
/// period tells everyone.
pub(crate) async fn announce(node: Arc<Node>) {
    let large = hub::is_large(node.fleet.state().peers.len());
    if large {
        tell_all(&node).await;
    }
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
        let asker = asked.from.clone();
        let roster = asked.roster_version;
        self.0.fleet.learn(&self.0, asked, Origin::Call);
        let mut news = self.0.fleet.news_for(&self.0, &addr);
        add_rows(&self.0, lack, &mut news);
        if let Some(asker) = asker {
            self.0.fleet.add_totals(&self.0, &asker, roster, &mut news);
        }
        Ok(Response::new(news))
    }

    async fn bind(&self, req: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        Ok(Response::new(bind::answer(&self.0, req.into_inner()).await))
    }

    type FetchStream = Pieces;

    async fn fetch(&self, req: Request<SettingsAsk>) -> Result<Response<Pieces>, Status> {
        fetch::give(&self.0, &req.into_inner()).map(Response::new)
    }

    async fn settle(&self, req: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        Ok(Response::new(caps::answer(&self.0, req.into_inner())))
    }

    async fn progress(
        &self,
        req: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        self.0.fleet.progressed(&self.0, &req.into_inner());
        Ok(Response::new(ProgressReply::default()))
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
