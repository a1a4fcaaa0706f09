//! Gossip calls to the other daemons, and the service that answers theirs.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{
    BindReply, BindRequest, CapCall, CapReply, ForwardRequest, News, ProgressReply, ProgressReport,
    SettingsAsk, StreamFinding, StreamQuery, StreamRecordBatch, StreamRecordReply,
    fleet_server::{self, FleetServer},
};
use rand::Rng;
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use super::{
    Fleet, GOSSIP_PERIOD_MS, Origin, State,
    fetch::{self, ChunkStream},
    gossip::{ReportedVersions, add_rows},
    hub,
};
use crate::{bind, forward, node::Node, quotas, streams};

/// Longest duration of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a peer that nobody has seen is forgotten, in ms.
pub(super) const FORGET_MS: u64 = 60_000;

/// Interval between calls to a peer that does not answer, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// Silence after which a peer that should have called is called instead, in ms.
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
    state.peers.retain(|_, p| {
        let last = p.heard_at_ms.max(p.vouched_at_ms).max(p.met_at_ms);
        p.seed || now.saturating_sub(last) < FORGET_MS
    });
    let holding = node.leases.holds_any(node.settings().bounds.fencing);
    let out = if hub::is_large(state.peers.len()) {
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
            let silence_ms = now.saturating_sub(peer.heard_at_ms);
            // One call per pair, made by the daemon with the lower address.
            let is_caller = me < &***addr || silence_ms > SILENT_MS;
            let unreachable = peer.heard_at_ms == 0 || silence_ms > limit;
            let early = unreachable
                && now.saturating_sub(peer.called_at_ms) < UNREACHABLE_PAUSE_MS
                && peer.called_at_ms > 0;
            is_caller && !early && !peer.calling
        });
        due.map(|(addr, _)| addr.clone()).collect()
    }
}

async fn exchange_gossip(node: Arc<Node>, addr: Name) {
    let Some(mut client) = node.fleet.client(&addr) else {
        return;
    };
    let mut gossip = node.fleet.gossip_for(&node, &addr);
    node.fleet.push_rows(&node, &addr, &mut gossip);
    node.fleet.add_known_roster(&addr, &mut gossip);
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(gossip)).await;
    if let Some(peer) = node.fleet.state().peers.get_mut(&addr) {
        peer.calling = false;
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

/// Calls the peers that must learn at once of a request that ends targets:
/// everyone in a small fleet; in a large one the lease holders, who pass it on
/// with their next answers.
pub(crate) fn notify_findings(node: &Arc<Node>) {
    let now = node.now();
    let addrs: Vec<Name> = {
        let state = node.fleet.state();
        let large = hub::is_large(state.peers.len());
        let heard = state.alive_peers(now).filter(|(_, p)| !large || p.holds());
        heard.map(|(a, _)| a.clone()).collect()
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
    let large = hub::is_large(node.fleet.state().peers.len());
    if large {
        notify_all(&node).await;
    }
}

/// Answers the other daemons.
struct PeerService(Arc<Node>);

#[tonic::async_trait]
impl fleet_server::Fleet for PeerService {
    async fn exchange(&self, req: Request<News>) -> Result<Response<News>, Status> {
        let asked = req.into_inner();
        let addr = asked.from.as_ref().map(|d| d.peer.clone());
        let addr = addr.unwrap_or_default();
        let versions = ReportedVersions::from(&asked);
        let asker = asked.from.clone();
        let roster = asked.roster_version;
        self.0.fleet.apply_gossip(&self.0, asked, Origin::Call);
        let mut gossip = self.0.fleet.gossip_for(&self.0, &addr);
        add_rows(&self.0, versions, &mut gossip);
        if let Some(asker) = asker {
            self.0
                .fleet
                .add_totals(&self.0, &asker, roster, &mut gossip);
        }
        Ok(Response::new(gossip))
    }

    async fn bind(&self, req: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        Ok(Response::new(bind::answer(&self.0, req.into_inner()).await))
    }

    type ForwardStream = forward::PartStream;

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<forward::PartStream>, Status> {
        let parts = forward::receive(&self.0, req.into_inner()).await?;
        Ok(Response::new(parts))
    }

    type FetchStream = ChunkStream;

    async fn fetch(&self, req: Request<SettingsAsk>) -> Result<Response<ChunkStream>, Status> {
        fetch::send_settings(&self.0, &req.into_inner()).map(Response::new)
    }

    async fn settle(&self, req: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        Ok(Response::new(quotas::answer(&self.0, req.into_inner())))
    }

    async fn record_streams(
        &self,
        req: Request<StreamRecordBatch>,
    ) -> Result<Response<StreamRecordReply>, Status> {
        streams::receive(&self.0, req.into_inner());
        Ok(Response::new(StreamRecordReply::default()))
    }

    async fn find_stream(
        &self,
        req: Request<StreamQuery>,
    ) -> Result<Response<StreamFinding>, Status> {
        Ok(Response::new(streams::answer(&self.0, req.get_ref())))
    }

    async fn progress(
        &self,
        req: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        self.0.fleet.apply_progress(&self.0, &req.into_inner());
        Ok(Response::new(ProgressReply::default()))
    }
}

/// Answers the other daemons on `listener` for as long as the process runs.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) -> eyre::Result<()> {
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(1)))
        .http2_keepalive_timeout(Some(Duration::from_secs(1)))
        .add_service(FleetServer::new(PeerService(node)))
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}
