//! Holding the leases on orders, one for each failure domain of targets.
//!
//! An engine takes orders from one holder at a time. One lease for the whole
//! fleet would stop every load for a lease's length whenever its holder
//! dies; one for each engine would cost the store a call a second for each.
//! One for each failure domain stops a part, is few calls, and lets the
//! holder sit beside its engines.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_lease::Lease;
use tokio::time::error::Elapsed;

use crate::{clock, fleet, node::Node};

/// Renewals and looks within one lease.
const STEPS: u32 = 4;

/// Longest one step may take, as part of the lease.
const STEP_PART: u32 = 3;

/// Terms without a holder after which any daemon takes a lease: those better
/// placed for it had time for a takeover by then.
const VACANT_TERMS: u64 = 2;

/// Fencing tokens of orders for each token of the lease: a holder that stops
/// while the store is away hands the group on under the next one, and whoever
/// takes the lease from the store afterwards still has a higher one.
const STRIDE: u64 = 1_000;

/// A lease without its way to the store.
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

/// The leases this daemon knows.
#[derive(Default)]
pub(crate) struct Leases {
    held: Mutex<Map<Name, Arc<dyn HeldLease>>>,
    /// Tokens that stopping holders handed to this daemon, by group.
    ceded: Mutex<Map<Name, u64>>,
    /// Highest token of another holder by group, as told by engines and peers.
    beaten: Mutex<Map<Name, u64>>,
    /// Since when no holder is known, by group.
    vacant: Mutex<Map<Name, u64>>,
}

impl Leases {
    /// The fencing token for an order in `group`.
    ///
    /// While the store is away nobody can renew, and stopping all loads for
    /// the length of an outage would refuse every request for an adapter
    /// that is not in place. Where engines check tokens (`fencing`) a holder
    /// whose lease lapsed goes on under its token until an engine or a peer
    /// tells of a higher one: whoever takes the lease gets a higher token,
    /// and engines refuse the lower one from then on.
    pub(crate) fn token(&self, group: &str, fencing: bool) -> Option<u64> {
        let lease = {
            let held = self.held.lock().expect("no holder of this lock panics");
            held.get(group).cloned()
        };
        let current = lease.as_ref().and_then(|l| l.token(clock::instant()));
        let lapsed = lease.and_then(|l| l.expired_token().filter(|_| fencing));
        let ceded = {
            let ceded = self.ceded.lock().expect("no holder of this lock panics");
            ceded.get(group).copied().filter(|_| fencing)
        };
        let own = current.or(lapsed).map(|t| t * STRIDE);
        let token = own.max(ceded)?;
        let beaten = self.beaten.lock().expect("no holder of this lock panics");
        let highest = beaten.get(group).copied().unwrap_or(0);
        (token > highest).then_some(token)
    }

    /// Gives no more orders in `group`; the token for a successor, if one may
    /// go on without the store.
    ///
    /// What goes wrong without it: a holder stops while the store is away,
    /// cannot give its lease back, and all loads of its group stand still
    /// until the store is back and a lease's length has passed: 9 s in an
    /// incident with an outage of 8 s.
    pub(crate) fn hand_over(&self, group: &str, fencing: bool) -> Option<u64> {
        let token = self.token(group, fencing).filter(|_| fencing)?;
        self.observe_token(group, token);
        Some(token + 1)
    }

    /// Goes on with `group` under `token` for a holder that stopped.
    pub(crate) fn accept_handover(&self, group: &str, token: u64) {
        let mut ceded = self.ceded.lock().expect("no holder of this lock panics");
        let known = ceded.entry(group.into()).or_default();
        *known = token.max(*known);
    }

    /// Groups held now, with their tokens.
    pub(crate) fn held(&self, fencing: bool) -> Vec<(Name, u64)> {
        let groups: Vec<Name> = {
            let held = self.held.lock().expect("no holder of this lock panics");
            let ceded = self.ceded.lock().expect("no holder of this lock panics");
            let mut groups: Vec<Name> = held.keys().chain(ceded.keys()).cloned().collect();
            groups.sort();
            groups.dedup();
            groups
        };
        let tokens = groups
            .into_iter()
            .map(|g| Some((g.clone(), self.token(&g, fencing)?)));
        tokens.flatten().collect()
    }

