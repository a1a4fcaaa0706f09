//! Commits a change at the next epoch, together with its audit entry.
//!
//! The single `epoch` row counts all changes and is updated in the same commit
//! as each change. Changes therefore have a total order, the audit trail holds
//! exactly the changes that took effect, and a reader that knows an epoch can
//! read the changes after it.
//!
//! When the table comes back from a copy, its epoch row goes back too. Epochs
//! therefore carry the table's era above the count, so that those given out
//! after a step are higher than all of the ones before.

use std::time::Duration;

use comfreyhall_protocol::{Check, Put, Revision};

use crate::{
    Audit, Catalog, CatalogError, Rows,
    store::{decode, encode, now_ms},
    table::{check, put},
};

/// Maximum attempts to commit a change while other changes take the next epoch.
const MAX_EPOCH_ATTEMPTS: u32 = 32;

/// Upper bound of the random pause before the next attempt, in ms.
const MAX_BACKOFF_MS: u64 = 40;

/// Key of the row that counts all changes.
pub(crate) const EPOCH_KEY: &str = "epoch";

/// Prefix of audit entries.
pub(crate) const AUDIT_PREFIX: &str = "audit/";

/// Era of a table that has never come back from a copy; its epochs are plain counts.
const FIRST_ERA: u32 = 1;

/// The epoch in a row of the table, as one of the table's `era`.
pub(crate) fn epoch_in(era: u32, stored: u64) -> u64 {
    let step = era.saturating_sub(FIRST_ERA);
    let known = Revision::from_wire(stored);
    Revision::new(known.era().max(step), known.number()).to_wire()
}

/// Key of the audit entry of `epoch`.
pub(crate) fn audit_key(epoch: u64) -> String {
    format!("{AUDIT_PREFIX}{epoch:020}")
}

/// A change to commit: its checks, and its writes as a function of its epoch.
pub(crate) struct Change<'a, F: Fn(u64) -> Vec<Put>> {
    pub(crate) action: &'a str,
    pub(crate) key: &'a str,
    pub(crate) checks: Vec<Check>,
    pub(crate) puts: F,
}

impl<R: Rows> Catalog<R> {
    /// The current epoch and the version of its row; (0, 0) before the first change.
    async fn epoch(&self) -> Result<(u64, u64), CatalogError> {
        match self.rows().get(EPOCH_KEY).await? {
            Some(row) => Ok((decode(&row)?, row.version)),
            None => Ok((0, 0)),
        }
    }

    /// Commits `change` at the next epoch and returns that epoch.
    ///
    /// A change that loses the race for an epoch is retried at the next one. If
    /// a commit takes effect but its reply is lost, a blind retry would report a
    /// conflict with itself or apply the change twice. Each change therefore
    /// carries a random id, and after an inconclusive reply the audit trail is
    /// searched for that id before the next attempt.
    pub(crate) async fn commit_change(
        &self,
        change: Change<'_, impl Fn(u64) -> Vec<Put>>,
    ) -> Result<u64, CatalogError> {
        let mut uncertain = false;
        match self.attempt_change(change, &mut uncertain).await {
            // "Nothing was changed" is only true if no attempt has an unknown outcome.
            Err(CatalogError::Unreachable { addr }) if uncertain => {
                Err(CatalogError::Unavailable {
                    addr,
                    detail: "an earlier attempt was not answered".into(),
                })
            }
            other => other,
        }
    }

    /// Attempts `change` at successive epochs; sets `uncertain` once a commit
    /// that was sent got no reply.
    async fn attempt_change(
        &self,
        change: Change<'_, impl Fn(u64) -> Vec<Put>>,
        uncertain: &mut bool,
    ) -> Result<u64, CatalogError> {
        let id: u64 = rand::random();
        let (base, _) = self.epoch().await?;
        for _ in 0..MAX_EPOCH_ATTEMPTS {
            let (epoch, row) = self.epoch().await?;
            if *uncertain && let Some(committed) = self.find_change(id, base).await? {
                return Ok(committed);
            }
            let next = epoch_in(self.rows().era(), epoch) + 1;
            let mut checks = change.checks.clone();
            checks.push(check(EPOCH_KEY, row));
            let mut puts = (change.puts)(next);
            puts.push(put(EPOCH_KEY, encode(&next)));
            puts.push(put(&audit_key(next), self.audit_entry(&change, next, id)));
            match self.rows().commit(checks, puts).await {
                Ok(_) => return Ok(next),
                Err(CatalogError::Conflict { key }) if key == EPOCH_KEY => {
                    let pause = rand::random_range(0..MAX_BACKOFF_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                // The conflicting write may be our own, with its reply lost.
                Err(e @ CatalogError::Conflict { .. }) if *uncertain => {
                    return self.find_change(id, base).await?.ok_or(e);
                }
                Err(CatalogError::Unavailable { .. }) => *uncertain = true,
                Err(e) => return Err(e),
            }
        }
        if *uncertain {
            return Err(CatalogError::Unavailable {
                addr: "the table service".into(),
                detail: "too many attempts without an answer".into(),
            });
        }
        Err(CatalogError::Conflict {
            key: EPOCH_KEY.to_string(),
        })
    }

    /// The encoded audit entry for `change` at `epoch`.
    fn audit_entry(
        &self,
        change: &Change<'_, impl Fn(u64) -> Vec<Put>>,
        epoch: u64,
        id: u64,
    ) -> Vec<u8> {
        encode(&Audit {
            epoch,
            at_ms: now_ms(),
            actor: self.actor().to_string(),
            action: change.action.to_string(),
            key: change.key.to_string(),
            change: id,
        })
    }

    /// The epoch after `base` at which the change `id` took effect, if it did. Readers of a
    /// later era pass over one from before the step, so it counts as unanswered.
    async fn find_change(&self, id: u64, base: u64) -> Result<Option<u64>, CatalogError> {
        for entry in self.audit_after(base).await? {
            if entry.change == id && entry.epoch < epoch_in(self.rows().era(), entry.epoch) {
                return Err(CatalogError::Unavailable {
                    addr: "the table service".into(),
                    detail: "it came back from a copy meanwhile; make the change again".into(),
                });
            }
            if entry.change == id {
                return Ok(Some(entry.epoch));
            }
        }
        Ok(None)
    }

    /// The audit entries of every change after `epoch`, in order.
    pub(crate) async fn audit_after(&self, epoch: u64) -> Result<Vec<Audit>, CatalogError> {
        let after = audit_key(epoch);
        let rows = self.rows().scan(AUDIT_PREFIX, &after, 0).await?;
        rows.iter().map(decode).collect()
    }
}
