//! Engine control: one task for each engine covered by a held lease.
//!
//! Only the engine's own report is authoritative about its state: a command
//! that got no answer may still be executed seconds later, after newer ones.
//! Every command therefore names the boot it is meant for and the number of
//! commands accepted before it, so that at most one command of a sequence takes
//! effect. After an unexpected result the engine is asked for a report before
//! the next command. A slot is never assigned twice: commands are made only from
//! the engine's [`SlotAccount`].
//!
//! A command that cannot be sent proves nothing about the engine, which continues
//! with the commands it received before. The controller leaves the engine alone for a while,
//! frees the requests that wait for it, and continues after a report.

mod affinity;
pub(crate) mod candidate;
mod command;
pub(crate) mod controllers;
mod copies;
mod estimate;
mod job;
mod load;
mod report;
mod request;
mod task;
mod ticket;

use std::{sync::Arc, time::Duration};

use comfreyhall_capacity::SlotAccount;
use comfreyhall_domain::{AdapterRef, Map, Target};
use tokio::sync::mpsc;

pub(crate) use self::{
    estimate::estimate_load,
    request::{PlacementRequest, place_adapter},
    ticket::{Placed, PlacementError},
};
use self::{job::Job, ticket::Waiter};
use crate::{node::Node, weights::LoadOrigin};

/// Jobs that may be queued for one engine.
const JOB_QUEUE_LEN: usize = 256;

/// Delay before a report is requested after an unexpected result: reports are a
/// few hundred ms old.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Longest pause between reports requested from an engine that cannot be reached,
/// in ms.
const MAX_REPORT_PAUSE_MS: u64 = 1_000;

/// Interval between checks of a load that should have finished, in ms.
const LOAD_POLL_MS: u64 = 15;

/// Demand score below which an adapter is dropped: some 40 s after its last
/// request. Without a limit memory would grow with every adapter ever
/// requested.
const MIN_DEMAND_SCORE: f64 = 0.01;

/// Longest pause of an idle engine controller, in ms.
const IDLE_POLL_MS: u64 = 500;

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
    let controller = EngineController {
        node: node.clone(),
        target: target.clone(),
        account: SlotAccount::default(),
        pending: Map::default(),
        report_after_ms: 0,
        failed_calls: 0,
        unreachable: false,
        queue: Vec::new(),
        model_due_ms: 0,
        has_model: false,
        slots_full: false,
    };
    tokio::spawn(controller.run(receive));
}

/// A load that is watched for its end.
struct PendingLoad {
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
    /// What the engine holds and loads.
    account: SlotAccount<AdapterRef>,
    /// Loads of the account that are watched.
    pending: Map<AdapterRef, PendingLoad>,
    /// Earliest time of the next report.
    report_after_ms: u64,
    /// Consecutive calls that did not reach the engine.
    failed_calls: u32,
    /// Whether the engine counts as out of reach.
    unreachable: bool,
    queue: Vec<Job>,
    /// Earliest time of the next command to load a model.
    model_due_ms: u64,
    /// Whether it had a model by its last report.
    has_model: bool,
    /// Whether all slots were found in use in this pass.
    slots_full: bool,
}

/// Sends `result` to all waiting requests.
fn finish(waiting: impl IntoIterator<Item = Waiter>, result: Result<Placed, PlacementError>) {
    for waiter in waiting {
        // The receiver may have been dropped already.
        let _ = waiter.send(result.clone());
    }
}