    /// For how long no holder of `group` has been known, in ms.
    fn vacant_ms(&self, group: &str, held: bool, now: u64) -> u64 {
        let mut vacant = self.vacant.lock().expect("no holder of this lock panics");
        if held {
            vacant.remove(group);
            return 0;
        }
        let since = vacant.entry(group.into()).or_insert(now);
        now.saturating_sub(*since)
    }

    /// Whether this daemon holds any group.
    pub(crate) fn holds_any(&self, fencing: bool) -> bool {
        !self.held(fencing).is_empty()
    }

    /// Another holder of `group` has `token`, or an engine refused it.
    pub(crate) fn observe_token(&self, group: &str, token: u64) {
        let mut beaten = self.beaten.lock().expect("no holder of this lock panics");
        let highest = beaten.entry(group.into()).or_default();
        *highest = token.max(*highest);
    }

    pub(crate) fn add(&self, group: &Name, lease: Arc<dyn HeldLease>) {
        let mut held = self.held.lock().expect("no holder of this lock panics");
        held.insert(group.clone(), lease);
    }
}

/// Domains in which engines are.
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

/// Starts the duty.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    let node = node.clone();
    tokio::spawn(async move {
        let mut leases: Map<Name, Arc<Lease<R>>> = Map::default();
        // Which groups there are is known once it serves.
        tokio::select! {
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Serving) => {}
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
        }
        let former = former(&node, &rows).await;
        loop {
            let term = Duration::from_millis(node.settings().bounds.lease_ms);
            if node.draining() {
                let kept = release(&leases, term).await;
                hand_on(&node, &kept).await;
                return;
            }
            for group in groups(&node) {
                match leases.get(&group) {
                    Some(lease) if spares(&node, &group) => {
                        give_back(&node, &group, lease, term).await
                    }
                    Some(lease) => step(&node, &group, lease, term).await,
                    None => {
                        let id = node.settings().id.clone();
                        let lease = Arc::new(Lease::new(rows.clone(), &group, id, term));
                        node.leases.add(&group, lease.clone());
                        if former.contains(&*group) {
                            reclaim(&node, &group, &lease, term).await;
                        }
                        step(&node, &group, &lease, term).await;
                        leases.insert(group, lease);
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(term / STEPS) => {}
                () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
            }
        }
    });
}

impl Node {
    /// The fencing token for an order in `group`, if this daemon may give it.
    pub(crate) fn token(&self, group: &str) -> Option<u64> {
        self.leases.token(group, self.settings().bounds.fencing)
    }
}

/// Leases that this instance held before it started again.
async fn former<R: Rows>(node: &Node, rows: &R) -> Set<String> {
    let settings = node.settings();
    if settings.first_start {
        return Set::default();
    }
    let limit = Duration::from_millis(settings.bounds.lease_ms) / STEP_PART;
    let why =
        match tokio::time::timeout(limit, comfreyhall_lease::leases_held_by(rows, &settings.id))
            .await
        {
            Ok(Ok(names)) => return names.into_iter().collect(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_string(),
        };
    log::warn!(target: "leases", why; "former leases not looked up; they are taken after a term");
    Set::default()
}

/// Takes the lease at once, as it was this instance's before it started again.
async fn reclaim<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let call = tokio::time::timeout(term / STEP_PART, lease.reclaim(clock::instant));
    noted(node, group, None, lease, call.await);
}

