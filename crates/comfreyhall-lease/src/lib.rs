//! Leases with fencing tokens, kept as rows of the table service.
//!
//! A lease is one row that names its holder, a fencing token that grows with
//! every new holder, and an id that changes with every renewal. All writes
//! are conditional on the row's version, so of several takers one wins.
//!
//! No clock is compared between machines. A holder trusts its lease until
//! one term after it *sent* the last renewal that is known to have been
//! applied; a taker waits until the row has not changed for one term since
//! it last *saw* it change. The renewal is applied after it was sent and
//! seen after it was applied, so the holder always stops first.
//!
//! What can go wrong, and what prevents it:
//!
//! - The holder is paused and its lease lapses without its knowledge. It
//!   asks [`Lease::token`] before each order, which compares the clock
//!   then; what it had sent before is refused by engines that check tokens.
//! - The holder's process dies and its instance starts another: the new one
//!   takes the lease at once, under a new token, because an instance never
//!   runs two. Without it every restart stopped orders for one term.
//! - The answer to a renewal or take-over is lost. The row is read at the
//!   next step; only a write found in it extends the lease.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_catalog::{CatalogError, Rows, Table, check, put};
use comfreyhall_protocol::Row;
use serde::{Deserialize, Serialize};

/// Owner of a row that holds no lease: no instance's id.
const STRANGER: &str = "(unknown)";

/// Where leases are kept in the table.
const PREFIX: &str = "lease/";

/// What a lease row holds.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
struct Record {
    /// The holder; empty once it gave the lease back.
    owner: Arc<str>,
    /// Random id of the holder's process.
    boot: u64,
    /// Fencing token; grows with every new holder.
    token: u64,
    /// Random id of the write. Two renewals in a row would else be equal,
    /// and finding the earlier one would be taken for the later one, which
    /// trusts the lease longer than others wait.
    write: u64,
}

/// Who holds a lease, as this process last saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This process, with this fencing token.
    Held(u64),
    /// Another process.
    HeldByOther(Arc<str>),
    /// Nobody.
    Free,
}

/// Which lease to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Want {
    /// None; one that is held is renewed.
    Nothing,
    /// One that the process before this one held.
    Former,
    /// Any that is free.
    Free,
}

#[derive(Default)]
struct State {
    row: Option<(Record, u64)>,
    /// When the row was last seen to change.
    changed: Option<Instant>,
    /// The last write sent, and when.
    sent: Option<(Record, Instant)>,
    /// Until when the lease may be trusted, if held.
    until: Option<Instant>,
    /// Whether `row` is what our last write left, so that it need not be read.
    known: bool,
}

/// One process's side of one lease.
pub struct Lease<R: Rows = Table> {
    table: R,
    key: String,
    owner: Arc<str>,
    boot: u64,
    term: Duration,
    state: Mutex<State>,
}

/// The record of a row.
///
/// Others write to the table too. Without a record there is no token to count
/// on from, and taking the lease would begin at a token that targets have
/// seen. Each token was written by a transaction of its own, and the row's
/// version counts all of them, so the version is above every token given.
fn decode(key: &str, row: &Row) -> Record {
    serde_json::from_slice(&row.value).unwrap_or_else(|e| {
        log::warn!(target: "lease", key, error:% = e; "row holds no lease; taken over after a term");
        Record {
            owner: STRANGER.into(),
            boot: 0,
            token: row.version,
            write: 0,
        }
    })
}

/// Names of the leases in `table` whose last holder is `owner`, in one call.
///
/// Asked one by one, the starts of 195 instances cost the table 975 calls for
/// five leases.
pub async fn leases_held_by<R: Rows>(table: &R, owner: &str) -> Result<Vec<String>, CatalogError> {
    let rows = table.scan(PREFIX, "", 0).await?;
    let held = rows.iter().filter(|r| *decode(&r.key, r).owner == *owner);
    let names = held.filter_map(|r| r.key.strip_prefix(PREFIX));
    Ok(names.map(str::to_string).collect())
}

