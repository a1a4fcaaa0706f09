//! The trace that a request in progress leaves on the board.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name};

use crate::node::Node;

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
        view.board.learn_rate(&self.target, self.ahead, waited);
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
