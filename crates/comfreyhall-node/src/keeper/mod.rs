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
use comfreyhall_placement::{LoadRateLimit, LoadWindow, QueuedRequest};
use tokio::sync::mpsc;

use self::ticket::{Done, Ticket};
pub(crate) use self::{
    ticket::{Placed, PlacementError},
    wish::{EngineCandidate, PlacementRequest, place_adapter},
};
use crate::node::Node;

/// Jobs that may wait for one engine.
const QUEUE: usize = 256;

/// Reports are some hundred ms old, so after a surprise this long passes
/// before one is asked for.
const SETTLE: Duration = Duration::from_millis(250);

/// Time of a load before any is measured, in ms: from the weight store, and
/// of an adapter the engine held lately.
const FIRST_LOAD_MS: [f64; 2] = [250.0, 25.0];

/// Weight of one sample in the learned time of a load.
const LOAD_GAIN: f64 = 0.1;

/// Pause between looks at a load that should have ended, in ms.
const LOOK_MS: u64 = 15;

/// Score below which an adapter's demand is forgotten: some 40 s after its
/// last request. Without it memory would grow with every adapter ever asked
/// for.
const FORGOTTEN_SCORE: f64 = 0.01;

/// A load that takes this much longer than its like is given up, in ms.
const STUCK_MS: u64 = 3_000;

/// Longest pause of a keeper with nothing to do, in ms.
const IDLE_MS: u64 = 500;

/// Someone wants an adapter on this engine, or on one of several.
struct Job {
    adapter: AdapterRef,
    /// Least version that will do; 0 for any.
    version: u64,
    waiting: QueuedRequest,
    /// Who waits for it; `None` for a load that nobody waits for yet.
    ticket: Option<Arc<Ticket>>,
    /// Ms more than at the best engine that serving it here would take.
    extra_ms: u64,
    until: u64,
    /// What it last waited for.
    blocked: &'static str,
}

impl Job {
    /// A load that nobody waits for yet. It comes before those that one
    /// request waits for, since many will ask for its adapter.
    fn ahead(adapter: AdapterRef, version: u64, now: u64) -> Self {
        Self {
            adapter,
            version,
            waiting: QueuedRequest {
                priority: 0,
                arrived_ms: now,
                start_by_ms: now + STUCK_MS,
            },
            ticket: None,
            extra_ms: 0,
            until: now + STUCK_MS,
            blocked: "",
        }
    }

    /// The same, waiting at `target` for what `why` names.
    fn wait_for(mut self, why: &'static str, target: &Name) -> Self {
        self.blocked = why;
        if let Some(ticket) = &self.ticket {
            ticket.note_blocked(target, why);
        }
        self
    }

    /// Whether somebody may still want it here.
    fn open(&self) -> bool {
        self.ticket.as_ref().is_none_or(|t| t.open())
    }

    /// Takes it off the other engines: who waits for it, if anybody does.
    fn claim(&self) -> Option<Done> {
        self.ticket.as_ref()?.take()
    }

    /// This engine cannot serve it after all; the others may.
    fn yield_to_others(&self, done: Option<Done>) {
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
    coming: AtomicU32,
    window: Mutex<LoadWindow>,
    /// Model loads begun lately.
    models: Mutex<LoadRateLimit>,
    times: Mutex<[f64; 2]>,
}

impl Default for EngineControllers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            loading: Mutex::default(),
            coming: AtomicU32::new(0),
            window: Mutex::default(),
            models: Mutex::default(),
            times: Mutex::new(FIRST_LOAD_MS),
        }
    }
}

impl EngineControllers {
    fn window(&self) -> MutexGuard<'_, LoadWindow> {
        self.window.lock().expect("no holder of this lock panics")
    }

    /// Whether as many loads are on their way as the weight store does well.
    fn store_full(&self) -> bool {
        self.coming.load(Ordering::Relaxed) >= self.window().size()
    }

    /// Whether a model load may begin now.
    fn model_may_load(&self, rate: f64, part: f64, now: u64) -> bool {
        let mut models = self.models.lock().expect("no holder of this lock panics");
        models.try_start(rate, part, now)
    }

    /// Expected ms of a load.
    pub(crate) fn expected_load_ms(&self, recent: bool) -> f64 {
        let times = self.times.lock().expect("no holder of this lock panics");
        times[usize::from(recent)]
    }

    fn learn(&self, recent: bool, took: u64, now: u64) {
        if !recent {
            let full = self.store_full();
            self.window().record_load(took, full, now);
        }
        let mut times = self.times.lock().expect("no holder of this lock panics");
        let time = &mut times[usize::from(recent)];
        *time += LOAD_GAIN * (took as f64 - *time);
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
    fn loads_elsewhere(&self, adapter: &AdapterRef, target: &Name, among: &[Name]) -> bool {
        let loading = self.loading();
        let other = |t: &Name| t != target && among.contains(t);
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
                view.demand.prune(FORGOTTEN_SCORE, now);
                view.fast_demand.prune(FORGOTTEN_SCORE, now);
                view.bind_demand.prune(FORGOTTEN_SCORE, now);
            }
            let ours = engines(&node).into_iter();
            let ours = ours.filter(|t| node.token(&t.failure_domain).is_some());
            let ours: Vec<Arc<Target>> = ours.collect();
            node.controllers.window().init_for(ours.len());
            for target in &ours {
                start(&node, target);
            }
            tokio::select! {
                () = node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(IDLE_MS)) => {}
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
    let (send, receive) = mpsc::channel(QUEUE);
    jobs.insert(target.id.clone(), send);
    drop(jobs);
    let keeper = Keeper {
        node: node.clone(),
        target: target.clone(),
        held: Map::default(),
        coming: Map::default(),
        sequence: 0,
        synced: false,
        ready_at: 0,
        queue: Vec::new(),
        model_due: 0,
        full: false,
    };
    tokio::spawn(keeper.run(receive));
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    version: u64,
    since: u64,
}

struct Coming {
    version: u64,
    ordered: u64,
    look: u64,
    recent: bool,
    /// Ms from the wish to the order, and what they were spent on.
    queued: u64,
    blocked: &'static str,
    done: Vec<Done>,
}

struct Keeper {
    node: Arc<Node>,
    target: Arc<Target>,
    held: Map<AdapterRef, Hold>,
    coming: Map<AdapterRef, Coming>,
    /// Orders the engine has accepted.
    sequence: u64,
    /// Whether `held`, `coming` and `sequence` are the engine's own word.
    synced: bool,
    /// No report before this.
    ready_at: u64,
    queue: Vec<Job>,
    /// No order for a model before this.
    model_due: u64,
    /// Whether all places were found to be in use in this pass.
    full: bool,
}

/// Tells all who wait how it ended.
fn finish(waiting: impl IntoIterator<Item = Done>, result: Result<Placed, PlacementError>) {
    for done in waiting {
        // Whoever waited may have left.
        let _ = done.send(result.clone());
    }
}
