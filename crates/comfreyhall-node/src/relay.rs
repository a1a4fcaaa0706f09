//! Relays an event stream, and resumes it at another target when it is
//! interrupted.
//!
//! The caller sees one stream: whole events, each id once, in order. When a
//! target fails and the route allows it, the rest comes from another target
//! after the last event sent to the caller. When the stream cannot be resumed,
//! the caller's connection is aborted: an answer that ended early must not look
//! complete.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::Outcome;
use comfreyhall_relay::{Event, EventSplitter};
use comfreyhall_routing::StreamSample;
use futures::StreamExt;

use crate::{
    active_send::ActiveSend,
    fleet::updates::StreamReport,
    ports::{Body, Framing, Response},
    quarantine,
    serve::{ActiveRequest, EventStream},
};

/// Gap between events after which the target counts as hung, in ms. Callers
/// count gaps over some 400 ms as late and leave after seconds; steps take 10
/// to 50 ms, so a second without one is no ordinary load.
const MAX_EVENT_GAP_MS: u64 = 1_200;

/// Maximum number of resumptions of one stream.
const MAX_RESUMES: u32 = 3;

/// A stream from one target after another.
pub(crate) struct Relay {
    body: Body,
    framing: Framing,
    splitter: EventSplitter,
    pending: VecDeque<Event>,
    /// Id of the last event sent to the caller.
    last_event: Option<u64>,
    pub(crate) send: ActiveSend,
    events_sent: u64,
    resumes: u32,
    /// Time when events were first sent to the caller; 0 for never.
    first_sent_ms: u64,
    /// Time when events were last sent to the caller; 0 for never.
    last_sent_ms: u64,
    /// Longest gap between events so far, in ms.
    max_pause_ms: u64,
    /// Whether the target closed the connection before the end.
    pub(crate) connection_closed: bool,
}

/// What the current target delivered next.
enum Step {
    Events,
    End,
    Broken(String),
}

/// Whether a stream that has ended is complete.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    Complete,
    /// As far as can be told: its target does not say whether it has crashed.
    Unproven,
    TargetEnded,
}

impl Relay {
    /// Relays the body of `response`; `last_event` is the last event that the caller has.
    pub(crate) fn new(response: Response, send: ActiveSend, last_event: Option<u64>) -> Self {
        Self {
            body: response.body,
            framing: response.framing,
            splitter: EventSplitter::default(),
            pending: VecDeque::new(),
            last_event,
            send,
            events_sent: 0,
            resumes: 0,
            first_sent_ms: 0,
            last_sent_ms: 0,
            max_pause_ms: 0,
            connection_closed: false,
        }
    }

    /// Waits for the first event.
    pub(crate) async fn first_event(&mut self, limit: Duration) -> Result<(), String> {
        match tokio::time::timeout(limit, self.step()).await {
            Ok(Step::Events) => {
                self.send.record_first_event();
                Ok(())
            }
            Ok(Step::End) => {
                self.connection_closed = self.framing == Framing::UntilClose;
                Err("the stream ended without an event".to_string())
            }
            Ok(Step::Broken(why)) => Err(why),
            Err(_) => Err("no first event in time".to_string()),
        }
    }

    /// The next events of the current target, or its end.
    async fn step(&mut self) -> Step {
        loop {
            while let Some(event) = self.splitter.take_event() {
                if let Err(why) = self.accept(event) {
                    return Step::Broken(why);
                }
            }
            if !self.pending.is_empty() {
                return Step::Events;
            }
            match self.body.next().await {
                Some(Ok(bytes)) => {
                    if let Err(oversize) = self.splitter.push(&bytes) {
                        return Step::Broken(oversize.to_string());
                    }
                }
                Some(Err(error)) => {
                    self.connection_closed = error.cause.may_be_target_end();
                    return Step::Broken(error.reason);
                }
                None if self.splitter.has_partial() => {
                    self.connection_closed = true;
                    return Step::Broken("the stream ended in the middle of an event".to_string());
                }
                None => return Step::End,
            }
        }
    }

    /// Whether the stream of the current target, which has ended, is complete.
    async fn ending(&mut self, request: &ActiveRequest) -> Ending {
        if self.framing == Framing::Explicit {
            return Ending::Complete;
        }
        match quarantine::has_ended(&request.node, &self.send.target).await {
            Some(true) => Ending::TargetEnded,
            Some(false) => Ending::Complete,
            None => Ending::Unproven,
        }
    }

    /// Queues an event that is in order; skips those that the caller has.
    fn accept(&mut self, event: Event) -> Result<(), String> {
        let newest = self.pending.back().and_then(|e| e.id).or(self.last_event);
        match (event.id, newest) {
            (Some(id), Some(last)) if id <= last => return Ok(()),
            (Some(id), Some(last)) if id > last + 1 => {
                return Err(format!("event {id} came after {last}"));
            }
            _ => {}
        }
        self.pending.push_back(event);
        Ok(())
    }

