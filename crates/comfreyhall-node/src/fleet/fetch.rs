//! Fetches settings from another daemon when the store does not provide them.
//!
//! Settings may be large and links slow, and when the store is down a whole
//! fleet may lack them. They are therefore not part of the reports, which are
//! frequent and have short timeouts: a daemon that has learned of a newer
//! version asks one daemon that has it, and receives it in chunks, which may
//! take as long as the links need. A daemon sends them to a few
//! others at a time and names the latest recipients, so that they spread
//! through the fleet and no daemon's link carries all copies.

use std::net::SocketAddr;
use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_domain::{Name, Revision};
use comfreyhall_inforce::{CatchUp, Source};
use comfreyhall_protocol::{
    SettingsAsk, SettingsPart, SettingsRows, fleet_client::FleetClient, link,
};
use futures::{Stream, StreamExt};
use prost::Message;
use rand::{Rng, seq::IteratorRandom};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tonic::{Status, transport::Channel};

use super::{rows, state::Fleet};
use crate::{
    follow,
    node::Node,
    ports::{Record, RecordBatch, Topic},
    records,
    rows::Provenance,
    traffic::Kind,
};

/// Recipients named to daemons that cannot be served now.
const NAMED: usize = 8;

/// Bytes in one chunk.
const CHUNK_BYTES: usize = 16 << 10;

/// Longest transfer, in bytes: as long as a read of the store may be.
const MAX_SETTINGS_BYTES: usize = 40 << 20;

/// Longest time without data before a transfer begins and within it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest duration of one transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before the next daemon is asked after one was busy or failed, in ms.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 80..240;

/// Pause while no daemon with newer settings is known.
const NO_SOURCE_PAUSE: Duration = Duration::from_millis(500);

/// The chunks of one transfer.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<SettingsPart, Status>> + Send>>;

/// A transfer to one daemon; it holds its permit until it ends.
struct Transfer {
    _permit: OwnedSemaphorePermit,
    remaining: Bytes,
    peer: String,
    recipients: Arc<Mutex<VecDeque<String>>>,
}

impl Transfer {
    fn next(mut self) -> Option<(Result<SettingsPart, Status>, Self)> {
        if self.remaining.is_empty() {
            let mut recipients = self
                .recipients
                .lock()
                .expect("no holder of this lock panics");
            recipients.push_front(std::mem::take(&mut self.peer));
            recipients.truncate(NAMED);
            return None;
        }
        let piece = self
            .remaining
            .split_to(CHUNK_BYTES.min(self.remaining.len()));
        let part = SettingsPart {
            piece: piece.to_vec(),
            others: Vec::new(),
        };
        Some((Ok(part), self))
    }
}

/// Sends the settings that `ask` lacks, or names other daemons that may have
/// them.
pub(crate) fn send_settings(node: &Node, ask: &SettingsAsk) -> Result<ChunkStream, Status> {
    let newest = node.view().records.settings_sync.newest();
    let since = Revision::from_wire(ask.since);
    if !ask.kept && newest <= since {
        return Err(Status::not_found("nothing newer is known here"));
    }
    let sender = &node.fleet.settings_sender;
    let Ok(permit) = sender.permits.clone().try_acquire_owned() else {
        let part = SettingsPart {
            piece: Vec::new(),
            others: sender.recent_recipients(),
        };
        return Ok(futures::stream::iter([Ok(part)]).boxed());
    };
    let rows = match ask.kept {
        true => {
            let kept = records::kept_rows(node);
            SettingsRows {
                rows: kept.settings.iter().map(rows::to_wire).collect(),
                leaving: kept.leaving.iter().map(|id| id.to_string()).collect(),
                ..SettingsRows::default()
            }
        }
        false => SettingsRows {
            since: ask.since,
            newest: newest.to_wire(),
            rows: rows::rows_since(node, Topic::Settings, since),
            leaving: Vec::new(),
        },
    };
    let transfer = Transfer {
        _permit: permit,
        remaining: rows.encode_to_vec().into(),
        peer: ask.peer.clone(),
        recipients: sender.recipients.clone(),
    };
    Ok(futures::stream::unfold(transfer, |t| async { t.next() }).boxed())
}

