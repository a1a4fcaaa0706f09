//! Loading of adapters into slots: job selection, eviction and completion.

use comfreyhall_domain::AdapterRef;
use comfreyhall_placement::{EvictionCandidate, select_victim};
use comfreyhall_routing::Presence;

use super::{
    EngineController, Job, LOAD_POLL_MS, PendingLoad, Placed, REPORT_DELAY, finish,
    job::STALLED_LOAD_MS,
};
use crate::{
    adapter_key::adapter_key,
    fleet::LoadTiming,
    ports::CommandReply,
    slots,
    view::NamedVersion,
    weights::{self, LoadOrigin},
};

/// Concurrent adapter loads that an engine allows.
const MAX_PENDING_LOADS: usize = 4;

/// Fraction of the expected duration before the first poll. Polling at the
/// expected duration itself never observes a faster load, so that the estimate
/// could only grow.
const FIRST_POLL_FRACTION: f64 = 0.8;

/// Divisor of the bound for named versions; after this part of it an outdated
/// adapter is dropped even if it is in use.
const VERSION_GRACE_DIVISOR: u64 = 2;

/// Minimum score at which an outdated adapter is reloaded at once: about one
/// request within the last two half-lives.
const MIN_RELOAD_SCORE: f64 = 0.25;

impl EngineController {
    /// Polls the loads that should have finished.
    pub(super) async fn poll_pending(&mut self) {
        let now = self.node.now();
        let due = self.pending.iter().filter(|(_, c)| c.poll_at_ms <= now);
        let due: Vec<AdapterRef> = due.map(|(a, _)| a.clone()).collect();
        if !due.is_empty() && !self.is_decided() {
            return self.poll_by_report(&due);
        }
        let slots = self.slots();
        for adapter in due {
            let version = self.account.loading_version(&adapter).unwrap_or(0);
            // A repeated command reports a finished load, and is cheaper than a
            // report.
            let Ok(order) = self.account.load(&adapter, version, slots) else {
                return;
            };
            match self.carry_out(order).await {
                CommandReply::Holds => self.finish_load(&adapter),
                CommandReply::Accepted => self.check_stalled(&adapter),
                CommandReply::Conflict
                | CommandReply::Silent(_)
                | CommandReply::Withheld
                | CommandReply::NotSent(_) => {}
                reply
                @ (CommandReply::Fenced | CommandReply::OtherBoot | CommandReply::Invalid) => {
                    if let Some(loading) = self.take_pending(&adapter) {
                        log::info!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(&adapter), reply:? = reply, expected = self.account.sequence(), occupied = self.account.occupied(), loading = self.account.loading_count(); "load no longer watched");
                        finish(loading.waiters, Err("the engine no longer loads it".into()));
                    }
                }
            }
        }
    }

    /// Whether no command of an earlier holder can be carried out at the engine any more.
    fn is_decided(&self) -> bool {
        let (group, id) = (&self.target.failure_domain, &self.target.id);
        let leases = &self.node.leases;
        leases.update_turns(group, |t| t.is_decided(id))
    }

    /// Has a report show what became of the loads in `due`, which an earlier holder began:
    /// a repeated command would not change the engine's number.
    fn poll_by_report(&mut self, due: &[AdapterRef]) {
        let next_ms = self.node.now() + REPORT_DELAY.as_millis() as u64;
        for adapter in due {
            if let Some(loading) = self.pending.get_mut(adapter) {
                loading.poll_at_ms = next_ms;
            }
        }
        self.account.require_report();
    }

    pub(super) fn check_stalled(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(loading) = self.pending.get_mut(adapter) else {
            return;
        };
        loading.poll_at_ms = now + LOAD_POLL_MS;
        if now.saturating_sub(loading.started_at_ms) > STALLED_LOAD_MS
            && let Some(loading) = self.take_pending(adapter)
        {
            log::warn!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter); "load is stuck");
            finish(loading.waiters, Err("the load is stuck".into()));
            self.account.require_report();
        }
    }

    /// Records a finished load.
    pub(super) fn finish_load(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(loading) = self.pending.get(adapter) else {
            return;
        };
        let load_ms = now.saturating_sub(loading.started_at_ms);
        let (age, predicted) = (loading.age, loading.cached);
        let timed = loading.origin != LoadOrigin::Unknown;
        let was_cached = timed.then(|| {
            let mut view = self.node.view();
            view.residency
                .record_load(adapter, &self.target.id, age, load_ms)
        });
        let cached = match was_cached {
            Some(cached) if self.node.policies().weight_affinity => cached,
            _ => predicted,
        };
        self.node.controllers.record_load(cached, load_ms, now);
        let Some(loading) = self.take_pending(adapter) else {
            return;
        };
        let version = self.account.held_version(adapter).unwrap_or(0);
        let presence = Presence::Held(version);
        let mut view = self.node.view();
        view.residency
            .record(adapter, &self.target.id, presence, now);
        drop(view);
        self.node.fleet.record_placement(
            &self.target.id,
            adapter,
            Some(version),
            LoadTiming {
                load_ms: if timed { load_ms } else { 0 },
                age,
            },
        );
        let why = if cached { "" } else { loading.origin.name() };
        self.node.metrics.adapter_load(cached, why);
        log::info!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter), version, recent = cached, why, queued = loading.queued_ms, blocked = loading.wait_reason, ms = load_ms; "adapter loaded");
        finish(loading.waiters, Ok(self.placed(version)));
    }

    /// Drops adapters for which a newer version has been named, and reloads
    /// those in demand.
    ///
    /// The engine waits for the runs of an adapter before it drops it, and
    /// rejects new ones meanwhile. Dropped at once, a hot adapter needed the
    /// command again every 300 ms for seconds, and each time the engine
    /// accepted no other command. It is therefore dropped once nothing uses it,
    /// or when the bound comes near.
    pub(super) async fn drop_outdated(&mut self) {
        let now = self.node.now();
        let newer = self.outdated();
        if newer.is_empty() {
            return;
        }
        let grace = self.node.settings().bounds.version_ms / VERSION_GRACE_DIVISOR;
        let in_use = self.node.fleet.in_use_at(&self.target.id, now);
        let outdated = newer.into_iter().filter(|(adapter, named)| {
            let due = now.saturating_sub(named.learned_ms) >= grace;
            due || !in_use.contains(adapter)
        });
        let outdated: Vec<(AdapterRef, u64, f64)> = {
            let view = self.node.view();
            let score = |a: &AdapterRef| view.demand.score(&adapter_key(a), now);
            outdated
                .map(|(a, named)| (a.clone(), named.version, score(&a)))
                .collect()
        };
        for (adapter, version, score) in outdated {
            if !self.account.is_confirmed() || !self.unload(&adapter).await {
                return;
            }
            log::info!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(&adapter), version, score; "outdated adapter dropped");
            if score >= MIN_RELOAD_SCORE {
                self.queue.push(Job::prefetch(adapter, version, now));
            }
        }
    }

    /// Held adapters for which a newer version has been named.
    fn outdated(&self) -> Vec<(AdapterRef, NamedVersion)> {
        let view = self.node.view();
        let newer = self.account.held().filter_map(|(adapter, held_adapter)| {
            let named = view.named_versions.get(adapter)?;
            (named.version > held_adapter.version).then(|| (adapter.clone(), *named))
        });
        newer.collect()
    }

    /// Processes a job; returns it if it has to wait.
    pub(super) async fn process_job(&mut self, job: Job) -> Option<Job> {
        if !job.is_open() {
            return None;
        }
        if let Some(version) = self.account.held_version(&job.adapter)
            && version >= job.version
        {
            let placed = self.placed(version);
            finish(job.claim(), Ok(placed));
            return None;
        }
        if let Some(loading) = self.pending.get_mut(&job.adapter) {
            loading.waiters.extend(job.claim());
            return None;
        }
        if job.is_recovery() && !self.may_recover(&job) {
            return None;
        }
        if let Some(wait_reason) = self.wait_reason(&job) {
            return Some(job.wait_for(wait_reason, &self.target.id));
        }
        // The result holds for all jobs of this pass. Checking again for each
        // of a hundred waiting jobs saturated the lease holder's core under
        // heavy load.
        if self.slots_full || !self.free_slot().await {
            self.slots_full = true;
            return Some(job.wait_for("place", &self.target.id));
        }
        // Another engine may have claimed it while a slot was freed.
        if !job.is_open() {
            return None;
        }
        self.load(job).await
    }

    /// Returns why `job` may not be loaded here yet.
    fn wait_reason(&self, job: &Job) -> Option<&'static str> {
        if !self.account.is_confirmed() {
            return Some("report");
        }
        let now = self.node.now();
        if now.saturating_sub(job.waiting.arrived_ms) < job.extra_ms {
            return Some("turn");
        }
        // Another engine is loading the adapter for another request, and will
        // serve this one from its queue as well, without a second load.
        let engines = job.ticket.as_ref().map_or(&[][..], |t| t.candidates());
        let controllers = &self.node.controllers;
        if controllers.is_loading_elsewhere(&job.adapter, &self.target.id, engines) {
            return Some("elsewhere");
        }
        if self.account.loading_count() >= MAX_PENDING_LOADS {
            return Some("engine");
        }
        let cached = {
            let affinity = self.node.policies().weight_affinity;
            let view = self.node.view();
            weights::is_cached(affinity, &view, &job.adapter, &self.target.id, now)
        };
        // Cached weights do not come from the weight store.
        if cached {
            return None;
        }
        if self.may_wait_for_cached(job, now) {
            return Some("cached elsewhere");
        }
        let window = self.node.policies().load_window;
        if !window || !self.node.controllers.store_full() {
            return None;
        }
        if let Some(ticket) = &job.ticket {
            ticket.wait_for_store(&self.node.controllers.store_queue);
        }
        Some("weight store")
    }

    /// Result of a placement on this engine.
    pub(super) fn placed(&self, version: u64) -> Placed {
        Placed {
            target: self.target.id.clone(),
            version,
        }
    }

    pub(super) async fn load(&mut self, job: Job) -> Option<Job> {
        let now = self.node.now();
        let affinity = self.node.policies().weight_affinity;
        let (version, cached, age, origin) = {
            let view = self.node.view();
            let named = view
                .named_versions
                .get(&job.adapter)
                .map_or(0, |n| n.version);
            let id = &self.target.id;
            let cached = weights::is_cached(affinity, &view, &job.adapter, id, now);
            let age = view.residency.load_age(&job.adapter, id);
            let origin = match job.is_recovery() {
                true => LoadOrigin::Lost,
                false => LoadOrigin::of(&view.residency, &job.adapter),
            };
            (named.max(job.version), cached, age, origin)
        };
        let Ok(order) = self.account.load(&job.adapter, version, self.slots()) else {
            return Some(job.wait_for("place", &self.target.id));
        };
        let waiter = job.claim();
        let target = self.target.id.clone();
        self.node.controllers.begin_load(&job.adapter, &target);
        let reply = self.carry_out(order).await;
        if reply != CommandReply::Accepted {
            self.node.controllers.end_load(&job.adapter, &target);
        }
        match reply {
            CommandReply::Accepted => {
                let now = self.node.now();
                slots::record_grant(&self.node, &self.target.failure_domain, &job.adapter);
                let expected = self.node.controllers.expected_load_ms(cached);
                let loading = PendingLoad {
                    started_at_ms: now,
                    poll_at_ms: now + ((expected * FIRST_POLL_FRACTION) as u64).max(LOAD_POLL_MS),
                    cached,
                    age,
                    origin,
                    queued_ms: now.saturating_sub(job.waiting.arrived_ms),
                    wait_reason: job.wait_reason,
                    waiters: waiter.into_iter().collect(),
                };
                self.add_pending(job.adapter, loading);
                None
            }
            CommandReply::Holds => {
                let placed = self.placed(version);
                finish(waiter, Ok(placed));
                None
            }
            CommandReply::Conflict => {
                job.yield_to_others(waiter);
                Some(job)
            }
            // Another engine may answer before the state of this one is known.
            CommandReply::Silent(_)
            | CommandReply::Fenced
            | CommandReply::Invalid
            | CommandReply::Withheld => {
                job.yield_to_others(waiter);
                None
            }
            CommandReply::OtherBoot | CommandReply::NotSent(_) => {
                if let Some(ticket) = &job.ticket {
                    ticket.record_refusal(&target);
                }
                job.yield_to_others(waiter);
                None
            }
        }
    }

    /// Ensures that a slot is free; returns false if all are in use.
    pub(super) async fn free_slot(&mut self) -> bool {
        let slots = self.slots();
        while self.account.occupied() >= slots {
            let Some(out) = self.choose_victim() else {
                return false;
            };
            if !self.unload(&out).await {
                return false;
            }
        }
        true
    }

    pub(super) fn slots(&self) -> usize {
        self.node.view().adapter_slots(&self.target) as usize
    }

    pub(super) fn choose_victim(&self) -> Option<AdapterRef> {
        let now = self.node.now();
        let pinned = self.node.fleet.in_use_at(&self.target.id, now);
        let view = self.node.view();
        let unused = self.account.held().filter(|(a, _)| !pinned.contains(*a));
        let evictable: Vec<EvictionCandidate<AdapterRef>> = unused
            .map(|(adapter, held_adapter)| EvictionCandidate {
                score: view.demand.score(&adapter_key(adapter), now),
                other_copies: view.residency.copy_count(adapter).saturating_sub(1),
                pins: 0,
                age_ms: now.saturating_sub(held_adapter.since_ms),
                key: adapter.clone(),
            })
            .collect();
        select_victim(&evictable).map(|o| o.key.clone())
    }
}
