//! Load orders: fetch the weights, then take a slot.

use std::time::Duration;

use comfreyhall_protocol::{FetchRequest, LoadOrder, LoadReply};
use tokio::time::Instant;
use tonic::Status;

use super::{
    EngineStandin, STEP,
    state::{SlotState, State},
};

/// Longest fetched weights wait for a slot to be unpinned.
const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// A load order being carried out.
pub(super) struct Accepted {
    pub(super) order: LoadOrder,
    /// `adapter@version`.
    pub(super) key: String,
    /// Value of the accept counter when the order arrived.
    pub(super) arrived: u64,
    /// Cold restarts before the order; a restart forgets it.
    pub(super) epoch: u64,
    pub(super) start: Instant,
}

impl EngineStandin {
    /// Carries out an accepted load order.
    ///
    /// The weights are fetched before any slot is taken. Taking the slot
    /// first held it empty for the whole weight-store queue (seconds at
    /// 3 loads/s), so requests found every slot "loading" and were refused;
    /// now a victim keeps serving until the weights are here.
    pub(super) async fn carry_out(&self, a: Accepted) -> LoadReply {
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
    pub(super) async fn wait_loaded(
        &self,
        order: &LoadOrder,
        key: &str,
        start: Instant,
    ) -> LoadReply {
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
/// slot, unless only named victims may go. Returns the evicted `adapter@version` (empty for a free slot), or
/// `None` when every slot is pinned.
fn claim(state: &mut State, order: &LoadOrder, arrived: u64, capacity: usize) -> Option<String> {
    let mut evicted = String::new();
    if state.slots.len() >= capacity {
        let idle = |s: &SlotState| s.pins == 0;
        let named = order.victims.iter().find_map(|v| {
            state.slots.iter().position(|s| {
                idle(s) && s.used <= arrived && format!("{}@{}", s.adapter, s.version) == *v
            })
        });
        let oldest = || {
            let unpinned = state.slots.iter().enumerate().filter(|(_, s)| idle(s));
            unpinned.min_by_key(|(_, s)| s.used).map(|(i, _)| i)
        };
        let victim = match order.only_named {
            true => named?,
            false => named.or_else(oldest)?,
        };
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
        used,
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
