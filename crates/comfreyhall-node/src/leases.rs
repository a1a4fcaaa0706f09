//! Leases on engine commands, one for each failure domain of targets.
//!
//! An engine takes commands from one lease holder at a time. With one lease for
//! the whole fleet, the loss of its holder would stop every load for the length
//! of a lease; one for each engine would cost the store a call a second each.
//! One for each failure domain limits both, and places the holder next to its
//! engines.

mod groups;
mod reach;
pub(crate) mod state;

use std::{sync::Arc, time::Duration};

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_lease::{Lease, former_leases};
use tokio::time::error::Elapsed;

pub(crate) use self::groups::groups;
use self::state::Former;
use crate::{clock, fleet, node::Node};

/// Renewals or checks within one lease term.
const STEPS_PER_TERM: u32 = 4;

/// Divisor of the lease term that gives the longest duration of one step.
const STEP_TIMEOUT_DIVISOR: u32 = 3;

/// Divisor of the lease term that gives the longest wait of a stopping holder for answers: it
/// ends before the lease does.
const ANSWER_WAIT_DIVISOR: u32 = 2;

/// Interval between checks for such answers.
const ANSWER_POLL: Duration = Duration::from_millis(10);

/// Terms without a holder after which any daemon acquires a lease: better
/// placed daemons have had time for a takeover by then.
const VACANT_TERMS: u64 = 2;

/// Terms for which a daemon keeps a group that was handed over to it. A better placed one
/// may not know yet that it has lost the engines.
const HANDOVER_TERMS: u64 = 4;

