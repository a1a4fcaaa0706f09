//! Settings that the store does not give are fetched from another daemon.
//!
//! Settings may be large and links small, and when the store is away a whole
//! fleet may lack them. So they do not ride on the reports, which come often and
//! have little time: a daemon that has heard of a newer version asks one daemon
//! that has it, and gets it in pieces, which may take as long as the links need.
//! A daemon hands them to [`GIVEN_AT_ONCE`] others at a time and names those it
//! has handed them to, so they spread through the fleet and no daemon's link
//! carries all copies.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_domain::Name;
use comfreyhall_inforce::{CatchUp, Source};
use comfreyhall_protocol::{
    SettingsAsk, SettingsPart, SettingsRows, fleet_client::FleetClient, link,
};
use futures::{Stream, StreamExt};
use prost::Message;
use rand::{Rng, seq::IteratorRandom};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tonic::{Status, transport::Channel};

use super::{Fleet, news};
use crate::{
    facts::{self, Provenance},
    follow,
    node::Node,
    ports::{Record, RecordBatch, Topic},
};

/// Daemons that are handed settings at once: with one, a daemon that freezes in the
/// middle would keep all others waiting; each more makes all of them slower.
const GIVEN_AT_ONCE: usize = 2;

/// Daemons named to those that cannot be handed settings now.
const NAMED: usize = 8;

/// Bytes in one piece.
const PIECE: usize = 16 << 10;

/// Longest a transfer may be silent, before it begins and within it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest one transfer may take.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before the next daemon is asked after one had no time or failed, in ms.
const PAUSE_MS: std::ops::Range<u64> = 80..240;

/// Pause while no daemon is known that has them.
const NOBODY_PAUSE: Duration = Duration::from_millis(500);

/// The pieces of one transfer.
pub(super) type Pieces = Pin<Box<dyn Stream<Item = Result<SettingsPart, Status>> + Send>>;

/// What this daemon hands to others.
pub(super) struct Giving {
    permits: Arc<Semaphore>,
    /// Peer addresses of those that were given last.
    given: Arc<Mutex<VecDeque<String>>>,
}

impl Default for Giving {
    fn default() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(GIVEN_AT_ONCE)),
            given: Arc::default(),
        }
    }
}

impl Giving {
    fn others(&self) -> Vec<String> {
        let given = self.given.lock().expect("no holder of this lock panics");
        given.iter().cloned().collect()
    }
}

/// A transfer to one daemon; it holds its permit until it ends.
struct Transfer {
    _permit: OwnedSemaphorePermit,
    rest: Bytes,
    peer: String,
    given: Arc<Mutex<VecDeque<String>>>,
}

impl Transfer {
    fn next(mut self) -> Option<(Result<SettingsPart, Status>, Self)> {
        if self.rest.is_empty() {
            let mut given = self.given.lock().expect("no holder of this lock panics");
            given.push_front(std::mem::take(&mut self.peer));
            given.truncate(NAMED);
            return None;
        }
        let piece = self.rest.split_to(PIECE.min(self.rest.len()));
        let part = SettingsPart {
            piece: piece.to_vec(),
            others: Vec::new(),
        };
        Some((Ok(part), self))
    }
}

/// Hands the settings over that `ask` lacks, or names others that may have them.
pub(super) fn give(node: &Node, ask: &SettingsAsk) -> Result<Pieces, Status> {
    let newest = node.view().records.settings_sync.newest();
    if newest <= ask.since {
        return Err(Status::not_found("nothing newer is known here"));
    }
    let giving = &node.fleet.giving;
    let Ok(permit) = giving.permits.clone().try_acquire_owned() else {
        let part = SettingsPart {
            piece: Vec::new(),
            others: giving.others(),
        };
        return Ok(futures::stream::iter([Ok(part)]).boxed());
    };
    let rows = SettingsRows {
        since: ask.since,
        newest,
        rows: news::rows_since(node, Topic::Settings, ask.since),
    };
    let transfer = Transfer {
        _permit: permit,
        rest: rows.encode_to_vec().into(),
        peer: ask.peer.clone(),
        given: giving.given.clone(),
    };
    Ok(futures::stream::unfold(transfer, |t| async { t.next() }).boxed())
}

