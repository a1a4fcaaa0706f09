//! What the holder of a group knows of its slots.

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_domain::Set;
use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::SlotUse;
use comfreyhall_slots::{
    GrantPace, ReturnSchedule, ShareUse, SlotLedger, SlotSchedule, SlotShare, SlotWaiter,
    WaitingList, slot_time_ms,
};

use super::SlotCaller;
use crate::{fleet::Run, node::Node};

/// How long what was computed from the runs of a group is used again, in ms:
/// about one slot of a group becomes free in that time.
const REFRESH_MS: u64 = 25;

/// A group and a model: the engines of the group that hold the model share
/// their slots.
pub(super) type PoolKey = (Name, Name);

/// The ledgers of the groups whose lease this daemon holds, and the slot time of
/// its own runs.
#[derive(Debug, Default)]
pub(crate) struct SlotLedgers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    groups: Map<Name, GroupUse>,
    /// Slot time of this daemon's own runs, by group.
    own: Map<Name, SlotLedger>,
}

/// The slots of one group.
#[derive(Debug, Default)]
struct GroupUse {
    ledger: SlotLedger,
    /// Daemons whose slot time from before this lease has been added.
    counted: Set<Name>,
    shares: Arc<ShareUse>,
    refreshed_ms: u64,
    /// By model.
    pools: Map<Name, Pool>,
}

impl GroupUse {
    fn has_waiters(&self) -> bool {
        self.pools.values().any(|p| p.list.iter().next().is_some())
    }
}

/// The slots of the engines of a group with the same model.
#[derive(Debug, Default)]
struct Pool {
    list: WaitingList,
    schedule: SlotSchedule,
    pace: GrantPace,
    returns: ReturnSchedule,
}

impl State {
    /// The group, which begins with the slot time of this daemon's own runs.
    fn group(&mut self, group: &Name, now: u64) -> &mut GroupUse {
        self.groups.entry(group.clone()).or_insert_with(|| {
            let mut created = GroupUse::default();
            if let Some(own) = self.own.get_mut(group) {
                for (share, used) in own.shares(now) {
                    created.ledger.add_use(share, used, now);
                }
            }
            created
        })
    }

    fn pool(&mut self, (group, model): &PoolKey) -> Option<(&mut Pool, &Arc<ShareUse>)> {
        let group = self.groups.get_mut(group)?;
        Some((group.pools.get_mut(model)?, &group.shares))
    }
}

impl SlotLedgers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds the slot time of a peer's run that has ended.
    pub(crate) fn record_end(&self, run: &Run, now: u64) {
        let Some(slot_ms) = slot_time(run, now) else {
            return;
        };
        let mut state = self.state();
        state
            .group(&run.group, now)
            .ledger
            .add_use(&run.share, slot_ms, now);
    }

    /// Adds the slot time of a run of this daemon that has ended.
    pub(crate) fn record_own_end(&self, run: &Run, now: u64) {
        let Some(slot_ms) = slot_time(run, now) else {
            return;
        };
        let mut state = self.state();
        if let Some(held) = state.groups.get_mut(&run.group) {
            held.ledger.add_use(&run.share, slot_ms, now);
        }
        let own = state.own.entry(run.group.clone()).or_default();
        own.add_use(&run.share, slot_ms, now);
    }

    /// Slot time of this daemon's own runs in `group`, for its new holder.
    pub(crate) fn own_use(&self, group: &Name, now: u64) -> Vec<SlotUse> {
        let mut state = self.state();
        let Some(own) = state.own.get_mut(group) else {
            return Vec::new();
        };
        let uses = own.shares(now).map(|(share, used)| SlotUse {
            group: group.to_string(),
            share: share.as_str().to_string(),
            slot_ms: used as u64,
        });
        uses.collect()
    }

    /// Adds what the daemon `peer` reports of its runs before this daemon took
    /// the lease, once for each lease, and forgets groups that are not held.
    pub(crate) fn add_reported(
        &self,
        is_held: impl Fn(&Name) -> bool,
        peer: &Name,
        uses: &[SlotUse],
        now: u64,
    ) {
        let mut state = self.state();
        state
            .groups
            .retain(|group, known| is_held(group) || known.has_waiters());
        let mut added: Set<Name> = Set::default();
        for slot_use in uses {
            let name: Name = slot_use.group.as_str().into();
            if !is_held(&name) {
                continue;
            }
            let group = state.group(&name, now);
            if group.counted.contains(peer) && !added.contains(&name) {
                continue;
            }
            group.counted.insert(peer.clone());
            added.insert(name);
            let share = SlotShare::from_wire(&slot_use.share);
            group.ledger.add_use(&share, slot_use.slot_ms as f64, now);
        }
    }

    pub(super) fn share_use(&self, group: &Name) -> Arc<ShareUse> {
        let state = self.state();
        state
            .groups
            .get(group)
            .map_or_else(Arc::default, |g| g.shares.clone())
    }

    /// Requests that wait for a slot of `group`.
    pub(super) fn waiting(&self, group: &Name) -> usize {
        let state = self.state();
        let pools = state
            .groups
            .get(group)
            .into_iter()
            .flat_map(|g| g.pools.values());
        pools.map(|p| p.list.iter().count()).sum()
    }

    /// Free slots of `group`, and those in use.
    pub(super) fn slots(&self, group: &Name) -> (usize, usize) {
        let state = self.state();
        let pools = state
            .groups
            .get(group)
            .into_iter()
            .flat_map(|g| g.pools.values());
        let both = pools.map(|p| (p.schedule.free(), p.schedule.in_use()));
        both.fold((0, 0), |sum, each| (sum.0 + each.0, sum.1 + each.1))
    }

    /// Whether the caller of `identity` has come back at its time.
    pub(super) fn is_due(&self, pool: &PoolKey, identity: u64, now: u64) -> bool {
        let mut state = self.state();
        let pool = state.pool(pool);
        pool.is_some_and(|(pool, _)| pool.returns.is_due(identity, now))
    }

    /// Ms until `waiter` gets a slot.
    pub(super) fn expected_ms(&self, pool: &PoolKey, waiter: &SlotWaiter, now: u64) -> u64 {
        let mut state = self.state();
        let Some((pool, shares)) = state.pool(pool) else {
            return 0;
        };
        let before = pool.list.slots_before(waiter, shares, now);
        pool.schedule.wait_ms(before, &pool.pace, now)
    }

    /// Gives `caller` a return time; returns the ms until then.
    pub(super) fn promise(
        &self,
        pool: &PoolKey,
        caller: SlotCaller,
        waiter: &SlotWaiter,
        expected_ms: u64,
        now: u64,
    ) -> u64 {
        let mut state = self.state();
        let Some((pool, _)) = state.pool(pool) else {
            return expected_ms;
        };
        let seen_ms = pool.pace.interval_ms(now).unwrap_or(0.0);
        let interval_ms = pool.schedule.interval_ms().max(seen_ms);
        // Callers honour at most a third of the time they have left.
        let latest_ms = caller.remaining_ms / 3;
        let bounds = (expected_ms, latest_ms);
        let identity = caller.identity;
        pool.returns
            .promise(identity, waiter.priority, bounds, interval_ms, now)
    }

    /// Adds a waiting request; returns its number.
    pub(super) fn join(&self, pool: &PoolKey, waiter: SlotWaiter, identity: u64, now: u64) -> u64 {
        let mut state = self.state();
        let Some((pool, _)) = state.pool(pool) else {
            return 0;
        };
        if pool.list.iter().next().is_none() {
            pool.pace.begin(now);
        }
        pool.returns.remove(identity);
        pool.list.add(waiter)
    }

    pub(super) fn leave(&self, pool: &PoolKey, number: u64) {
        if let Some((pool, _)) = self.state().pool(pool) {
            pool.list.remove(number);
        }
    }

    pub(super) fn record_grant(&self, pool: &PoolKey, adapter: &str, now: u64) {
        if let Some((pool, _)) = self.state().pool(pool)
            && pool.list.iter().any(|w| *w.adapter == *adapter)
        {
            pool.pace.grant(now);
            pool.list.serve(adapter);
        }
    }
}

