//! Passing a request on to another daemon.

use comfreyhall_domain::{Name, Stage};
use futures::StreamExt;

use super::{ActiveRequest, Reply};
use crate::forward;

/// Targets that a request fails to reach before it is passed on, though its daemon
/// has reached others lately: some paths may last while new connections fail.
const MAX_UNREACHED: u32 = 2;

/// How much smaller the share of lost targets of a daemon has to be that gets requests
/// of one which still reaches some of their targets, in percent of all targets.
const MIN_LOST_DIFFERENCE: u32 = 20;

/// Retry delay if no daemon is known to reach a target, in ms.
const ALL_ISOLATED_RETRY_MS: f64 = 500.0;

/// Where a request is to be served.
pub(super) enum Reach {
    Here,
    /// At the daemon with this address.
    Peer(Name),
    /// Nowhere; its final answer.
    Nowhere(Reply),
}

impl ActiveRequest {
    /// Counts a stream that was passed on as in progress until it ends: a planned stop
    /// waits for it.
    fn keep_in_progress(&mut self, reply: Reply) -> Reply {
        let in_flight = self.in_flight.take();
        match reply {
            Reply::Stream {
                status,
                headers,
                body,
            } => Reply::Stream {
                status,
                headers,
                body: Box::pin(body.inspect(move |_| {
                    let _ = &in_flight;
                })),
            },
            reply => reply,
        }
    }

    /// Where the request is to be served: this daemon may not reach its targets, or have
    /// lost half of them to which another daemon has paths.
    pub(super) fn reach(&mut self) -> Reach {
        if self.history.may_have_run {
            return Reach::Here;
        }
        let isolated = self.node.is_isolated();
        let now = self.node.now();
        let peer = match self.may_pass_on {
            true => self
                .most_lost(isolated)
                .and_then(|most| self.node.fleet.reaching_peer(most, now)),
            false => None,
        };
        match peer {
            Some(peer) => Reach::Peer(peer),
            None if isolated => {
                Reach::Nowhere(self.give_up("no target is reached", ALL_ISOLATED_RETRY_MS))
            }
            None => Reach::Here,
        }
    }

    /// Passes the request on to the daemon at `peer`. It has not run, and holds no credit
    /// here any more.
    pub(super) async fn pass_on(&mut self, peer: Name) -> Reply {
        self.may_pass_on = false;
        let request = self.client_request.clone();
        let left_ms = self.answer_left_ms();
        // The daemon that serves it reserves credit for it.
        self.return_credit();
        let reply = forward::pass_on(&self.node, &request, &peer, left_ms).await;
        self.finished = true;
        self.node.metrics.request(self.route.kind, "passed_on");
        self.keep_in_progress(reply)
    }

    /// Share of targets, in percent, that a daemon may have lost that gets this request;
    /// `None` if it is to be served here.
    fn most_lost(&self, isolated: bool) -> Option<u32> {
        if isolated || self.unreached >= MAX_UNREACHED || self.all_unreached() {
            return Some(100);
        }
        let loses = self.node.loses_service(&self.service);
        let own = loses.then(|| self.node.lost_percent())?;
        own.checked_sub(MIN_LOST_DIFFERENCE)
    }

    /// Excludes `target`, which takes nothing from here. If its path is cut, the request
    /// is passed on, as the target is where its adapter is.
    pub(super) fn skip_target(&mut self, target: &Name) {
        let cut = self.unreached > 0 || self.node.view().contacts.is_lost(target);
        match cut && self.may_pass_on {
            true => self.unreached = MAX_UNREACHED,
            false => self.unavailable.push(target.clone()),
        }
    }

    /// Whether each of its targets was found unreachable a moment ago; of a stream that
    /// is resumed these are the targets of its version.
    fn all_unreached(&self) -> bool {
        let now = self.node.now();
        let software = self.software_rule();
        let view = self.node.view();
        let unreached = |id: &Name| {
            let until_ms = view.unavailable_until.get(id);
            view.contacts.is_lost(id) || until_ms.is_some_and(|at| now < *at)
        };
        let mut ready = view
            .targets
            .values()
            .filter(|t| t.service == self.service && t.stage == Stage::Ready)
            .filter(|t| software.allows(&t.software))
            .peekable();
        ready.peek().is_some() && ready.all(|t| unreached(&t.id))
    }
}
