//! Adapters into places: which job next, which adapter goes, when it is there.

use comfreyhall_domain::AdapterRef;
use comfreyhall_placement::{EvictionCandidate, select_victim};
use comfreyhall_routing::Presence;

use super::{Coming, Hold, Job, Keeper, LOOK_MS, Placed, STUCK_MS, finish};
use crate::{
    fleet::adapter_key,
    node::NamedVersion,
    ports::{Action, CommandReply},
};

/// Adapters on their way to one engine at once, as engines allow.
const COMING_MOST: usize = 4;

/// Part of the expected time before the first look. A look at the expected
/// time itself never finds a load faster than expected, and the expectation
/// only ever grew.
const FIRST_LOOK: f64 = 0.8;

/// Part of the bound for named versions after which an adapter that is still
/// in use is dropped all the same.
const RENEW_PART: u64 = 2;

/// Least score at which an outdated adapter is loaded anew right away: about
/// one request within the last two half-lives.
const RENEW_SCORE: f64 = 0.25;

impl Keeper {
    /// Looks at loads that should have ended.
    pub(super) async fn look_at_coming(&mut self) {
        let now = self.node.now();
        let due = self.coming.iter().filter(|(_, c)| c.look <= now);
        let due: Vec<(AdapterRef, u64)> = due.map(|(a, c)| (a.clone(), c.version)).collect();
        for (adapter, version) in due {
            if !self.synced {
                return;
            }
            // An order that holds already says so, and costs less than a report.
            match self.order(Action::Load, &adapter, version).await {
                CommandReply::Holds => self.loaded(&adapter),
                CommandReply::Accepted => self.still_coming(&adapter),
                CommandReply::Conflict | CommandReply::Silent(_) | CommandReply::Unsent => {}
                CommandReply::Fenced | CommandReply::Gone | CommandReply::Invalid => {
                    if let Some(coming) = self.take_coming(&adapter) {
                        finish(coming.done, Err("the engine no longer loads it".into()));
                    }
                }
            }
        }
    }