/// Whether this daemon gives `group` up to one that is better placed.
///
/// What goes wrong without it: a daemon takes a second group while nobody of
/// its domain is ready, and keeps it: it answers for twice as many engines,
/// and its loads waited twice as long for the weight store.
fn spares(node: &Node, group: &Name) -> bool {
    let fencing = node.settings().bounds.fencing;
    let now = node.now();
    node.token(group).is_some()
        && node.leases.held(fencing).len() > 1
        && node
            .fleet
            .successor(group, now)
            .is_some_and(|to| node.fleet.better(group, &to))
}

/// Gives `group` back for whoever is better placed.
async fn give_back<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let call = tokio::time::timeout(term / STEP_PART, lease.release());
    match call.await {
        Ok(Ok(())) => {
            log::info!(target: "leases", group:% = group; "lease left to a daemon that is better placed");
            node.changed.notify_waiters();
            fleet::tell_all(node).await;
        }
        Ok(Err(e)) => {
            log::warn!(target: "leases", group:% = group, error:% = e; "lease not given back; tried again")
        }
        Err(_) => {
            log::warn!(target: "leases", group:% = group; "giving the lease back is unanswered")
        }
    }
}

/// How long this daemon leaves a lease without a holder to others, in ms.
///
/// Those better placed may not be known yet, or unable to reach the store.
/// Those as well placed take turns, one more at each step: if all asked at
/// once, an outage of the store in a fleet of 90 cost 360 calls a second for
/// leases that nobody could take.
fn patience_ms(node: &Node, group: &Name, term_ms: u64) -> u64 {
    let ahead = node.fleet.ahead(group, node.now());
    // What goes wrong without the last: the first of 195 daemons to be ready
    // knows of no other yet, and took the leases of four domains out of five.
    let stranger = *node.settings().domain != **group && node.uptime_ms() < VACANT_TERMS * term_ms;
    let class = match (ahead.better, node.fleet.weak() || stranger) {
        (true, _) => VACANT_TERMS * term_ms,
        (false, true) => term_ms,
        (false, false) => 0,
    };
    class + ahead.equals * term_ms / u64::from(STEPS)
}

async fn step<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let before = lease.token(clock::instant());
    let now = node.now();
    let held = before.is_some() || node.fleet.holder(group, now).is_some();
    let vacant = node.leases.vacant_ms(group, held, now);
    let patience = patience_ms(node, group, term.as_millis() as u64);
    let want = node.ready() && vacant >= patience;
    // A holder that was heard from lately needs no look at the store, and
    // whoever leaves the lease to others has none to take.
    if before.is_none() && (held || !want) {
        return;
    }
    let call = tokio::time::timeout(term / STEP_PART, lease.step(clock::instant, want));
    noted(node, group, before, lease, call.await);
}

/// Notes how a step ended; `before`: the token held until then.
fn noted<R: Rows>(
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
            tokio::spawn(fleet::announce(node.clone()));
        }
    }
}

/// Gives the leases back; returns the groups for which that failed.
async fn release<R: Rows>(leases: &Map<Name, Arc<Lease<R>>>, term: Duration) -> Vec<Name> {
    let mut kept = Vec::new();
    let ours = leases.iter().filter(|(_, l)| l.lapsed_token().is_some());
    for (group, lease) in ours {
        let call = tokio::time::timeout(term / STEP_PART, lease.release());
        let why = match call.await {
            Ok(Ok(())) => {
                log::info!(target: "leases", group:% = group; "lease given back");
                continue;
            }
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_string(),
        };
        log::warn!(target: "leases", group:% = group, why; "lease not given back");
        kept.push(group.clone());
    }
    kept
}

/// Names a successor for each group that is still held.
async fn hand_on(node: &Arc<Node>, kept: &[Name]) {
    let fencing = node.settings().bounds.fencing;
    for group in kept {
        let now = node.now();
        let Some(to) = node.fleet.successor(group, now) else {
            continue;
        };
        if let Some(token) = node.leases.hand_over(group, fencing) {
            log::info!(target: "leases", group:% = group, token, to:% = to; "orders handed on");
            node.fleet.cede(group, token, &to);
        }
    }
    if !kept.is_empty() {
        fleet::tell_all(node).await;
    }
}
