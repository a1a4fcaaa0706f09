//! Relays an event stream, and goes on with the answer of another target when its own
//! ends or is silent.
//!
//! The caller sees one stream: whole events, each id once, in order. A target that is
//! silent keeps its answer until another one has brought the next event. When no answer
//! is open and none can be had, the caller's connection is aborted: an answer that ended
//! early must not look complete.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::Outcome;
use comfreyhall_relay::{EndCause, Event, Merge, Next, silence_limit_ms};
use comfreyhall_routing::StreamSample;

use crate::{
    active_send::ActiveSend,
    fleet::updates::StreamReport,
    ports::BodyError,
    quarantine,
    serve::{
        ActiveRequest, EventStream,
        beside::{ARRIVED_WAIT, Elsewhere},
        exchange::Exchanged,
    },
    source::{END_CHECK_PERIOD, EventSource, Item, StreamStart, target_ended},
};

/// A stream from one target after another.
pub(crate) struct Relay {
    source: EventSource,
    merge: Merge,
    /// Deadline on this daemon's clock, which newer settings do not change.
    deadline_ms: u64,
    pending: VecDeque<Event>,
    /// Whether it is complete, and whether that is certain.
    completed: Option<bool>,
    send: ActiveSend,
    /// Why the last answer that ended early did.
    why: String,
    events_sent: u64,
    /// Time when events were first sent to the caller; 0 for never.
    first_sent_ms: u64,
    /// Time when events were last sent to the caller; 0 for never.
    last_sent_ms: u64,
    /// Longest gap between events so far, in ms.
    max_pause_ms: u64,
}

/// How the stream goes on.
enum Progress {
    /// Events may be pending.
    Going,
    Complete {
        /// Whether that is certain.
        proven: bool,
    },
    GivenUp(EndCause),
}

/// What came first while another answer was sought.
enum Found {
    /// Events of the open answer.
    Events,
    /// The end of the open answer, which is complete; whether that is certain.
    Complete(bool),
    Other(Elsewhere),
    Deadline,
}

impl Found {
    /// Whether it is another answer that goes on.
    fn is_stream(&self) -> bool {
        matches!(self, Found::Other(Ok(answer)) if matches!(answer.1, Exchanged::Stream(_)))
    }
}

impl Relay {
    /// Relays `start`, which has just begun, for `request`.
    pub(crate) fn new(start: StreamStart, send: ActiveSend, request: &ActiveRequest) -> Self {
        let route = &request.route;
        let silent_ms = silence_limit_ms(route.objective_ms, route.gap_objective_ms);
        let now = request.node.now();
        Self {
            source: start.source,
            merge: Merge::new(start.order, request.seek_policy(), silent_ms, now),
            deadline_ms: request.deadline_ms,
            pending: start.events,
            completed: None,
            send,
            why: String::new(),
            events_sent: 0,
            first_sent_ms: 0,
            last_sent_ms: 0,
            max_pause_ms: 0,
        }
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
        self.merge.wait_began(request.node.now());
        loop {
            self.take_ready(request);
            if let Some(bytes) = self.take_pending() {
                self.record_pause(request.node.now());
                request.report_going_on(&self.send);
                return Some(Ok(bytes));
            }
            if let Some(proven) = self.completed {
                self.finish(request, proven);
                return None;
            }
            match self.advance(request).await {
                Progress::Going => {}
                Progress::Complete { proven } => self.completed = Some(proven),
                Progress::GivenUp(cause) => {
                    self.give_up(request, cause);
                    return Some(Err(std::mem::take(&mut self.why)));
                }
            }
        }
    }

