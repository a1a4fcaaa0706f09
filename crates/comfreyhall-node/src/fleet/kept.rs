//! What the store has lost, and peers still know.
//!
//! The store may come back from a copy some seconds old. Daemons that have run since keep
//! the newer content that they know. One that starts on the copy knows less, and its own
//! rows are newer by their version, so the usual exchange brings it nothing. It learns from
//! gossip that a peer keeps such rows, and fetches them.

use std::sync::Arc;

use comfreyhall_inforce::Source;
use comfreyhall_protocol::SettingsAsk;

use super::{
    fetch::{FetchError, collect},
    rows,
};
use crate::{
    node::Node,
    records,
    rows::{KeptRows, Provenance},
};

/// Least time between the beginnings of two fetches, in ms: what daemons keep changes with
/// each row that is written again.
const MIN_PAUSE_MS: u64 = 500;

/// Fetches of what the store has lost, one at a time.
#[derive(Debug, Default)]
pub(super) struct KeptFetch {
    /// The era of the store and the digest of the rows, in progress.
    running: Option<(u32, u32)>,
    /// The era and the digests of completed ones. What was received once is not fetched
    /// again, even if this daemon had no use for some rows.
    done: (u32, Vec<u32>),
    /// When the next one may begin.
    next_ms: u64,
}

impl KeptFetch {
    /// Whether a fetch of the rows with the digest `kept` begins at `now`.
    fn begin(&mut self, era: u32, kept: u32, now: u64) -> bool {
        let (done_era, done) = &self.done;
        let is_done = *done_era > era || (*done_era == era && done.contains(&kept));
        if self.running.is_some() || is_done || now < self.next_ms {
            return false;
        }
        self.running = Some((era, kept));
        self.next_ms = now + MIN_PAUSE_MS;
        true
    }

    /// Whether a fetch is in progress.
    #[cfg(test)]
    pub(super) fn is_running(&self) -> bool {
        self.running.is_some()
    }

    fn end(&mut self, completed: bool) {
        let Some((era, kept)) = self.running.take().filter(|_| completed) else {
            return;
        };
        if self.done.0 < era {
            self.done = (era, Vec::new());
        }
        self.done.1.push(kept);
    }
}

/// Has what the store has lost fetched from the daemon at `addr`, whose rows of that kind
/// have the digest `kept`, if this one knows others or none.
///
/// This one may have started after the store came back from a copy, or have missed a change
/// before that.
pub(super) fn request(node: &Arc<Node>, addr: &str, kept: u32) {
    let (own, era) = {
        let view = node.view();
        let era = view.records.settings.version.era();
        (view.records.kept_digest(), era)
    };
    let now = node.now();
    if kept == 0 || kept == own || !node.fleet.state().kept_fetch.begin(era, kept, now) {
        return;
    }
    let (node, addr) = (node.clone(), addr.to_string());
    tokio::spawn(async move {
        let result = fetch(&node, &addr).await;
        if let Err(e) = &result {
            log::info!(target: "fleet", addr, error:% = e; "rows that the store has lost not fetched");
        }
        node.fleet.state().kept_fetch.end(result.is_ok());
    });
}

/// Fetches from the daemon at `addr` what the store has lost, and applies it.
async fn fetch(node: &Arc<Node>, addr: &str) -> Result<(), FetchError> {
    let asked = node.now();
    let ask = SettingsAsk {
        since: 0,
        peer: node.fleet.peer_addr().to_string(),
        kept: true,
    };
    let found = collect(node, addr, ask).await?;
    let kept = KeptRows {
        settings: found.rows.into_iter().map(rows::from_wire).collect(),
        leaving: found.leaving.iter().map(|id| id.as_str().into()).collect(),
    };
    let origin = Provenance {
        source: Source::Peer(node.fleet.id_of(addr)),
        requested_at_ms: asked,
    };
    records::apply_kept(node, kept, &origin);
    Ok(())
}
