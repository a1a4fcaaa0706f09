//! What an engine holds, and its batch step.

use std::{collections::VecDeque, sync::Arc};

use comfreyhall_protocol::{EngineStatus, GenerateChunk};
use tokio::sync::mpsc;
use tonic::Status;

use crate::{runs::Runs, text::token};

pub(super) struct SlotState {
    pub(super) adapter: Arc<str>,
    pub(super) version: Arc<str>,
    pub(super) pins: u32,
    /// Value of the accept counter when a request last used the slot.
    pub(super) used: u64,
}

impl SlotState {
    pub(super) fn is(&self, adapter: &str, version: &str) -> bool {
        &*self.adapter == adapter && &*self.version == version
    }
}

pub(super) struct Seq {
    pub(super) id: String,
    pub(super) adapter: Arc<str>,
    pub(super) version: Arc<str>,
    pub(super) prompt: String,
    pub(super) priority: i32,
    pub(super) next: u32,
    pub(super) total: u32,
    pub(super) tx: mpsc::Sender<Result<GenerateChunk, Status>>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) slots: Vec<SlotState>,
    pub(super) queue: VecDeque<Seq>,
    pub(super) active: Vec<Seq>,
    pub(super) steps: u64,
    pub(super) used: u64,
    /// Highest fencing token seen on an order.
    pub(super) fence: u64,
    /// `adapter@version` of loads waiting for weights; they hold no slot.
    pub(super) pending: rustc_hash::FxHashSet<String>,
    /// Requests accepted so far; the engine's clock for slot use.
    pub(super) accepted: u64,
    /// Counts cold restarts.
    pub(super) epoch: u64,
    /// What status answers say: the state as of the last report.
    pub(super) report: EngineStatus,
}

impl State {
    pub(super) fn slot(&mut self, adapter: &str, version: &str) -> Option<&mut SlotState> {
        self.slots.iter_mut().find(|s| s.is(adapter, version))
    }

    /// Whether a queued or running sequence uses `slot`.
    pub(super) fn in_use(&self, slot: &SlotState) -> bool {
        let mut seqs = self.queue.iter().chain(&self.active);
        seqs.any(|q| slot.is(&q.adapter, &q.version))
    }

    /// Forgets everything, as an engine that crashed and came back.
    pub(super) fn restart(&mut self) {
        let (epoch, steps, used) = (self.epoch + 1, self.steps, self.used);
        *self = Self {
            epoch,
            steps,
            used,
            ..Self::default()
        };
    }

    pub(super) fn unpin(&mut self, adapter: &str, version: &str) {
        if let Some(slot) = self.slot(adapter, version) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }
}

/// Runs one batch step: admit by priority, emit one token per sequence.
///
/// Whether the engine ends in it: it has begun a prompt that contains `deadly`.
pub(super) fn step(state: &mut State, width: usize, runs: &Runs, deadly: &str) -> bool {
    while state.active.len() < width {
        let best = state
            .queue
            .iter()
            .enumerate()
            .max_by_key(|(i, s)| (s.priority, std::cmp::Reverse(*i)))
            .map(|(i, _)| i);
        match best.and_then(|i| state.queue.remove(i)) {
            Some(seq) if !deadly.is_empty() && seq.prompt.contains(deadly) => {
                state.restart();
                return true;
            }
            Some(seq) => state.active.push(seq),
            None => break,
        }
    }
    if state.active.is_empty() {
        return false;
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
    false
}
