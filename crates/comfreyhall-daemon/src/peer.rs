//! Follows the catalog, through the table service or through peers.
//!
//! The follow task polls the table's epoch. If the table does not answer this
//! daemon, other daemons may still reach it, and a configuration that is active
//! on them must become active here too; so the task then asks peers for
//! changes. The module also contains the gRPC service that peers call.

use std::time::Duration;

use comfreyhall_protocol::{
    DemandReply, DemandReport, Findings, PlaceReply, PlaceRequest, ReachQuery, ReachReply,
    SyncReply, SyncRequest, peer_server::Peer,
};
use futures::{StreamExt, stream::FuturesUnordered};
use prost::Message;
use rand::seq::IteratorRandom;
use tonic::{Request, Response, Status};

use comfreyhall_life::Event;

use crate::{app::App, orders, quarantine};

/// Longest time the table may take to say whether anything changed, before
/// peers are asked.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a transfer of changes from the table or a peer. Connections that
/// stop answering are detected by their keepalives.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Peers asked after each failed poll.
const MAX_PEERS: usize = 2;

/// The gRPC service for other daemons.
pub(crate) struct PeerService {
    pub(crate) app: App,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn sync(&self, req: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        let follower = &self.app.inner.follower;
        if !follower.synced() {
            return Err(Status::unavailable("this instance knows no configuration"));
        }
        Ok(Response::new(
            follower.changes_since(req.get_ref().epoch).await,
        ))
    }

    async fn place(&self, req: Request<PlaceRequest>) -> Result<Response<PlaceReply>, Status> {
        let reply = orders::place_for_peer(&self.app, req.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn swap(&self, req: Request<Findings>) -> Result<Response<Findings>, Status> {
        let theirs = req.into_inner();
        quarantine::merge_evidence(&self.app, &theirs);
        Ok(Response::new(quarantine::unseen_evidence(
            &self.app,
            &theirs.from,
        )))
    }

    async fn reach(&self, req: Request<ReachQuery>) -> Result<Response<ReachReply>, Status> {
        let reply = quarantine::answer(&self.app, req.get_ref()).await;
        Ok(Response::new(reply))
    }

    async fn report(&self, req: Request<DemandReport>) -> Result<Response<DemandReply>, Status> {
        orders::record_demand(&self.app, req.into_inner());
        Ok(Response::new(DemandReply {}))
    }
}

/// Starts the follow task.
pub(crate) fn spawn(app: &App) {
    let app = app.clone();
    let period = Duration::from_millis(app.inner.settings.tuning.follow_ms);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut reachable = true;
        loop {
            tick.tick().await;
            let polled = poll_table(&app).await;
            if polled != reachable {
                reachable = polled;
                let status = if polled {
                    "answers again"
                } else {
                    "does not answer; asking peers"
                };
                log::warn!(target: "follow", "the table service {status}");
            }
            if !polled {
                ask_peers(&app).await;
            }
        }
    });
}

/// Polls the table once; false if it did not answer.
async fn poll_table(app: &App) -> bool {
    let follower = &app.inner.follower;
    let change = match tokio::time::timeout(POLL_TIMEOUT, follower.check_epoch()).await {
        Ok(Ok(change)) => change,
        Ok(Err(_)) | Err(_) => return false,
    };
    let updated = match change {
        None => false,
        Some(change) => {
            let caught_up = follower.catch_up(change);
            match tokio::time::timeout(TRANSFER_TIMEOUT, caught_up).await {
                Ok(Ok(updated)) => updated,
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    };
    app.inner.lifecycle.handle(Event::Synced);
    if updated {
        log::info!(target: "follow", "configuration {} is in force", follower.config().version);
    }
    true
}

/// Asks a few peers for changes and applies what is newer.
///
/// A daemon that has never read the table stays out of service: its peers may
/// be behind a configuration that was active on this instance before.
async fn ask_peers(app: &App) {
    let follower = &app.inner.follower;
    if !follower.synced() {
        return;
    }
    let peers: Vec<_> = {
        let mut rng = rand::rng();
        let all = app.inner.peers.values().cloned();
        all.choose_multiple(&mut rng, MAX_PEERS)
    };
    let request = SyncRequest {
        epoch: follower.epoch(),
    };
    let calls = peers.into_iter().map(async |mut peer| {
        let answer = tokio::time::timeout(TRANSFER_TIMEOUT, peer.sync(request)).await;
        answer.ok()?.ok()
    });
    let mut answers: FuturesUnordered<_> = calls.collect();
    let mut wait = TRANSFER_TIMEOUT;
    while let Ok(Some(answer)) = tokio::time::timeout(wait, answers.next()).await {
        if let Some(reply) = answer {
            apply_reply(app, request, &reply.into_inner());
            // A peer that does not answer must not delay the next poll.
            wait = POLL_TIMEOUT;
        }
    }
}

/// Applies what is newer in a peer's reply.
fn apply_reply(app: &App, request: SyncRequest, reply: &SyncReply) {
    let follower = &app.inner.follower;
    app.inner
        .counters
        .count_control(request.encoded_len(), reply.encoded_len());
    match follower.apply_sync(reply) {
        Ok(true) => {
            let version = follower.config().version;
            log::info!(target: "follow", "configuration {version} is in force, from a peer");
        }
        Ok(false) => {}
        Err(e) => log::warn!(target: "follow", "a peer sent a bad record: {e}"),
    }
}
