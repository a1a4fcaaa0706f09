//! Leases with fencing tokens, kept as rows of the table service.
//!
//! A lease is one row that names its holder, a fencing token that grows with
//! every new holder, and an id that changes with every renewal. All writes are
//! conditional on the row's version, so of several daemons that try to acquire
//! the lease one wins.
//!
//! No clock is compared between machines. A holder trusts its lease until one
//! term after it *sent* the last renewal that is known to have been applied;
//! another daemon waits until the row has not changed for one term since it
//! last *saw* it change. The renewal is applied after it was sent and seen
//! after it was applied, so the holder always stops first.
//!
//! What can go wrong, and what prevents it:
//!
//! - The holder is paused and its lease expires without its knowledge. It calls
//!   [`Lease::token`] before each command, which compares the clock then;
//!   commands that it had already sent are rejected by engines that check
//!   tokens.
//! - The holder's process ends and its instance starts another: the new one
//!   acquires the lease at once, under a new token, because an instance never
//!   runs two. Otherwise every restart would stop commands for one term.
//! - The answer to a renewal or acquisition is lost. The row is read at the
//!   next step; only a write found in it extends the lease.
//! - The table comes back from a copy, under a new era, and lacks the last writes. A
//!   holder that is still trusted writes its row again. Nobody else acquires the lease
//!   for a term after it first saw the new era, or a row that was written in an earlier
//!   one, as the row may name a former holder or none. Tokens of each era begin above
//!   all of the ones before.
//! - A command of a former holder is carried out late, when that instance holds the
//!   lease again. The row therefore names the holders whose commands may still matter
//!   ([`Succession`]), and [`Turns`] says when the present one may command.

mod record;
mod succession;
mod turns;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_catalog::{CatalogError, Rows, Table, check, put};
use comfreyhall_protocol::Revision;

use self::record::{FIRST_ERA, KEY_PREFIX, Record, decode, first_token};
pub use self::{
    record::{FormerLease, former_leases},
    succession::Succession,
    turns::{Turns, Wait},
};

/// Who holds a lease, as this process last saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This process, with this fencing token.
    Held(u64),
    /// Another process.
    HeldByOther(Arc<str>),
    /// No process.
    Free,
}

/// Which leases a step may acquire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acquire {
    /// None; a held lease is renewed.
    Never,
    /// One that the previous process of this instance held.
    Former,
    /// Any that is free.
    Free,
}

#[derive(Default)]
struct State {
    row: Option<(Record, u64)>,
    /// When the row was last seen to change.
    changed_at: Option<Instant>,
    /// The last write sent, and when.
    last_write: Option<(Record, Instant)>,
    /// Until when the lease may be trusted, if held.
    trusted_until: Option<Instant>,
    /// Whether `row` is what our last write left, so that it need not be read.
    row_current: bool,
    /// Newest era of the table that was seen; 0 before any.
    era: u32,
}

/// One process's view of one lease.
pub struct Lease<R: Rows = Table> {
    table: R,
    key: String,
    owner: Arc<str>,
    boot: u64,
    term: Duration,
    state: Mutex<State>,
}

