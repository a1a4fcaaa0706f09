//! Evidence in the platform's table.
//!
//! After all daemons were lost at once nobody would know what ends targets, and it would
//! have to end as many again. So the daemon that observes the second end of a feature or
//! a later one stores all evidence on it, in one row for each feature, and a daemon that
//! starts reads these rows before its first send. A row is deleted when its feature is
//! cleared or its evidence has become too old. When the store comes back from a copy,
//! each daemon that knows enough evidence on a feature makes sure that its row exists
//! ([`super::lost`]).

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use comfreyhall_catalog::{CatalogError, Rows, delete, put};
use comfreyhall_domain::Set;
use comfreyhall_protocol::StoredEvidence;
use comfreyhall_quarantine::{Evidence, Fingerprint};
use prost::Message;

use super::{Node, learn, lost::LostRows, time};
use crate::{follow, members::newest_era};

pub(super) const PREFIX: &str = "quarantine/";

/// How long after its start a daemon sends nothing while it reads the rows; then the
/// store is slow or away.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum pause between two commits: the ends of a series are stored together.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);

/// Interval between checks whether the store has come back from a copy.
const ERA_POLL: Duration = Duration::from_millis(500);

/// Most rows in one commit; what is beyond goes into the next.
const MAX_ROWS: usize = 32;

/// Age from which a row that a starting daemon reads is deleted.
const ROW_TTL_MS: u64 = 3_600_000;

/// Starts the task.
pub(super) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    tokio::spawn(run(node.clone(), rows));
    let node = node.clone();
    tokio::spawn(async move {
        tokio::time::sleep(LOAD_TIMEOUT).await;
        node.quarantine.mark_loaded();
    });
}

async fn run<R: Rows>(node: Arc<Node>, rows: R) {
    let mut stored = match node.settings().first_start {
        true => Set::default(),
        false => load(&node, &rows).await,
    };
    node.quarantine.mark_loaded();
    let mut failures = 0;
    let mut era = newest_era(&node, &rows);
    let mut lost_rows = LostRows::default();
    loop {
        if failures == 0 {
            tokio::select! {
                () = node.quarantine.stored_changed.notified() => {}
                () = tokio::time::sleep(ERA_POLL) => {}
            }
        }
        let newest_era = newest_era(&node, &rows);
        if newest_era != era {
            if era > 0 {
                lost_rows = LostRows::since_step(&node);
                log::info!(target: "quarantine", rows = lost_rows.len(), from = era, to = newest_era; "the store came back from a copy; looking for stored evidence");
            }
            era = newest_era;
        }
        let found = lost_rows.look_for(&node, &rows).await;
        match found.and(store_changed(&node, &rows, &mut stored).await) {
            Ok(()) => failures = 0,
            Err(e) => {
                failures += 1;
                log::warn!(target: "quarantine", error:% = e; "evidence not stored");
            }
        }
        let pause = match failures {
            0 => COMMIT_PAUSE,
            _ => follow::pause(&node, failures).max(COMMIT_PAUSE),
        };
        tokio::time::sleep(pause).await;
    }
}

/// Learns what other daemons have stored; returns whose rows exist.
async fn load<R: Rows>(node: &Arc<Node>, rows: &R) -> Set<Fingerprint> {
    let mut failures = 0;
    loop {
        match rows.scan(PREFIX, "", 0).await {
            Ok(found) => {
                let known = found.iter().filter_map(|row| learn_row(node, &row.value));
                return known.collect();
            }
            Err(e) => {
                failures += 1;
                log::warn!(target: "quarantine", error:% = e; "stored evidence not read");
                tokio::time::sleep(follow::pause(node, failures)).await;
            }
        }
    }
}

/// Applies the evidence in one row; returns which feature it is about.
fn learn_row(node: &Arc<Node>, value: &[u8]) -> Option<Fingerprint> {
    let row = match StoredEvidence::decode(value) {
        Ok(row) => row,
        Err(e) => {
            log::warn!(target: "quarantine", error:% = e; "row of stored evidence not readable");
            return None;
        }
    };
    let age_ms = unix_ms().saturating_sub(row.stored_unix_ms);
    let now = time(node).saturating_sub(age_ms);
    let evidence = row.evidence.iter();
    let evidence: Vec<Evidence> = evidence
        .filter_map(|e| Evidence::from_wire(e, now))
        .collect();
    let fingerprint = evidence.first()?.feature.fingerprint;
    log::info!(target: "quarantine", fingerprint:%, observations = evidence.len(), age_ms; "stored evidence read");
    if age_ms >= ROW_TTL_MS {
        node.quarantine.mark_changed(evidence.first()?.feature);
    }
    for one in evidence {
        learn(node, one);
    }
    Some(fingerprint)
}

/// Stores the evidence on features that this daemon has observed something of;
/// `stored` are those that have a row, as far as it knows.
async fn store_changed<R: Rows>(
    node: &Arc<Node>,
    rows: &R,
    stored: &mut Set<Fingerprint>,
) -> Result<(), CatalogError> {
    let now = time(node);
    let mut changes = Vec::new();
    {
        let mut state = node.quarantine.state();
        let changed: Vec<Fingerprint> = state.to_store.iter().copied().collect();
        for fingerprint in changed {
            if changes.len() >= MAX_ROWS {
                node.quarantine.stored_changed.notify_one();
                break;
            }
            state.to_store.remove(&fingerprint);
            match state.known.evidence_to_store(&fingerprint) {
                Some(evidence) => changes.push((fingerprint, Some(evidence))),
                None if stored.contains(&fingerprint) => changes.push((fingerprint, None)),
                None => {}
            }
        }
    }
    if changes.is_empty() {
        return Ok(());
    }
    let puts = changes.iter().map(|(fingerprint, evidence)| {
        let key = row_key(fingerprint);
        match evidence {
            Some(evidence) => put(&key, encode(evidence, now)),
            None => delete(&key),
        }
    });
    let written = rows.commit(Vec::new(), puts.collect()).await;
    let mut state = node.quarantine.state();
    for (fingerprint, evidence) in changes {
        match (&written, evidence) {
            (Err(_), _) => _ = state.to_store.insert(fingerprint),
            (Ok(_), Some(_)) => _ = stored.insert(fingerprint),
            (Ok(_), None) => _ = stored.remove(&fingerprint),
        }
    }
    written.map(|_| ())
}

/// Key of the row of a feature.
pub(super) fn row_key(fingerprint: &Fingerprint) -> String {
    format!("{PREFIX}{}", fingerprint.to_hex())
}

fn encode(evidence: &[Evidence], now: u64) -> Vec<u8> {
    let row = StoredEvidence {
        stored_unix_ms: unix_ms(),
        evidence: evidence.iter().map(|e| e.to_wire(now)).collect(),
    };
    row.encode_to_vec()
}

/// Wall-clock time in ms. Daemons have no other clock in common, and evidence is kept for
/// so long that clocks which differ by seconds decide nothing.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
