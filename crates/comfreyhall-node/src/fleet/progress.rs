//! Telling holders at once how runs go on at their engines.
//!
//! What goes wrong without it: a run ends, its place stays in use in the eyes
//! of the holder until the next news, and requests that wait for a place wait
//! that much longer; prompts that were read still count as a queue; and what
//! one daemon learns of a failing engine stays with it, while each of 195
//! daemons sends to an engine once in 45 s.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::{ProgressReport, RunEvent};
use comfreyhall_routing::Work;
use tokio::sync::mpsc;

use super::Fleet;
use crate::node::Node;

/// Events that wait to be told. What does not fit is told by the next news.
pub(super) const QUEUE: usize = 512;

/// Pause that gathers events into one call, in ms: short against the 100
/// ms or so between two places that fall free in one group.
const GATHER: Duration = Duration::from_millis(10);

/// Longest one call may take: after that the next news has told it.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// What became of a run, or of a part of it.
#[derive(Debug, Clone)]
pub(crate) struct RunUpdate {
    pub(crate) run: u64,
    pub(crate) target: Name,
    pub(crate) group: Name,
    pub(crate) change: RunChange,
}

/// One step of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RunChange {
    /// Its first event came, after so many ms.
    FirstEvent(u64),
    /// It has ended, or was never sent.
    Ended,
    /// Its answer says this much for the engine.
    Success(f64),
    /// Its answer says this much against the engine.
    Failure(f64),
}

/// Starts the duty.
pub(super) fn spawn(node: &Arc<Node>) {
    let Some(mut events) = node.fleet.take_events() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        while let Some(first) = events.recv().await {
            tokio::time::sleep(GATHER).await;
            let more = std::iter::from_fn(|| events.try_recv().ok());
            let all: Vec<RunUpdate> = std::iter::once(first).chain(more).collect();
            send_update(&node, all);
        }
    });
}

/// Tells each holder what concerns its engines.
fn send_update(node: &Arc<Node>, all: Vec<RunUpdate>) {
    let now = node.now();
    let mut calls: Map<Name, Vec<RunEvent>> = Map::default();
    for event in all {
        // Whoever holds the group itself has seen it.
        if node.token(&event.group).is_some() {
            continue;
        }
        let Some(holder) = node.fleet.holder(&event.group, now) else {
            continue;
        };
        merge(calls.entry(holder).or_default(), &event);
    }
    for (holder, events) in calls {
        tokio::spawn(call(node.clone(), holder, events));
    }
}

/// Adds an event to those of its run.
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
    let told = &mut events[at];
    match event.change {
        RunChange::FirstEvent(ms) => {
            told.first = true;
            told.waited_ms = ms;
        }
        RunChange::Ended => told.ended = true,
        RunChange::Success(weight) => told.good += weight,
        RunChange::Failure(weight) => told.bad += weight,
    }
}

async fn call(node: Arc<Node>, holder: Name, events: Vec<RunEvent>) {
    let Some(mut client) = node.fleet.client(&holder) else {
        return;
    };
    let report = ProgressReport {
        from: node.fleet.me.peer.clone(),
        events,
    };
    let answer = tokio::time::timeout(CALL_TIMEOUT, client.progress(report)).await;
    if !matches!(answer, Ok(Ok(_))) {
        log::debug!(target: "fleet", peer:% = holder; "progress not told; the next news tells it");
    }
}

impl Fleet {
    /// The events to be told; once only.
    fn take_events(&self) -> Option<mpsc::Receiver<RunUpdate>> {
        let mut events = self.events.lock().expect("no holder of this lock panics");
        events.take()
    }

    /// Has an event of an own run told.
    pub(crate) fn tell(&self, event: RunUpdate) {
        if let Err(e) = self.tell.try_send(event) {
            log::debug!(target: "fleet", error:% = e; "progress left to the next news");
        }
    }

    /// Takes in how a daemon's runs went on.
    pub(super) fn progressed(&self, node: &Node, report: &ProgressReport) {
        let now = node.now();
        for event in &report.events {
            let target: Name = event.target.as_str().into();
            let (id, read, ended) = {
                let mut state = self.state();
                let Some(peer) = state.peers.get_mut(report.from.as_str()) else {
                    return;
                };
                let Some(id) = peer.about.as_ref().map(|a| Name::from(a.id.as_str())) else {
                    return;
                };
                let read = event.first.then(|| peer.runs.read(event.run)).flatten();
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
                view.board
                    .record_first_token(&target, run.queued_tokens, event.waited_ms);
            }
            if let Some(run) = ended {
                view.board.subtract_peer_work(&id, &target, run.work());
                if run.bound_at_ms > 0 && run.unread_tokens == 0 && run.adapter.is_some() {
                    view.hold.record(now.saturating_sub(run.bound_at_ms));
                }
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
