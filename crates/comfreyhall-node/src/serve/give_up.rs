//! The final answer to a request that no target answered.

use comfreyhall_domain::answer_for;
use comfreyhall_routing::admission;
use rand::Rng;

use super::{ActiveRequest, Reply, reply::complete_reply};

impl ActiveRequest {
    /// The error response kept in case no target answered better.
    pub(super) fn fallback_reply(&mut self, why: &'static str) -> Option<Reply> {
        let (status, headers, body) = self.fallback.take()?;
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, why; "passed on a target's failure");
        Some(complete_reply(status, headers, body))
    }

    /// When its caller should retry, in ms, if there will be capacity
    /// for it after `excess_ms`.
    pub(super) fn retry_after_ms(&self, excess_ms: f64) -> u64 {
        let seed: u64 = rand::rng().random();
        admission::retry_ms(excess_ms, self.remaining_ms(), seed)
    }

    /// Ends the request with its final answer; there will be capacity for it
    /// after `excess_ms`.
    pub(super) fn give_up(&mut self, why: &'static str, excess_ms: f64) -> Reply {
        let retry_ms = self.retry_after_ms(excess_ms);
        self.give_up_until(why, retry_ms)
    }

    /// Ends the request with its final answer; its caller should retry after
    /// `retry_ms`.
    pub(super) fn give_up_until(&mut self, why: &'static str, retry_ms: u64) -> Reply {
        self.finished = true;
        self.return_credit();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.fallback_reply(why) {
            return reply;
        }
        let left = self.remaining_ms();
        let answer = answer_for(&self.history, left == 0, retry_ms);
        let held = self.node.now() - self.began_ms;
        self.node.metrics.request(self.route.kind, answer.name());
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, why, answer:? = answer, sends = self.history.sends, held, left; "given up");
        Reply::Unanswered(answer)
    }
}
