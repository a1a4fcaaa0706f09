//! At-most-once execution of non-idempotent requests.
//!
//! Before such a request is sent to an engine or service, the daemon claims
//! its idempotency key: one row `once/<key>` in the table service, written
//! on the condition that it does not exist. At most one claim is ever
//! accepted per key, and only the claimer sends the request, once. So at
//! most one run happens whatever else goes wrong:
//!
//! - The answer to the claim is lost: the row is read back, and the random
//!   id in it shows whether the claim is ours. If that cannot be
//!   determined, the request is refused as not run, and never sent.
//! - The claimer is paused, its lease expires, and it resumes: nobody takes
//!   over a claim, so its late send is still the only one. This needs no
//!   fencing token, and works with engines that ignore them.
//! - The claimer crashes: the claim stays. A retry of the key gets the answer that
//!   the outcome is unknown, never that the request did not run.
//!
//! A claimer that can prove that the request did not run releases the claim
//! ([`IdempotencyClaims::release`]), so a retry may run. A claimer that has
//! the answer records it ([`IdempotencyClaims::record_answer`]), so a retry
//! gets the same answer.

use std::sync::Arc;

use comfreyhall_catalog::{CatalogError, Rows, Table, check, delete, now_ms, put};
use comfreyhall_protocol::Row;
use serde::{Deserialize, Serialize};

/// Number of attempts to read back a claim whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Contents of a claim row.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
struct Record {
    /// Random id of the claim.
    claim: u64,
    /// Instance that made the claim.
    owner: Arc<str>,
    /// Request id of the attempt that made the claim.
    request: String,
    /// Wall-clock time of the claim, in ms since the Unix epoch.
    at_ms: u64,
    /// Where the answer is stored, once there is one.
    answer: Option<String>,
}

/// The right to send one request, once.
#[derive(Debug)]
pub struct Claim {
    key: String,
    record: Record,
    version: u64,
}

/// A claim that was sent to the table and may or may not have been written.
#[derive(Debug)]
pub struct UnconfirmedClaim {
    key: String,
    record: Record,
}

/// Result of trying to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is ours: send the request once, then record its answer or
    /// release the claim.
    Acquired(Claim),
    /// The request ran; this is where its answer is stored.
    Completed(String),
    /// Another attempt holds the key, and its outcome is not known here.
    HeldByOther,
    /// The table's answer is missing. The request must not be sent, so it
    /// does not run; [`IdempotencyClaims::release_unconfirmed`] releases
    /// the key in case it was claimed after all.
    Unconfirmed(UnconfirmedClaim, CatalogError),
}

/// Claims on idempotency keys in the table service, made by one instance.
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
    /// Creates claims in `table` on behalf of instance `owner`.
    pub fn new(table: R, owner: Arc<str>) -> Self {
        Self { table, owner }
    }

    /// Claims `key` for the attempt `request`.
    ///
    /// Any error means that the request must not be sent: it has not run
    /// and will not run in this attempt.
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
            Err(CatalogError::Conflict { .. }) => self.read_winner(&row, record).await,
            Err(e @ CatalogError::Unavailable { .. }) => self.read_back(&row, record, e).await,
            Err(e) => Err(e),
        }
    }

    /// Reads back a claim whose answer was lost.
    ///
    /// A missing row proves nothing, since the commit may still arrive. But
    /// as the request is then never sent, it is correct to refuse it as not
    /// run.
    async fn read_back(
        &self,
        key: &str,
        record: Record,
        error: CatalogError,
    ) -> Result<ClaimOutcome, CatalogError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.table.get(key).await {
                Ok(Some(row)) => return interpret(key, &row, record),
                Ok(None) => break,
                Err(_) => {}
            }
        }
        let unconfirmed = UnconfirmedClaim {
            key: key.to_string(),
            record,
        };
        Ok(ClaimOutcome::Unconfirmed(unconfirmed, error))
    }

    /// Releases the key if an unconfirmed claim was written after all.
    ///
    /// Without this, such a key would be reported as held permanently, though
    /// nothing ran. A claim that arrives even later is not found; its key
    /// is then reported as held, which is safe.
    pub async fn release_unconfirmed(
        &self,
        unconfirmed: &UnconfirmedClaim,
    ) -> Result<(), CatalogError> {
        let Some(row) = self.table.get(&unconfirmed.key).await? else {
            return Ok(());
        };
        match interpret(&unconfirmed.key, &row, unconfirmed.record.clone())? {
            ClaimOutcome::Acquired(claim) => self.release(&claim).await,
            _ => Ok(()),
        }
    }

    /// Reads the row that claimed the key before ours.
    async fn read_winner(&self, key: &str, record: Record) -> Result<ClaimOutcome, CatalogError> {
        match self.table.get(key).await? {
            Some(row) => interpret(key, &row, record),
            // Released since: the caller may try again and claim it.
            None => Err(CatalogError::Conflict {
                key: key.to_string(),
            }),
        }
    }

    /// Releases the claim of a request that certainly did not run.
    ///
    /// A lost answer is harmless: a second delete of the same version
    /// either applies or finds no such row.
    pub async fn release(&self, claim: &Claim) -> Result<(), CatalogError> {
        let checks = vec![check(&claim.key, claim.version)];
        match self.table.commit(checks, vec![delete(&claim.key)]).await {
            Ok(_) | Err(CatalogError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Records where the answer of a finished request is stored.
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

/// Interprets a claim row for the attempt that tried to write `ours`.
fn interpret(key: &str, row: &Row, ours: Record) -> Result<ClaimOutcome, CatalogError> {
    let record: Record = serde_json::from_slice(&row.value).map_err(|e| CatalogError::Invalid {
        problem: format!("row {key} does not hold a claim: {e}"),
        remedy: "delete the row once its request is known not to run",
    })?;
    if record.claim == ours.claim {
        return Ok(ClaimOutcome::Acquired(Claim {
            key: key.to_string(),
            record,
            version: row.version,
        }));
    }
    Ok(record
        .answer
        .map_or(ClaimOutcome::HeldByOther, ClaimOutcome::Completed))
}