/// Why settings did not come from another daemon.
#[derive(Debug, Error)]
enum FetchError {
    /// It hands them to as many as it can.
    #[error("the daemon hands settings to others; asking one of {} that it named", .0.len())]
    Busy(Vec<String>),
    /// It could not be reached or broke off.
    #[error("the daemon did not hand them over ({0}); asking another one")]
    Failed(String),
    /// It fell silent.
    #[error("the daemon fell silent; asking another one")]
    Silent,
    /// They cannot be read, or begin after what is known here.
    #[error("the settings cannot be used ({0}); asking another one")]
    Odd(&'static str),
}

/// Starts the duty.
pub(super) fn spawn(node: &Arc<Node>) {
    tokio::spawn(keep(node.clone()));
}

async fn keep(node: Arc<Node>) {
    loop {
        node.fleet.fetch.notified().await;
        while let Some(pause) = catch_up(&node).await {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Does what is to be done about a newer version; how long to wait before looking
/// again, if one is still lacked.
async fn catch_up(node: &Arc<Node>) -> Option<Duration> {
    // The other parts are left for finding one that has it, and for the transfer.
    let patience = node.settings().bounds.apply_ms / follow::PARTS_PER_APPLY;
    let step = node
        .view()
        .records
        .settings_sync
        .next_step(node.now(), patience);
    match step {
        CatchUp::Idle => return None,
        CatchUp::Wait(ms) => return Some(Duration::from_millis(ms)),
        CatchUp::AskPeer => {}
    }
    let Some(giver) = node.fleet.giver(node) else {
        return Some(NOBODY_PAUSE);
    };
    let named = match fetch(node, &giver).await {
        Ok(()) => return None,
        Err(FetchError::Busy(others)) => others,
        Err(e) => {
            log::info!(target: "fleet", addr:% = giver, error:% = e; "settings not fetched");
            Vec::new()
        }
    };
    let own = node.fleet.peer_addr();
    let other = named.into_iter().filter(|a| a != own);
    let other = other.choose(&mut rand::rng());
    if let Some(addr) = other
        && fetch(node, &addr).await.is_ok()
    {
        return None;
    }
    let pause = rand::rng().random_range(PAUSE_MS);
    Some(Duration::from_millis(pause))
}

/// Takes in what the daemon at `addr` hands over.
async fn fetch(node: &Arc<Node>, addr: &str) -> Result<(), FetchError> {
    let asked = node.now();
    let since = node.view().records.settings_sync.complete_to();
    let transfer = collect(node, addr, since);
    let rows = match tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await {
        Ok(rows) => rows?,
        Err(_) => return Err(FetchError::Failed("it takes too long".to_string())),
    };
    let rows = SettingsRows::decode(rows).map_err(|_| FetchError::Odd("not rows"))?;
    if !node.view().records.settings_sync.is_contiguous(rows.since) {
        return Err(FetchError::Odd("a gap before them"));
    }
    let newest = rows.newest;
    let rows: Vec<Record> = rows.rows.into_iter().map(news::from_wire).collect();
    let origin = Provenance {
        way: Source::Peer(node.fleet.id_of(addr)),
        asked,
    };
    let version = newest;
    facts::apply(
        node,
        Topic::Settings,
        RecordBatch { rows, version },
        &origin,
    );
    node.view().records.settings_sync.peer_completed(newest);
    follow::settle(node);
    Ok(())
}

/// The pieces of a whole transfer from `addr`.
async fn collect(node: &Node, addr: &str, since: u64) -> Result<Bytes, FetchError> {
    let mut client = node.fleet.client_at(addr);
    let ask = SettingsAsk {
        since,
        peer: node.fleet.peer_addr().to_string(),
    };
    let failed = |status: Status| FetchError::Failed(status.message().to_string());
    let begun = tokio::time::timeout(SILENCE_TIMEOUT, client.fetch(ask)).await;
    let begun = begun.map_err(|_| FetchError::Silent)?;
    let mut pieces = begun.map_err(failed)?.into_inner();
    let mut whole = Vec::new();
    loop {
        let part = tokio::time::timeout(SILENCE_TIMEOUT, pieces.message()).await;
        let part = part.map_err(|_| FetchError::Silent)?.map_err(failed)?;
        let Some(part) = part else {
            return Ok(whole.into());
        };
        if part.piece.is_empty() {
            return Err(FetchError::Busy(part.others));
        }
        whole.extend_from_slice(&part.piece);
    }
}

impl Fleet {
    /// A daemon that has newer settings, drawn among those that have the newest.
    fn giver(&self, node: &Node) -> Option<Name> {
        let known = node.view().records.settings_sync.complete_to();
        let now = node.now();
        let state = self.state();
        let newest = state.heard(now).map(|(_, p)| p.settings).max()?;
        let givers = state
            .heard(now)
            .filter(|(_, p)| p.settings == newest && newest > known);
        givers.map(|(a, _)| a.clone()).choose(&mut rand::rng())
    }

    /// A client for the daemon at `addr`, whether it was met or not.
    fn client_at(&self, addr: &str) -> FleetClient<Channel> {
        let known = self.client(addr);
        known.unwrap_or_else(|| FleetClient::new(link::channel(addr)))
    }

    /// The id of the daemon at `addr`, or the address if it is not known.
    fn id_of(&self, addr: &str) -> Name {
        let state = self.state();
        let about = state.peers.get(addr).and_then(|p| p.about.as_ref());
        about.map_or(addr, |a| a.id.as_str()).into()
    }
}

#[cfg(test)]
mod tests;
