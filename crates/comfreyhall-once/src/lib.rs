//! At-most-once execution of non-idempotent requests.
//!
//! Before such a request is sent to an engine or service, the daemon claims
//! its idempotency key: one row `once/<key>` in the table service, written
//! on the condition that it does not exist. One claim is ever accepted per
//! key, and only the claimer sends the request, once. So at most one run
//! happens whatever else goes wrong:
//!
//! - The answer to the claim is lost: the row is read back, and the random
//!   id in it tells whether the claim is ours. If that cannot be settled
//!   the request is refused as not run, and never sent.
//! - The claimer is paused, its lease lapses, and it wakes up: nobody takes
//!   a claim over, so its late send is still the only one. This needs no
//!   fencing number, and holds with engines that ignore them.
//! - The claimer dies: the claim stays. A retry of the key is told that the
//!   outcome is unknown, never that it did not run.
//!
//! A claimer that proves the request did not run gives the claim back
//! ([`IdempotencyClaims::release`]), so a retry may run. A claimer that has the answer
//! records that ([`IdempotencyClaims::record_answer`]), so a retry gets the same answer.

use std::sync::Arc;

use comfreyhall_catalog::{CatalogError, Rows, Table, check, delete, now_ms, put};
use comfreyhall_protocol::Row;
use serde::{Deserialize, Serialize};

/// Times a claim whose answer was lost is looked up before it is given up.
const SETTLE_TRIES: u32 = 3;

/// What a claim row holds.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
struct Record {
    /// Random id of the claim.
    claim: u64,
    /// Instance that claimed.
    owner: Arc<str>,
    /// Request id of the attempt that claimed.
    request: String,
    /// Wall-clock time of the claim, ms since the Unix epoch.
    at_ms: u64,
    /// Where the answer is kept, once there is one.
    answer: Option<String>,
}

/// The right to send one request, once.
#[derive(Debug)]
pub struct Claim {
    key: String,
    record: Record,
    version: u64,
}

/// A claim that was sent and may or may not have been written.
#[derive(Debug)]
pub struct UnconfirmedClaim {
    key: String,
    record: Record,
}

/// What became of asking for a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// Ours: send the request once, then finish or release the claim.
    Acquired(Claim),
    /// The request ran; this is where its answer is kept.
    Completed(String),
    /// Another attempt holds the key and its outcome is not known here.
    HeldByOther,
    /// The table did not say. The request must not be sent, so it does not
    /// run; [`IdempotencyClaims::release_unconfirmed`] gives the key back if it was claimed after all.
    Unconfirmed(UnconfirmedClaim, CatalogError),
}

/// Claims in the table service, made by one instance.
#[derive(Clone)]
pub struct IdempotencyClaims<R: Rows = Table> {
    table: R,
    owner: Arc<str>,
}

fn row_key(key: &str) -> String {
    format!("once/{key}")
}

fn encode(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("claim records serialise")
}

impl<R: Rows> IdempotencyClaims<R> {
    /// Claims in `table`, made in the name of instance `owner`.
    pub fn new(table: R, owner: Arc<str>) -> Self {
        Self { table, owner }
    }

    /// Claims `key` for the attempt `request`.
    ///
    /// Any error means the request must not be sent: it did not run and
    /// will not run in this attempt.
    pub async fn claim(&self, key: &str, request: &str) -> Result<ClaimOutcome, CatalogError> {
        let record = Record {
            claim: rand::random(),
            owner: self.owner.clone(),
            request: request.to_string(),
            at_ms: now_ms(),
            answer: None,
        };
        let row = row_key(key);
        let checks = vec![check(&row, 0)];
        let puts = vec![put(&row, encode(&record))];
        match self.table.commit(checks, puts).await {
            Ok(versions) => Ok(ClaimOutcome::Acquired(Claim {
                key: row,
                record,
                version: versions.first().copied().unwrap_or(0),
            })),
            Err(CatalogError::Conflict { .. }) => self.taken(&row, record).await,
            Err(e @ CatalogError::Unavailable { .. }) => self.settle(&row, record, e).await,
            Err(e) => Err(e),
        }
    }

    /// Reads back a claim whose answer was lost.
    ///
    /// A missing row proves nothing, since the commit may still arrive; but
    /// as the request is then never sent, refusing it as not run is true.
    async fn settle(
        &self,
        row: &str,
        record: Record,
        why: CatalogError,
    ) -> Result<ClaimOutcome, CatalogError> {
        for _ in 0..SETTLE_TRIES {
            match self.table.get(row).await {
                Ok(Some(found)) => return read(row, &found, record),
                Ok(None) => break,
                Err(_) => {}
            }
        }
        let doubt = UnconfirmedClaim {
            key: row.to_string(),
            record,
        };
        Ok(ClaimOutcome::Unconfirmed(doubt, why))
    }

    /// Gives the key back if a claim in doubt was written after all.
    ///
    /// Without it such a key answers "held" for good, though nothing ran. A
    /// claim that arrives even later is not found; its key then does answer
    /// "held", which is safe.
    pub async fn release_unconfirmed(&self, doubt: &UnconfirmedClaim) -> Result<(), CatalogError> {
        let Some(found) = self.table.get(&doubt.key).await? else {
            return Ok(());
        };
        match read(&doubt.key, &found, doubt.record.clone())? {
            ClaimOutcome::Acquired(claim) => self.release(&claim).await,
            _ => Ok(()),
        }
    }

    /// Reads the row that beat our claim to the key.
    async fn taken(&self, row: &str, record: Record) -> Result<ClaimOutcome, CatalogError> {
        match self.table.get(row).await? {
            Some(found) => read(row, &found, record),
            // Released since: the caller may come back and claim it.
            None => Err(CatalogError::Conflict {
                key: row.to_string(),
            }),
        }
    }

    /// Gives back the claim of a request that certainly did not run.
    ///
    /// A lost answer is harmless: a second delete of the same version either
    /// applies or finds the row gone.
    pub async fn release(&self, claim: &Claim) -> Result<(), CatalogError> {
        let checks = vec![check(&claim.key, claim.version)];
        match self.table.commit(checks, vec![delete(&claim.key)]).await {
            Ok(_) | Err(CatalogError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Records where the answer of a finished request is kept.
    pub async fn record_answer(&self, claim: &Claim, answer: &str) -> Result<(), CatalogError> {
        let mut record = claim.record.clone();
        record.answer = Some(answer.to_string());
        let checks = vec![check(&claim.key, claim.version)];
        let puts = vec![put(&claim.key, encode(&record))];
        match self.table.commit(checks, puts).await {
            Ok(_) | Err(CatalogError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// What a claim row says to the attempt that tried `ours`.
fn read(row: &str, found: &Row, ours: Record) -> Result<ClaimOutcome, CatalogError> {
    let record: Record =
        serde_json::from_slice(&found.value).map_err(|e| CatalogError::Invalid {
            problem: format!("row {row} does not hold a claim: {e}"),
            remedy: "delete the row once its request is known not to run",
        })?;
    if record.claim == ours.claim {
        return Ok(ClaimOutcome::Acquired(Claim {
            key: row.to_string(),
            record,
            version: found.version,
        }));
    }
    Ok(record
        .answer
        .map_or(ClaimOutcome::HeldByOther, ClaimOutcome::Completed))
}
