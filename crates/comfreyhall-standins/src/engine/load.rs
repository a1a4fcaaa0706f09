//! Load commands: fetch the weights, then allocate a slot.

use std::time::Duration;

use comfreyhall_protocol::{FetchRequest, LoadOrder, LoadReply};
use tokio::time::Instant;
use tonic::Status;

use super::{
    EngineStandin, STEP_INTERVAL,
    state::{SlotState, State},
};

/// Longest time that fetched weights wait for a slot to be unpinned.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(2);

/// A load command that was accepted and is being executed.
pub(super) struct AcceptedLoad {
    pub(super) order: LoadOrder,
    /// `adapter@version`.
    pub(super) key: String,
    /// Value of [`State::accepted`] when the command arrived.
    pub(super) arrival_count: u64,
    /// Value of [`State::epoch`] when the command arrived; a cold restart
    /// abandons the load.
    pub(super) epoch: u64,
    pub(super) start: Instant,
}

impl EngineStandin {
    /// Executes an accepted load command.
    ///
    /// The weights are fetched before a slot is allocated, so that the evicted
    /// adapter keeps serving until they have arrived. A slot allocated first
    /// would stay empty for the whole queue of the weight store (seconds at
    /// 3 loads/s), and requests that find every slot "loading" are refused.
    pub(super) async fn execute_load(&self, load: AcceptedLoad) -> LoadReply {
        let fetch = FetchRequest {
            adapter: load.order.adapter.clone(),
            version: load.order.version.clone(),
        };
        let fetched = if self.inner.faults.load_fails() {
            Err(Status::internal("load failed by fault order"))
        } else {
            self.inner.weights.clone().fetch(fetch).await.map(|_| ())
        };
        let answer = match fetched {
            Err(e) => reply(false, "", e.message(), load.start),
            Ok(()) => self.wait_for_slot(&load).await,
        };
        let mut state = self.inner.state.lock().unwrap();
        if state.epoch == load.epoch {
            state.pending.remove(&load.key);
        }
        drop(state);
        self.inner.load_ended.notify_waiters();
        log::debug!(
            target: "engine",
            "engine {} executed load of {}: loaded={}",
            self.inner.id,
            load.key,
            answer.loaded
        );
        answer
    }

    /// Puts fetched weights into a slot. If none may be taken, waits up to
    /// [`MAX_SLOT_WAIT`] for one instead of discarding the weights.
    async fn wait_for_slot(&self, load: &AcceptedLoad) -> LoadReply {
        let fetched_at = Instant::now();
        loop {
            {
                let mut state = self.inner.state.lock().unwrap();
                if state.epoch != load.epoch {
                    return reply(false, "", "the engine restarted; order again", load.start);
                }
                let capacity = self.inner.capacity;
                if let Some(evicted) =
                    allocate_slot(&mut state, &load.order, load.arrival_count, capacity)
                {
                    return reply(true, &evicted, "", load.start);
                }
            }
            if fetched_at.elapsed() >= MAX_SLOT_WAIT {
                return reply(
                    false,
                    "",
                    "every slot is pinned; try another engine",
                    load.start,
                );
            }
            tokio::time::sleep(STEP_INTERVAL).await;
        }
    }

    /// Waits for the load of the same adapter that an earlier command started.
    pub(super) async fn wait_loaded(
        &self,
        order: &LoadOrder,
        key: &str,
        start: Instant,
    ) -> LoadReply {
        loop {
            let notified = self.inner.load_ended.notified();
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

/// Allocates a slot for a fetched adapter: a free one, or that of a victim,
/// which is evicted.
///
/// The victims that the command names were chosen when it was sent, which can
/// be seconds ago because of the weight store's queue. A named victim that has
/// served a request since the command arrived (`arrival_count`) may have become
/// hot and is skipped. The first unpinned named victim without a request since
/// then is evicted. If there is none, the least recently used unpinned slot is
/// evicted, unless the command allows only the named victims.
///
/// Returns the evicted `adapter@version` (empty for a free slot), or `None`
/// when no slot may be taken.
fn allocate_slot(
    state: &mut State,
    order: &LoadOrder,
    arrival_count: u64,
    capacity: usize,
) -> Option<String> {
    let mut evicted = String::new();
    if state.slots.len() >= capacity {
        let unpinned = |s: &SlotState| s.pins == 0;
        let named = order.victims.iter().find_map(|v| {
            state.slots.iter().position(|s| {
                unpinned(s)
                    && s.last_used <= arrival_count
                    && format!("{}@{}", s.adapter, s.version) == *v
            })
        });
        let least_recent = || {
            let candidates = state.slots.iter().enumerate().filter(|(_, s)| unpinned(s));
            candidates.min_by_key(|(_, s)| s.last_used).map(|(i, _)| i)
        };
        let victim = match order.only_named {
            true => named?,
            false => named.or_else(least_recent)?,
        };
        let evicted_slot = state.slots.swap_remove(victim);
        assert!(
            !state.in_use(&evicted_slot),
            "evicted {}@{} while a request uses it",
            evicted_slot.adapter,
            evicted_slot.version
        );
        evicted = format!("{}@{}", evicted_slot.adapter, evicted_slot.version);
    }
    let last_used = state.accepted;
    state.slots.push(SlotState {
        adapter: order.adapter.as_str().into(),
        version: order.version.as_str().into(),
        pins: 0,
        last_used,
    });
    Some(evicted)
}

pub(super) fn reply(loaded: bool, evicted: &str, error: &str, start: Instant) -> LoadReply {
    LoadReply {
        loaded,
        evicted: evicted.to_string(),
        error: error.to_string(),
        wait_ms: start.elapsed().as_millis() as u64,
    }
}