fn slot_time(run: &Run, now: u64) -> Option<f64> {
    let known = run.adapter.is_some() && !run.group.is_empty();
    known.then(|| slot_time_ms(now.saturating_sub(run.began_at_ms)))
}

/// An engine of a group.
struct EngineSlots {
    slots: usize,
    models: Vec<Name>,
}

/// Brings what is known of the slots of `group` up to date, with a pool for
/// `model`.
pub(super) fn refresh(node: &Node, group: &Name, model: Option<&Name>) {
    let now = node.now();
    {
        let mut state = node.slots.state();
        let known = state.group(group, now);
        let current = now < known.refreshed_ms + REFRESH_MS;
        let new = model.is_some_and(|m| !known.pools.contains_key(m));
        if current && !new {
            return;
        }
        if let Some(model) = model {
            known.pools.entry(model.clone()).or_default();
        }
    }
    let view = node.view();
    let hold_ms = view.hold.mean_ms();
    let targets = view.targets.values();
    let engines = targets.filter(|t| t.failure_domain == *group).map(|t| {
        let slots = EngineSlots {
            slots: view.adapter_slots(t) as usize,
            models: t.loaded.iter().map(|l| l.model.clone()).collect(),
        };
        (t.id.clone(), slots)
    });
    let engines: Map<Name, EngineSlots> = engines.filter(|(_, e)| e.slots > 0).collect();
    drop(view);
    let mut runs: Vec<(SlotShare, u64)> = Vec::new();
    // The start of the latest run of each slot in use.
    let mut used: Map<(Name, Name), u64> = Map::default();
    node.fleet.visit_runs(now, |run| {
        if let Some(adapter) = run.adapter.as_ref().and_then(|a| a.adapter.clone())
            && engines.contains_key(&run.target)
        {
            runs.push((run.share.clone(), run.began_at_ms));
            let latest = used.entry((run.target.clone(), adapter)).or_default();
            *latest = run.began_at_ms.max(*latest);
        }
    });
    for (adapter, target) in node.controllers.loads() {
        if let Some(adapter) = adapter.adapter
            && engines.contains_key(&target)
        {
            used.insert((target, adapter), now);
        }
    }
    let mut state = node.slots.state();
    let known = state.group(group, now);
    known.refreshed_ms = now;
    let waiting = known.pools.values().flat_map(|p| p.list.iter());
    let shares = known.ledger.share_use(
        runs.iter().map(|(share, began)| (share, *began)),
        waiting.map(|w| &w.share),
        now,
    );
    known.shares = Arc::new(shares);
    for (model, pool) in &mut known.pools {
        let of_model = |e: &&EngineSlots| e.models.contains(model);
        let slots = engines.values().filter(of_model).map(|e| e.slots).sum();
        let used = used
            .iter()
            .filter(|((target, _), _)| engines.get(target).as_ref().is_some_and(of_model));
        let began = used.map(|(_, began)| *began);
        pool.schedule = SlotSchedule::new(slots, began, hold_ms, now);
    }
}

#[cfg(test)]
mod tests;
