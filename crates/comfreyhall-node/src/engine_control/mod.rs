//! Engine control: one task for each engine covered by a held lease.
//!
//! Only the engine's own report is authoritative about its state: a command
//! that got no answer may still be executed seconds later, after newer ones.
//! Every command therefore names the boot it is meant for and the number of
//! commands accepted before it, so that at most one command of a sequence takes
//! effect. After an unexpected result the engine is asked for a report before
//! the next command. A slot is never assigned twice: an engine that is told to
//! load more adapters than it has slots crashes, along with everything that
//! runs on it.

mod affinity;
mod command;
mod copies;
mod job;
mod load;
mod report;
mod request;
mod task;
mod ticket;

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name, Target};
use comfreyhall_placement::{LoadRateLimit, LoadWindow};
use tokio::sync::mpsc;

use self::{
    job::Job,
    ticket::{Ticket, Waiter},
};
pub(crate) use self::{
    request::{EngineCandidate, PlacementRequest, place_adapter},
    ticket::{Placed, PlacementError},
};
use crate::{
    node::Node,
    weights::{CallerCounts, LoadOrigin, StoreQueue, StoreState},
};

/// Jobs that may be queued for one engine.
const JOB_QUEUE_LEN: usize = 256;

/// Delay before a report is requested after an unexpected result: reports are a
/// few hundred ms old.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Load duration in ms assumed before any measurement: from the weight store,
/// and of an adapter that the engine has cached.
const INITIAL_LOAD_MS: [f64; 2] = [250.0, 25.0];

/// Weight of one sample in the moving average of load durations.
const LOAD_EWMA_WEIGHT: f64 = 0.1;

/// Interval between checks of a load that should have finished, in ms.
const LOAD_POLL_MS: u64 = 15;

/// Demand score below which an adapter is forgotten: some 40 s after its last
/// request. Without a limit memory would grow with every adapter ever
/// requested.
const MIN_DEMAND_SCORE: f64 = 0.01;

/// Duration after which a load counts as stalled and is abandoned, in ms.
const STALLED_LOAD_MS: u64 = 3_000;

/// Longest pause of an idle engine controller, in ms.
const IDLE_POLL_MS: u64 = 500;

/// Controllers of all engines that this daemon manages.
pub(crate) struct EngineControllers {
    jobs: Mutex<Map<Name, mpsc::Sender<Job>>>,
    /// Engines that are loading each adapter.
    loading: Mutex<Map<AdapterRef, Vec<Name>>>,
    /// Loads from the weight store in progress.
    store_loads: AtomicU32,
    /// Requests that wait until the weight store may load for them.
    store_queue: StoreQueue,
    /// Requests that wait for a load of each adapter.
    callers: CallerCounts,
    window: Mutex<LoadWindow>,
    /// Model loads started recently.
    model_loads: Mutex<LoadRateLimit>,
    load_times: Mutex<[f64; 2]>,
}

impl Default for EngineControllers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            loading: Mutex::default(),
            store_loads: AtomicU32::new(0),
            store_queue: StoreQueue::default(),
            callers: CallerCounts::default(),
            window: Mutex::default(),
            model_loads: Mutex::default(),
            load_times: Mutex::new(INITIAL_LOAD_MS),
        }
    }
}

