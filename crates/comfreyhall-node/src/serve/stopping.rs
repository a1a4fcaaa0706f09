//! What a planned stop means for one request.
//!
//! Its waits end when it may not be sent any more, and it is not sent if its answer is
//! expected to outlast the process. Its caller then learns at once that it has not run, and
//! can be served elsewhere.

use std::future::Future;

use comfreyhall_domain::Outcome;
use comfreyhall_life::SendTiming;
use comfreyhall_relay::EndCause;

use super::{ActiveRequest, Reply};
use crate::{choose::Plan, paces, stop};

impl ActiveRequest {
    /// Its send, where the answer is expected to take `run_ms`.
    fn send_timing(&self, run_ms: u64) -> SendTiming {
        SendTiming {
            deadline_ms: self.deadline_ms,
            run_ms,
            may_have_run: self.history.may_have_run,
        }
    }

    /// Waits until it may not be sent any more.
    pub(super) fn too_late(&self) -> impl Future<Output = ()> + use<> {
        let (node, timing) = (self.node.clone(), self.send_timing(0));
        async move { stop::too_late(&node, timing).await }
    }

    /// Waits until it needs an answer, whatever has come of its sends.
    pub(super) fn answer_due(&self) -> impl Future<Output = ()> + use<> {
        let node = self.node.clone();
        async move { stop::answer_due(&node).await }
    }

    /// Whether it may be sent now, to a target of which nothing is known.
    pub(super) fn stop_allows_send(&self) -> bool {
        stop::may_send(&self.node, self.send_timing(0))
    }

    /// Whether it may be sent now by `plan`.
    pub(super) fn stop_allows(&self, plan: &Plan) -> bool {
        // Only a stop asks how long it runs.
        self.node.grace().is_none()
            || stop::may_send(&self.node, self.send_timing(self.run_ms(plan)))
    }

    /// Expected time from now to the end of its answer by `plan`, in ms.
    fn run_ms(&self, plan: &Plan) -> u64 {
        let stream_ms = match &self.engine {
            Some(_) => paces::stream_ms(
                &self.node,
                &plan.target.id,
                &self.route.name,
                self.expected_events(),
            ),
            None => 0.0,
        };
        (plan.wait_ms + stream_ms) as u64
    }

    /// Ms until its answer has to be complete.
    pub(super) fn answer_left_ms(&self) -> u64 {
        let now = self.node.now();
        let grace = self.node.grace();
        let left_ms = grace.map(|grace| grace.answer_by_ms().saturating_sub(now));
        let remaining_ms = self.remaining_ms();
        left_ms.map_or(remaining_ms, |left_ms| left_ms.min(remaining_ms))
    }

    /// How long a wait of up to `wait_ms` may last at most, in ms.
    pub(super) fn wait_limit_ms(&self, wait_ms: u64) -> u64 {
        let by_ms = self
            .node
            .grace()
            .and_then(|grace| grace.send_by_ms(self.send_timing(0)));
        let left_ms = by_ms.map(|by_ms| by_ms.saturating_sub(self.node.now()));
        left_ms.map_or(wait_ms, |left_ms| wait_ms.min(left_ms))
    }

    /// The final answer to a request that a planned stop keeps from being sent.
    pub(super) fn reject_stopping(&mut self) -> Reply {
        self.give_up("the stop is near its end", 0.0)
    }

    /// The final answer to a request whose sends are open at the end of a planned stop.
    pub(super) fn answer_unfinished(&mut self) -> Reply {
        self.history.record(Outcome::Indeterminate);
        self.node.metrics.answer_ended(EndCause::GraceEnded);
        self.give_up("the stop is at its end", 0.0)
    }
}
