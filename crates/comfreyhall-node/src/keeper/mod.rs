//! Giving orders to engines: one task for each engine of a held lease.
//!
//! An engine's own word is the only truth about what it holds: an order that
//! got no answer may still be carried out seconds later, after newer ones.
//! So every order names the boot it is for and the number of orders accepted
//! before it, which makes at most one order of a sequence take effect; after
//! any surprise the engine is asked for a report before the next order. No
//! place is ever promised twice: an engine that is ordered to load more than
//! it has places for crashes with everything that runs on it.

mod copies;
mod load;
mod order;
mod report;
mod task;
mod ticket;
mod wish;

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name, Target};
use comfreyhall_placement::{Ceiling, Waiting, Window};
use tokio::sync::mpsc;

use self::ticket::{Ticket, Waiter};
pub(crate) use self::{
    ticket::{Placed, PlacementError},
    wish::{Candidate, PlacementRequest, place_adapter},
};
use crate::node::Node;

/// Jobs that may wait for one engine.
const JOB_QUEUE_LEN: usize = 256;

/// Reports are some hundred ms old, so after a surprise this long passes
/// before one is asked for.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Time of a load before any is measured, in ms: from the weight store, and
/// of an adapter the engine held lately.
const INITIAL_LOAD_MS: [f64; 2] = [250.0, 25.0];

/// Weight of one sample in the learned time of a load.
const LOAD_EWMA_WEIGHT: f64 = 0.1;

/// Pause between looks at a load that should have ended, in ms.
const LOAD_POLL_MS: u64 = 15;

/// Score below which an adapter's demand is forgotten: some 40 s after its
/// last request. Without it memory would grow with every adapter ever asked
/// for.
const MIN_DEMAND_SCORE: f64 = 0.01;

/// A load that takes this much longer than its like is given up, in ms.
const STALLED_LOAD_MS: u64 = 3_000;

/// Longest pause of a keeper with nothing to do, in ms.
const IDLE_POLL_MS: u64 = 500;

/// Someone wants an adapter on this engine, or on one of several.
struct Job {
    adapter: AdapterRef,
    /// Least version that will do; 0 for any.
    version: u64,
    waiting: Waiting,
    /// Who waits for it; `None` for a load that nobody waits for yet.
    ticket: Option<Arc<Ticket>>,
    /// Ms more than at the best engine that serving it here would take.
    extra_ms: u64,
    expires_at_ms: u64,
    /// What it last waited for.
    wait_reason: &'static str,
}

impl Job {
    /// A load that nobody waits for yet. It comes before those that one
    /// request waits for, since many will ask for its adapter.
    fn prefetch(adapter: AdapterRef, version: u64, now: u64) -> Self {
        Self {
            adapter,
            version,
            waiting: Waiting {
                priority: 0,
                since: now,
                aim: now + STALLED_LOAD_MS,
            },
            ticket: None,
            extra_ms: 0,
            expires_at_ms: now + STALLED_LOAD_MS,
            wait_reason: "",
        }
    }

    /// The same, waiting at `target` for what `why` names.
    fn wait_for(mut self, why: &'static str, target: &Name) -> Self {
        self.wait_reason = why;
        if let Some(ticket) = &self.ticket {
            ticket.set_wait_reason(target, why);
        }
        self
    }

    /// Whether somebody may still want it here.
    fn is_open(&self) -> bool {
        self.ticket.as_ref().is_none_or(|t| t.is_open())
    }

    /// Takes it off the other engines: who waits for it, if anybody does.
    fn claim(&self) -> Option<Waiter> {
        self.ticket.as_ref()?.take()
    }

    /// This engine cannot serve it after all; the others may.
    fn yield_to_others(&self, done: Option<Waiter>) {
        if let (Some(ticket), Some(done)) = (&self.ticket, done) {
            ticket.put_back(done);
        }
    }
}

/// All keepers of this daemon.
pub(crate) struct EngineControllers {
    jobs: Mutex<Map<Name, mpsc::Sender<Job>>>,
    /// Engines to which each adapter is on its way.
    loading: Mutex<Map<AdapterRef, Vec<Name>>>,
    /// Loads on their way from the weight store.
    store_loads: AtomicU32,
    window: Mutex<Window>,
    /// Model loads begun lately.
    model_loads: Mutex<Ceiling>,
    load_times: Mutex<[f64; 2]>,
}

impl Default for EngineControllers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            loading: Mutex::default(),
            store_loads: AtomicU32::new(0),
            window: Mutex::default(),
            model_loads: Mutex::default(),
            load_times: Mutex::new(INITIAL_LOAD_MS),
        }
    }
}

