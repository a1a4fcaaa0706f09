//! What the holder of a group knows of its slots.

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_domain::Set;
use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::SlotUse;
use comfreyhall_slots::{
    GrantPace, ReturnSchedule, ShareUse, SlotLedger, SlotSchedule, SlotShare, SlotWaiter,
    WaitingList, slot_time_ms,
};

use crate::fleet::runs::Run;

/// A group and a model: the engines of the group that hold the model share
/// their slots.
pub(super) type PoolKey = (Name, Name);

/// What the schedule needs to know of a request's caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotCaller {
    pub(super) identity: u64,
    /// Ms until its deadline.
    pub(super) remaining_ms: u64,
    /// See `BindParams::patience_ms`.
    pub(super) patience_ms: u64,
}

/// The ledgers of the groups whose lease this daemon holds, and the slot time of
/// its own runs.
#[derive(Debug, Default)]
pub(crate) struct SlotLedgers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) groups: Map<Name, GroupUse>,
    /// Slot time of this daemon's own runs, by group.
    pub(super) own: Map<Name, SlotLedger>,
}

/// The slots of one group.
#[derive(Debug, Default)]
pub(super) struct GroupUse {
    pub(super) ledger: SlotLedger,
    /// Daemons whose slot time from before this lease has been added.
    pub(super) counted: Set<Name>,
    pub(super) shares: Arc<ShareUse>,
    pub(super) refreshed_ms: u64,
    /// By model.
    pub(super) pools: Map<Name, Pool>,
}

impl GroupUse {
    fn has_waiters(&self) -> bool {
        self.pools.values().any(|p| p.list.iter().next().is_some())
    }
}

/// The slots of the engines of a group with the same model.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) list: WaitingList,
    pub(super) schedule: SlotSchedule,
    pub(super) pace: GrantPace,
    pub(super) returns: ReturnSchedule,
}

impl State {
    /// The pools of `group`.
    fn pools(&self, group: &Name) -> impl Iterator<Item = &Pool> {
        let group = self.groups.get(group);
        group.into_iter().flat_map(|g| g.pools.values())
    }

    /// The group, which begins with the slot time of this daemon's own runs.
    pub(super) fn group(&mut self, group: &Name, now: u64) -> &mut GroupUse {
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
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
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
    /// the lease, once for each lease, and drops groups that are not held.
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
        state.pools(group).map(|p| p.list.iter().count()).sum()
    }

    /// Free slots of `group`, and those in use.
    pub(super) fn slots(&self, group: &Name) -> (usize, usize) {
        let state = self.state();
        let both = state
            .pools(group)
            .map(|p| (p.schedule.free(), p.schedule.in_use()));
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

#[cfg(test)]
mod tests;
