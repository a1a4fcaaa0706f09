//! The model engine stand-in: adapter slots, pins and continuous batching.
//!
//! In each batch step (every `STEP_INTERVAL`) the engine runs up to `width`
//! sequences, admitted by descending priority, and emits one token for each.
//! A sequence pins its adapter's slot from its acceptance until its last token
//! is sent, it is cancelled or its caller disconnects. A pinned slot is never
//! evicted.
//!
//! The reported status is up to [`STATUS_INTERVAL`] old. A cold restart (set
//! by a fault command) drops every slot and run, as in real engines. The
//! stand-in counts what it ran by request id, and failure tests compare that
//! record with the answers that callers received.

mod load;
mod state;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_protocol::{
    CancelOrder, CancelReply, EngineStatus, FaultOrder, FaultReply, GenerateChunk, GenerateRequest,
    LoadOrder, LoadReply, RunsQuery, RunsReply, Slot, StatusQuery, engine_server::Engine, not_run,
    weights_client::WeightsClient,
};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, transport::Channel};

use crate::{Faults, runs::Runs};
use load::{AcceptedLoad, reply};
use state::{Sequence, State, step};

/// Time between two batch steps.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the reported status is refreshed.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// Chunks buffered per stream; when a slow reader fills the buffer, its sequence pauses.
const STREAM_BUFFER: usize = 64;

/// Time that an engine is unavailable after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_secs(1);

/// Longest prompt that the stand-in accepts.
const MAX_PROMPT_BYTES: usize = 64 << 10;

struct Inner {
    id: Arc<str>,
    capacity: usize,
    width: usize,
    fencing: bool,
    state: Mutex<State>,
    /// Notified when a load has ended or the engine has restarted.
    load_ended: Notify,
    runs: Runs,
    weights: WeightsClient<Channel>,
    faults: Faults,
    /// Text in a prompt that crashes the engine; empty for none.
    crash_prompt: Arc<str>,
}

/// A model engine stand-in; clones share its state.
#[derive(Clone)]
pub struct EngineStandin {
    inner: Arc<Inner>,
}

impl EngineStandin {
    /// Starts an engine with `capacity` slots and batch `width`, which fetches
    /// weights from the store at `weights` (`ip:port`).
    ///
    /// A prompt that contains `crash_prompt` crashes the engine, unless
    /// `crash_prompt` is empty.
    pub fn start(
        id: &str,
        capacity: u32,
        width: u32,
        fencing: bool,
        weights: &str,
        crash_prompt: Arc<str>,
    ) -> Self {
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{weights}"))
            .expect("the settings check validates the address of the weight store")
            .connect_lazy();
        let engine = Self {
            inner: Arc::new(Inner {
                id: id.into(),
                capacity: capacity as usize,
                width: width as usize,
                fencing,
                state: Mutex::default(),
                load_ended: Notify::new(),
                runs: Runs::default(),
                weights: WeightsClient::new(channel),
                faults: Faults::default(),
                crash_prompt,
            }),
        };
        tokio::spawn(step_loop(engine.inner.clone()));
        tokio::spawn(snapshot_loop(engine.inner.clone()));
        engine
    }

    /// Records the fencing token of a command. With fencing enabled, rejects a
    /// command whose token is older than one seen before.
    fn check_fence(&self, state: &mut State, fence: u64) -> Result<(), Status> {
        if fence < state.highest_fence && self.inner.fencing {
            return Err(not_run(Status::permission_denied(format!(
                "fencing token {fence} is older than {}; the sender lost its lease",
                state.highest_fence
            ))));
        }
        state.highest_fence = state.highest_fence.max(fence);
        Ok(())
    }
}

async fn step_loop(inner: Arc<Inner>) {
    let mut tick = tokio::time::interval(STEP_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        inner.faults.wait_heard().await;
        let mut state = inner.state.lock().unwrap();
        if step(&mut state, inner.width, &inner.runs, &inner.crash_prompt) {
            inner.faults.crash(CRASH_DOWNTIME);
            inner.load_ended.notify_waiters();
        }
    }
}

