//! The model engine stand-in: adapter slots, pins and continuous batching.
//!
//! Every step (`STEP`) the engine takes up to `width` sequences, highest
//! priority first, and gives each one token. A sequence pins its adapter's
//! slot from the moment it is accepted until its last token is sent, it is
//! cancelled, or its caller goes away; a pinned slot is never evicted.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_protocol::{
    CancelOrder, CancelReply, EngineStatus, FaultOrder, FaultReply, FetchRequest, GenerateChunk,
    GenerateRequest, LoadOrder, LoadReply, Slot, StatusQuery, engine_server::Engine,
    weights_client::WeightsClient,
};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, transport::Channel};

use crate::{Faults, text::token};

/// Time of one batch step.
const STEP: Duration = Duration::from_millis(10);

/// Chunks buffered per stream before a slow reader holds its sequence back.
const STREAM_BUFFER: usize = 64;

/// Longest prompt the stand-in takes, in bytes.
const MAX_PROMPT: usize = 64 << 10;

struct SlotState {
    adapter: Arc<str>,
    version: Arc<str>,
    pins: u32,
    loading: bool,
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
}

impl State {
    fn slot(&mut self, adapter: &str, version: &str) -> Option<&mut SlotState> {
        self.slots.iter_mut().find(|s| s.is(adapter, version))
    }

    fn unpin(&mut self, adapter: &str, version: &str) {
        if let Some(slot) = self.slot(adapter, version) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }
}

struct Inner {
    id: Arc<str>,
    capacity: usize,
    width: usize,
    fencing: bool,
    state: Mutex<State>,
    loaded: Notify,
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
                weights: WeightsClient::new(channel),
                faults: Faults::default(),
            }),
        };
        tokio::spawn(step_loop(engine.inner.clone()));
        engine
    }

    fn check_fence(&self, state: &mut State, fence: u64) -> Result<(), Status> {
        if fence < state.fence && self.inner.fencing {
            return Err(Status::permission_denied(format!(
                "fencing token {fence} is older than {}; the sender lost its lease",
                state.fence
            )));
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
        step(&mut state, inner.width);
    }
}

/// Runs one batch step: admit by priority, emit one token per sequence.
fn step(state: &mut State, width: usize) {
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
        if req.prompt.len() > MAX_PROMPT || req.max_tokens == 0 {
            return Err(Status::invalid_argument(
                "prompt over 64 KiB or no tokens asked for",
            ));
        }
        let (tx, rx) = mpsc::channel(STREAM_BUFFER);
        let mut state = self.inner.state.lock().unwrap();
        self.check_fence(&mut state, req.fence)?;
        let Some(slot) = state.slot(&req.adapter, &req.version) else {
            return Err(Status::failed_precondition(format!(
                "{}@{} is not resident; order a load first",
                req.adapter, req.version
            )));
        };
        if slot.loading {
            return Err(Status::failed_precondition(format!(
                "{}@{} is still loading; wait for the load order's answer",
                req.adapter, req.version
            )));
        }
        slot.pins += 1;
        let seq = Seq {
            id: req.request_id,
            adapter: slot.adapter.clone(),
            version: slot.version.clone(),
            prompt: req.prompt,
            priority: req.priority,
            next: 0,
            total: req.max_tokens,
            tx,
        };
        state.queue.push_back(seq);
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
        let joined = {
            let mut state = self.inner.state.lock().unwrap();
            self.check_fence(&mut state, order.fence)?;
            if state.slot(&order.adapter, &order.version).is_some() {
                return Ok(Response::new(reply(true, "", "", start)));
            }
            !state.pending.insert(key.clone())
        };
        if joined {
            return Ok(Response::new(self.wait_loaded(&order, &key, start).await));
        }
        // The weights are fetched before any slot is taken. Taking the slot
        // first held it empty for the whole weight-store queue (seconds at
        // 3 loads/s), so requests found every slot "loading" and were
        // refused; now a victim keeps serving until the weights are here.
        let fetch = FetchRequest {
            adapter: order.adapter.clone(),
            version: order.version.clone(),
        };
        let fetched = if self.inner.faults.load_fails() {
            Err(Status::internal("load failed by fault order"))
        } else {
            self.inner.weights.clone().fetch(fetch).await.map(|_| ())
        };
        let mut state = self.inner.state.lock().unwrap();
        state.pending.remove(&key);
        let answer = match fetched {
            Err(e) => reply(false, "", e.message(), start),
            Ok(()) => match claim(&mut state, &order, self.inner.capacity) {
                Some(evicted) => reply(true, &evicted, "", start),
                None => reply(false, "", "every slot is pinned; try another engine", start),
            },
        };
        drop(state);
        self.inner.loaded.notify_waiters();
        log::debug!(target: "engine", "{} load of {key}: {}", self.inner.id, answer.loaded);
        Ok(Response::new(answer))
    }

    async fn status(&self, _: Request<StatusQuery>) -> Result<Response<EngineStatus>, Status> {
        self.inner.faults.gate().await?;
        let state = self.inner.state.lock().unwrap();
        let slots = state
            .slots
            .iter()
            .map(|s| Slot {
                adapter: s.adapter.to_string(),
                version: s.version.to_string(),
                pins: s.pins,
                loading: s.loading,
            })
            .collect();
        Ok(Response::new(EngineStatus {
            engine: self.inner.id.to_string(),
            slots,
            queued: state.queue.len() as u32,
            active: state.active.len() as u32,
            width: self.inner.width as u32,
            steps: state.steps,
            used: state.used,
            epoch: 0,
        }))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.inner.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}

impl EngineStandin {
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
/// Returns the evicted `adapter@version` (empty for a free slot), or `None`
/// when every slot is pinned.
fn claim(state: &mut State, order: &LoadOrder, capacity: usize) -> Option<String> {
    let mut evicted = String::new();
    if state.slots.len() >= capacity {
        let named = order.victims.iter().find_map(|v| {
            state
                .slots
                .iter()
                .position(|s| s.pins == 0 && format!("{}@{}", s.adapter, s.version) == *v)
        });
        // An order naming only pinned slots takes the first unpinned one
        // instead of failing: the sender's view may simply be stale.
        let victim = named.or_else(|| state.slots.iter().position(|s| s.pins == 0))?;
        let old = state.slots.swap_remove(victim);
        evicted = format!("{}@{}", old.adapter, old.version);
    }
    state.slots.push(SlotState {
        adapter: order.adapter.as_str().into(),
        version: order.version.as_str().into(),
        pins: 0,
        loading: false,
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
