//! The model engine stand-in: adapter slots, pins and continuous batching.
//!
//! Every step (`STEP`) the engine takes up to `width` sequences, highest
//! priority first, and gives each one token. A sequence pins its adapter's
//! slot from the moment it is accepted until its last token is sent, it is
//! cancelled, or its caller goes away; a pinned slot is never evicted.
//!
//! Status is reported as it was up to [`REPORT_LAG`] ago, and a cold restart
//! (a fault order) drops every slot and run, as the real engines do. The
//! stand-in counts what it ran by request id; failure tests compare that
//! record with what callers were told.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_protocol::{
    CancelOrder, CancelReply, EngineStatus, FaultOrder, FaultReply, FetchRequest, GenerateChunk,
    GenerateRequest, LoadOrder, LoadReply, RunsQuery, RunsReply, Slot, StatusQuery,
    engine_server::Engine, not_run, weights_client::WeightsClient,
};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, transport::Channel};

use crate::{Faults, runs::Runs, text::token};

/// Time of one batch step.
const STEP: Duration = Duration::from_millis(10);

/// Age of the oldest status the engine reports.
const REPORT_LAG: Duration = Duration::from_millis(50);

/// Longest fetched weights wait for a slot to be unpinned.
const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// Chunks buffered per stream before a slow reader holds its sequence back.
const STREAM_BUFFER: usize = 64;

/// Longest prompt the stand-in takes, in bytes.
const MAX_PROMPT: usize = 64 << 10;

struct SlotState {
    adapter: Arc<str>,
    version: Arc<str>,
    pins: u32,
    loading: bool,
    /// Value of the accept counter when a request last used the slot.
    used: u64,
}

impl SlotState {
    fn is(&self, adapter: &str, version: &str) -> bool {
        &*self.adapter == adapter && &*self.version == version
    }
}

struct Seq {
    id: String,
    adapter: Arc<str>,
    version: Arc<str>,
    prompt: String,
    priority: i32,
    next: u32,
    total: u32,
    tx: mpsc::Sender<Result<GenerateChunk, Status>>,
}

#[derive(Default)]
struct State {
    slots: Vec<SlotState>,
    queue: VecDeque<Seq>,
    active: Vec<Seq>,
    steps: u64,
    used: u64,
    /// Highest fencing token seen on an order.
    fence: u64,
    /// `adapter@version` of loads waiting for weights; they hold no slot.
    pending: rustc_hash::FxHashSet<String>,
    /// Requests accepted so far; the engine's clock for slot use.
    accepted: u64,
    /// Counts cold restarts.
    epoch: u64,
    /// What status answers say: the state as of the last report.
    report: EngineStatus,
}

impl State {
    fn slot(&mut self, adapter: &str, version: &str) -> Option<&mut SlotState> {
        self.slots.iter_mut().find(|s| s.is(adapter, version))
    }

    /// Whether a queued or running sequence uses `slot`.
    fn in_use(&self, slot: &SlotState) -> bool {
        let mut seqs = self.queue.iter().chain(&self.active);
        seqs.any(|q| slot.is(&q.adapter, &q.version))
    }

    /// Forgets everything, as an engine that crashed and came back.
    fn restart(&mut self) {
        let (epoch, steps, used) = (self.epoch + 1, self.steps, self.used);
        *self = Self {
            epoch,
            steps,
            used,
            ..Self::default()
        };
    }

    fn unpin(&mut self, adapter: &str, version: &str) {
        if let Some(slot) = self.slot(adapter, version) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }
}

/// A load order being carried out.
struct Accepted {
    order: LoadOrder,
    /// `adapter@version`.
    key: String,
    /// Value of the accept counter when the order arrived.
    arrived: u64,
    /// Cold restarts before the order; a restart forgets it.
    epoch: u64,
    start: Instant,
}

struct Inner {
    id: Arc<str>,
    capacity: usize,
    width: usize,
    fencing: bool,
    state: Mutex<State>,
    loaded: Notify,
    runs: Runs,
    weights: WeightsClient<Channel>,
    faults: Faults,
}

/// A model engine stand-in; clone it to share.
#[derive(Clone)]
pub struct EngineStandin {
    inner: Arc<Inner>,
}