/// Why settings could not be fetched from another daemon.
#[derive(Debug, Error)]
pub(super) enum FetchError {
    /// All its transfers are in use.
    #[error("the daemon is busy with other transfers; asking one of {} daemons that it named", .0.len())]
    Busy(Vec<String>),
    /// It could not be reached, or the transfer failed.
    #[error("the transfer failed ({0}); asking another daemon")]
    Failed(String),
    /// It stopped sending.
    #[error("the daemon stopped sending; asking another one")]
    Silent,
    /// They cannot be decoded, or do not follow on from what is known here.
    #[error("the settings cannot be used ({0}); asking another daemon")]
    Unusable(&'static str),
}

/// Starts the task that fetches settings.
pub(super) fn spawn(node: &Arc<Node>) {
    tokio::spawn(run(node.clone()));
}

async fn run(node: Arc<Node>) {
    loop {
        node.fleet.fetch_wanted.notified().await;
        while let Some(pause) = fetch_missing(&node).await {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Fetches a newer version if one is known; returns how long to wait before the
/// next attempt, if it is still missing.
async fn fetch_missing(node: &Arc<Node>) -> Option<Duration> {
    // The other parts are left for finding a source, and for the transfer.
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
    let Some(source) = node.fleet.settings_source(node) else {
        return Some(NO_SOURCE_PAUSE);
    };
    let named = match fetch(node, &source).await {
        Ok(()) => return None,
        Err(FetchError::Busy(others)) => others,
        Err(e) => {
            log::info!(target: "fleet", addr:% = source, error:% = e; "settings not fetched");
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
    let pause = rand::rng().random_range(RETRY_PAUSE_MS);
    Some(Duration::from_millis(pause))
}

/// Fetches settings from the daemon at `addr` and applies them.
async fn fetch(node: &Arc<Node>, addr: &str) -> Result<(), FetchError> {
    let asked = node.now();
    let since = node.view().records.settings_sync.complete_to();
    let ask = SettingsAsk {
        since: since.to_wire(),
        peer: node.fleet.peer_addr().to_string(),
        kept: false,
    };
    let rows = collect(node, addr, ask).await?;
    if !node
        .view()
        .records
        .settings_sync
        .is_contiguous(Revision::from_wire(rows.since))
    {
        return Err(FetchError::Unusable("rows before them are missing"));
    }
    let newest = Revision::from_wire(rows.newest);
    let rows: Vec<Record> = rows.rows.into_iter().map(rows::from_wire).collect();
    let origin = Provenance {
        source: Source::Peer(node.fleet.id_of(addr)),
        requested_at_ms: asked,
    };
    let version = newest;
    records::apply(
        node,
        Topic::Settings,
        RecordBatch { rows, version },
        &origin,
    );
    node.view().records.settings_sync.peer_completed(newest);
    follow::start_if_synced(node);
    Ok(())
}

/// Receives the transfer that `ask` asks for from `addr`.
pub(super) async fn collect(
    node: &Node,
    addr: &str,
    ask: SettingsAsk,
) -> Result<SettingsRows, FetchError> {
    let whole = match tokio::time::timeout(TRANSFER_TIMEOUT, read_chunks(node, addr, ask)).await {
        Ok(whole) => whole?,
        Err(_) => return Err(FetchError::Failed("it exceeded the time limit".to_string())),
    };
    SettingsRows::decode(whole).map_err(|_| FetchError::Unusable("they cannot be decoded"))
}

/// Receives all chunks of a transfer from `addr`.
async fn read_chunks(node: &Node, addr: &str, ask: SettingsAsk) -> Result<Bytes, FetchError> {
    let client = node.fleet.client_at(addr);
    let mut client = client.ok_or(FetchError::Unusable("their daemon has no address"))?;
    let failed = |status: Status| FetchError::Failed(status.message().to_string());
    let ask = node.metrics.peer_sent(Kind::Settings, ask);
    let begun = tokio::time::timeout(SILENCE_TIMEOUT, client.fetch(ask)).await;
    let begun = begun.map_err(|_| FetchError::Silent)?;
    join(begun.map_err(failed)?.into_inner()).await
}

/// Joins the chunks of a transfer.
async fn join(
    mut pieces: impl Stream<Item = Result<SettingsPart, Status>> + Unpin,
) -> Result<Bytes, FetchError> {
    let mut whole = Vec::new();
    loop {
        let part = tokio::time::timeout(SILENCE_TIMEOUT, pieces.next()).await;
        let Some(part) = part.map_err(|_| FetchError::Silent)? else {
            return Ok(whole.into());
        };
        let part = part.map_err(|status| FetchError::Failed(status.message().to_string()))?;
        if part.piece.is_empty() {
            return Err(FetchError::Busy(part.others));
        }
        if whole.len() + part.piece.len() > MAX_SETTINGS_BYTES {
            return Err(FetchError::Unusable("they are longer than settings may be"));
        }
        whole.extend_from_slice(&part.piece);
    }
}

impl Fleet {
    /// A random one of the daemons with the newest settings, if they are newer
    /// than those known here.
    fn settings_source(&self, node: &Node) -> Option<Name> {
        let known = node.view().records.settings_sync.complete_to();
        let now = node.now();
        let state = self.state();
        let newest = state
            .recent_peers(now)
            .map(|(_, p)| p.settings_version)
            .max()?;
        let sources = state
            .recent_peers(now)
            .filter(|(_, p)| p.settings_version == newest && newest > known);
        sources.map(|(a, _)| a.clone()).choose(&mut rand::rng())
    }

    /// A client for the daemon at `addr`, whether it is a known peer or not; `None` if that
    /// is no address, which another daemon may have sent.
    fn client_at(&self, addr: &str) -> Option<FleetClient<Channel>> {
        let known = self.client(addr);
        known.or_else(|| {
            addr.parse::<SocketAddr>().ok()?;
            Some(FleetClient::new(link::channel(addr)))
        })
    }

    /// The id of the daemon at `addr`, or the address if it is not known.
    pub(super) fn id_of(&self, addr: &str) -> Name {
        let state = self.state();
        let about = state.peers.get(addr).and_then(|p| p.daemon.as_ref());
        about.map_or(addr, |a| a.id.as_str()).into()
    }
}

#[cfg(test)]
mod tests;