impl EngineControllers {
    fn window(&self) -> MutexGuard<'_, Window> {
        self.window.lock().expect("no holder of this lock panics")
    }

    /// Whether as many loads are on their way as the weight store does well.
    fn store_full(&self) -> bool {
        self.store_loads.load(Ordering::Relaxed) >= self.window().size()
    }

    /// Whether a model load may begin now.
    fn model_may_load(&self, rate: f64, part: f64, now: u64) -> bool {
        let mut models = self
            .model_loads
            .lock()
            .expect("no holder of this lock panics");
        models.begin(rate, part, now)
    }

    /// Expected ms of a load.
    pub(crate) fn expected_load_ms(&self, recent: bool) -> f64 {
        let times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        times[usize::from(recent)]
    }

    fn record_load(&self, recent: bool, load_ms: u64, now: u64) {
        if !recent {
            let full = self.store_full();
            self.window().ended(load_ms, full, now);
        }
        let mut times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        let time = &mut times[usize::from(recent)];
        *time += LOAD_EWMA_WEIGHT * (load_ms as f64 - *time);
    }

    fn loading(&self) -> MutexGuard<'_, Map<AdapterRef, Vec<Name>>> {
        self.loading.lock().expect("no holder of this lock panics")
    }

    /// Notes that `adapter` is on its way to `target`.
    fn begin_load(&self, adapter: &AdapterRef, target: &Name) {
        let mut loading = self.loading();
        let targets = loading.entry(adapter.clone()).or_default();
        if !targets.contains(target) {
            targets.push(target.clone());
        }
    }

    /// Whether `adapter` is on its way to another of the engines `among` than
    /// `target`.
    fn is_loading_elsewhere(
        &self,
        adapter: &AdapterRef,
        target: &Name,
        candidates: &[Name],
    ) -> bool {
        let loading = self.loading();
        let other = |t: &Name| t != target && candidates.contains(t);
        loading
            .get(adapter)
            .is_some_and(|targets| targets.iter().any(other))
    }

    /// Notes that `adapter` is no longer on its way to `target`.
    fn end_load(&self, adapter: &AdapterRef, target: &Name) {
        let mut loading = self.loading();
        if let Some(targets) = loading.get_mut(adapter) {
            targets.retain(|t| t != target);
            if targets.is_empty() {
                loading.remove(adapter);
            }
        }
    }

    fn jobs(&self) -> MutexGuard<'_, Map<Name, mpsc::Sender<Job>>> {
        self.jobs.lock().expect("no holder of this lock panics")
    }
}

/// Starts the task that has a keeper for each engine of a held lease.
pub(crate) fn spawn(node: &Arc<Node>) {
    copies::spawn(node);
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            let now = node.now();
            {
                let mut view = node.view();
                view.demand.prune(MIN_DEMAND_SCORE, now);
                view.rush.prune(MIN_DEMAND_SCORE, now);
                view.asked.prune(MIN_DEMAND_SCORE, now);
            }
            let ours = engines(&node).into_iter();
            let ours = ours.filter(|t| node.token(&t.domain).is_some());
            let ours: Vec<Arc<Target>> = ours.collect();
            node.keepers.window().open(ours.len());
            for target in &ours {
                start(&node, target);
            }
            tokio::select! {
                () = node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)) => {}
            }
        }
    });
}

fn engines(node: &Node) -> Vec<Arc<Target>> {
    let view = node.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let is_engine = |t: &&Arc<Target>| {
        let service = config.services.get(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    };
    view.targets.values().filter(is_engine).cloned().collect()
}

fn start(node: &Arc<Node>, target: &Arc<Target>) {
    let mut jobs = node.keepers.jobs();
    if jobs.get(&target.id).is_some_and(|j| !j.is_closed()) {
        return;
    }
    let (send, receive) = mpsc::channel(JOB_QUEUE_LEN);
    jobs.insert(target.id.clone(), send);
    drop(jobs);
    let keeper = EngineController {
        node: node.clone(),
        target: target.clone(),
        held: Map::default(),
        pending: Map::default(),
        sequence: 0,
        synced: false,
        report_after_ms: 0,
        queue: Vec::new(),
        model_due_ms: 0,
        slots_full: false,
    };
    tokio::spawn(keeper.run(receive));
}

#[derive(Debug, Clone, Copy)]
struct HeldAdapter {
    version: u64,
    since_ms: u64,
}

struct PendingLoad {
    version: u64,
    started_at_ms: u64,
    poll_at_ms: u64,
    cached: bool,
    /// Ms from the wish to the order, and what they were spent on.
    queued_ms: u64,
    wait_reason: &'static str,
    waiters: Vec<Waiter>,
}

struct EngineController {
    node: Arc<Node>,
    target: Arc<Target>,
    held: Map<AdapterRef, HeldAdapter>,
    pending: Map<AdapterRef, PendingLoad>,
    /// Orders the engine has accepted.
    sequence: u64,
    /// Whether `held`, `coming` and `sequence` are the engine's own word.
    synced: bool,
    /// No report before this.
    report_after_ms: u64,
    queue: Vec<Job>,
    /// No order for a model before this.
    model_due_ms: u64,
    /// Whether all places were found to be in use in this pass.
    slots_full: bool,
}

/// Tells all who wait how it ended.
fn finish(waiting: impl IntoIterator<Item = Waiter>, result: Result<Placed, PlacementError>) {
    for done in waiting {
        // Whoever waited may have left.
        let _ = done.send(result.clone());
    }
}