    /// Waits for the open answer, or seeks another one.
    async fn advance(&mut self, request: &mut ActiveRequest) -> Progress {
        let now = request.node.now();
        match self.merge.next(now, self.deadline_ms) {
            Next::GiveUp(cause) => Progress::GivenUp(cause),
            Next::Seek => {
                if self.merge.is_open()
                    && let Ok(item) = tokio::time::timeout(ARRIVED_WAIT, self.source.next()).await
                {
                    return self.take(request, item).await;
                }
                self.seek(request).await
            }
            Next::Wait { until_ms } => {
                let limit = Duration::from_millis(until_ms.saturating_sub(now));
                if !self.merge.is_open() {
                    tokio::time::sleep(limit).await;
                    return Progress::Going;
                }
                let is_silent = self.merge.is_silent(now);
                let limit = match is_silent {
                    true => limit.min(END_CHECK_PERIOD),
                    false => limit,
                };
                let Ok(item) = tokio::time::timeout(limit, self.source.next()).await else {
                    if is_silent && self.send.is_target_ended().await {
                        self.break_off(request, &target_ended());
                    }
                    return Progress::Going;
                };
                self.take(request, item).await
            }
        }
    }

    /// Takes what the open answer brings.
    async fn take(&mut self, request: &mut ActiveRequest, item: Item) -> Progress {
        match item {
            Item::Event(event) => self.take_event(request, event),
            Item::End => return self.end(request).await,
            Item::Broken(error) => self.break_off(request, &error),
        }
        Progress::Going
    }

    /// Seeks another answer beside the open one, if that is open.
    async fn seek(&mut self, request: &mut ActiveRequest) -> Progress {
        if self.merge.is_open() && self.merge.is_first_seek() {
            request.record_silent(&self.send);
        }
        self.merge.seek_began();
        let left = Duration::from_millis(self.deadline_ms.saturating_sub(request.node.now()));
        let node = request.node.clone();
        let mut broken = None;
        let (open_sends, binding) = (request.open_sends(), request.binding());
        let found = {
            let open = self.merge.is_open().then_some(&self.send.target);
            let asking = request.answer_elsewhere(self.merge.last(), open);
            let deadline = tokio::time::sleep(left);
            tokio::pin!(asking, deadline);
            loop {
                tokio::select! {
                    biased;
                    item = self.source.next(), if self.merge.is_open() => match item {
                        Item::Event(event) => {
                            match self.merge.event(event, &mut self.pending, node.now()) {
                                Ok(true) => break Found::Events,
                                Ok(false) => {}
                                Err(why) => {
                                    self.merge.ended(why.cause(), node.now());
                                    self.source.close();
                                    broken = Some(why.into());
                                }
                            }
                        }
                        Item::End if self.source.has_explicit_end() => {
                            break Found::Complete(true);
                        }
                        // The other answer is kept until it is known what the end means.
                        Item::End => match quarantine::has_ended(&node, &self.send.target).await {
                            Some(true) => {
                                self.merge.ended(EndCause::TargetEnded, node.now());
                                self.source.close();
                                broken = Some(target_ended());
                            }
                            known => break Found::Complete(known.is_some()),
                        },
                        Item::Broken(error) => {
                            self.merge.ended(error.cause, node.now());
                            self.source.close();
                            broken = Some(error);
                        }
                    },
                    other = &mut asking => break Found::Other(other),
                    () = &mut deadline => break Found::Deadline,
                }
            }
        };
        if !matches!(found, Found::Other(_)) {
            request.record_cancelled(open_sends);
        }
        if !found.is_stream() {
            request.restore(&binding);
        }
        if let Some(error) = broken {
            self.break_off(request, &error);
        }
        match found {
            Found::Events | Found::Deadline => {}
            Found::Complete(proven) => return self.complete(request, proven),
            Found::Other(Ok(answer)) => match *answer {
                (exchange, Exchanged::Stream(start)) => self.switch(request, exchange.send, *start),
                (exchange, _) => {
                    request.history.record(Outcome::Answered);
                    request.settle(&exchange.send);
                    self.fail_seek(request, "the other answer is no stream");
                }
            },
            Found::Other(Err(why)) => self.fail_seek(request, why),
        }
        Progress::Going
    }

    fn fail_seek(&mut self, request: &ActiveRequest, why: &'static str) {
        request.log_not_asked(why);
        self.merge.seek_failed(request.node.now());
    }

