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
use load::{Accepted, reply};
use state::{Seq, State, step};

/// Time of one batch step.
const STEP: Duration = Duration::from_millis(10);

/// Age of the oldest status the engine reports.
const REPORT_LAG: Duration = Duration::from_millis(50);

/// Chunks buffered per stream before a slow reader holds its sequence back.
const STREAM_BUFFER: usize = 64;

/// How long an engine that crashed is away.
const AWAY: Duration = Duration::from_secs(1);

/// Longest prompt the stand-in takes, in bytes.
const MAX_PROMPT: usize = 64 << 10;

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
    /// Text in a prompt that ends the engine; empty for none.
    deadly: Arc<str>,
}

/// A model engine stand-in; clone it to share.
#[derive(Clone)]
pub struct EngineStandin {
    inner: Arc<Inner>,
}

impl EngineStandin {
    /// An engine with `capacity` slots and batch `width`, fetching weights
    /// from the store at `weights` (`ip:port`), and its step loop started.
    ///
    /// A prompt that contains `deadly` ends it, unless that is empty.
    pub fn start(
        id: &str,
        capacity: u32,
        width: u32,
        fencing: bool,
        weights: &str,
        deadly: Arc<str>,
    ) -> Self {
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
                deadly,
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
        if step(&mut state, inner.width, &inner.runs, &inner.deadly) {
            inner.faults.crash(AWAY);
            inner.loaded.notify_waiters();
        }
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
            loading: false,
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

async fn report_loop(inner: Arc<Inner>) {
    let mut tick = tokio::time::interval(REPORT_LAG);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let mut state = inner.state.lock().unwrap();
        state.report = report(&state, &inner);
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
        self.inner.faults.turn_away()?;
        let req = req.into_inner();
        let resumed = req.resume_from > 0;
        let id = req.request_id.clone();
        let accepted = self.accept(req).map(Response::new);
        let mut rx = self.inner.faults.say(accepted)?.into_inner();
        self.inner.runs.start(&id, resumed);
        if self.inner.faults.loses_answer() {
            // The run goes on to its end; only its answer is lost.
            tokio::spawn(async move { while rx.recv().await.is_some() {} });
            return Err(Status::unavailable("answer lost by fault order"));
        }
        let reply = Response::new(ReceiverStream::new(rx));
        self.inner.faults.say(Ok(reply))
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
        self.inner.faults.turn_away()?;
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
        let turned = self.inner.faults.turned();
        Ok(Response::new(self.inner.runs.list(turned)))
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
}
