//! The leases that this daemon knows.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Instant,
};

use comfreyhall_catalog::Rows;
use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_lease::Lease;
use tokio::sync::Notify;

use crate::clock;

/// Command fencing tokens for each token of the lease: a holder that stops
/// while the store is down hands the group over under the next one, and whoever
/// acquires the lease from the store afterwards still has a higher one.
const TOKEN_STRIDE: u64 = 1_000;

/// A lease without its access to the store.
pub(crate) trait HeldLease: Send + Sync {
    fn token(&self, now: Instant) -> Option<u64>;
    fn expired_token(&self) -> Option<u64>;
}

impl<R: Rows> HeldLease for Lease<R> {
    fn token(&self, now: Instant) -> Option<u64> {
        Lease::token(self, now)
    }

    fn expired_token(&self) -> Option<u64> {
        self.lapsed_token()
    }
}

/// A group that its holder handed over to this daemon.
#[derive(Debug, Clone, Copy)]
struct Handover {
    token: u64,
    accepted_ms: u64,
}

/// The last command that this daemon sent in a group.
#[derive(Debug, Clone, Copy)]
struct LastCommand {
    token: u64,
    /// Time by which it has arrived.
    arrived_ms: u64,
    /// Whether it has handed the group to another daemon since.
    handed_over: bool,
}

/// The groups that the process before this one of the instance commanded.
#[derive(Debug)]
pub(crate) enum Former {
    /// These, by the store.
    Groups(Set<String>),
    /// The store did not answer.
    Unknown,
}

impl Former {
    /// Whether it may have commanded `group`.
    pub(super) fn contains(&self, group: &str) -> bool {
        match self {
            Former::Groups(groups) => groups.contains(group),
            Former::Unknown => true,
        }
    }
}

/// Leases known to this daemon.
#[derive(Default)]
pub(crate) struct Leases {
    held: Mutex<Map<Name, Arc<dyn HeldLease>>>,
    /// Groups that other holders handed over to this daemon.
    handed_over: Mutex<Map<Name, Handover>>,
    /// Highest token of another holder by group, as reported by engines and
    /// peers.
    highest_seen: Mutex<Map<Name, u64>>,
    /// Time since which no holder is known, by group.
    vacant_since_ms: Mutex<Map<Name, u64>>,
    /// Handovers to other daemons, by group: the token, and when it was first reported.
    ceded: Mutex<Map<Name, (u64, u64)>>,
    last_commands: Mutex<Map<Name, LastCommand>>,
    /// When this process started, and the groups that the one before it commanded.
    former: OnceLock<(u64, Former)>,
    /// Since when this daemon has held each lease.
    held_since_ms: Mutex<Map<Name, u64>>,
    /// Notifies the lease task when an engine is lost.
    engine_lost: Notify,
}

impl Leases {
    /// Has the lease task check whether this daemon still reaches its engines.
    pub(crate) fn wake(&self) {
        self.engine_lost.notify_one();
    }

    /// Waits until an engine is lost.
    pub(super) async fn wait_for_loss(&self) {
        self.engine_lost.notified().await;
    }

    /// Returns the fencing token for a command in `group`.
    ///
    /// While the store is down nobody can renew, and stopping all loads for the
    /// length of an outage would fail every request for an adapter that is not
    /// loaded. Where engines check tokens (`fencing`), a holder whose lease has
    /// expired continues under its token until an engine or a peer reports a
    /// higher one: whoever acquires the lease gets a higher token, and engines
    /// reject the lower one from then on.
    pub(crate) fn token(&self, group: &str, fencing: bool) -> Option<u64> {
        let lease = {
            let held = self.held.lock().expect("no holder of this lock panics");
            held.get(group).cloned()
        };
        let current = lease.as_ref().and_then(|l| l.token(clock::instant()));
        let expired = lease.and_then(|l| l.expired_token().filter(|_| fencing));
        let handed_over = self.handover(group).filter(|_| fencing).map(|h| h.token);
        let own = current.or(expired).map(|t| t * TOKEN_STRIDE);
        let token = own.max(handed_over)?;
        (token > self.highest_seen(group)).then_some(token)
    }

