//! Keeping up with the catalog, through the table or through peers.
//!
//! The follow task polls the table's epoch. When the table does not answer
//! this daemon, others may still reach it, and a configuration they follow
//! must be in force here too; so the task then asks a peer for its news.
//! The gRPC service that peers ask is here as well.

use std::time::Duration;

use comfreyhall_protocol::{
    DemandReply, DemandReport, Findings, PlaceReply, PlaceRequest, SyncReply, SyncRequest,
    peer_server::Peer,
};
use futures::{StreamExt, stream::FuturesUnordered};
use prost::Message;
use rand::seq::IteratorRandom;
use tonic::{Request, Response, Status};

use comfreyhall_life::Event;

use crate::{app::App, orders, quarantine};

/// Longest the table may take to say whether anything changed, before peers are
/// asked.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest what changed may take to arrive, from the table or a peer. A connection
/// that falls silent is noticed by its keepalives.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Peers asked per poll that failed.
const PEERS_ASKED: usize = 2;

/// Answers the other daemons.
pub(crate) struct Answers {
    pub(crate) app: App,
}

#[tonic::async_trait]
impl Peer for Answers {
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
        let reply = orders::place_for(&self.app, req.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn swap(&self, req: Request<Findings>) -> Result<Response<Findings>, Status> {
        let theirs = req.into_inner();
        quarantine::hear(&self.app, &theirs);
        Ok(Response::new(quarantine::findings(&self.app, &theirs.from)))
    }

    async fn report(&self, req: Request<DemandReport>) -> Result<Response<DemandReply>, Status> {
        orders::learn(&self.app, req.into_inner());
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
        let mut in_touch = true;
        loop {
            tick.tick().await;
            let polled = follow(&app).await;
            if polled != in_touch {
                in_touch = polled;
                let how = if polled {
                    "answers again"
                } else {
                    "does not answer; asking peers"
                };
                log::warn!(target: "follow", "the table service {how}");
            }
            if !polled {
                ask_peers(&app).await;
            }
        }
    });
}

/// Polls the table once; false if it did not answer.
async fn follow(app: &App) -> bool {
    let follower = &app.inner.follower;
    let moved = match tokio::time::timeout(POLL_TIMEOUT, follower.check_epoch()).await {
        Ok(Ok(moved)) => moved,
        Ok(Err(_)) | Err(_) => return false,
    };
    let fresh = match moved {
        None => false,
        Some(moved) => {
            let caught_up = follower.catch_up(moved);
            match tokio::time::timeout(ARRIVAL_TIMEOUT, caught_up).await {
                Ok(Ok(fresh)) => fresh,
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    };
    app.inner.life.handle(Event::Synced);
    if fresh {
        log::info!(target: "follow", "configuration {} is in force", follower.config().version);
    }
    true
}

/// Asks a few peers for news and takes over what is newer.
///
/// A daemon that never read the table stays out of service: its peers may
/// be behind what this instance once had in force.
async fn ask_peers(app: &App) {
    let follower = &app.inner.follower;
    if !follower.synced() {
        return;
    }
    let peers: Vec<_> = {
        let mut rng = rand::rng();
        let all = app.inner.peers.values().cloned();
        all.choose_multiple(&mut rng, PEERS_ASKED)
    };
    let ask = SyncRequest {
        epoch: follower.epoch(),
    };
    let asked = peers.into_iter().map(async |mut peer| {
        let answer = tokio::time::timeout(ARRIVAL_TIMEOUT, peer.sync(ask)).await;
        answer.ok()?.ok()
    });
    let mut answers: FuturesUnordered<_> = asked.collect();
    let mut patience = ARRIVAL_TIMEOUT;
    while let Ok(Some(answer)) = tokio::time::timeout(patience, answers.next()).await {
        if let Some(news) = answer {
            take_over(app, ask, &news.into_inner());
            // One that is mute must not hold the next poll up.
            patience = POLL_TIMEOUT;
        }
    }
}

/// Takes over what is newer in a peer's news.
fn take_over(app: &App, ask: SyncRequest, news: &SyncReply) {
    let follower = &app.inner.follower;
    app.inner
        .counters
        .control(ask.encoded_len(), news.encoded_len());
    match follower.apply_sync(news) {
        Ok(true) => {
            let version = follower.config().version;
            log::info!(target: "follow", "configuration {version} is in force, from a peer");
        }
        Ok(false) => {}
        Err(e) => log::warn!(target: "follow", "a peer sent a bad record: {e}"),
    }
}