    /// Goes on with the answer `start`, whose first events are the next ones.
    fn switch(&mut self, request: &mut ActiveRequest, mut send: ActiveSend, start: StreamStart) {
        if self.merge.is_open() {
            request.record_superseded(&self.send);
        }
        send.record_first_event();
        log::info!(target: "serve", id:% = request.client_request.id, target_id:% = send.target, software = request.software(), listed = request.targets_age_ms, last:? = self.merge.last(), resumes = self.merge.switches() + 1; "stream resumed");
        self.merge.switch(start.order, request.node.now());
        self.pending.extend(start.events);
        // Dropping the former source cancels its run.
        self.source = start.source;
        self.send = send;
    }

    /// Takes an event of the open answer.
    fn take_event(&mut self, request: &mut ActiveRequest, event: Event) {
        let now = request.node.now();
        if let Err(why) = self.merge.event(event, &mut self.pending, now) {
            self.break_off(request, &why.into());
        }
    }

    /// Takes the events of the open answer that have arrived whole.
    fn take_ready(&mut self, request: &mut ActiveRequest) {
        while self.merge.is_open()
            && let Some(event) = self.source.take_ready()
        {
            self.take_event(request, event);
        }
    }

    /// The open answer has ended; it is complete unless its target has ended with it.
    async fn end(&mut self, request: &mut ActiveRequest) -> Progress {
        if self.source.has_explicit_end() {
            return self.complete(request, true);
        }
        match quarantine::has_ended(&request.node, &self.send.target).await {
            Some(true) => {
                self.break_off(request, &target_ended());
                Progress::Going
            }
            known => self.complete(request, known.is_some()),
        }
    }

    /// The open answer is complete by its framing, and so is the stream unless its last
    /// events are spoilt.
    fn complete(&mut self, request: &mut ActiveRequest, proven: bool) -> Progress {
        match self.merge.finish(&mut self.pending) {
            Ok(()) => Progress::Complete { proven },
            Err(why) => {
                self.break_off(request, &why.into());
                Progress::Going
            }
        }
    }

    /// The open answer has ended early.
    fn break_off(&mut self, request: &mut ActiveRequest, error: &BodyError) {
        let cause = error.cause;
        self.merge.ended(cause, request.node.now());
        self.source.close();
        if cause.is_target_failure() {
            self.send.record_outcome(false, 1.0);
        }
        if cause.may_be_target_end() {
            request.report_closed(&self.send);
        }
        request.history.record(Outcome::Broken);
        request.settle(&self.send);
        request.node.metrics.answer_ended(cause);
        self.why = error.reason.clone();
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, fingerprint:% = request.fingerprint(), segments = request.client_request.segment_ids(), target_id:% = self.send.target, software = request.software(), events = self.events_sent, cause = cause.name(), why = self.why, left = request.remaining_ms(); "stream broke off");
    }

    fn give_up(&mut self, request: &mut ActiveRequest, cause: EndCause) {
        if self.merge.is_open() {
            let error = BodyError {
                reason: "the deadline has passed".to_string(),
                cause,
            };
            self.break_off(request, &error);
        }
        request.finished = true;
        request
            .node
            .metrics
            .request(request.route.kind, "broken_off");
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, cause = cause.name(), last:? = self.merge.last(), resumes = self.merge.switches(); "stream given up");
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
        log::info!(target: "serve", id:% = request.client_request.id, route:% = request.route.name, target_id:% = self.send.target, software = request.software(), listed = request.targets_age_ms, adapter:% = request.adapter(), events = self.events_sent, resumes = self.merge.switches(), first = request.first_event_ms, stall = request.load_wait_ms, pause = self.max_pause_ms, aim = request.route.objective_ms, sends = request.history.sends, ms = self.send.elapsed_ms(), config, bound, age = request.settings_age_ms; "streamed");
    }

    /// Reports how fast the target streamed; a resumed stream had two targets.
    fn report_pace(&self, request: &ActiveRequest) {
        if self.merge.switches() > 0 || self.events_sent == 0 {
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
        self.events_sent += 1;
        if self.pending.is_empty() {
            return Some(first.bytes);
        }
        let mut all = BytesMut::from(&first.bytes[..]);
        while let Some(event) = self.pending.pop_front() {
            self.events_sent += 1;
            all.extend_from_slice(&event.bytes);
        }
        Some(all.freeze())
    }
}
