//! The engine's state and its batch step.

use std::{collections::VecDeque, sync::Arc};

use comfreyhall_protocol::{EngineStatus, GenerateChunk};
use tokio::sync::mpsc;
use tonic::Status;

use crate::{runs::Runs, text::token};

/// An adapter slot that is in use.
pub(super) struct SlotState {
    pub(super) adapter: Arc<str>,
    pub(super) version: Arc<str>,
    pub(super) pins: u32,
    /// Value of [`State::accepted`] when a request last used the slot, or when
    /// the adapter was loaded.
    pub(super) last_used: u64,
}

impl SlotState {
    pub(super) fn matches(&self, adapter: &str, version: &str) -> bool {
        &*self.adapter == adapter && &*self.version == version
    }
}

/// A request that is queued or running in the batch.
pub(super) struct Sequence {
    pub(super) id: String,
    pub(super) adapter: Arc<str>,
    pub(super) version: Arc<str>,
    pub(super) prompt: String,
    pub(super) priority: i32,
    /// Index of the next token to send.
    pub(super) next_token: u32,
    /// Index after the last token, counted from the start of the answer.
    pub(super) end_token: u32,
    pub(super) tx: mpsc::Sender<Result<GenerateChunk, Status>>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) slots: Vec<SlotState>,
    pub(super) queue: VecDeque<Sequence>,
    pub(super) active: Vec<Sequence>,
    /// Batch steps that ran at least one sequence.
    pub(super) steps: u64,
    /// Sum over all steps of the sequences in the batch.
    pub(super) used_slots: u64,
    /// Highest fencing token seen on a command.
    pub(super) highest_fence: u64,
    /// `adapter@version` of the loads in progress; they occupy no slot yet.
    pub(super) pending: rustc_hash::FxHashSet<String>,
    /// Requests accepted so far; serves as the clock for the last use of slots.
    pub(super) accepted: u64,
    /// Number of cold restarts.
    pub(super) epoch: u64,
    /// The last periodic snapshot of the state, which status calls return.
    pub(super) snapshot: EngineStatus,
}

impl State {
    pub(super) fn slot(&mut self, adapter: &str, version: &str) -> Option<&mut SlotState> {
        self.slots.iter_mut().find(|s| s.matches(adapter, version))
    }

    /// Whether a queued or running sequence uses `slot`.
    pub(super) fn in_use(&self, slot: &SlotState) -> bool {
        let mut sequences = self.queue.iter().chain(&self.active);
        sequences.any(|s| slot.matches(&s.adapter, &s.version))
    }

    /// Drops everything except the counts of restarts, steps and used slots, as
    /// an engine does that crashes and starts again.
    pub(super) fn restart(&mut self) {
        let (epoch, steps, used_slots) = (self.epoch + 1, self.steps, self.used_slots);
        *self = Self {
            epoch,
            steps,
            used_slots,
            ..Self::default()
        };
    }

    pub(super) fn unpin(&mut self, adapter: &str, version: &str) {
        if let Some(slot) = self.slot(adapter, version) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }
}

/// Runs one batch step: admits sequences by priority and emits one token for each.
///
/// Returns whether the engine crashed in this step, which happens when it
/// starts a prompt that contains `crash_prompt` (if that is not empty).
pub(super) fn step(state: &mut State, width: usize, runs: &Runs, crash_prompt: &str) -> bool {
    while state.active.len() < width {
        let best = state
            .queue
            .iter()
            .enumerate()
            .max_by_key(|(i, s)| (s.priority, std::cmp::Reverse(*i)))
            .map(|(i, _)| i);
        match best.and_then(|i| state.queue.remove(i)) {
            Some(seq) if !crash_prompt.is_empty() && seq.prompt.contains(crash_prompt) => {
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
    state.used_slots += state.active.len() as u64;
    let mut finished = Vec::new();
    for (i, seq) in state.active.iter_mut().enumerate() {
        let index = seq.next_token;
        let done = index + 1 == seq.end_token;
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
                seq.next_token += 1;
                if done {
                    runs.end(&seq.id);
                    finished.push(i);
                }
            }
            // The reader is slow: the token is sent again in the next step.
            Err(mpsc::error::TrySendError::Full(_)) => {}
            // The caller disconnected: the sequence ends and unpins its slot.
            Err(mpsc::error::TrySendError::Closed(_)) => finished.push(i),
        }
    }
    for i in finished.into_iter().rev() {
        let seq = state.active.swap_remove(i);
        state.unpin(&seq.adapter, &seq.version);
    }
    false
}