/// Starts the lease task.
pub(crate) fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    let node = node.clone();
    if !node.settings().first_start {
        node.leases.set_former(Former::Unknown);
    }
    tokio::spawn(async move {
        let mut leases: Map<Name, Arc<Lease<R>>> = Map::default();
        // Groups that another daemon continues, but whose leases the store still has as
        // this daemon's.
        let mut handed_on: Set<Name> = Set::default();
        // The groups are known once the daemon serves.
        tokio::select! {
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Serving) => {}
            () = node.life.wait_for_stage(comfreyhall_life::Stage::Leaving) => {}
        }
        let reclaimed = read_former(&node, &rows).await;
        if !reclaimed.is_empty() {
            // Another daemon may continue a group that the store still has as this one's.
            let limit = Duration::from_millis(node.settings().bounds.lease_ms);
            let heard = fleet::hear_peers(&node);
            let _ = tokio::time::timeout(limit / STEP_TIMEOUT_DIVISOR, heard).await;
        }
        loop {
            let term = Duration::from_millis(node.settings().bounds.lease_ms);
            if node.draining() {
                await_answers(&node, &leases, term).await;
                let kept = release_all(&node, &leases, term).await;
                hand_over_groups(&node, &kept).await;
                return;
            }
            for group in groups(&node) {
                match leases.get(&group) {
                    Some(lease) if handed_on.contains(&group) => {
                        if release_group(&node, &group, lease, term).await {
                            handed_on.remove(&group);
                        }
                    }
                    Some(lease) if reach::transfer(&node, &group).await => {
                        if !release_group(&node, &group, lease, term).await {
                            handed_on.insert(group);
                        }
                    }
                    Some(lease) if yields_group(&node, &group) => {
                        release_group(&node, &group, lease, term).await;
                    }
                    Some(lease) => run_step(&node, &group, lease, term).await,
                    None => {
                        let id = node.settings().id.clone();
                        let lease = Arc::new(Lease::new(rows.clone(), &group, id, term));
                        node.leases.add(&group, lease.clone());
                        let continued = node.fleet.holder(&group, node.now()).is_some();
                        if reclaimed.contains(&*group) && !continued {
                            reclaim(&node, &group, &lease, term).await;
                        }
                        run_step(&node, &group, &lease, term).await;
                        leases.insert(group, lease);
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(term / STEPS_PER_TERM) => {}
                () = reach::wait_for_losses(&node) => {}
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

    /// The lease term.
    pub(crate) fn lease_term(&self) -> Duration {
        Duration::from_millis(self.settings().bounds.lease_ms)
    }
}

/// Reads where earlier processes of this instance may have commands in flight; returns
/// the groups whose leases are still this instance's.
async fn read_former<R: Rows>(node: &Node, rows: &R) -> Set<String> {
    let settings = node.settings();
    if settings.first_start {
        return Set::default();
    }
    let limit = Duration::from_millis(settings.bounds.lease_ms) / STEP_TIMEOUT_DIVISOR;
    let why = match tokio::time::timeout(limit, former_leases(rows, &settings.id)).await {
        Ok(Ok(former)) => {
            let held = former.iter().filter(|f| f.held);
            let held = held.map(|f| f.name.clone()).collect();
            let names = former.into_iter().map(|f| f.name);
            node.leases.set_former(Former::Groups(names.collect()));
            return held;
        }
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    log::warn!(target: "leases", why; "leases of the previous start not read; they can be acquired after a term");
    Set::default()
}

/// Acquires the lease at once, as this instance held it before its restart and no other
/// daemon is known to continue the group.
async fn reclaim<R: Rows>(node: &Arc<Node>, group: &Name, lease: &Lease<R>, term: Duration) {
    let call = tokio::time::timeout(term / STEP_TIMEOUT_DIVISOR, lease.reclaim(clock::instant));
    record_step(node, group, None, lease, call.await);
}

/// Whether this daemon leaves `group` to a better placed one.
///
/// Without it, a daemon that acquires a second group while no daemon of that
/// domain is ready keeps it: it is responsible for twice as many engines, and
/// its loads waited twice as long for the weight store. The better placed one may be the
/// former holder, which has just started again, so it keeps the group until that one's
/// turn is past.
fn yields_group(node: &Node, group: &Name) -> bool {
    let settings = node.settings();
    let (fencing, term_ms) = (settings.bounds.fencing, settings.bounds.lease_ms);
    let now = node.now();
    let kept_ms = HANDOVER_TERMS * term_ms;
    node.token(group).is_some()
        && !node.leases.took_over(group, kept_ms, now)
        && is_yieldable(node, group)
        && node.leases.held(fencing).len() > 1
        && node
            .fleet
            .successor(group, now)
            .is_some_and(|to| node.fleet.is_better_placed(group, &to))
}

/// Whether a former holder may continue `group` at once, or has waited long enough for
/// an engine that does not answer.
fn is_yieldable(node: &Node, group: &Name) -> bool {
    let term = node.lease_term();
    let longest = term * HANDOVER_TERMS as u32;
    let now = node.time();
    let settled = node.leases.is_settled(group, term, now) && !is_awaiting(node, group);
    settled
        || node
            .leases
            .update_turns(group, |turns| !turns.is_new(longest, now))
}

/// Whether an engine of `group` owes this daemon an answer to a command.
fn is_awaiting(node: &Node, group: &str) -> bool {
    let listed: Set<Name> = node.view().targets.keys().cloned().collect();
    node.leases.is_awaiting(group, |id| listed.contains(id))
}

/// Releases `group` for another daemon; returns whether the store has confirmed it.
async fn release_group<R: Rows>(
    node: &Arc<Node>,
    group: &Name,
    lease: &Lease<R>,
    term: Duration,
) -> bool {
    node.leases.end_handover(group);
    match release(node, group, lease, term).await {
        Ok(Ok(())) => {
            log::info!(target: "leases", group:% = group; "lease released for another daemon");
            node.changed.notify_waiters();
            fleet::notify_all(node).await;
            true
        }
        Ok(Err(e)) => {
            log::warn!(target: "leases", group:% = group, error:% = e; "lease not released; retrying");
            false
        }
        Err(_) => {
            log::warn!(target: "leases", group:% = group; "lease release unanswered");
            false
        }
    }
}

/// Stops commands in `group` and releases its lease.
async fn release<R: Rows>(
    node: &Node,
    group: &Name,
    lease: &Lease<R>,
    term: Duration,
) -> Result<Result<(), CatalogError>, Elapsed> {
    node.leases.close(group);
    let settled = node
        .leases
        .is_settled(group, node.lease_term(), node.time());
    log::info!(target: "leases", group:% = group, settled; "releasing the lease");
    let limit = term / STEP_TIMEOUT_DIVISOR;
    let released = match settled {
        true => tokio::time::timeout(limit, lease.release_settled()).await,
        false => tokio::time::timeout(limit, lease.release()).await,
    };
    // Without the store, a holder whose commands engines check continues.
    node.leases.reopen(group);
    released
}

/// Returns how long this daemon leaves a lease without a holder to others, in
/// ms.
///
/// Better placed daemons may not be known yet, or may be unable to reach the
/// store. Equally placed ones take turns, one more at each step: when all of
/// them tried at once, an outage of the store in a fleet of 90 cost 360 calls a
/// second for leases that nobody could acquire.
fn acquire_delay_ms(node: &Node, group: &Name, term_ms: u64) -> u64 {
    let loses = node.loses_group(group);
    let preceding = node.fleet.precedence(group, loses, node.now());
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
    let ceded = node.leases.is_ceded(group, term.as_millis() as u64, now);
    let held = before.is_some() || ceded || node.fleet.holder(group, now).is_some();
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
    let fencing = node.settings().bounds.fencing;
    node.leases.begin_tenure(group, fencing, node.time());
    if before != after {
        node.metrics.lease_change(after.is_some());
        let era = node.view().records.settings.version.era();
        log::info!(target: "leases", group:% = group, before:? = before, token:? = after, era; "lease changed");
        node.changed.notify_waiters();
        if after.is_some() {
            tokio::spawn(fleet::announce_lease(node.clone()));
        }
    }
}

/// Waits until no engine of the groups that this daemon holds owes it an answer, for a while.
///
/// Otherwise what lies at a silent engine is carried out under the next holder, which has to
/// find out whether it was.
async fn await_answers<R: Rows>(node: &Node, leases: &Map<Name, Arc<Lease<R>>>, term: Duration) {
    let ends = node.time() + term / ANSWER_WAIT_DIVISOR;
    let held = leases.iter().filter(|(_, l)| l.lapsed_token().is_some());
    let held: Vec<&Name> = held.map(|(group, _)| group).collect();
    while held.iter().any(|group| is_awaiting(node, group)) {
        if node.time() >= ends {
            log::warn!(target: "leases", waited_ms = (term / ANSWER_WAIT_DIVISOR).as_millis() as u64; "commands are still unanswered; the next holder goes on beside them");
            return;
        }
        tokio::time::sleep(ANSWER_POLL).await;
    }
}

/// Releases all leases; returns the groups for which that failed.
async fn release_all<R: Rows>(
    node: &Node,
    leases: &Map<Name, Arc<Lease<R>>>,
    term: Duration,
) -> Vec<Name> {
    let mut kept = Vec::new();
    let ours = leases.iter().filter(|(_, l)| l.lapsed_token().is_some());
    for (group, lease) in ours {
        let why = match release(node, group, lease, term).await {
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
            let until_ms = now + VACANT_TERMS * node.settings().bounds.lease_ms;
            node.fleet.announce_handover(group, token, &to, until_ms);
        }
    }
    if !kept.is_empty() {
        fleet::notify_all(node).await;
    }
}
