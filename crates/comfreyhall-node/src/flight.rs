//! The trace that a request leaves on the board, while it waits for a load
//! at its target and while it is in progress there.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name};

use crate::node::Node;

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
        node.view().board.wait(target, tokens);
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
        self.node.view().board.awaited(&self.target, self.tokens);
        self.node.fleet.unpin(&self.target, &self.adapter);
    }
}

/// One send in progress; drops its work from the board when it ends.
pub(crate) struct Flight {
    node: Arc<Node>,
    pub(crate) target: Name,
    adapter: Option<AdapterRef>,
    /// Prompt tokens still counted as backlog.
    unread: u64,
    /// Backlog at the start, this request's own included.
    ahead: u64,
    began: u64,
}

impl Flight {
    /// Counts a send of `tokens` of prompt to `target`.
    pub(crate) fn begin(
        node: &Arc<Node>,
        target: &Name,
        adapter: Option<AdapterRef>,
        tokens: u64,
    ) -> Self {
        let now = node.now();
        let mut view = node.view();
        view.board.begin(target, tokens);
        let ahead = view.board.work(target, now).prefill;
        drop(view);
        if let Some(adapter) = &adapter {
            node.fleet.pin(target, adapter);
        }
        Self {
            node: node.clone(),
            target: target.clone(),
            adapter,
            unread: tokens,
            ahead,
            began: now,
        }
    }

    /// The first event came: the prompt was read.
    pub(crate) fn first(&mut self) -> u64 {
        let waited = self.node.now().saturating_sub(self.began);
        let mut view = self.node.view();
        if self.adapter.is_some() {
            view.board.learn_wait(&self.target, self.ahead, waited);
        }
        view.board.read(&self.target, self.unread);
        self.unread = 0;
        waited
    }

    /// Ms since the send.
    pub(crate) fn took(&self) -> u64 {
        self.node.now().saturating_sub(self.began)
    }

    /// Takes in how the answer was.
    pub(crate) fn note(&self, ok: bool, weight: f64) {
        let now = self.node.now();
        self.node.view().board.note(&self.target, ok, weight, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut view = self.node.view();
        view.board.read(&self.target, self.unread);
        view.board.end(&self.target);
        drop(view);
        if let Some(adapter) = &self.adapter {
            self.node.fleet.unpin(&self.target, adapter);
        }
    }
}
