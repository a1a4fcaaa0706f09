//! Passing a request on to another daemon.

use comfreyhall_domain::Stage;

use super::{ActiveRequest, Reply};
use crate::forward;

/// Targets that a request fails to reach before it is passed on, though its daemon
/// has reached others lately: some paths may last while new connections fail.
const MAX_UNREACHED: u32 = 2;

/// Retry delay if no daemon is known to reach a target, in ms.
const ALL_ISOLATED_RETRY_MS: f64 = 500.0;

impl ActiveRequest {
    /// Passes the request on if this daemon reaches no target for it; `None` if it
    /// is to be served here. It has not run and holds no credit then.
    pub(super) async fn pass_on_if_isolated(&mut self) -> Option<Reply> {
        let isolated = self.node.is_isolated();
        let unreached = self.unreached >= MAX_UNREACHED || self.all_unreached();
        if self.history.may_have_run || !(isolated || unreached) {
            return None;
        }
        if !self.may_pass_on {
            return isolated.then(|| self.give_up("no target is reached", ALL_ISOLATED_RETRY_MS));
        }
        self.may_pass_on = false;
        let request = self.client_request.clone();
        let left_ms = self.remaining_ms();
        // The daemon that serves it reserves credit for it.
        self.return_credit();
        match forward::pass_on(&self.node, &request, left_ms).await {
            Some(reply) => {
                self.finished = true;
                self.node.metrics.request(self.route.kind, "passed_on");
                Some(reply)
            }
            None => isolated.then(|| self.give_up("no target is reached", ALL_ISOLATED_RETRY_MS)),
        }
    }

    /// Whether each of its targets was found unreachable a moment ago; of a stream that
    /// is resumed these are the targets of its version.
    fn all_unreached(&self) -> bool {
        let now = self.node.now();
        let software = self.software_rule();
        let view = self.node.view();
        let unreached = |id| view.unavailable_until.get(id).is_some_and(|at| now < *at);
        let mut ready = view
            .targets
            .values()
            .filter(|t| t.service == self.service && t.stage == Stage::Ready)
            .filter(|t| software.allows(&t.software))
            .peekable();
        ready.peek().is_some() && ready.all(|t| unreached(&t.id))
    }
}
