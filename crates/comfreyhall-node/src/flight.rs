//! The trace that a request leaves on the board, while it waits for a load
//! at its target and while it is in progress there.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name, Target};

use crate::{
    fleet::{Run, RunChange, RunUpdate},
    node::Node,
};

/// How long after its first event a run counts as having just begun, in ms: a
/// request that ends its target does so within some steps, and the core may be
/// busy for a tenth of a second between the event and the end.
const EARLY_MS: u64 = 300;

/// One request that waits for a load; drops its work from the board when the
/// wait ends.
///
/// What goes wrong without it: an adapter becomes hot, a second engine begins
/// to load it, and within the time of the load every request for it chooses
/// that engine, whose queue still looks empty: 18 requests went there at once
/// and the last one waited 2 s.
pub(crate) struct Stall {
    node: Arc<Node>,
    target: Name,
    adapter: AdapterRef,
    tokens: u64,
}

impl Stall {
    /// Counts a wait at `target` of a request with `tokens` of prompt.
    pub(crate) fn begin(
        node: &Arc<Node>,
        target: &Name,
        adapter: &AdapterRef,
        tokens: u64,
    ) -> Self {
        node.view().board.load_wait_started(target, tokens);
        node.fleet.pin(target, adapter);
        Self {
            node: node.clone(),
            target: target.clone(),
            adapter: adapter.clone(),
            tokens,
        }
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        self.node
            .view()
            .board
            .load_wait_ended(&self.target, self.tokens);
        self.node.fleet.unpin(&self.target, &self.adapter);
    }
}

/// A run that has an engine; it ends when this is dropped.
///
/// What goes wrong without it: a holder binds a run, its daemon gives the
/// request up before it sends it, and the holder counts a run that never was.
pub(crate) struct Seat {
    node: Arc<Node>,
    run: u64,
    target: Arc<Target>,
}

impl Seat {
    /// The run `run` of this daemon is to go to `target`.
    pub(crate) fn new(node: &Arc<Node>, run: u64, target: Arc<Target>) -> Self {
        Self {
            node: node.clone(),
            run,
            target,
        }
    }

    fn tell(&self, what: RunChange) {
        self.node.fleet.tell(RunUpdate {
            run: self.run,
            target: self.target.id.clone(),
            group: self.target.failure_domain.clone(),
            change: what,
        });
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.tell(RunChange::Ended);
    }
}

/// One send in progress; drops its work from the board when it ends.
pub(crate) struct Flight {
    node: Arc<Node>,
    pub(crate) target: Name,
    /// What its holder is told under, if the target is an engine.
    seat: Option<Seat>,
    /// Prompt tokens still counted as backlog.
    unread: u64,
    /// Backlog at the start, this request's own included.
    ahead: u64,
    began: u64,
    /// When its first event came.
    answered: Option<u64>,
}

impl Flight {
    /// Counts a send of `tokens` of prompt to `target`; `seat`: the run, if
    /// the target is an engine.
    pub(crate) fn begin(
        node: &Arc<Node>,
        target: &Target,
        adapter: Option<AdapterRef>,
        tokens: u64,
        seat: Option<Seat>,
    ) -> Self {
        let now = node.now();
        let mut view = node.view();
        view.board.request_sent(&target.id, tokens);
        let ahead = view.board.total_work(&target.id, now).prefill_tokens;
        drop(view);
        if let Some(seat) = &seat {
            let run = Run {
                target: target.id.clone(),
                group: target.failure_domain.clone(),
                adapter: adapter.filter(|a| a.adapter.is_some()),
                unread_tokens: tokens,
                queued_tokens: ahead,
                bound_at_ms: 0,
            };
            node.fleet.start_run(seat.run, run);
        }
        Self {
            node: node.clone(),
            target: target.id.clone(),
            seat,
            unread: tokens,
            ahead,
            began: now,
            answered: None,
        }
    }

    /// The first event came: the prompt was read.
    pub(crate) fn first(&mut self) -> u64 {
        let now = self.node.now();
        self.answered = Some(now);
        let waited = now.saturating_sub(self.began);
        let mut view = self.node.view();
        if self.seat.is_some() {
            view.board
                .record_first_token(&self.target, self.ahead, waited);
        }
        view.board.prompt_read(&self.target, self.unread);
        drop(view);
        self.unread = 0;
        if let Some(seat) = &self.seat {
            self.node.fleet.mark_prompt_read(seat.run);
            seat.tell(RunChange::FirstEvent(waited));
        }
        waited
    }

    /// Whether its target has just begun to run it, as far as is known.
    pub(crate) fn early(&self) -> bool {
        let now = self.node.now();
        let answered = |at| now.saturating_sub(at) >= EARLY_MS;
        !self.answered.is_some_and(answered)
    }

    /// Ms since the send.
    pub(crate) fn took(&self) -> u64 {
        self.node.now().saturating_sub(self.began)
    }

    /// Takes in how the answer was.
    pub(crate) fn note(&self, ok: bool, weight: f64) {
        let now = self.node.now();
        self.node
            .view()
            .board
            .record_outcome(&self.target, ok, weight, now);
        if let Some(seat) = &self.seat {
            seat.tell(if ok {
                RunChange::Success(weight)
            } else {
                RunChange::Failure(weight)
            });
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut view = self.node.view();
        view.board.prompt_read(&self.target, self.unread);
        view.board.request_ended(&self.target);
        drop(view);
        if let Some(seat) = &self.seat {
            self.node.fleet.end_run(seat.run);
        }
    }
}