/// Returns the engine's state in the form of a status reply.
fn snapshot(state: &State, inner: &Inner) -> EngineStatus {
    let mut slots: Vec<Slot> = state
        .slots
        .iter()
        .map(|s| Slot {
            adapter: s.adapter.to_string(),
            version: s.version.to_string(),
            pins: s.pins,
            loading: false,
        })
        .collect();
    // Pending loads are reported as loading slots, so that other daemons join
    // them instead of loading the same adapter on another engine.
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
        used: state.used_slots,
        epoch: state.epoch,
    }
}

async fn snapshot_loop(inner: Arc<Inner>) {
    let mut tick = tokio::time::interval(STATUS_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut state = inner.state.lock().unwrap();
        state.snapshot = snapshot(&state, &inner);
    }
}

#[tonic::async_trait]
impl Engine for EngineStandin {
    type GenerateStream = ReceiverStream<Result<GenerateChunk, Status>>;

    async fn generate(
        &self,
        req: Request<GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        self.inner.faults.delay_or_fail().await?;
        self.inner.faults.check_cooldown()?;
        let req = req.into_inner();
        let resumed = req.resume_from > 0;
        let id = req.request_id.clone();
        let accepted = self.accept(req).map(Response::new);
        let mut rx = self.inner.faults.add_notices(accepted)?.into_inner();
        self.inner.runs.start(&id, resumed);
        if self.inner.faults.loses_reply() {
            // The run continues to completion; only its reply is lost.
            tokio::spawn(async move { while rx.recv().await.is_some() {} });
            return Err(Status::unavailable("answer lost by fault order"));
        }
        let reply = Response::new(ReceiverStream::new(rx));
        self.inner.faults.add_notices(Ok(reply))
    }

    async fn cancel(&self, req: Request<CancelOrder>) -> Result<Response<CancelReply>, Status> {
        self.inner.faults.delay_or_fail().await?;
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
        self.inner.faults.delay_or_fail().await?;
        self.inner.faults.check_cooldown()?;
        let order = req.into_inner();
        let start = Instant::now();
        let key = format!("{}@{}", order.adapter, order.version);
        let (joined, arrival_count, epoch) = {
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
        // The load runs in its own task, because the call ends when its sender
        // ends and closes the connection. A load that ended with the call would
        // stay pending forever, and so would every command that joined it.
        let engine = self.clone();
        let load = AcceptedLoad {
            order,
            key,
            arrival_count,
            epoch,
            start,
        };
        let task = tokio::spawn(async move { engine.execute_load(load).await });
        let answer = task
            .await
            .map_err(|e| Status::internal(format!("load order failed: {e}")))?;
        if self.inner.faults.loses_reply() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        Ok(Response::new(answer))
    }

    async fn status(&self, _: Request<StatusQuery>) -> Result<Response<EngineStatus>, Status> {
        self.inner.faults.delay_or_fail().await?;
        let state = self.inner.state.lock().unwrap();
        Ok(Response::new(state.snapshot.clone()))
    }

    async fn runs(&self, _: Request<RunsQuery>) -> Result<Response<RunsReply>, Status> {
        let rejected = self.inner.faults.rejected();
        Ok(Response::new(self.inner.runs.list(rejected)))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.inner.faults.set(req.get_ref());
        if req.get_ref().restart {
            self.inner.state.lock().unwrap().restart();
            self.inner.load_ended.notify_waiters();
        }
        Ok(Response::new(FaultReply {}))
    }
}

impl EngineStandin {
    /// Accepts a request: pins its slot and queues it for the next step.
    ///
    /// Every error is marked as proof that the request did not run.
    fn accept(
        &self,
        req: GenerateRequest,
    ) -> Result<mpsc::Receiver<Result<GenerateChunk, Status>>, Status> {
        if req.prompt.len() > MAX_PROMPT_BYTES || req.max_tokens <= req.resume_from {
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
        slot.pins += 1;
        slot.last_used = accepted;
        let seq = Sequence {
            id: req.request_id,
            adapter: slot.adapter.clone(),
            version: slot.version.clone(),
            prompt: req.prompt,
            priority: req.priority,
            next_token: req.resume_from,
            end_token: req.max_tokens,
            tx,
        };
        state.accepted = accepted;
        state.queue.push_back(seq);
        Ok(rx)
    }
}
