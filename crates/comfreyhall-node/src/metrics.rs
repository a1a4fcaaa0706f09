//! Metrics of the core.
//!
//! No label grows with adapters, customers or requests: the number of series is
//! bounded by the kinds of routes and the possible outcomes.

use std::sync::Mutex;

use comfreyhall_domain::{RouteKind, Set};
use comfreyhall_protocol::News;
use comfreyhall_relay::EndCause;
use comfreyhall_telemetry::Exposition;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use prost::Message;

use crate::traffic::{self, Kind};

/// Histogram boundaries for times to a first event and for load stalls, in
/// seconds; the latency objectives of the deployments served are 0.15 to 1 s.
const BUCKETS_S: [f64; 11] = [0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0];

/// Histogram boundaries for the pace of engines; 1 is the mean.
const BUCKETS_PACE: [f64; 7] = [0.6, 0.8, 0.95, 1.05, 1.25, 1.6, 2.5];

/// Workspaces with a series of their own; all others share one.
const MAX_WORKSPACE_LABELS: usize = 64;

/// The instruments.
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    sends: Counter<u64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    forwards: Counter<u64>,
    resumptions: Counter<u64>,
    stream_records: Gauge<u64>,
    stream_records_sent: Counter<u64>,
    workspace_refusals: Counter<u64>,
    quota_starts: Counter<u64>,
    quota_lent: Counter<f64>,
    quota_held: Gauge<f64>,
    /// Workspaces that have a label of their own.
    labelled: Mutex<Set<String>>,
    adapter_loads: Counter<u64>,
    commands: Counter<u64>,
    lease_changes: Counter<u64>,
    lost_targets: Gauge<u64>,
    answers_ended: Counter<u64>,
    silences: Counter<u64>,
    store_reads: Counter<u64>,
    quarantine: Counter<u64>,
    suspects_left_out: Counter<u64>,
    target_notices: Counter<u64>,
    rows_passed_over: Counter<u64>,
    settings_bytes: Counter<u64>,
    settings_wait: Histogram<f64>,
    first_event: Histogram<f64>,
    load_stall: Histogram<f64>,
    slot_wait: Histogram<f64>,
    engine_pace: Histogram<f64>,
    peer_messages: Counter<u64>,
    peer_bytes: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let exposition = Exposition::new();
        let meter = exposition.meter();
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let seconds = |name: &'static str, about: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            let histogram = histogram.with_description(about);
            histogram.with_boundaries(BUCKETS_S.to_vec()).build()
        };
        Self {
            requests: counter("requests", "requests by kind and how they ended"),
            sends: counter("sends", "sends to targets by how they ended"),
            retries: counter(
                "repeats",
                "sends beyond a request's first, by whether the budget allowed them",
            ),
            refusals: counter("refusals", "requests given up on, by reason"),
            forwards: counter("forwards", "requests passed on to another daemon"),
            resumptions: counter(
                "resumptions",
                "streams that callers resumed, by how their version was known or why not",
            ),
            stream_records: meter
                .u64_gauge("stream_records")
                .with_description("records of streams that may be resumed")
                .build(),
            stream_records_sent: counter(
                "stream_records_sent",
                "records of streams sent to other daemons, by outcome",
            ),
            workspace_refusals: counter(
                "workspace_refusals",
                "requests refused by the cap of their workspace",
            ),
            quota_starts: counter(
                "quota_starts",
                "times that this daemon began to lend for most others, by what it knew",
            ),
            quota_lent: meter
                .f64_counter("quota_lent")
                .with_description("units lent to daemons as a quota coordinator")
                .build(),
            quota_held: meter
                .f64_gauge("quota_held")
                .with_description("units lent that daemons hold unused")
                .build(),
            labelled: Mutex::default(),
            adapter_loads: counter("adapter_loads", "adapters loaded, by where from"),
            commands: counter("orders", "orders to engines by answer"),
            lease_changes: counter("lease_changes", "leases on orders gained or lost"),
            lost_targets: meter
                .u64_gauge("lost_targets")
                .with_description("targets that this daemon does not reach")
                .build(),
            quarantine: counter(
                "quarantine",
                "requests that became suspect of ending targets, were held back or let go",
            ),
            suspects_left_out: counter(
                "suspects_left_out",
                "requests that ended with many targets and that other daemons do not hear of",
            ),
            target_notices: counter(
                "target_notices",
                "targets that began or ceased to say something of themselves, by what",
            ),
            answers_ended: counter(
                "answers_ended",
                "answers of targets that ended before they were complete, by cause",
            ),
            silences: counter(
                "silences",
                "targets that were silent for so long that another one was asked beside them",
            ),
            store_reads: counter("store_reads", "readings of settings and targets by outcome"),
            rows_passed_over: counter(
                "rows_passed_over",
                "rows of the store with older content than is known, as after it came back from a copy",
            ),
            settings_bytes: counter(
                "settings_bytes",
                "bytes of configurations taken in, by who told of them",
            ),
            settings_wait: seconds(
                "settings_wait",
                "time from the first word of a configuration, or the call that brought it, until it was in force",
            ),
            first_event: seconds(
                "first_event",
                "time from a request's arrival to its first event",
            ),
            load_stall: seconds("load_stall", "time a request waited for an adapter"),
            slot_wait: seconds(
                "slot_wait",
                "time a request waited for an adapter slot at its lease holder, by outcome",
            ),
            engine_pace: meter
                .f64_histogram("engine_pace")
                .with_description("time to read a prompt relative to the mean, of engines told of")
                .with_boundaries(BUCKETS_PACE.to_vec())
                .build(),
            peer_messages: counter(
                "peer_messages",
                "messages sent to other daemons, answers included, by call",
            ),
            peer_bytes: counter(
                "peer_bytes",
                "bytes of messages sent to other daemons, by kind of content",
            ),
            exposition,
        }
    }

    /// Counts an answer of a target that ended before it was complete.
    pub(crate) fn answer_ended(&self, cause: EndCause) {
        let labels = [KeyValue::new("cause", cause.name())];
        self.answers_ended.add(1, &labels);
    }

    /// Counts a target that was silent for so long that another one is asked.
    pub(crate) fn silence(&self) {
        self.silences.add(1, &[]);
    }

    pub(crate) fn request(&self, kind: RouteKind, outcome: &'static str) {
        let kind = match kind {
            RouteKind::Idempotent => "safe",
            RouteKind::NonIdempotent => "unsafe",
            RouteKind::Stream => "stream",
        };
        let labels = [KeyValue::new("kind", kind), KeyValue::new("how", outcome)];
        self.requests.add(1, &labels);
    }

    /// Counts a request of `workspace` that was rejected by its quota.
    pub(crate) fn workspace_refusal(&self, workspace: &str, why: &'static str) {
        let mut labelled = self.labelled.lock().expect("no holder of this lock panics");
        let known = labelled.contains(workspace);
        if !known && labelled.len() < MAX_WORKSPACE_LABELS {
            labelled.insert(workspace.to_string());
        }
        let label = match labelled.contains(workspace) {
            true => workspace.to_string(),
            false => "others".to_string(),
        };
        let labels = [KeyValue::new("workspace", label), KeyValue::new("why", why)];
        self.workspace_refusals.add(1, &labels);
    }

    pub(crate) fn quota_start(&self, how: &'static str) {
        self.quota_starts.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn quota_credit(&self, lent: f64, held: f64) {
        self.quota_lent.add(lent, &[]);
        self.quota_held.record(held, &[]);
    }

    pub(crate) fn send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("how", outcome)]);
    }

    pub(crate) fn retry(&self, granted: bool) {
        self.retries.add(1, &[KeyValue::new("granted", granted)]);
    }

    pub(crate) fn forward(&self, how: &'static str) {
        self.forwards.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts a stream that its caller resumed.
    pub(crate) fn resumption(&self, how: &'static str) {
        self.resumptions.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn stream_records(&self, records: usize) {
        self.stream_records.record(records as u64, &[]);
    }

    pub(crate) fn stream_records_sent(&self, how: &'static str, records: usize) {
        let labels = [KeyValue::new("how", how)];
        self.stream_records_sent.add(records as u64, &labels);
    }

    pub(crate) fn refusal(&self, why: &'static str) {
        self.refusals.add(1, &[KeyValue::new("why", why)]);
    }

    pub(crate) fn adapter_load(&self, cached: bool, why: &'static str) {
        let from = if cached { "at_hand" } else { "store" };
        let labels = [KeyValue::new("from", from), KeyValue::new("why", why)];
        self.adapter_loads.add(1, &labels);
    }

    pub(crate) fn command(&self, reply: &'static str) {
        self.commands.add(1, &[KeyValue::new("reply", reply)]);
    }

    pub(crate) fn lease_change(&self, gained: bool) {
        self.lease_changes
            .add(1, &[KeyValue::new("gained", gained)]);
    }

    pub(crate) fn set_lost_targets(&self, lost: usize) {
        self.lost_targets.record(lost as u64, &[]);
    }

    pub(crate) fn store_read(&self, topic: &'static str, ok: bool) {
        let labels = [KeyValue::new("topic", topic), KeyValue::new("ok", ok)];
        self.store_reads.add(1, &labels);
    }

    pub(crate) fn quarantine(&self, change: &'static str, what: &'static str) {
        let labels = [KeyValue::new("change", change), KeyValue::new("what", what)];
        self.quarantine.add(1, &labels);
    }

    pub(crate) fn suspects_left_out(&self, requests: u64) {
        self.suspects_left_out.add(requests, &[]);
    }

    pub(crate) fn target_notice(&self, change: &'static str) {
        self.target_notices
            .add(1, &[KeyValue::new("change", change)]);
    }

    /// Records that a configuration of `bytes` became active, `ms` after it was
    /// first reported.
    pub(crate) fn settings(&self, source: &'static str, bytes: usize, ms: u64) {
        let labels = [KeyValue::new("way", source)];
        self.settings_bytes.add(bytes as u64, &labels);
        self.settings_wait.record(ms as f64 / 1_000.0, &labels);
    }

    pub(crate) fn rows_passed_over(&self, rows: u64) {
        self.rows_passed_over.add(rows, &[]);
    }

    pub(crate) fn first_event(&self, ms: u64) {
        self.first_event.record(ms as f64 / 1_000.0, &[]);
    }

    pub(crate) fn load_stall(&self, ms: u64) {
        self.load_stall.record(ms as f64 / 1_000.0, &[]);
    }

    /// Records that a request has waited `ms` for a slot.
    pub(crate) fn slot_wait(&self, outcome: &'static str, ms: u64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.slot_wait.record(ms as f64 / 1_000.0, &labels);
    }

    /// Records the pace of an engine that is reported to other daemons.
    pub(crate) fn engine_pace(&self, pace: f64) {
        self.engine_pace.record(pace, &[]);
    }

    /// Counts a gossip message to another daemon.
    pub(crate) fn gossip_sent(&self, gossip: &News) {
        self.peer_messages
            .add(1, &[KeyValue::new("call", "gossip")]);
        let sent = traffic::parts(gossip);
        for (kind, bytes) in sent.into_iter().filter(|(_, bytes)| *bytes > 0) {
            self.peer_bytes(kind, bytes);
        }
    }

    /// Counts another message to a daemon, which holds one kind of content; returns it.
    pub(crate) fn peer_sent<M: Message>(&self, kind: Kind, message: M) -> M {
        let labels = [KeyValue::new("call", kind.name())];
        self.peer_messages.add(1, &labels);
        self.peer_bytes(kind, message.encoded_len());
        message
    }

    fn peer_bytes(&self, kind: Kind, bytes: usize) {
        let labels = [KeyValue::new("kind", kind.name())];
        self.peer_bytes.add(bytes as u64, &labels);
    }

    pub(crate) fn text(&self) -> String {
        self.exposition.text()
    }
}