impl EngineControllers {
    fn window(&self) -> MutexGuard<'_, LoadWindow> {
        self.window.lock().expect("no holder of this lock panics")
    }

    /// Whether the weight store has reached its number of efficient concurrent
    /// loads.
    fn store_full(&self) -> bool {
        self.store_loads.load(Ordering::Relaxed) >= self.window().size()
    }

    /// What a load from the weight store costs now.
    pub(crate) fn store_state(&self) -> StoreState {
        StoreState {
            load_ms: self.expected_load_ms(false),
            waiting: self.store_queue.len(),
            size: self.window().size(),
        }
    }

    /// Number of requests that wait for `adapter`.
    pub(crate) fn callers(&self, adapter: &AdapterRef) -> u32 {
        self.callers.count(adapter)
    }

    /// Loads from the weight store that may start now for nobody in particular.
    fn store_room(&self) -> usize {
        let used = self.store_loads.load(Ordering::Relaxed) + self.store_queue.len();
        self.window().size().saturating_sub(used) as usize
    }

    /// Whether a model load may start now.
    fn model_may_load(&self, rate: f64, share: f64, now: u64) -> bool {
        let mut models = self
            .model_loads
            .lock()
            .expect("no holder of this lock panics");
        models.try_start(rate, share, now)
    }

    /// Expected duration of a load in ms.
    pub(crate) fn expected_load_ms(&self, cached: bool) -> f64 {
        let times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        times[usize::from(cached)]
    }

    fn record_load(&self, cached: bool, load_ms: u64, now: u64) {
        if !cached {
            let full = self.store_full();
            self.window().record_load(load_ms, full, now);
        }
        let mut times = self
            .load_times
            .lock()
            .expect("no holder of this lock panics");
        let time = &mut times[usize::from(cached)];
        *time += LOAD_EWMA_WEIGHT * (load_ms as f64 - *time);
    }

    fn loading(&self) -> MutexGuard<'_, Map<AdapterRef, Vec<Name>>> {
        self.loading.lock().expect("no holder of this lock panics")
    }

    /// Records that `target` is loading `adapter`.
    fn begin_load(&self, adapter: &AdapterRef, target: &Name) {
        let mut loading = self.loading();
        let targets = loading.entry(adapter.clone()).or_default();
        if !targets.contains(target) {
            targets.push(target.clone());
        }
    }

    /// Whether any engine managed here is loading `adapter`.
    fn is_loading(&self, adapter: &AdapterRef) -> bool {
        self.loading().contains_key(adapter)
    }

    /// Whether one of `candidates` other than `target` is loading `adapter`.
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

    /// Loads in progress, by adapter and engine.
    pub(crate) fn loads(&self) -> Vec<(AdapterRef, Name)> {
        let loading = self.loading();
        let pairs = loading
            .iter()
            .flat_map(|(adapter, targets)| targets.iter().map(|t| (adapter.clone(), t.clone())));
        pairs.collect()
    }

    /// Records that `target` is no longer loading `adapter`.
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

/// Starts the task that runs a controller for each engine of a held lease.
pub(crate) fn spawn(node: &Arc<Node>) {
    copies::spawn(node);
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            let now = node.now();
            {
                let mut view = node.view();
                view.demand.prune(MIN_DEMAND_SCORE, now);
                view.fast_demand.prune(MIN_DEMAND_SCORE, now);
                view.bind_demand.prune(MIN_DEMAND_SCORE, now);
            }
            let managed = engines(&node).into_iter();
            let managed = managed.filter(|t| node.token(&t.failure_domain).is_some());
            let managed: Vec<Arc<Target>> = managed.collect();
            node.controllers.window().init_for(managed.len());
            for target in &managed {
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
    let mut jobs = node.controllers.jobs();
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
    /// Number of other adapters that the engine had loaded since this one.
    age: Option<usize>,
    /// Why it comes from the weight store, as known when it began.
    origin: LoadOrigin,
    /// Time in ms from the placement request to the command, and what it was
    /// spent waiting for.
    queued_ms: u64,
    wait_reason: &'static str,
    waiters: Vec<Waiter>,
}

struct EngineController {
    node: Arc<Node>,
    target: Arc<Target>,
    held: Map<AdapterRef, HeldAdapter>,
    pending: Map<AdapterRef, PendingLoad>,
    /// Number of commands that the engine has accepted.
    sequence: u64,
    /// Whether `held`, `pending` and `sequence` match the engine's last report.
    synced: bool,
    /// Earliest time of the next report.
    report_after_ms: u64,
    queue: Vec<Job>,
    /// Earliest time of the next command to load a model.
    model_due_ms: u64,
    /// Whether all slots were found in use in this pass.
    slots_full: bool,
}

/// Sends `result` to all waiting requests.
fn finish(waiting: impl IntoIterator<Item = Waiter>, result: Result<Placed, PlacementError>) {
    for waiter in waiting {
        // The receiver may be gone already.
        let _ = waiter.send(result.clone());
    }
}