impl EngineStandin {
    /// An engine with `capacity` slots and batch `width`, fetching weights
    /// from the store at `weights` (`ip:port`), and its step loop started.
    pub fn start(id: &str, capacity: u32, width: u32, fencing: bool, weights: &str) -> Self {
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{weights}"))
            .expect("weights address was checked in settings")
            .connect_lazy();
        let engine = Self {
            inner: Arc::new(Inner {
                id: id.into(),
                capacity: capacity as usize,
                width: width as usize,
                fencing,
                state: Mutex::default(),
                loaded: Notify::new(),
                runs: Runs::default(),
                weights: WeightsClient::new(channel),
                faults: Faults::default(),
            }),
        };
        tokio::spawn(step_loop(engine.inner.clone()));
        tokio::spawn(report_loop(engine.inner.clone()));
        engine
    }

    fn check_fence(&self, state: &mut State, fence: u64) -> Result<(), Status> {
        if fence < state.fence && self.inner.fencing {
            return Err(not_run(Status::permission_denied(format!(
                "fencing token {fence} is older than {}; the sender lost its lease",
                state.fence
            ))));
        }
        state.fence = state.fence.max(fence);
        Ok(())
    }
}

async fn step_loop(inner: Arc<Inner>) {
    let mut tick = tokio::time::interval(STEP);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut state = inner.state.lock().unwrap();
        step(&mut state, inner.width, &inner.runs);
    }
}

async fn report_loop(inner: Arc<Inner>) {
    let mut tick = tokio::time::interval(REPORT_LAG);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut state = inner.state.lock().unwrap();
        state.report = report(&state, &inner);
    }
}

/// The engine's state as its status answers show it.
fn report(state: &State, inner: &Inner) -> EngineStatus {
    let mut slots: Vec<Slot> = state
        .slots
        .iter()
        .map(|s| Slot {
            adapter: s.adapter.to_string(),
            version: s.version.to_string(),
            pins: s.pins,
            loading: s.loading,
        })
        .collect();
    // Pending loads are reported as loading slots so that every daemon
    // joins them instead of ordering the same adapter again elsewhere.
    for key in &state.pending {
        let (adapter, version) = key.split_once('@').unwrap_or((key, ""));
        slots.push(Slot {
            adapter: adapter.to_string(),
            version: version.to_string(),
            pins: 0,
            loading: true,
        });
    }
    EngineStatus {
        engine: inner.id.to_string(),
        slots,
        queued: state.queue.len() as u32,
        active: state.active.len() as u32,
        width: inner.width as u32,
        steps: state.steps,
        used: state.used,
        epoch: state.epoch,
    }
}

/// Runs one batch step: admit by priority, emit one token per sequence.
fn step(state: &mut State, width: usize, runs: &Runs) {
    while state.active.len() < width {
        let best = state
            .queue
            .iter()
            .enumerate()
            .max_by_key(|(i, s)| (s.priority, std::cmp::Reverse(*i)))
            .map(|(i, _)| i);
        match best.and_then(|i| state.queue.remove(i)) {
            Some(seq) => state.active.push(seq),
            None => break,
        }
    }
    if state.active.is_empty() {
        return;
    }
    state.steps += 1;
    state.used += state.active.len() as u64;
    let mut finished = Vec::new();
    for (i, seq) in state.active.iter_mut().enumerate() {
        let index = seq.next;
        let done = index + 1 == seq.total;
        let chunk = GenerateChunk {
            request_id: seq.id.clone(),
            adapter: seq.adapter.to_string(),
            version: seq.version.to_string(),
            text: token(&seq.adapter, &seq.version, &seq.prompt, index),
            index,
            done,
            finish: if done { "length".into() } else { String::new() },
        };
        match seq.tx.try_send(Ok(chunk)) {
            Ok(()) => {
                seq.next += 1;
                if done {
                    runs.end(&seq.id);
                    finished.push(i);
                }
            }
            // A slow reader: keep the token for the next step.
            Err(mpsc::error::TrySendError::Full(_)) => {}
            // The caller went away: the sequence ends and unpins its slot.
            Err(mpsc::error::TrySendError::Closed(_)) => finished.push(i),
        }
    }
    for i in finished.into_iter().rev() {
        let seq = state.active.swap_remove(i);
        state.unpin(&seq.adapter, &seq.version);
    }
}

#[tonic::async_trait]
impl Engine for EngineStandin {
    type GenerateStream = ReceiverStream<Result<GenerateChunk, Status>>;