    pub(super) fn still_coming(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(coming) = self.coming.get_mut(adapter) else {
            return;
        };
        coming.look = now + LOOK_MS;
        if now.saturating_sub(coming.ordered) > STUCK_MS
            && let Some(coming) = self.take_coming(adapter)
        {
            log::warn!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter); "load is stuck");
            finish(coming.done, Err("the load is stuck".into()));
            self.synced = false;
        }
    }

    /// A load has ended.
    pub(super) fn loaded(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(coming) = self.coming.get(adapter) else {
            return;
        };
        let took = now.saturating_sub(coming.ordered);
        self.node.controllers.learn(coming.recent, took, now);
        let Some(coming) = self.take_coming(adapter) else {
            return;
        };
        let version = coming.version;
        let hold = Hold {
            version,
            since: now,
        };
        self.held.insert(adapter.clone(), hold);
        let standing = Presence::Held(version);
        let mut view = self.node.view();
        view.residency
            .record(adapter, &self.target.id, standing, now);
        drop(view);
        self.node
            .fleet
            .record_placement(&self.target.id, adapter, Some(version));
        self.node.metrics.adapter_load(coming.recent);
        log::info!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(adapter), version, recent = coming.recent, queued = coming.queued, blocked = coming.blocked, ms = took; "adapter loaded");
        finish(coming.done, Ok(self.placed(version)));
    }

    /// Replaces adapters of which a newer version was named.
    ///
    /// Dropping an adapter waits for its runs and refuses what comes
    /// meanwhile: ordered at once for a hot adapter it was ordered again
    /// every 300 ms for seconds, and each time the engine took no other
    /// order. So it waits until nobody uses it, or the bound comes near.
    pub(super) async fn renew_outdated(&mut self) {
        let now = self.node.now();
        let newer = self.newer();
        if newer.is_empty() {
            return;
        }
        let grace = self.node.settings().bounds.version_ms / RENEW_PART;
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
            if !self.synced || !self.unload(&adapter).await {
                return;
            }
            log::info!(target: "keeper", id:% = self.target.id, adapter:% = adapter_key(&adapter), version, score; "outdated adapter dropped");
            if score >= RENEW_SCORE {
                self.queue.push(Job::ahead(adapter, version, now));
            }
        }
    }

    /// Adapters here of which a newer version was named.
    fn newer(&self) -> Vec<(AdapterRef, NamedVersion)> {
        let view = self.node.view();
        let newer = self.held.iter().filter_map(|(adapter, hold)| {
            let named = view.named_versions.get(adapter)?;
            (named.version > hold.version).then(|| (adapter.clone(), *named))
        });
        newer.collect()
    }

    /// Works on a job; gives it back if it has to wait.
    pub(super) async fn work(&mut self, job: Job) -> Option<Job> {
        if !job.open() {
            return None;
        }
        if let Some(hold) = self.held.get(&job.adapter)
            && hold.version >= job.version
        {
            let placed = self.placed(hold.version);
            finish(job.claim(), Ok(placed));
            return None;
        }
        if let Some(coming) = self.coming.get_mut(&job.adapter) {
            coming.done.extend(job.claim());
            return None;
        }
        if let Some(blocked) = self.blocked(&job) {
            return Some(job.wait_for(blocked, &self.target.id));
        }
        // What holds for one job holds for the next: looking again for each of
        // a hundred that wait took the holder's core on a heavy day.
        if self.full || !self.make_room().await {
            self.full = true;
            return Some(job.wait_for("place", &self.target.id));
        }
        // Another engine may have taken it while room was made.
        if !job.open() {
            return None;
        }
        self.load(job).await
    }

    /// Why `job` may not be loaded here yet.
    fn blocked(&self, job: &Job) -> Option<&'static str> {
        if !self.synced {
            return Some("report");
        }
        let now = self.node.now();
        if now.saturating_sub(job.waiting.arrived_ms) < job.extra_ms {
            return Some("turn");
        }
        // Another engine loads it for somebody else, and serves this one too
        // once it looks at its queue; that takes no second load.
        let among = job.ticket.as_ref().map_or(&[][..], |t| t.among());
        let keepers = &self.node.controllers;
        if keepers.loads_elsewhere(&job.adapter, &self.target.id, among) {
            return Some("elsewhere");
        }
        if self.coming.len() >= COMING_MOST {
            return Some("engine");
        }
        let recent = {
            let view = self.node.view();
            view.residency
                .likely_cached(&job.adapter, &self.target.id, now)
        };
        // What the engine has at hand does not come from the weight store.
        let window = self.node.policies().load_window;
        (window && !recent && self.node.controllers.store_full()).then_some("weight store")
    }

    /// This engine holds `version`.
    pub(super) fn placed(&self, version: u64) -> Placed {
        Placed {
            target: self.target.id.clone(),
            version,
        }
    }

    pub(super) async fn load(&mut self, job: Job) -> Option<Job> {
        let now = self.node.now();
        let (version, recent) = {
            let view = self.node.view();
            let named = view
                .named_versions
                .get(&job.adapter)
                .map_or(0, |n| n.version);
            let recent = view
                .residency
                .likely_cached(&job.adapter, &self.target.id, now);
            (named.max(job.version), recent)
        };
        let done = job.claim();
        let target = self.target.id.clone();
        self.node.controllers.begin_load(&job.adapter, &target);
        let reply = self.order(Action::Load, &job.adapter, version).await;
        if reply != CommandReply::Accepted {
            self.node.controllers.end_load(&job.adapter, &target);
        }
        match reply {
            CommandReply::Accepted => {
                let now = self.node.now();
                let expected = self.node.controllers.expected_load_ms(recent);
                let coming = Coming {
                    version,
                    ordered: now,
                    look: now + ((expected * FIRST_LOOK) as u64).max(LOOK_MS),
                    recent,
                    queued: now.saturating_sub(job.waiting.arrived_ms),
                    blocked: job.blocked,
                    done: done.into_iter().collect(),
                };
                self.add_coming(job.adapter, coming);
                None
            }
            CommandReply::Holds => {
                let since = self.node.now();
                self.held.insert(job.adapter, Hold { version, since });
                let placed = self.placed(version);
                finish(done, Ok(placed));
                None
            }
            CommandReply::Conflict => {
                job.yield_to_others(done);
                Some(job)
            }
            // Another engine may answer sooner than this one is understood.
            CommandReply::Silent(_)
            | CommandReply::Fenced
            | CommandReply::Invalid
            | CommandReply::Unsent => {
                job.yield_to_others(done);
                None
            }
            CommandReply::Gone => {
                if let Some(ticket) = &job.ticket {
                    ticket.note_gone(&target);
                }
                job.yield_to_others(done);
                None
            }
        }
    }

    /// Sees that a place is free; false if all are in use.
    pub(super) async fn make_room(&mut self) -> bool {
        let places = self.places();
        while self.held.len() + self.coming.len() >= places {
            let Some(out) = self.choose_victim() else {
                return false;
            };
            if !self.unload(&out).await {
                return false;
            }
        }
        true
    }

    pub(super) fn places(&self) -> usize {
        self.node.view().adapter_slots(&self.target) as usize
    }

    pub(super) fn choose_victim(&self) -> Option<AdapterRef> {
        let now = self.node.now();
        let pinned = self.node.fleet.in_use_at(&self.target.id, now);
        let view = self.node.view();
        let unused = self.held.iter().filter(|(a, _)| !pinned.contains(*a));
        let occupants: Vec<EvictionCandidate<AdapterRef>> = unused
            .map(|(adapter, hold)| EvictionCandidate {
                score: view.demand.score(&adapter_key(adapter), now),
                other_copies: view.residency.copy_count(adapter).saturating_sub(1),
                pins: 0,
                age_ms: now.saturating_sub(hold.since),
                key: adapter.clone(),
            })
            .collect();
        select_victim(&occupants).map(|o| o.key.clone())
    }
}