    /// The stream for the caller.
    pub(crate) fn run(self, request: ActiveRequest) -> EventStream {
        let state = Some((self, request));
        Box::pin(futures::stream::unfold(state, |state| async {
            let (mut relay, mut request) = state?;
            match relay.next(&mut request).await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some((relay, request)))),
                Some(Err(why)) => Some((Err(why), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self, request: &mut ActiveRequest) -> Option<Result<Bytes, String>> {
        loop {
            if let Some(bytes) = self.take_pending() {
                self.record_pause(request.node.now());
                request.report_going_on(&self.send);
                return Some(Ok(bytes));
            }
            let pause = MAX_EVENT_GAP_MS.min(request.remaining_ms());
            let why = match tokio::time::timeout(Duration::from_millis(pause), self.step()).await {
                Ok(Step::Events) => continue,
                Ok(Step::End) => match self.ending(request).await {
                    Ending::TargetEnded => {
                        self.connection_closed = true;
                        "the target ended with its stream".to_string()
                    }
                    ending => {
                        self.finish(request, ending == Ending::Complete);
                        return None;
                    }
                },
                Ok(Step::Broken(why)) => why,
                Err(_) if request.remaining_ms() == 0 => "the deadline has passed".to_string(),
                Err(_) if !request.route.repeatable() => continue,
                Err(_) => "no event within the maximum gap".to_string(),
            };
            if let Err(why) = self.resume(request, why).await {
                return Some(Err(why));
            }
        }
    }

    /// Records the end of the stream; `proven`: it is certain that it is complete.
    fn finish(&self, request: &mut ActiveRequest, proven: bool) {
        self.send.record_outcome(true, 1.0);
        self.report_pace(request);
        if proven {
            request.report_completed();
        }
        request.finished = true;
        request.node.metrics.request(request.route.kind, "answered");
        let (config, bound) = request.settings_bound();
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, target_id:% = self.send.target, software = request.software(), listed = request.targets_age_ms, adapter:% = request.adapter(), events = self.events_sent, resumes = self.resumes, first = request.first_event_ms, stall = request.load_wait_ms, pause = self.max_pause_ms, aim = request.route.objective_ms, sends = request.history.sends, ms = self.send.elapsed_ms(), config, bound, age = request.settings_age_ms; "streamed");
    }

    /// Reports how fast the target streamed; a resumed stream had two targets.
    fn report_pace(&self, request: &ActiveRequest) {
        if self.resumes > 0 || self.events_sent == 0 {
            return;
        }
        let events = self.events_sent as u32;
        let sample = StreamSample {
            events,
            stream_ms: self.last_sent_ms.saturating_sub(self.first_sent_ms),
            longest_gap_ms: self.max_pause_ms,
            gap_objective_ms: request.route.gap_objective_ms,
        };
        self.send.record_stream(StreamReport {
            sample,
            route: request.route.name.clone(),
            expected: request.expected_events(),
        });
    }

    /// Records the gap before the events sent at `now`.
    fn record_pause(&mut self, now: u64) {
        if self.first_sent_ms == 0 {
            self.first_sent_ms = now;
        }
        if self.last_sent_ms > 0 {
            self.max_pause_ms = self.max_pause_ms.max(now.saturating_sub(self.last_sent_ms));
        }
        self.last_sent_ms = now;
    }

    /// All queued events in one chunk.
    fn take_pending(&mut self) -> Option<Bytes> {
        let first = self.pending.pop_front()?;
        self.last_event = first.id.or(self.last_event);
        self.events_sent += 1;
        if self.pending.is_empty() {
            return Some(first.bytes);
        }
        let mut all = BytesMut::from(&first.bytes[..]);
        while let Some(event) = self.pending.pop_front() {
            self.last_event = event.id.or(self.last_event);
            self.events_sent += 1;
            all.extend_from_slice(&event.bytes);
        }
        Some(all.freeze())
    }

    /// Resumes at another target after the last event sent to the caller.
    async fn resume(&mut self, request: &mut ActiveRequest, why: String) -> Result<(), String> {
        self.send.record_outcome(false, 1.0);
        if std::mem::take(&mut self.connection_closed) {
            request.report_closed(&self.send);
        }
        request.history.record(Outcome::Broken);
        let last = self.last_event;
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, fingerprint:% = request.fingerprint(), segments = request.client_request.segment_ids(), target_id:% = self.send.target, software = request.software(), events = self.events_sent, why, left = request.remaining_ms(); "stream broke off");
        // The old run must be cancelled before the new one begins.
        self.body = Box::pin(futures::stream::empty());
        self.splitter = EventSplitter::default();
        while request.route.repeatable() && last.is_some() && self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let Ok((response, send)) = request.resume_elsewhere(last).await else {
                break;
            };
            if response.refusal.is_some() || !response.status.is_success() || !response.event_stream
            {
                continue;
            }
            log::info!(target: "serve", id:% = request.client_request.id, target_id:% = send.target, software = request.software(), listed = request.targets_age_ms, last:? = last, resumes = self.resumes; "stream resumed");
            self.body = response.body;
            self.framing = response.framing;
            self.send = send;
            return Ok(());
        }
        request.finished = true;
        request
            .node
            .metrics
            .request(request.route.kind, "broken_off");
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, last:? = last, resumes = self.resumes; "stream given up");
        Err(why)
    }
}
