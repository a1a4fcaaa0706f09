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

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name, Target};
use comfreyhall_placement::{Ceiling, Waiting, Window};
use comfreyhall_protocol::{EnsureReply, EnsureRequest};
use tokio::sync::{mpsc, oneshot};

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

/// Why an adapter was not placed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Unplaced {
    /// The engine is gone, or another boot is there.
    #[error("the engine takes no order")]
    Gone,
    /// It may be placed later, or elsewhere.
    #[error("{0}")]
    Later(String),
}

impl From<&str> for Unplaced {
    fn from(why: &str) -> Self {
        Unplaced::Later(why.to_string())
    }
}

type Done = oneshot::Sender<Result<u64, Unplaced>>;

/// Someone wants an adapter on this engine.
struct Job {
    adapter: AdapterRef,
    /// Least version that will do; 0 for any.
    version: u64,
    waiting: Waiting,
    done: Option<Done>,
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
            waiting: Waiting {
                priority: 0,
                since: now,
                aim: now + STUCK_MS,
            },
            done: None,
            until: now + STUCK_MS,
            blocked: "",
        }
    }
}

/// All keepers of this daemon.
pub(crate) struct Keepers {
    jobs: Mutex<Map<Name, mpsc::Sender<Job>>>,
    /// Loads on their way from the weight store.
    coming: AtomicU32,
    window: Mutex<Window>,
    /// Model loads begun lately.
    models: Mutex<Ceiling>,
    times: Mutex<[f64; 2]>,
}

impl Default for Keepers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            coming: AtomicU32::new(0),
            window: Mutex::default(),
            models: Mutex::default(),
            times: Mutex::new(FIRST_LOAD_MS),
        }
    }
}

impl Keepers {
    /// Whether as many loads are on their way as the weight store does well.
    fn store_full(&self) -> bool {
        let window = self.window.lock().expect("no holder of this lock panics");
        self.coming.load(Ordering::Relaxed) >= window.size()
    }

    /// Whether a model load may begin now.
    fn model_may_load(&self, rate: f64, part: f64, now: u64) -> bool {
        let mut models = self.models.lock().expect("no holder of this lock panics");
        models.begin(rate, part, now)
    }

    /// Expected ms of a load.
    pub(crate) fn load_ms(&self, recent: bool) -> f64 {
        let times = self.times.lock().expect("no holder of this lock panics");
        times[usize::from(recent)]
    }

    fn learn(&self, recent: bool, took: u64, now: u64) {
        if !recent {
            let full = self.store_full();
            let mut window = self.window.lock().expect("no holder of this lock panics");
            window.ended(took, full, now);
        }
        let mut times = self.times.lock().expect("no holder of this lock panics");
        let time = &mut times[usize::from(recent)];
        *time += LOAD_GAIN * (took as f64 - *time);
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
                view.rush.prune(FORGOTTEN_SCORE, now);
            }
            for target in engines(&node) {
                if node.token(&target.domain).is_some() {
                    start(&node, &target);
                }
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
    let mut jobs = node.keepers.jobs();
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
    };
    tokio::spawn(keeper.run(receive));
}

/// What is wanted of a keeper.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish {
    /// Least version that will do; 0 for any.
    pub(crate) version: u64,
    /// Rank of the route; 0 first.
    pub(crate) priority: u32,
    /// Ms within which the load must begin to meet the objective.
    pub(crate) aim_ms: u64,
    /// How long to wait.
    pub(crate) limit: Duration,
}

/// Sees that `target` holds `adapter`, here or through the holder of the
/// lease; returns the version held.
pub(crate) async fn ensure(
    node: &Arc<Node>,
    target: &Target,
    adapter: &AdapterRef,
    wish: Wish,
) -> Result<u64, Unplaced> {
    if node.token(&target.domain).is_some() {
        return ensure_here(node, &target.id, adapter, wish).await;
    }
    let holder = node.fleet.holder(&target.domain, node.now());
    let holder = holder.ok_or("nobody holds the lease")?;
    let mut client = node.fleet.client(&holder).ok_or("the holder is gone")?;
    let ask = EnsureRequest {
        target: target.id.to_string(),
        model: adapter.model.to_string(),
        adapter: adapter.adapter.as_deref().unwrap_or("").to_string(),
        version: wish.version,
        limit_ms: wish.limit.as_millis() as u64,
        priority: wish.priority,
        aim_ms: wish.aim_ms,
    };
    let answer = tokio::time::timeout(wish.limit, client.ensure(ask)).await;
    let reply = answer
        .map_err(|_| Unplaced::from("the holder does not answer"))?
        .map_err(|s| Unplaced::Later(format!("the holder failed: {}", s.message())))?
        .into_inner();
    match reply.ready {
        true => Ok(reply.version),
        false if reply.gone => Err(Unplaced::Gone),
        false => Err(Unplaced::Later(reply.error)),
    }
}

async fn ensure_here(
    node: &Arc<Node>,
    target: &Name,
    adapter: &AdapterRef,
    wish: Wish,
) -> Result<u64, Unplaced> {
    let (done, wait) = oneshot::channel();
    let now = node.now();
    let job = Job {
        adapter: adapter.clone(),
        version: wish.version,
        waiting: Waiting {
            priority: wish.priority,
            since: now,
            aim: now + wish.aim_ms,
        },
        done: Some(done),
        until: now + wish.limit.as_millis() as u64,
        blocked: "",
    };
    let jobs = node.keepers.jobs().get(target).cloned();
    let jobs = jobs.ok_or("the engine has no keeper yet")?;
    jobs.try_send(job)
        .map_err(|_| "the engine's queue is full")?;
    match tokio::time::timeout(wish.limit, wait).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err("the engine's keeper ended".into()),
        Err(_) => Err("the load takes longer than the request may wait".into()),
    }
}

/// Answers another daemon that wants an adapter on an engine.
pub(crate) async fn answer(node: &Arc<Node>, ask: EnsureRequest) -> EnsureReply {
    let target: Name = ask.target.as_str().into();
    let adapter = AdapterRef {
        model: ask.model.as_str().into(),
        adapter: Some(ask.adapter.as_str().into()),
    };
    let wish = Wish {
        version: ask.version,
        priority: ask.priority,
        aim_ms: ask.aim_ms,
        limit: Duration::from_millis(ask.limit_ms),
    };
    let done = ensure_here(node, &target, &adapter, wish).await;
    match done {
        Ok(version) => EnsureReply {
            ready: true,
            version,
            ..EnsureReply::default()
        },
        Err(why) => EnsureReply {
            gone: why == Unplaced::Gone,
            error: why.to_string(),
            ..EnsureReply::default()
        },
    }
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
}

fn answer_job(done: Option<Done>, result: Result<u64, Unplaced>) {
    if let Some(done) = done {
        // Whoever waited may have left.
        let _ = done.send(result);
    }
}

fn finish(coming: &mut Coming, result: Result<u64, Unplaced>) {
    for done in coming.done.drain(..) {
        let _ = done.send(result.clone());
    }
}
