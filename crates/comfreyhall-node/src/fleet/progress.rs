//! Immediate reports to lease holders on the progress of runs.
//!
//! With gossip alone, the slot of a finished run counts as in use until the
//! next message, and requests that wait for a slot wait that much longer;
//! prompts that were read still count as queued; and failures of an engine stay
//! known to one daemon only, while each of 195 daemons sends to an engine once
//! in 45 s.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::{ProgressReport, RunEvent};
use comfreyhall_routing::{StreamSample, Work};
use tokio::sync::mpsc;

use super::{
    state::Fleet,
    updates::{RunChange, RunUpdate, StreamReport},
};
use crate::{
    node::Node,
    paces::{self, Prompt},
    traffic::Kind,
};

/// Delay that batches updates into one call, in ms: short against the 100 ms or
/// so between two slots that become free in one group.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Longest duration of one call: after that the next gossip message has covered
/// it.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Starts the reporting task.
pub(super) fn spawn(node: &Arc<Node>) {
    let Some(mut events) = node.fleet.take_updates() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        while let Some(first) = events.recv().await {
            tokio::time::sleep(BATCH_DELAY).await;
            let more = std::iter::from_fn(|| events.try_recv().ok());
            let updates: Vec<RunUpdate> = std::iter::once(first).chain(more).collect();
            report_updates(&node, updates);
        }
    });
}

/// Reports to each holder the updates of its engines.
fn report_updates(node: &Arc<Node>, updates: Vec<RunUpdate>) {
    let now = node.now();
    let mut calls: Map<Name, Vec<RunEvent>> = Map::default();
    for event in updates {
        // The holder itself has already seen it.
        if node.token(&event.group).is_some() {
            continue;
        }
        let Some(holder) = node.fleet.holder(&event.group, now) else {
            continue;
        };
        merge(calls.entry(holder).or_default(), &event);
    }
    for (holder, events) in calls {
        tokio::spawn(send_report(node.clone(), holder, events));
    }
}

/// Merges an update into the event of its run.
fn merge(events: &mut Vec<RunEvent>, event: &RunUpdate) {
    let at = events.iter().position(|e| e.run == event.run);
    let at = at.unwrap_or_else(|| {
        events.push(RunEvent {
            run: event.run,
            target: event.target.to_string(),
            ..RunEvent::default()
        });
        events.len() - 1
    });
    let merged = &mut events[at];
    match &event.change {
        RunChange::FirstEvent(ms) => {
            merged.first = true;
            merged.waited_ms = *ms;
        }
        RunChange::Ended => merged.ended = true,
        RunChange::Streamed(StreamReport {
            sample,
            route,
            expected,
        }) => {
            merged.stream_events = sample.events;
            merged.stream_ms = sample.stream_ms;
            merged.longest_gap_ms = sample.longest_gap_ms;
            merged.gap_objective_ms = sample.gap_objective_ms.unwrap_or(0);
            merged.route = route.to_string();
            merged.expected_events = expected.unwrap_or(0);
        }
        RunChange::Success(weight) => merged.good += *weight,
        RunChange::Failure(weight) => merged.bad += *weight,
    }
}

/// What `event` says of a stream that has ended.
fn stream_report(event: &RunEvent) -> Option<StreamReport> {
    let sample = StreamSample {
        events: event.stream_events,
        stream_ms: event.stream_ms,
        longest_gap_ms: event.longest_gap_ms,
        gap_objective_ms: (event.gap_objective_ms > 0).then_some(event.gap_objective_ms),
    };
    (event.stream_events > 0).then(|| StreamReport {
        sample,
        route: event.route.as_str().into(),
        expected: (event.expected_events > 0).then_some(event.expected_events),
    })
}

async fn send_report(node: Arc<Node>, holder: Name, events: Vec<RunEvent>) {
    let Some(mut client) = node.fleet.client(&holder) else {
        return;
    };
    let report = ProgressReport {
        from: node.fleet.me.peer.clone(),
        events,
    };
    let report = node.metrics.peer_sent(Kind::Progress, report);
    let answer = tokio::time::timeout(CALL_TIMEOUT, client.progress(report)).await;
    if !matches!(answer, Ok(Ok(_))) {
        log::debug!(target: "fleet", peer:% = holder; "progress not reported; the next gossip message covers it");
    }
}

impl Fleet {
    /// Takes the receiver of updates; possible only once.
    fn take_updates(&self) -> Option<mpsc::Receiver<RunUpdate>> {
        let mut events = self
            .updates_rx
            .lock()
            .expect("no holder of this lock panics");
        events.take()
    }

    /// Queues an update of an own run.
    pub(crate) fn send_update(&self, event: RunUpdate) {
        if let Err(e) = self.updates_tx.try_send(event) {
            log::debug!(target: "fleet", error:% = e; "progress left to the next gossip message");
        }
    }

    /// Applies a daemon's report on its runs.
    pub(crate) fn apply_progress(&self, node: &Node, report: &ProgressReport) {
        let now = node.now();
        for event in &report.events {
            let target: Name = event.target.as_str().into();
            let (id, read, ended) = {
                let mut state = self.state();
                let Some(peer) = state.peers.get_mut(report.from.as_str()) else {
                    return;
                };
                let Some(id) = peer.daemon.as_ref().map(|a| Name::from(a.id.as_str())) else {
                    return;
                };
                let read = event
                    .first
                    .then(|| peer.runs.mark_prompt_read(event.run))
                    .flatten();
                let ended = event.ended.then(|| peer.runs.end(event.run)).flatten();
                (id, read, ended)
            };
            let mut view = node.view();
            if let Some(run) = read {
                let work = Work {
                    prefill_tokens: run.unread_tokens,
                    ..Work::default()
                };
                view.board.subtract_peer_work(&id, &target, work);
                let prompt = Prompt {
                    tokens: run.unread_tokens,
                    queued_tokens: run.queued_tokens,
                };
                paces::record_first(&mut view, &target, prompt, event.waited_ms, now);
            }
            if let Some(mut run) = ended {
                // A run that is known from gossip alone names no group.
                if let Some(known) = view.targets.get(&target) {
                    run.group = known.failure_domain.clone();
                }
                node.slots.record_end(&run, now);
                view.board.subtract_peer_work(&id, &target, run.work());
                if run.bound_at_ms > 0 && run.unread_tokens == 0 && run.adapter.is_some() {
                    view.hold.record(now.saturating_sub(run.bound_at_ms));
                }
            }
            if let Some(report) = stream_report(event) {
                paces::record_stream(&mut view, &target, &report, now);
            }
            if event.good > 0.0 {
                view.board.record_outcome(&target, true, event.good, now);
            }
            if event.bad > 0.0 {
                view.board.record_outcome(&target, false, event.bad, now);
            }
        }
    }
}
