//! Leases on engine commands, one for each failure domain of targets.
//!
//! An engine takes commands from one lease holder at a time. With one lease for
//! the whole fleet, the loss of its holder would stop every load for the length
//! of a lease; one for each engine would cost the store a call a second each.
//! One for each failure domain limits both, and places the holder next to its
//! engines.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_lease::Lease;
use tokio::time::error::Elapsed;

use crate::{clock, fleet, node::Node};

/// Renewals or checks within one lease term.
const STEPS_PER_TERM: u32 = 4;

/// Divisor of the lease term that gives the longest duration of one step.
const STEP_TIMEOUT_DIVISOR: u32 = 3;

/// Terms without a holder after which any daemon acquires a lease: better
/// placed daemons have had time for a takeover by then.
const VACANT_TERMS: u64 = 2;

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

/// Leases known to this daemon.
#[derive(Default)]
pub(crate) struct Leases {
    held: Mutex<Map<Name, Arc<dyn HeldLease>>>,
    /// Tokens that stopping holders handed over to this daemon, by group.
    handed_over: Mutex<Map<Name, u64>>,
    /// Highest token of another holder by group, as reported by engines and
    /// peers.
    highest_seen: Mutex<Map<Name, u64>>,
    /// Time since which no holder is known, by group.
    vacant_since_ms: Mutex<Map<Name, u64>>,
}

