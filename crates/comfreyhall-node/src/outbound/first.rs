//! Holds requests back from targets that have not answered the ones before.
//!
//! A request waits in the order of its target, and goes on when an answer makes room for
//! it, when its target announces that it takes nothing, or when its wait is over. The
//! bound never fails a request: a target that is slow to answer is busy with what it has,
//! and rejections are not slow.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_backpressure::{FirstAnswer, Room, SendWindows, Unanswered, first_requests};
use comfreyhall_domain::{Map, Name, Target};
use tokio::{sync::Notify, time::Instant};

use super::{Unavailable, unavailable};
use crate::node::Node;

/// The unanswered requests, and those that wait for their answers.
#[derive(Default)]
struct State {
    windows: SendWindows,
    /// Wakes the requests that wait, by target.
    waiting: Map<Name, Arc<Notify>>,
}

/// What this daemon has sent and targets have not answered.
#[derive(Default)]
pub(super) struct FirstSends {
    state: Mutex<State>,
}

impl FirstSends {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Wakes all requests that wait for `target`, which takes nothing now.
    pub(super) fn wake_all(&self, target: &Name) {
        if let Some(waiting) = self.state().waiting.get(target) {
            waiting.notify_waiters();
        }
    }

    /// Drops targets for which `keep` is false.
    pub(super) fn retain(&self, keep: impl Fn(&Name) -> bool) {
        let mut state = self.state();
        state.windows.retain(&keep);
        state.waiting.retain(|target, _| keep(target));
    }
}

/// A request on its way to a target; it counts until it is answered or this is dropped.
pub(super) struct FirstSend {
    node: Arc<Node>,
    target: Name,
    unanswered: Unanswered,
    answer: FirstAnswer,
}

impl FirstSend {
    /// Waits until `target` may get one more request, for `patience` at most.
    ///
    /// # Errors
    ///
    /// The target has announced meanwhile that it takes nothing.
    pub(super) async fn begin(
        node: &Arc<Node>,
        target: &Target,
        patience: Duration,
    ) -> Result<Self, Unavailable> {
        let id = &target.id;
        let now = node.now();
        let daemons = node.fleet.members(now);
        let daemons = daemons.unwrap_or_else(|| node.fleet.size(now));
        let first = first_requests(target.max_running, daemons);
        let until = Instant::now() + patience;
        let counted = |unanswered| Self {
            node: node.clone(),
            target: id.clone(),
            unanswered,
            answer: FirstAnswer::Other,
        };
        loop {
            let waiting = {
                let mut state = node.outbound.first.state();
                if let Some(unanswered) = state.windows.try_begin(id, first) {
                    return Ok(counted(unanswered));
                }
                if Instant::now() >= until {
                    return Ok(counted(state.windows.begin(id, first)));
                }
                state.waiting.entry(id.clone()).or_default().clone()
            };
            let notified = waiting.notified();
            tokio::pin!(notified);
            // From here on no wake-up is missed; one before that has made room.
            notified.as_mut().enable();
            if !node.outbound.first.state().windows.is_full(id) {
                continue;
            }
            let _ = tokio::time::timeout_at(until, notified).await;
            if let Some(blocked) = unavailable(node, id) {
                return Err(blocked);
            }
        }
    }

    /// Records the answer, which ends its count.
    pub(super) fn answered(mut self, answer: FirstAnswer) {
        self.answer = answer;
    }
}

impl Drop for FirstSend {
    fn drop(&mut self) {
        let mut state = self.node.outbound.first.state();
        let room = state
            .windows
            .end(&self.target, self.unanswered, self.answer);
        let Some(waiting) = state.waiting.get(&self.target) else {
            return;
        };
        match room {
            Room::Requests(more) => (0..more).for_each(|_| waiting.notify_one()),
            Room::Unbounded => waiting.notify_waiters(),
        }
    }
}

#[cfg(test)]
mod tests;