impl<R: Rows> Lease<R> {
    /// The lease `name` in `table`, of length `term`, as `owner` sees it.
    pub fn new(table: R, name: &str, owner: Arc<str>, term: Duration) -> Self {
        Self {
            table,
            key: format!("{PREFIX}{name}"),
            owner,
            boot: rand::random(),
            term,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn ours(&self, record: &Record) -> bool {
        record.owner == self.owner && record.boot == self.boot
    }

    /// The fencing token to give an order at `now`, while the lease holds.
    pub fn token(&self, now: Instant) -> Option<u64> {
        let state = self.state();
        let held = state.until.is_some_and(|until| now < until);
        let record = state.row.as_ref().map(|r| &r.0);
        record.filter(|r| held && self.ours(r)).map(|r| r.token)
    }

    /// The token of the last row seen, if that row is ours, lapsed or not.
    ///
    /// Only for orders to targets that refuse tokens lower than one they
    /// have seen: there the target itself stops a holder that was replaced.
    pub fn lapsed_token(&self) -> Option<u64> {
        let state = self.state();
        let record = state.row.as_ref().map(|r| &r.0);
        record.filter(|r| self.ours(r)).map(|r| r.token)
    }

    /// The highest token this process has seen; 0 before any.
    pub fn highest_token(&self) -> u64 {
        self.state().row.as_ref().map_or(0, |r| r.0.token)
    }

    /// Who holds the lease at `now`.
    pub fn status(&self, now: Instant) -> LeaseStatus {
        if let Some(token) = self.token(now) {
            return LeaseStatus::Held(token);
        }
        match &self.state().row {
            Some((r, _)) if !r.owner.is_empty() && !self.ours(r) => {
                LeaseStatus::HeldByOther(r.owner.clone())
            }
            _ => LeaseStatus::Free,
        }
    }

    /// Reads the row and renews the lease, or takes it if `want` and it is
    /// free. To be called every third of a term or so.
    pub async fn step(&self, clock: impl Fn() -> Instant, want: bool) -> Result<(), CatalogError> {
        let want = if want { Want::Free } else { Want::Nothing };
        self.act(clock, want).await
    }

    /// Takes the lease if the process before this one held it.
    ///
    /// What goes wrong without it: all instances lose power, start again, and
    /// each leaves the lease that was its own to others that seem better
    /// placed, which wait a term for its owner: no orders for 3.4 s.
    pub async fn reclaim(&self, clock: impl Fn() -> Instant) -> Result<(), CatalogError> {
        self.act(clock, Want::Former).await
    }

    async fn act(&self, clock: impl Fn() -> Instant, want: Want) -> Result<(), CatalogError> {
        let mut now = clock();
        // A holder whose last write was answered knows the row: one call a
        // renewal in place of two.
        if !self.knows(now) {
            let found = self.table.get(&self.key).await?;
            let row = match found {
                Some(row) => Some((decode(&self.key, &row), row.version)),
                None => None,
            };
            now = clock();
            self.observe(row, now);
        }
        let Some((next, version)) = self.next(now, want) else {
            return Ok(());
        };
        self.write(next, version, now).await
    }

    /// Whether the row is surely as our last write left it.
    fn knows(&self, now: Instant) -> bool {
        let state = self.state();
        state.known && state.until.is_some_and(|until| now < until)
    }

    /// Takes over what the row says, as read at `now`.
    fn observe(&self, row: Option<(Record, u64)>, now: Instant) {
        let mut state = self.state();
        if state.row != row || state.changed.is_none() {
            state.changed = Some(now);
        }
        // A write of ours that was not answered is known now.
        if let (Some((found, _)), Some((sent, at))) = (&row, &state.sent)
            && found == sent
        {
            state.until = Some(*at + self.term);
        }
        state.row = row;
    }

    /// The write to make next, with the row version it is conditional on.
    fn next(&self, now: Instant, want: Want) -> Option<(Record, u64)> {
        let state = self.state();
        let fresh = |token| Record {
            owner: self.owner.clone(),
            boot: self.boot,
            token,
            write: rand::random(),
        };
        let Some((record, version)) = &state.row else {
            return (want == Want::Free).then(|| (fresh(1), 0));
        };
        if self.ours(record) {
            // A lapsed lease is taken anew, with a new token: orders given
            // under the old one may still be on their way.
            let held = state.until.is_some_and(|until| now < until);
            let mut next = record.clone();
            next.write = rand::random();
            if !held {
                next.token += 1;
            }
            return (held || want == Want::Free).then_some((next, *version));
        }
        let quiet = state
            .changed
            .is_some_and(|at| now.saturating_duration_since(at) >= self.term);
        // The owner's process before this one: an instance runs one, so it
        // is dead, and nobody gives orders under its token any more.
        let former = record.owner == self.owner;
        let free = record.owner.is_empty() || quiet;
        let take = match want {
            Want::Nothing => false,
            Want::Former => former,
            Want::Free => free || former,
        };
        take.then(|| (fresh(record.token + 1), *version))
    }

    async fn write(&self, next: Record, version: u64, sent: Instant) -> Result<(), CatalogError> {
        {
            let mut state = self.state();
            state.sent = Some((next.clone(), sent));
            state.known = false;
        }
        let value = serde_json::to_vec(&next).expect("lease records serialise");
        let checks = vec![check(&self.key, version)];
        match self.table.commit(checks, vec![put(&self.key, value)]).await {
            Ok(versions) => {
                let version = versions.first().copied().unwrap_or(0);
                let mut state = self.state();
                state.row = Some((next, version));
                state.until = Some(sent + self.term);
                state.known = true;
                Ok(())
            }
            // Another process was first; the next step sees who.
            Err(CatalogError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Gives the lease back, so that another process need not wait a term.
    pub async fn release(&self) -> Result<(), CatalogError> {
        let held = {
            let mut state = self.state();
            state.until = None;
            state.known = false;
            state.row.clone()
        };
        let Some((mut record, version)) = held.filter(|(r, _)| self.ours(r)) else {
            return Ok(());
        };
        record.owner = "".into();
        let value = serde_json::to_vec(&record).expect("lease records serialise");
        let checks = vec![check(&self.key, version)];
        match self.table.commit(checks, vec![put(&self.key, value)]).await {
            // No longer ours, lapsed or not: whoever asks may take it.
            Ok(_) | Err(CatalogError::Conflict { .. }) => {
                self.state().row = None;
                Ok(())
            }
            Err(e) => Err(e),
        }
    }
}