impl<R: Rows> Lease<R> {
    /// The lease `name` in `table` with a length of `term`, as seen by `owner`.
    pub fn new(table: R, name: &str, owner: Arc<str>, term: Duration) -> Self {
        Self {
            table,
            key: format!("{KEY_PREFIX}{name}"),
            owner,
            boot: rand::random(),
            term,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn is_ours(&self, record: &Record) -> bool {
        record.owner == self.owner && record.boot == self.boot
    }

    /// The fencing token for a command sent at `now`, while the lease is held.
    pub fn token(&self, now: Instant) -> Option<u64> {
        let state = self.state();
        let held = state.trusted_until.is_some_and(|end| now < end);
        let record = state.row.as_ref().map(|r| &r.0);
        record.filter(|r| held && self.is_ours(r)).map(|r| r.token)
    }

    /// The token of the last row seen, if that row is ours, expired or not.
    ///
    /// Only for commands to targets that reject tokens lower than one they have
    /// seen: there the target itself stops a holder that was replaced.
    pub fn lapsed_token(&self) -> Option<u64> {
        let state = self.state();
        let record = state.row.as_ref().map(|r| &r.0);
        record.filter(|r| self.is_ours(r)).map(|r| r.token)
    }

    /// The highest token this process has seen; 0 before any.
    pub fn highest_token(&self) -> u64 {
        self.state().row.as_ref().map_or(0, |r| r.0.token)
    }

    /// Whether another instance may have held the lease since this one last did, and
    /// commands of this one from before may still matter. True if that is unknown.
    pub fn is_return(&self) -> bool {
        let state = self.state();
        let record = state.row.as_ref().map(|r| &r.0);
        record.is_none_or(|r| !self.is_ours(r) || r.succession.is_return())
    }

    /// Who holds the lease at `now`.
    pub fn status(&self, now: Instant) -> LeaseStatus {
        if let Some(token) = self.token(now) {
            return LeaseStatus::Held(token);
        }
        match &self.state().row {
            Some((r, _)) if !r.owner.is_empty() && !self.is_ours(r) => {
                LeaseStatus::HeldByOther(r.owner.clone())
            }
            _ => LeaseStatus::Free,
        }
    }

    /// Reads the row and renews the lease, or acquires it if `acquire` and it
    /// is free. To be called about every third of a term.
    pub async fn step(
        &self,
        clock: impl Fn() -> Instant,
        acquire: bool,
    ) -> Result<(), CatalogError> {
        let acquire = if acquire {
            Acquire::Free
        } else {
            Acquire::Never
        };
        self.run_step(clock, acquire).await
    }

    /// Acquires the lease if the previous process of this instance held it.
    ///
    /// Without this, when all instances lose power and start again, each leaves
    /// its former lease to another that seems better suited, which has to wait
    /// a term for the former owner: no commands for 3.4 s.
    pub async fn reclaim(&self, clock: impl Fn() -> Instant) -> Result<(), CatalogError> {
        self.run_step(clock, Acquire::Former).await
    }

    async fn run_step(
        &self,
        clock: impl Fn() -> Instant,
        acquire: Acquire,
    ) -> Result<(), CatalogError> {
        let mut now = clock();
        // A holder whose last write was answered knows the row, so a renewal
        // takes one call rather than two.
        if !self.knows_row(now) {
            let found = self.table.get(&self.key).await?;
            let row = match found {
                Some(row) => Some((decode(&self.key, &row), row.version)),
                None => None,
            };
            now = clock();
            self.observe(row, now);
        }
        let Some((next, version)) = self.next_write(now, acquire) else {
            return Ok(());
        };
        self.write(next, version, now).await
    }

    /// Whether the row is certain to be as our last write left it.
    fn knows_row(&self, now: Instant) -> bool {
        let state = self.state();
        let trusted = state.trusted_until.is_some_and(|end| now < end);
        state.row_current && trusted && state.era == self.table.era()
    }

    /// Updates the state with the row as read at `now`.
    fn observe(&self, row: Option<(Record, u64)>, now: Instant) {
        let mut state = self.state();
        let era = self.table.era();
        let restored = era > state.era;
        if state.row != row || state.changed_at.is_none() || restored {
            state.changed_at = Some(now);
        }
        // Our last write was not answered, but the row shows that it was
        // applied. In a later era it may have been applied by accident.
        if let (Some((found, _)), Some((sent, at))) = (&row, &state.last_write)
            && found == sent
            && found.era == era
        {
            state.trusted_until = Some(*at + self.term);
        }
        let held = state.trusted_until.is_some_and(|end| now < end);
        let lost = match &state.row {
            Some((own, _)) if restored && held && self.is_ours(own) => Some(own.clone()),
            _ => None,
        };
        state.era = era;
        let taken = row.as_ref().is_some_and(|(r, _)| r.era == era);
        state.row = match (lost, row) {
            // What we wrote is written again, in place of what the copy has.
            (Some(own), found) if !taken => {
                log::warn!(target: "lease", key = self.key, era, token = own.token; "the table came back without our row; writing it again");
                Some((own, found.map_or(0, |(_, version)| version)))
            }
            (_, found) => found,
        };
    }

    /// The write to make next, with the row version it is conditional on.
    fn next_write(&self, now: Instant, acquire: Acquire) -> Option<(Record, u64)> {
        let state = self.state();
        let era = state.era;
        // A late write of an earlier era may have replaced the row of a later holder by
        // accident, and its token with it. The versions of an era never repeat.
        let lowest = |version: u64| match era <= FIRST_ERA {
            true => 0,
            false => first_token(era) + Revision::from_wire(version).number(),
        };
        let new_record = |token: u64, version: u64, succession: Succession| Record {
            owner: self.owner.clone(),
            boot: self.boot,
            token: token.max(lowest(version)),
            era,
            succession,
            term_ms: self.term.as_millis() as u64,
            write: rand::random(),
        };
        let trusted_ms = state.row.as_ref().map_or(0, |(r, _)| r.term_ms);
        let term = self.term.max(Duration::from_millis(trusted_ms));
        let unchanged = state
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) >= term);
        let Some((record, version)) = &state.row else {
            let certain = unchanged || era <= FIRST_ERA;
            let succession = match era <= FIRST_ERA {
                true => Succession::first(self.owner.clone()),
                false => Succession::unknown().acquired_by(self.owner.clone()),
            };
            let allowed = certain && acquire == Acquire::Free;
            return allowed.then(|| (new_record(1, 0, succession), 0));
        };
        // A row of an earlier era may lack the last holders.
        let known = match record.era >= era || era <= FIRST_ERA {
            true => &record.succession,
            false => &Succession::unknown(),
        };
        let succession = known.acquired_by(self.owner.clone());
        // A row of an earlier era may name a holder that has been replaced.
        let certain = unchanged || record.era >= era;
        if self.is_ours(record) {
            // An expired lease is acquired with a new token: commands sent
            // under the old one may still be on their way.
            let held = state.trusted_until.is_some_and(|end| now < end);
            let next = match held {
                true => Record {
                    era,
                    write: rand::random(),
                    ..record.clone()
                },
                false => new_record(record.token + 1, *version, succession),
            };
            let allowed = held || (certain && acquire == Acquire::Free);
            return allowed.then_some((next, *version));
        }
        // The row may belong to the previous process of this instance. An
        // instance runs one process, so that one has ended, and nothing sends
        // commands under its token any more.
        let former = record.owner == self.owner;
        let free = record.owner.is_empty() || unchanged;
        let allowed = match acquire {
            Acquire::Never => false,
            Acquire::Former => certain && former,
            Acquire::Free => certain && (free || former),
        };
        allowed.then(|| (new_record(record.token + 1, *version, succession), *version))
    }

