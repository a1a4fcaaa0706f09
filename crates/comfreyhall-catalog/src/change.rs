//! How a change is committed: at the next epoch, with its audit entry.
//!
//! The one `epoch` row counts all changes, in the same commit as each. So
//! changes have one order, the audit trail holds exactly those that took
//! effect, and a reader that knows an epoch reads what came after it.

use std::time::Duration;

use comfreyhall_protocol::{Check, Put};

use crate::{
    Audit, Catalog, CatalogError, Rows,
    store::{decode, encode, now_ms},
    table::{check, put},
};

/// Times a change is tried while other changes keep taking the next epoch.
const EPOCH_TRIES: u32 = 32;

/// Longest pause before trying for the next epoch, in ms.
const EPOCH_BACKOFF_MS: u64 = 40;

/// Key of the row that counts changes.
pub(crate) const EPOCH_KEY: &str = "epoch";

/// Prefix of audit entries.
pub(crate) const AUDIT_PREFIX: &str = "audit/";

/// Key of the audit entry of `epoch`.
pub(crate) fn audit_key(epoch: u64) -> String {
    format!("{AUDIT_PREFIX}{epoch:020}")
}

/// One change to commit: its checks and its writes, given its epoch.
pub(crate) struct Change<'a, F: Fn(u64) -> Vec<Put>> {
    pub(crate) action: &'a str,
    pub(crate) key: &'a str,
    pub(crate) checks: Vec<Check>,
    pub(crate) puts: F,
}

impl<R: Rows> Catalog<R> {
    /// The current epoch and the version of its row; (0, 0) at first.
    async fn epoch(&self) -> Result<(u64, u64), CatalogError> {
        match self.rows().get(EPOCH_KEY).await? {
            Some(row) => Ok((decode(&row)?, row.version)),
            None => Ok((0, 0)),
        }
    }

    /// Commits `change` at the next epoch and returns that epoch.
    ///
    /// A change that lost the race for an epoch tries the next one. What can
    /// go wrong: a commit takes effect but its answer is lost, and a blind
    /// second try would report a conflict with itself, or apply twice. So
    /// each change carries a random id, and after an answer that proves
    /// nothing the audit trail is read for that id before anything else.
    pub(crate) async fn change(
        &self,
        change: Change<'_, impl Fn(u64) -> Vec<Put>>,
    ) -> Result<u64, CatalogError> {
        let mut doubt = false;
        match self.try_change(change, &mut doubt).await {
            // "Nothing was changed" is only true if no try is in doubt.
            Err(CatalogError::Unreachable { addr }) if doubt => Err(CatalogError::Unavailable {
                addr,
                detail: "an earlier try was not answered".into(),
            }),
            other => other,
        }
    }

    /// Tries `change` epoch by epoch; `doubt` is set once a try that was
    /// sent got no answer.
    async fn try_change(
        &self,
        change: Change<'_, impl Fn(u64) -> Vec<Put>>,
        doubt: &mut bool,
    ) -> Result<u64, CatalogError> {
        let id: u64 = rand::random();
        let (base, _) = self.epoch().await?;
        for _ in 0..EPOCH_TRIES {
            let (epoch, row) = self.epoch().await?;
            if *doubt && let Some(at) = self.find(id, base).await? {
                return Ok(at);
            }
            let next = epoch + 1;
            let mut checks = change.checks.clone();
            checks.push(check(EPOCH_KEY, row));
            let mut puts = (change.puts)(next);
            puts.push(put(EPOCH_KEY, encode(&next)));
            puts.push(put(&audit_key(next), self.entry(&change, next, id)));
            match self.rows().commit(checks, puts).await {
                Ok(_) => return Ok(next),
                Err(CatalogError::Conflict { key }) if key == EPOCH_KEY => {
                    let pause = rand::random_range(0..EPOCH_BACKOFF_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                // The contested write may be our own, its answer lost.
                Err(e @ CatalogError::Conflict { .. }) if *doubt => {
                    return self.find(id, base).await?.ok_or(e);
                }
                Err(CatalogError::Unavailable { .. }) => *doubt = true,
                Err(e) => return Err(e),
            }
        }
        if *doubt {
            return Err(CatalogError::Unavailable {
                addr: "the table service".into(),
                detail: "too many tries without an answer".into(),
            });
        }
        Err(CatalogError::Conflict {
            key: EPOCH_KEY.to_string(),
        })
    }

    /// The encoded audit entry of `change` at `epoch`.
    fn entry(&self, change: &Change<'_, impl Fn(u64) -> Vec<Put>>, epoch: u64, id: u64) -> Vec<u8> {
        encode(&Audit {
            epoch,
            at_ms: now_ms(),
            actor: self.actor().to_string(),
            action: change.action.to_string(),
            key: change.key.to_string(),
            change: id,
        })
    }

    /// The epoch at which the change `id` took effect after `base`, if it did.
    async fn find(&self, id: u64, base: u64) -> Result<Option<u64>, CatalogError> {
        for entry in self.changes(base).await? {
            if entry.change == id {
                return Ok(Some(entry.epoch));
            }
        }
        Ok(None)
    }

    /// The audit entries of every change after `epoch`, in order.
    pub(crate) async fn changes(&self, epoch: u64) -> Result<Vec<Audit>, CatalogError> {
        let after = audit_key(epoch);
        let rows = self.rows().scan(AUDIT_PREFIX, &after, 0).await?;
        rows.iter().map(decode).collect()
    }
}