    /// Stops commands in `group`; returns the token for a successor, if one may
    /// continue without the store.
    ///
    /// Without it, a holder that stops while the store is down cannot release
    /// its lease, and all loads of its group stop until the store is back and a
    /// lease term has passed: 9 s in an incident with an outage of 8 s.
    pub(crate) fn hand_over(&self, group: &str, fencing: bool) -> Option<u64> {
        let token = self.token(group, fencing).filter(|_| fencing)?;
        self.observe_token(group, token);
        if let Some(last) = self.last_commands().get_mut(group) {
            last.handed_over = true;
        }
        Some(token + 1)
    }

    /// Records that `group` was handed over under `token` to another daemon.
    pub(crate) fn note_ceded(&self, group: &str, token: u64, now: u64) {
        let mut ceded = self.ceded.lock().expect("no holder of this lock panics");
        let known = ceded.entry(group.into()).or_insert((token, now));
        if known.0 < token {
            *known = (token, now);
        }
    }

    /// Whether another daemon took over `group` less than `for_ms` ago, which may not be
    /// known as its holder yet.
    pub(super) fn is_ceded(&self, group: &str, for_ms: u64, now: u64) -> bool {
        let ceded = self.ceded.lock().expect("no holder of this lock panics");
        let reported = ceded.get(group).map(|(_, reported_ms)| *reported_ms);
        reported.is_some_and(|at| now.saturating_sub(at) < for_ms)
    }