    async fn generate(
        &self,
        req: Request<GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        self.inner.faults.gate().await?;
        let req = req.into_inner();
        let resumed = req.resume_from > 0;
        let id = req.request_id.clone();
        let mut rx = self.accept(req)?;
        self.inner.runs.start(&id, resumed);
        if self.inner.faults.loses_answer() {
            // The run goes on to its end; only its answer is lost.
            tokio::spawn(async move { while rx.recv().await.is_some() {} });
            return Err(Status::unavailable("answer lost by fault order"));
        }
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn cancel(&self, req: Request<CancelOrder>) -> Result<Response<CancelReply>, Status> {
        self.inner.faults.gate().await?;
        let id = req.into_inner().request_id;
        let mut state = self.inner.state.lock().unwrap();
        let queued = state.queue.iter().position(|s| s.id == id);
        let seq = match queued {
            Some(i) => state.queue.remove(i),
            None => {
                let i = state.active.iter().position(|s| s.id == id);
                i.map(|i| state.active.swap_remove(i))
            }
        };
        let found = seq.is_some();
        if let Some(seq) = seq {
            state.unpin(&seq.adapter, &seq.version);
        }
        Ok(Response::new(CancelReply { found }))
    }

    async fn load(&self, req: Request<LoadOrder>) -> Result<Response<LoadReply>, Status> {
        self.inner.faults.gate().await?;
        let order = req.into_inner();
        let start = Instant::now();
        let key = format!("{}@{}", order.adapter, order.version);
        let (joined, arrived, epoch) = {
            let mut state = self.inner.state.lock().unwrap();
            self.check_fence(&mut state, order.fence)?;
            if state.slot(&order.adapter, &order.version).is_some() {
                return Ok(Response::new(reply(true, "", "", start)));
            }
            let joined = !state.pending.insert(key.clone());
            (joined, state.accepted, state.epoch)
        };
        if joined {
            return Ok(Response::new(self.wait_loaded(&order, &key, start).await));
        }
        // An accepted order is carried out even if its sender dies: the call
        // ends with the sender's connection, the order must not. Otherwise
        // it stayed pending for good, and whoever joined it waited for good.
        let engine = self.clone();
        let accepted = Accepted {
            order,
            key,
            arrived,
            epoch,
            start,
        };
        let carried = tokio::spawn(async move { engine.carry_out(accepted).await });
        let answer = carried
            .await
            .map_err(|e| Status::internal(format!("load order failed: {e}")))?;
        if self.inner.faults.loses_answer() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        Ok(Response::new(answer))
    }

    async fn status(&self, _: Request<StatusQuery>) -> Result<Response<EngineStatus>, Status> {
        self.inner.faults.gate().await?;
        let state = self.inner.state.lock().unwrap();
        Ok(Response::new(state.report.clone()))
    }

    async fn runs(&self, _: Request<RunsQuery>) -> Result<Response<RunsReply>, Status> {
        Ok(Response::new(self.inner.runs.list()))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.inner.faults.set(req.get_ref());
        if req.get_ref().restart {
            self.inner.state.lock().unwrap().restart();
            self.inner.loaded.notify_waiters();
        }
        Ok(Response::new(FaultReply {}))
    }
}

impl EngineStandin {
    /// Accepts a request: pins its slot and queues it for the next step.
    ///
    /// Every error is marked as not run.
    fn accept(
        &self,
        req: GenerateRequest,
    ) -> Result<mpsc::Receiver<Result<GenerateChunk, Status>>, Status> {
        if req.prompt.len() > MAX_PROMPT || req.max_tokens <= req.resume_from {
            return Err(not_run(Status::invalid_argument(
                "prompt over 64 KiB or no tokens asked for",
            )));
        }
        let (tx, rx) = mpsc::channel(STREAM_BUFFER);
        let mut state = self.inner.state.lock().unwrap();
        let accepted = state.accepted + 1;
        let Some(slot) = state.slot(&req.adapter, &req.version) else {
            return Err(not_run(Status::failed_precondition(format!(
                "{}@{} is not resident; order a load first",
                req.adapter, req.version
            ))));
        };
        if slot.loading {
            return Err(not_run(Status::failed_precondition(format!(
                "{}@{} is still loading; wait for the load order's answer",
                req.adapter, req.version
            ))));
        }
        slot.pins += 1;
        slot.used = accepted;
        let seq = Seq {
            id: req.request_id,
            adapter: slot.adapter.clone(),
            version: slot.version.clone(),
            prompt: req.prompt,
            priority: req.priority,
            next: req.resume_from,
            total: req.max_tokens,
            tx,
        };
        state.accepted = accepted;
        state.queue.push_back(seq);
        Ok(rx)
    }

