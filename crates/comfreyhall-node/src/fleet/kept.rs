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
