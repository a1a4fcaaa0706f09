//! Passing a stream of events on, and going on elsewhere when it breaks off.
//!
//! The caller sees one stream: whole events, each id once, in order. When a
//! target breaks off and the route allows it, the rest comes from another
//! target after the last event passed on. When nothing can go on, the
//! caller's connection is broken off too: an answer that ended early must
//! not look complete.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::Outcome;
use futures::StreamExt;

use crate::{
    events::{Event, Events},
    flight::Flight,
    ports::Body,
    serve::{EventStream, Job},
};

/// A pause in a stream after which its target is taken for mute, in ms.
/// Callers count pauses over some 400 ms as late and leave after seconds;
/// steps take 10 to 50 ms, so a second without one is no ordinary load.
const MUTE_MS: u64 = 1_200;

/// Resumptions of one stream at most.
const RESUMES: u32 = 3;

/// A stream from one target after another.
pub(crate) struct Relay {
    body: Body,
    events: Events,
    ready: VecDeque<Event>,
    /// Last event passed on.
    last: Option<u64>,
    pub(crate) flight: Flight,
    passed: u64,
    resumes: u32,
    /// When events were last passed on; 0 for never.
    passed_at: u64,
    /// Longest pause between events so far, in ms.
    pause: u64,
    /// Whether the target closed the connection before the end.
    pub(crate) closed: bool,
}

/// What came next from a target.
enum Step {
    Events,
    End,
    Broken(String),
}

impl Relay {
    /// Relays `body`; `last` is the last event the caller has.
    pub(crate) fn new(body: Body, flight: Flight, last: Option<u64>) -> Self {
        Self {
            body,
            events: Events::default(),
            ready: VecDeque::new(),
            last,
            flight,
            passed: 0,
            resumes: 0,
            passed_at: 0,
            pause: 0,
            closed: false,
        }
    }

    /// Waits for the first event.
    pub(crate) async fn first(&mut self, limit: Duration) -> Result<(), String> {
        match tokio::time::timeout(limit, self.step()).await {
            Ok(Step::Events) => {
                self.flight.first();
                Ok(())
            }
            Ok(Step::End) => Err("it ended without an event".to_string()),
            Ok(Step::Broken(why)) => Err(why),
            Err(_) => Err("no first event in time".to_string()),
        }
    }

    /// The next events, or the end, of the current target.
    async fn step(&mut self) -> Step {
        loop {
            while let Some(event) = self.events.next() {
                if let Err(why) = self.accept(event) {
                    return Step::Broken(why);
                }
            }
            if !self.ready.is_empty() {
                return Step::Events;
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.events.push(&bytes),
                Some(Err(broken)) => {
                    self.closed = broken.connection_closed;
                    return Step::Broken(broken.reason);
                }
                None if self.events.partial() => {
                    self.closed = true;
                    return Step::Broken("it ended within an event".to_string());
                }
                None => return Step::End,
            }
        }
    }

    /// Takes an event in order; drops those the caller has.
    fn accept(&mut self, event: Event) -> Result<(), String> {
        let newest = self.ready.back().and_then(|e| e.id).or(self.last);
        match (event.id, newest) {
            (Some(id), Some(last)) if id <= last => return Ok(()),
            (Some(id), Some(last)) if id > last + 1 => {
                return Err(format!("event {id} came after {last}"));
            }
            _ => {}
        }
        self.ready.push_back(event);
        Ok(())
    }

    /// The stream for the caller.
    pub(crate) fn run(self, job: Job) -> EventStream {
        let state = Some((self, job));
        Box::pin(futures::stream::unfold(state, |state| async {
            let (mut relay, mut job) = state?;
            match relay.next(&mut job).await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some((relay, job)))),
                Some(Err(why)) => Some((Err(why), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self, job: &mut Job) -> Option<Result<Bytes, String>> {
        loop {
            if let Some(bytes) = self.take_ready() {
                self.time_pause(job.node.now());
                return Some(Ok(bytes));
            }
            let pause = MUTE_MS.min(job.left());
            let why = match tokio::time::timeout(Duration::from_millis(pause), self.step()).await {
                Ok(Step::Events) => continue,
                Ok(Step::End) => {
                    self.flight.note(true, 1.0);
                    job.ran_whole();
                    job.ended = true;
                    job.node.metrics.request(job.route.kind, "answered");
                    log::info!(target: "serve", id:% = job.ask.id, route:% = job.route.name, target_id:% = self.flight.target, adapter:% = job.adapter(), events = self.passed, resumes = self.resumes, first = job.first, stall = job.stall, pause = self.pause, aim = job.route.objective_ms, sends = job.verdict.sends, ms = self.flight.took(); "streamed");
                    return None;
                }
                Ok(Step::Broken(why)) => why,
                Err(_) if job.left() == 0 => "its time is up".to_string(),
                Err(_) if !job.route.repeatable() => continue,
                Err(_) => "no event for too long".to_string(),
            };
            if let Err(why) = self.resume(job, why).await {
                return Some(Err(why));
            }
        }
    }

    /// Notes the pause before what is passed on at `now`.
    fn time_pause(&mut self, now: u64) {
        if self.passed_at > 0 {
            self.pause = self.pause.max(now.saturating_sub(self.passed_at));
        }
        self.passed_at = now;
    }

    /// Events that wait, in one piece.
    fn take_ready(&mut self) -> Option<Bytes> {
        let first = self.ready.pop_front()?;
        self.last = first.id.or(self.last);
        self.passed += 1;
        if self.ready.is_empty() {
            return Some(first.bytes);
        }
        let mut all = BytesMut::from(&first.bytes[..]);
        while let Some(event) = self.ready.pop_front() {
            self.last = event.id.or(self.last);
            self.passed += 1;
            all.extend_from_slice(&event.bytes);
        }
        Some(all.freeze())
    }

    /// Goes on at another target after the last event passed on.
    async fn resume(&mut self, job: &mut Job, why: String) -> Result<(), String> {
        self.flight.note(false, 1.0);
        if std::mem::take(&mut self.closed) {
            job.broke(&self.flight);
        }
        job.verdict.record(Outcome::Broken);
        let last = self.last;
        log::info!(target: "serve", id:% = job.ask.id, route:% = job.route.name, fingerprint:% = job.fingerprint(), target_id:% = self.flight.target, events = self.passed, why, left = job.left(); "stream broke off");
        // The old run must be gone before the new one begins.
        self.body = Box::pin(futures::stream::empty());
        self.events = Events::default();
        while job.route.repeatable() && last.is_some() && self.resumes < RESUMES {
            self.resumes += 1;
            let Ok((response, flight)) = job.again(last).await else {
                break;
            };
            if response.refusal.is_some() || !response.status.is_success() || !response.event_stream
            {
                continue;
            }
            self.body = response.body;
            self.flight = flight;
            return Ok(());
        }
        job.ended = true;
        job.node.metrics.request(job.route.kind, "broken_off");
        log::info!(target: "serve", id:% = job.ask.id, route:% = job.route.name, last:? = last, resumes = self.resumes; "stream given up");
        Err(why)
    }
}
