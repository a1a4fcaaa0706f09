//! Rows of evidence that the store has lost when it came back from a copy.
//!
//! The daemon that had stored a row may be gone, so every daemon that knows the evidence,
//! from gossip too, looks for the row: the home of the feature at once, the others some
//! time later by their rank, so that usually one of them writes it.

use std::sync::Arc;

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_domain::Map;
use comfreyhall_protocol::StoredEvidence;
use comfreyhall_quarantine::Fingerprint;
use prost::Message;

use super::{
    Node,
    store::{PREFIX, row_key},
};

/// How much later than the one before it in rank a daemon looks for a row, in ms: that one
/// may be gone, or not reach the store.
const RANK_DELAY_MS: u64 = 1_000;

/// Rank from which daemons look at the same time.
const MAX_RANK: usize = 3;

/// Features whose rows may be lost.
#[derive(Default)]
pub(super) struct LostRows {
    /// When to look for each, in ms.
    due: Vec<(Fingerprint, u64)>,
}

impl LostRows {
    /// All on which this daemon knows enough evidence, when it learns of the step.
    pub(super) fn since_step(node: &Node) -> Self {
        let now = node.now();
        let known: Vec<Fingerprint> = node.quarantine.state().known.known_to_store().collect();
        let due = known.into_iter().map(|fingerprint| {
            let rank = node.fleet.rank(&fingerprint.to_string(), now);
            let delay = rank.min(MAX_RANK) as u64 * RANK_DELAY_MS;
            (fingerprint, now + delay)
        });
        Self { due: due.collect() }
    }

    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    /// Looks for the rows that are due, and has those stored that do not exist or hold less
    /// than is known here.
    pub(super) async fn look_for<R: Rows>(
        &mut self,
        node: &Arc<Node>,
        rows: &R,
    ) -> Result<(), CatalogError> {
        let now = node.now();
        if !self.due.iter().any(|(_, at)| *at <= now) {
            return Ok(());
        }
        let found = rows.scan(PREFIX, "", 0).await?;
        let observations = |value: &[u8]| {
            let row = StoredEvidence::decode(value);
            row.map_or(0, |row| row.evidence.len())
        };
        let found = found.iter().map(|r| (&*r.key, observations(&r.value)));
        let found: Map<&str, usize> = found.collect();
        let mut state = node.quarantine.state();
        let due = self.due.extract_if(.., |(_, at)| *at <= now);
        for (fingerprint, _) in due {
            let known = state.known.evidence_to_store(&fingerprint);
            let stored = found.get(&*row_key(&fingerprint)).copied();
            if known.is_some_and(|known| stored.is_none_or(|stored| stored < known.len())) {
                log::info!(target: "quarantine", fingerprint:%; "the store lacks evidence; storing it");
                state.to_store.insert(fingerprint);
            }
        }
        Ok(())
    }
}
