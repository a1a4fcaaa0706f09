//! Accounting of a request's work at its target, while it waits for a load
//! there and while it runs.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name, Target};
use comfreyhall_slots::SlotShare;

use crate::{
    fleet::{Run, RunChange, RunUpdate, updates::StreamReport},
    node::Node,
    paces::{self, Prompt},
    quarantine,
};

/// Time after its first event during which a run counts as just begun, in ms: a
/// request that crashes its target does so within a few steps, and a busy core
/// may delay the close by a tenth of a second.
const BRIEF_RUN_MS: u64 = 300;

/// One request that waits for a load; removes its work from the board when the
/// wait ends.
///
/// It keeps requests from piling up at a loading engine: when an adapter
/// becomes hot and a second engine begins to load it, that engine's queue looks
/// empty until the load is done. 18 requests chose it at once, and the last one
/// waited 2 s.
pub(crate) struct PendingLoad {
    node: Arc<Node>,
    target: Name,
    adapter: AdapterRef,
    tokens: u64,
}

impl PendingLoad {
    /// Counts a request with `tokens` prompt tokens that waits at `target`.
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

impl Drop for PendingLoad {
    fn drop(&mut self) {
        self.node
            .view()
            .board
            .load_wait_ended(&self.target, self.tokens);
        self.node.fleet.unpin(&self.target, &self.adapter);
    }
}

/// A run that is bound to an engine; its end is reported when this is dropped.
///
/// That covers a run whose daemon abandons the request before sending it: the
/// lease holder would count the run forever.
pub(crate) struct RunHandle {
    node: Arc<Node>,
    run: u64,
    target: Arc<Target>,
    share: SlotShare,
}

impl RunHandle {
    /// A handle for this daemon's run `run` at `target`, which uses the slots of
    /// `share`.
    pub(crate) fn new(node: &Arc<Node>, run: u64, target: Arc<Target>, share: SlotShare) -> Self {
        Self {
            node: node.clone(),
            run,
            target,
            share,
        }
    }

    fn report(&self, change: RunChange) {
        self.node.fleet.send_update(RunUpdate {
            run: self.run,
            target: self.target.id.clone(),
            group: self.target.failure_domain.clone(),
            change,
        });
    }
}

impl Drop for RunHandle {
    fn drop(&mut self) {
        self.report(RunChange::Ended);
    }
}

/// One send in progress; removes its work from the board when it ends.
pub(crate) struct ActiveSend {
    node: Arc<Node>,
    pub(crate) target: Name,
    /// The target as it was known when the send began; it may not be listed any more.
    known: Arc<Target>,
    /// The run that the lease holder is notified of, if the target is an engine.
    run_handle: Option<RunHandle>,
    /// Prompt tokens still counted as backlog.
    unread_tokens: u64,
    /// Backlog at the start, including this request.
    backlog: u64,
    began_ms: u64,
    /// Time of its first event.
    first_event_ms: Option<u64>,
}

impl ActiveSend {
    /// Counts a send of `tokens` prompt tokens to `target`; `run_handle` is its
    /// run, if the target is an engine.
    pub(crate) fn begin(
        node: &Arc<Node>,
        target: &Arc<Target>,
        adapter: Option<AdapterRef>,
        tokens: u64,
        run_handle: Option<RunHandle>,
    ) -> Self {
        let now = node.now();
        let mut view = node.view();
        view.board.request_sent(&target.id, tokens);
        let ahead = view.board.total_work(&target.id, now).prefill_tokens;
        drop(view);
        if let Some(run_handle) = &run_handle {
            let run = Run {
                target: target.id.clone(),
                group: target.failure_domain.clone(),
                share: run_handle.share.clone(),
                adapter: adapter.filter(|a| a.adapter.is_some()),
                unread_tokens: tokens,
                queued_tokens: ahead,
                bound_at_ms: 0,
                began_at_ms: now,
            };
            node.fleet.start_run(run_handle.run, run);
        }
        Self {
            node: node.clone(),
            target: target.id.clone(),
            known: target.clone(),
            run_handle,
            unread_tokens: tokens,
            backlog: ahead,
            began_ms: now,
            first_event_ms: None,
        }
    }

    /// Records the first event: the prompt has been prefilled.
    pub(crate) fn record_first_event(&mut self) -> u64 {
        let now = self.node.now();
        self.first_event_ms = Some(now);
        let wait_ms = now.saturating_sub(self.began_ms);
        let mut view = self.node.view();
        if self.run_handle.is_some() {
            let prompt = Prompt {
                tokens: self.unread_tokens,
                queued_tokens: self.backlog,
            };
            paces::record_first(&mut view, &self.target, prompt, wait_ms, now);
        }
        view.board.prompt_read(&self.target, self.unread_tokens);
        drop(view);
        self.unread_tokens = 0;
        if let Some(run_handle) = &self.run_handle {
            self.node.fleet.mark_prompt_read(run_handle.run);
            run_handle.report(RunChange::FirstEvent(wait_ms));
        }
        wait_ms
    }

    /// Records the pace of its stream, which has ended.
    pub(crate) fn record_stream(&self, report: StreamReport) {
        let now = self.node.now();
        let mut view = self.node.view();
        paces::record_stream(&mut view, &self.target, &report, now);
        drop(view);
        if let Some(run_handle) = &self.run_handle {
            run_handle.report(RunChange::Streamed(report));
        }
    }

    /// Whether its target has only just begun to run it, as far as is known.
    pub(crate) fn ran_briefly(&self) -> bool {
        let now = self.node.now();
        let answered = |at| now.saturating_sub(at) >= BRIEF_RUN_MS;
        !self.first_event_ms.is_some_and(answered)
    }

    /// Whether its target, which is silent, is proven to have ended.
    pub(crate) async fn is_target_ended(&self) -> bool {
        quarantine::is_proven_ended(&self.node, &self.known).await
    }

    /// Ms since the send.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.node.now().saturating_sub(self.began_ms)
    }

    /// Records whether the target answered well, with its weight for the target's
    /// health.
    pub(crate) fn record_outcome(&self, ok: bool, weight: f64) {
        let now = self.node.now();
        self.node
            .view()
            .board
            .record_outcome(&self.target, ok, weight, now);
        if let Some(run_handle) = &self.run_handle {
            run_handle.report(if ok {
                RunChange::Success(weight)
            } else {
                RunChange::Failure(weight)
            });
        }
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        let mut view = self.node.view();
        view.board.prompt_read(&self.target, self.unread_tokens);
        view.board.request_ended(&self.target);
        drop(view);
        if let Some(run_handle) = &self.run_handle {
            let run = self.node.fleet.end_run(run_handle.run);
            if let Some(run) = run {
                self.node.slots.record_own_end(&run, self.node.now());
            }
        }
    }
}