    async fn write(&self, next: Record, version: u64, sent: Instant) -> Result<(), CatalogError> {
        {
            let mut state = self.state();
            state.last_write = Some((next.clone(), sent));
            state.row_current = false;
        }
        let value = serde_json::to_vec(&next).expect("lease records serialise");
        let checks = vec![check(&self.key, version)];
        match self.table.commit(checks, vec![put(&self.key, value)]).await {
            Ok(versions) => {
                let version = versions.first().copied().unwrap_or(0);
                let mut state = self.state();
                state.row = Some((next, version));
                state.trusted_until = Some(sent + self.term);
                state.row_current = true;
                Ok(())
            }
            // Another process was first; the next step reads who.
            Err(CatalogError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Releases the lease, so that another process need not wait a term.
    pub async fn release(&self) -> Result<(), CatalogError> {
        self.release_as(Succession::clone).await
    }

    /// Releases the lease of a group whose former holders need not wait any more
    /// ([`Turns::is_settled`]).
    pub async fn release_settled(&self) -> Result<(), CatalogError> {
        self.release_as(Succession::settled).await
    }

    async fn release_as(
        &self,
        left: impl FnOnce(&Succession) -> Succession,
    ) -> Result<(), CatalogError> {
        let held = {
            let mut state = self.state();
            state.trusted_until = None;
            state.row_current = false;
            state.row.clone()
        };
        let Some((mut record, version)) = held.filter(|(r, _)| self.is_ours(r)) else {
            return Ok(());
        };
        record.owner = "".into();
        record.succession = left(&record.succession);
        let value = serde_json::to_vec(&record).expect("lease records serialise");
        let checks = vec![check(&self.key, version)];
        match self.table.commit(checks, vec![put(&self.key, value)]).await {
            // No longer ours, expired or not: any process may acquire it.
            Ok(_) | Err(CatalogError::Conflict { .. }) => {
                self.state().row = None;
                Ok(())
            }
            Err(e) => Err(e),
        }
    }
}