    /// Carries out an accepted load order.
    ///
    /// The weights are fetched before any slot is taken. Taking the slot
    /// first held it empty for the whole weight-store queue (seconds at
    /// 3 loads/s), so requests found every slot "loading" and were refused;
    /// now a victim keeps serving until the weights are here.
    async fn carry_out(&self, a: Accepted) -> LoadReply {
        let fetch = FetchRequest {
            adapter: a.order.adapter.clone(),
            version: a.order.version.clone(),
        };
        let fetched = if self.inner.faults.load_fails() {
            Err(Status::internal("load failed by fault order"))
        } else {
            self.inner.weights.clone().fetch(fetch).await.map(|_| ())
        };
        let answer = match fetched {
            Err(e) => reply(false, "", e.message(), a.start),
            Ok(()) => self.take_slot(&a).await,
        };
        let mut state = self.inner.state.lock().unwrap();
        if state.epoch == a.epoch {
            state.pending.remove(&a.key);
        }
        drop(state);
        self.inner.loaded.notify_waiters();
        log::debug!(target: "engine", "{} load of {}: {}", self.inner.id, a.key, answer.loaded);
        answer
    }

    /// Puts fetched weights into a slot, waiting a while for one to be
    /// unpinned rather than throwing the weights away.
    async fn take_slot(&self, a: &Accepted) -> LoadReply {
        let fetched = Instant::now();
        loop {
            {
                let mut state = self.inner.state.lock().unwrap();
                if state.epoch != a.epoch {
                    return reply(false, "", "the engine restarted; order again", a.start);
                }
                let capacity = self.inner.capacity;
                if let Some(evicted) = claim(&mut state, &a.order, a.arrived, capacity) {
                    return reply(true, &evicted, "", a.start);
                }
            }
            if fetched.elapsed() >= HOLD_LIMIT {
                return reply(
                    false,
                    "",
                    "every slot is pinned; try another engine",
                    a.start,
                );
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Waits for another order's load of the same adapter to finish.
    async fn wait_loaded(&self, order: &LoadOrder, key: &str, start: Instant) -> LoadReply {
        loop {
            let notified = self.inner.loaded.notified();
            {
                let mut state = self.inner.state.lock().unwrap();
                if state.slot(&order.adapter, &order.version).is_some() {
                    return reply(true, "", "", start);
                }
                if !state.pending.contains(key) {
                    return reply(false, "", "the load this order joined failed", start);
                }
            }
            notified.await;
        }
    }
}

/// Takes a slot for a fetched adapter: a free one, or an evictable victim.
///
/// The order's victims were chosen when it was sent, which can be seconds
/// ago behind the weight store's queue. A named victim that served a request
/// since the order `arrived` is no longer a good one: taking it evicted
/// adapters that had become hot meanwhile. So the first named victim still
/// unused since then goes; failing that, the least recently used unpinned
/// slot. Returns the evicted `adapter@version` (empty for a free slot), or
/// `None` when every slot is pinned.
fn claim(state: &mut State, order: &LoadOrder, arrived: u64, capacity: usize) -> Option<String> {
    let mut evicted = String::new();
    if state.slots.len() >= capacity {
        let idle = |s: &SlotState| s.pins == 0 && !s.loading;
        let named = order.victims.iter().find_map(|v| {
            state.slots.iter().position(|s| {
                idle(s) && s.used <= arrived && format!("{}@{}", s.adapter, s.version) == *v
            })
        });
        let oldest = || {
            let unpinned = state.slots.iter().enumerate().filter(|(_, s)| idle(s));
            unpinned.min_by_key(|(_, s)| s.used).map(|(i, _)| i)
        };
        let victim = named.or_else(oldest)?;
        let old = state.slots.swap_remove(victim);
        assert!(
            !state.in_use(&old),
            "evicted {}@{} while a request uses it",
            old.adapter,
            old.version
        );
        evicted = format!("{}@{}", old.adapter, old.version);
    }
    let used = state.accepted;
    state.slots.push(SlotState {
        adapter: order.adapter.as_str().into(),
        version: order.version.as_str().into(),
        pins: 0,
        loading: false,
        used,
    });
    Some(evicted)
}

fn reply(loaded: bool, evicted: &str, error: &str, start: Instant) -> LoadReply {
    LoadReply {
        loaded,
        evicted: evicted.to_string(),
        error: error.to_string(),
        wait_ms: start.elapsed().as_millis() as u64,
    }
}