impl Leases {
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
        let handed_over = {
            let handed_over = self
                .handed_over
                .lock()
                .expect("no holder of this lock panics");
            handed_over.get(group).copied().filter(|_| fencing)
        };
        let own = current.or(expired).map(|t| t * TOKEN_STRIDE);
        let token = own.max(handed_over)?;
        let highest_seen = self
            .highest_seen
            .lock()
            .expect("no holder of this lock panics");
        let highest = highest_seen.get(group).copied().unwrap_or(0);
        (token > highest).then_some(token)
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
        Some(token + 1)
    }

    /// Continues `group` under `token` for a holder that stopped.
    pub(crate) fn accept_handover(&self, group: &str, token: u64) {
        let mut handed_over = self
            .handed_over
            .lock()
            .expect("no holder of this lock panics");
        let known = handed_over.entry(group.into()).or_default();
        *known = token.max(*known);
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
    fn vacant_ms(&self, group: &str, held: bool, now: u64) -> u64 {
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

/// Failure domains that contain engines.
pub(crate) fn groups(node: &Node) -> Vec<Name> {
    let view = node.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let engines = view.targets.values().filter(|t| {
        let service = config.services.get(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    });
    let mut out: Vec<Name> = engines.map(|t| t.failure_domain.clone()).collect();
    out.sort();
    out.dedup();
    out
}

/// Starts the lease task.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    let node = node.clone();
    tokio::spawn(async move {
        let mut leases: Map<Name, Arc<Lease<R>>> = Map::default();
        // The groups are known once the daemon serves.
        tokio::select! {
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Serving) => {}
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
        }
        let former = former_leases(&node, &rows).await;
        loop {
            let term = Duration::from_millis(node.settings().bounds.lease_ms);
            if node.draining() {
                let kept = release_all(&leases, term).await;
                hand_over_groups(&node, &kept).await;
                return;
            }
            for group in groups(&node) {
                match leases.get(&group) {
                    Some(lease) if yields_group(&node, &group) => {
                        release_group(&node, &group, lease, term).await
                    }
                    Some(lease) => run_step(&node, &group, lease, term).await,
                    None => {
                        let id = node.settings().id.clone();
                        let lease = Arc::new(Lease::new(rows.clone(), &group, id, term));
                        node.leases.add(&group, lease.clone());
                        if former.contains(&*group) {
                            reclaim(&node, &group, &lease, term).await;
                        }
                        run_step(&node, &group, &lease, term).await;
                        leases.insert(group, lease);
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(term / STEPS_PER_TERM) => {}
                () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
            }
        }
    });
}

impl Node {
    /// Returns the fencing token for a command in `group`, if this daemon may
    /// send it.
    pub(crate) fn token(&self, group: &str) -> Option<u64> {
        self.leases.token(group, self.settings().bounds.fencing)
    }
}

/// Leases that this instance held before its restart.
async fn former_leases<R: Rows>(node: &Node, rows: &R) -> Set<String> {
    let settings = node.settings();
    if settings.first_start {
        return Set::default();
    }
    let limit = Duration::from_millis(settings.bounds.lease_ms) / STEP_TIMEOUT_DIVISOR;
    let why =
        match tokio::time::timeout(limit, comfreyhall_lease::leases_held_by(rows, &settings.id))
            .await
        {
            Ok(Ok(names)) => return names.into_iter().collect(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_string(),
        };
    log::warn!(target: "leases", why; "leases of the previous start not read; they can be acquired after a term");
    Set::default()
}

/// Acquires the lease at once, as this instance held it before its restart.
async fn reclaim<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let call = tokio::time::timeout(term / STEP_TIMEOUT_DIVISOR, lease.reclaim(clock::instant));
    record_step(node, group, None, lease, call.await);
}

/// Whether this daemon leaves `group` to a better placed one.
///
/// Without it, a daemon that acquires a second group while no daemon of that
/// domain is ready keeps it: it is responsible for twice as many engines, and
/// its loads waited twice as long for the weight store.
fn yields_group(node: &Node, group: &Name) -> bool {
    let fencing = node.settings().bounds.fencing;
    let now = node.now();
    node.token(group).is_some()
        && node.leases.held(fencing).len() > 1
        && node
            .fleet
            .successor(group, now)
            .is_some_and(|to| node.fleet.is_better_placed(group, &to))
}

/// Releases `group` for a better placed daemon.
async fn release_group<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let call = tokio::time::timeout(term / STEP_TIMEOUT_DIVISOR, lease.release());
    match call.await {
        Ok(Ok(())) => {
            log::info!(target: "leases", group:% = group; "lease released for a better placed daemon");
            node.changed.notify_waiters();
            fleet::notify_all(node).await;
        }
        Ok(Err(e)) => {
            log::warn!(target: "leases", group:% = group, error:% = e; "lease not released; retrying")
        }
        Err(_) => {
            log::warn!(target: "leases", group:% = group; "lease release unanswered")
        }
    }
}

/// Returns how long this daemon leaves a lease without a holder to others, in
/// ms.
///
/// Better placed daemons may not be known yet, or may be unable to reach the
/// store. Equally placed ones take turns, one more at each step: when all of
/// them tried at once, an outage of the store in a fleet of 90 cost 360 calls a
/// second for leases that nobody could acquire.
fn acquire_delay_ms(node: &Node, group: &Name, term_ms: u64) -> u64 {
    let preceding = node.fleet.precedence(group, node.now());
    // Without the age check, the first of 195 daemons to be ready knew of no
    // other yet, and acquired the leases of four domains out of five.
    let newcomer = *node.settings().domain != **group && node.uptime_ms() < VACANT_TERMS * term_ms;
    let class = match (preceding.better, node.fleet.is_underpowered() || newcomer) {
        (true, _) => VACANT_TERMS * term_ms,
        (false, true) => term_ms,
        (false, false) => 0,
    };
    class + preceding.equals * term_ms / u64::from(STEPS_PER_TERM)
}

async fn run_step<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let before = lease.token(clock::instant());
    let now = node.now();
    let held = before.is_some() || node.fleet.holder(group, now).is_some();
    let vacant = node.leases.vacant_ms(group, held, now);
    let delay_ms = acquire_delay_ms(node, group, term.as_millis() as u64);
    let acquire = node.ready() && !node.is_isolated() && vacant >= delay_ms;
    // A recently seen holder makes a store call unnecessary, and a daemon that
    // leaves the lease to others has nothing to acquire.
    if before.is_none() && (held || !acquire) {
        return;
    }
    let call = tokio::time::timeout(
        term / STEP_TIMEOUT_DIVISOR,
        lease.step(clock::instant, acquire),
    );
    record_step(node, group, before, lease, call.await);
}

/// Records the result of a step; `before` is the token held until then.
fn record_step<R: Rows>(
    node: &Arc<Node>,
    group: &Name,
    before: Option<u64>,
    lease: &Lease<R>,
    ended: Result<Result<(), CatalogError>, Elapsed>,
) {
    match ended {
        Ok(Ok(())) => {}
        Ok(Err(e)) => {
            log::warn!(target: "leases", group:% = group, error:% = e; "lease step failed")
        }
        Err(_) => log::warn!(target: "leases", group:% = group; "lease step unanswered"),
    }
    let after = lease.token(clock::instant());
    if before != after {
        node.metrics.lease_change(after.is_some());
        log::info!(target: "leases", group:% = group, before:? = before, token:? = after; "lease changed");
        node.changed.notify_waiters();
        if after.is_some() {
            tokio::spawn(fleet::announce_lease(node.clone()));
        }
    }
}

/// Releases all leases; returns the groups for which that failed.
async fn release_all<R: Rows>(leases: &Map<Name, Arc<Lease<R>>>, term: Duration) -> Vec<Name> {
    let mut kept = Vec::new();
    let ours = leases.iter().filter(|(_, l)| l.lapsed_token().is_some());
    for (group, lease) in ours {
        let call = tokio::time::timeout(term / STEP_TIMEOUT_DIVISOR, lease.release());
        let why = match call.await {
            Ok(Ok(())) => {
                log::info!(target: "leases", group:% = group; "lease given back");
                continue;
            }
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_string(),
        };
        log::warn!(target: "leases", group:% = group, why; "lease not released");
        kept.push(group.clone());
    }
    kept
}

/// Names a successor for each group that is still held.
async fn hand_over_groups(node: &Arc<Node>, kept: &[Name]) {
    let fencing = node.settings().bounds.fencing;
    for group in kept {
        let now = node.now();
        let Some(to) = node.fleet.successor(group, now) else {
            continue;
        };
        if let Some(token) = node.leases.hand_over(group, fencing) {
            log::info!(target: "leases", group:% = group, token, to:% = to; "orders handed on");
            node.fleet.announce_handover(group, token, &to);
        }
    }
    if !kept.is_empty() {
        fleet::notify_all(node).await;
    }
}
