//! The leases that this daemon knows, as one state for each group.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_catalog::Rows;
use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_lease::{Lease, Turns, Wait};
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
    /// Whether another instance may have held it since this one last did.
    fn is_return(&self) -> bool;
}

impl<R: Rows> HeldLease for Lease<R> {
    fn token(&self, now: Instant) -> Option<u64> {
        Lease::token(self, now)
    }

    fn expired_token(&self) -> Option<u64> {
        self.lapsed_token()
    }

    fn is_return(&self) -> bool {
        Lease::is_return(self)
    }
}

/// A group that its holder handed over to this daemon.
#[derive(Debug, Clone, Copy)]
struct Handover {
    token: u64,
    accepted_ms: u64,
}

/// The groups in which earlier processes of the instance may have commands in flight.
#[derive(Debug)]
pub(crate) enum Former {
    /// These, by the store.
    Groups(Set<String>),
    /// The store did not answer.
    Unknown,
}

impl Former {
    /// Whether one of them may have commanded `group`.
    fn contains(&self, group: &str) -> bool {
        match self {
            Former::Groups(groups) => groups.contains(group),
            Former::Unknown => true,
        }
    }
}

/// A command that is about to be sent to an engine.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) target: Name,
    pub(crate) token: u64,
    /// Number of accepted commands that it names.
    pub(crate) sequence: u64,
    /// Whether it changes that number.
    pub(crate) advances: bool,
}

/// What this daemon knows of one group.
#[derive(Default)]
struct Group {
    lease: Option<Arc<dyn HeldLease>>,
    /// Set while the lease is being released: no command is sent any more.
    closed: bool,
    /// Another holder's handover to this daemon.
    handover: Option<Handover>,
    /// A handover to another daemon: the token, and when it was first reported.
    ceded: Option<(u64, u64)>,
    /// Time since which no holder is known.
    vacant_since_ms: Option<u64>,
    turns: Turns,
}

impl Group {
    /// The fencing token for a command, and whether another holder may have commanded
    /// since this instance last did.
    fn tenure(&self, fencing: bool) -> Option<(u64, bool)> {
        let lease = self.lease.as_ref().filter(|_| !self.closed);
        let own = lease.and_then(|lease| {
            let expired = || lease.expired_token().filter(|_| fencing);
            let token = lease.token(clock::instant()).or_else(expired)?;
            Some((token * TOKEN_STRIDE, lease.is_return()))
        });
        let handover = self.handover.filter(|_| fencing).map(|h| (h.token, true));
        let tenure = own.max(handover)?;
        (tenure.0 > self.turns.highest_other()).then_some(tenure)
    }

    fn token(&self, fencing: bool) -> Option<u64> {
        self.tenure(fencing).map(|(token, _)| token)
    }

    fn observe_token(&mut self, token: u64) {
        let handed_over = !token.is_multiple_of(TOKEN_STRIDE);
        self.turns.observe_other(token, handed_over);
    }
}

/// Leases known to this daemon.
pub(crate) struct Leases {
    groups: Mutex<Map<Name, Group>>,
    former: Mutex<Former>,
    /// Notifies the lease task when an engine is lost.
    engine_lost: Notify,
}

impl Default for Leases {
    fn default() -> Self {
        Self {
            groups: Mutex::default(),
            former: Mutex::new(Former::Groups(Set::default())),
            engine_lost: Notify::default(),
        }
    }
}