    fn last_commands(&self) -> MutexGuard<'_, Map<Name, LastCommand>> {
        let last = self.last_commands.lock();
        last.expect("no holder of this lock panics")
    }

    /// Records that this process started at `at`, and what the one before commanded.
    pub(crate) fn note_former(&self, at: u64, former: Former) {
        self.former.get_or_init(|| (at, former));
    }

    /// Records whether this daemon holds the lease of `group`.
    pub(crate) fn note_held(&self, group: &Name, held: bool, now: u64) {
        let held_since = self.held_since_ms.lock();
        let mut held_since = held_since.expect("no holder of this lock panics");
        match held {
            true => _ = held_since.entry(group.clone()).or_insert(now),
            false => _ = held_since.remove(group),
        }
    }

    /// Whether this daemon has held the lease of `group` for less than `for_ms`.
    pub(crate) fn is_newly_held(&self, group: &str, for_ms: u64, now: u64) -> bool {
        let held_since = self.held_since_ms.lock();
        let held_since = held_since.expect("no holder of this lock panics");
        let since = held_since.get(group);
        since.is_some_and(|at| now.saturating_sub(*at) < for_ms)
    }

    /// Records that a command is sent in `group` under `token`, unless this daemon is to
    /// pause there; returns whether it may be sent.
    ///
    /// The group may have passed to another holder and back while the caller awaited
    /// something, so this is asked for each command.
    pub(crate) fn begin_command(&self, group: &str, token: u64, term_ms: u64, now: u64) -> bool {
        if self.command_pause_ms(group, token, term_ms, now) > 0 {
            return false;
        }
        self.record_command(group, token, now);
        true
    }

    fn record_command(&self, group: &str, token: u64, now: u64) {
        let command = LastCommand {
            token,
            arrived_ms: now,
            handed_over: false,
        };
        self.last_commands().insert(group.into(), command);
    }

    /// Records that the commands sent in `group` until now have arrived by `at`.
    pub(crate) fn record_arrival(&self, group: &str, at: u64) {
        if let Some(last) = self.last_commands().get_mut(group) {
            last.arrived_ms = last.arrived_ms.max(at);
        }
    }

    /// How long this daemon is to send no command in `group` under `token`, in ms.
    ///
    /// If another holder has commanded the group since its own last command, a lease term
    /// `term_ms` passes after that one's arrival: two daemons that take turns look like two
    /// holders at once.
    pub(crate) fn command_pause_ms(&self, group: &str, token: u64, term_ms: u64, now: u64) -> u64 {
        let highest_seen = self.highest_seen(group);
        let Some(last) = self.last_commands().get(group).copied() else {
            // The process before may have commanded the group until this one started.
            let former = self.former.get().filter(|(_, f)| f.contains(group));
            let former = former.filter(|_| highest_seen > 0);
            return former.map_or(0, |(at, _)| (at + term_ms).saturating_sub(now));
        };
        let other_since = last.handed_over || highest_seen > last.token;
        match last.token != token && other_since {
            true => (last.arrived_ms + term_ms).saturating_sub(now),
            false => 0,
        }
    }

    /// Highest token of another holder of `group`.
    fn highest_seen(&self, group: &str) -> u64 {
        let highest_seen = self.highest_seen.lock();
        let highest_seen = highest_seen.expect("no holder of this lock panics");
        highest_seen.get(group).copied().unwrap_or(0)
    }

    /// Continues `group` under `token` for a holder that stopped or has lost its engines.
    pub(crate) fn accept_handover(&self, group: &str, token: u64, now: u64) {
        let known = self.handover(group);
        if known.is_some_and(|k| k.token >= token) {
            return;
        }
        // Its former holder commanded the group under the token before.
        self.observe_token(group, token.saturating_sub(1));
        let handover = Handover {
            token,
            accepted_ms: now,
        };
        let mut handed_over = self
            .handed_over
            .lock()
            .expect("no holder of this lock panics");
        handed_over.insert(group.into(), handover);
    }

    fn handover(&self, group: &str) -> Option<Handover> {
        let handed_over = self
            .handed_over
            .lock()
            .expect("no holder of this lock panics");
        handed_over.get(group).copied()
    }

    /// Whether `group` was handed over to this daemon less than `for_ms` ago.
    pub(crate) fn took_over(&self, group: &str, for_ms: u64, now: u64) -> bool {
        let handover = self.handover(group);
        handover.is_some_and(|h| now.saturating_sub(h.accepted_ms) < for_ms)
    }

    /// Continues `group` no longer for its former holder.
    pub(crate) fn end_handover(&self, group: &str) {
        let mut handed_over = self
            .handed_over
            .lock()
            .expect("no holder of this lock panics");
        handed_over.remove(group);
    }

    /// Groups held now, with their tokens.
    pub(crate) fn held(&self, fencing: bool) -> Vec<(Name, u64)> {
        let groups: Vec<Name> = {
            let held = self.held.lock().expect("no holder of this lock panics");
            let handed_over = self
                .handed_over
                .lock()
                .expect("no holder of this lock panics");
            let mut groups: Vec<Name> = held.keys().chain(handed_over.keys()).cloned().collect();
            groups.sort();
            groups.dedup();
            groups
        };
        let tokens = groups
            .into_iter()
            .map(|g| Some((g.clone(), self.token(&g, fencing)?)));
        tokens.flatten().collect()
    }

    /// Returns for how long no holder of `group` has been known, in ms.
    pub(super) fn vacant_ms(&self, group: &str, held: bool, now: u64) -> u64 {
        let mut vacant_since = self
            .vacant_since_ms
            .lock()
            .expect("no holder of this lock panics");
        if held {
            vacant_since.remove(group);
            return 0;
        }
        let since = vacant_since.entry(group.into()).or_insert(now);
        now.saturating_sub(*since)
    }

    /// Whether this daemon holds any group.
    pub(crate) fn holds_any(&self, fencing: bool) -> bool {
        !self.held(fencing).is_empty()
    }

    /// Records a `token` of another holder of `group`, or one that an engine
    /// rejected.
    pub(crate) fn observe_token(&self, group: &str, token: u64) {
        let mut highest_seen = self
            .highest_seen
            .lock()
            .expect("no holder of this lock panics");
        let highest = highest_seen.entry(group.into()).or_default();
        *highest = token.max(*highest);
    }

    pub(crate) fn add(&self, group: &Name, lease: Arc<dyn HeldLease>) {
        let mut held = self.held.lock().expect("no holder of this lock panics");
        held.insert(group.clone(), lease);
    }
}