impl Leases {
    fn groups(&self) -> MutexGuard<'_, Map<Name, Group>> {
        self.groups.lock().expect("no holder of this lock panics")
    }

    fn with<T>(&self, group: &str, action: impl FnOnce(&mut Group) -> T) -> T {
        let mut groups = self.groups();
        if let Some(known) = groups.get_mut(group) {
            return action(known);
        }
        action(groups.entry(group.into()).or_default())
    }

    /// Has the lease task check whether this daemon still reaches its engines.
    pub(crate) fn wake(&self) {
        self.engine_lost.notify_one();
    }

    /// Waits until an engine is lost.
    pub(super) async fn wait_for_loss(&self) {
        self.engine_lost.notified().await;
    }

    pub(crate) fn add(&self, group: &Name, lease: Arc<dyn HeldLease>) {
        self.with(group, |g| g.lease = Some(lease));
    }

    /// Records where earlier processes of the instance may have commands in flight.
    pub(crate) fn set_former(&self, former: Former) {
        *self.former.lock().expect("no holder of this lock panics") = former;
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
        self.groups().get(group)?.token(fencing)
    }

    /// Begins a tenure of this daemon in `group`, if it has a new token.
    pub(crate) fn begin_tenure(&self, group: &str, fencing: bool, now: Duration) {
        self.with(group, |g| {
            let Some((token, returning)) = g.tenure(fencing) else {
                return;
            };
            let former = self.former.lock();
            let former = former.expect("no holder of this lock panics");
            let inherited = former.contains(group);
            if g.turns.begin(token, returning, inherited, now) {
                log::info!(target: "leases", group, token, returning, inherited; "tenure begins");
            }
        });
    }

    /// Stops commands in `group`; returns the token for a successor, if one may
    /// continue without the store.
    ///
    /// Without it, a holder that stops while the store is down cannot release
    /// its lease, and all loads of its group stop until the store is back and a
    /// lease term has passed: 9 s in an incident with an outage of 8 s.
    pub(crate) fn hand_over(&self, group: &str, fencing: bool) -> Option<u64> {
        let token = self.token(group, fencing).filter(|_| fencing)?;
        self.observe_token(group, token + 1);
        Some(token + 1)
    }

    /// Records that `group` was handed over under `token` to another daemon.
    pub(crate) fn note_ceded(&self, group: &str, token: u64, now: u64) {
        self.with(group, |g| {
            if g.ceded.is_none_or(|(known, _)| known < token) {
                g.ceded = Some((token, now));
            }
        });
    }

    /// Whether another daemon took over `group` less than `for_ms` ago, which may not be
    /// known as its holder yet.
    pub(super) fn is_ceded(&self, group: &str, for_ms: u64, now: u64) -> bool {
        let reported = self.groups().get(group).and_then(|g| g.ceded);
        reported.is_some_and(|(_, at)| now.saturating_sub(at) < for_ms)
    }

    /// Records that `command` is sent in `group`, unless it has to wait.
    ///
    /// The group may have passed to another holder and back while the caller awaited
    /// something, so this is asked for each command.
    pub(crate) fn begin_command(
        &self,
        group: &str,
        command: &Outgoing,
        term: Duration,
        now: Duration,
    ) -> Result<(), Wait> {
        self.with(group, |g| {
            if g.closed || g.turns.token() != command.token {
                return Err(Wait::Pause(term));
            }
            let (target, sequence) = (&command.target, command.sequence);
            g.turns.send(target, sequence, command.advances, term, now)
        })
    }

    /// How long this daemon is to send `target` no command, as another holder may have
    /// commanded it since this instance did.
    pub(crate) fn command_pause(
        &self,
        group: &str,
        target: &str,
        term: Duration,
        now: Duration,
    ) -> Duration {
        self.with(group, |g| g.turns.pause(target, term, now))
    }

    /// Whether all commands of earlier holders in `group` came at least a `term` ago.
    pub(crate) fn is_settled(&self, group: &str, term: Duration, now: Duration) -> bool {
        let groups = self.groups();
        groups
            .get(group)
            .is_some_and(|g| g.turns.is_settled(term, now))
    }

    /// Whether a command of this daemon is in flight in `group`, at an engine that is
    /// `listed`.
    pub(crate) fn is_awaiting(&self, group: &str, listed: impl Fn(&str) -> bool) -> bool {
        let groups = self.groups();
        groups
            .get(group)
            .is_some_and(|g| g.turns.is_awaiting(listed))
    }

    /// Sends no more commands in `group`, whose lease is to be released.
    pub(crate) fn close(&self, group: &str) {
        self.with(group, |g| g.closed = true);
    }

    /// Allows commands in `group` again, under whatever token this daemon has.
    pub(crate) fn reopen(&self, group: &str) {
        self.with(group, |g| g.closed = false);
    }

    /// Updates what is known of the commands sent in `group`.
    pub(crate) fn update_turns<T>(&self, group: &str, update: impl FnOnce(&mut Turns) -> T) -> T {
        self.with(group, |g| update(&mut g.turns))
    }

    /// Continues `group` under `token` for a holder that stopped or has lost its engines.
    pub(crate) fn accept_handover(&self, group: &str, token: u64, now: u64) {
        self.with(group, |g| {
            if g.handover.is_some_and(|known| known.token >= token) {
                return;
            }
            // Its former holder commanded the group under the token before.
            g.observe_token(token.saturating_sub(1));
            let accepted_ms = now;
            g.handover = Some(Handover { token, accepted_ms });
        });
    }

    /// Whether `group` was handed over to this daemon less than `for_ms` ago.
    pub(crate) fn took_over(&self, group: &str, for_ms: u64, now: u64) -> bool {
        let handover = self.groups().get(group).and_then(|g| g.handover);
        handover.is_some_and(|h| now.saturating_sub(h.accepted_ms) < for_ms)
    }

    /// Continues `group` no longer for its former holder.
    pub(crate) fn end_handover(&self, group: &str) {
        self.with(group, |g| g.handover = None);
    }

    /// Groups held now, with their tokens.
    pub(crate) fn held(&self, fencing: bool) -> Vec<(Name, u64)> {
        let groups = self.groups();
        let held = groups.iter();
        let held = held.filter_map(|(name, g)| Some((name.clone(), g.token(fencing)?)));
        let mut held: Vec<(Name, u64)> = held.collect();
        held.sort();
        held
    }

    /// Returns for how long no holder of `group` has been known, in ms.
    pub(super) fn vacant_ms(&self, group: &str, held: bool, now: u64) -> u64 {
        self.with(group, |g| {
            if held {
                g.vacant_since_ms = None;
                return 0;
            }
            now.saturating_sub(*g.vacant_since_ms.get_or_insert(now))
        })
    }

    /// Whether this daemon holds any group.
    pub(crate) fn holds_any(&self, fencing: bool) -> bool {
        self.groups().values().any(|g| g.token(fencing).is_some())
    }

    /// Records a `token` of another holder of `group`, or the lowest one that it can have.
    pub(crate) fn observe_token(&self, group: &str, token: u64) {
        self.with(group, |g| g.observe_token(token));
    }
}
