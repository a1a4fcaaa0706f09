//! What the core counts and times.
//!
//! No label grows with adapters, customers or requests: the number of series
//! is bounded by the routes' kinds and the ways things end.

use std::sync::Mutex;

use comfreyhall_domain::{RouteKind, Set};
use comfreyhall_telemetry::Exposition;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

/// Bounds of times to a first event and of load stalls, in seconds; the
/// objectives of the deployments served are 0.15 to 1 s.
const BOUNDS: [f64; 11] = [0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0];

/// Workspaces with a series of their own; the rest have one together.
const MOST_WORKSPACES: usize = 64;

/// The instruments.
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    sends: Counter<u64>,
    repeats: Counter<u64>,
    refusals: Counter<u64>,
    workspaces: Counter<u64>,
    /// Workspaces that have a label of their own.
    named: Mutex<Set<String>>,
    loads: Counter<u64>,
    orders: Counter<u64>,
    leases: Counter<u64>,
    store: Counter<u64>,
    quarantine: Counter<u64>,
    gates: Counter<u64>,
    settings_bytes: Counter<u64>,
    settings: Histogram<f64>,
    first: Histogram<f64>,
    stall: Histogram<f64>,
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
            histogram.with_boundaries(BOUNDS.to_vec()).build()
        };
        Self {
            requests: counter("requests", "requests by kind and how they ended"),
            sends: counter("sends", "sends to targets by how they ended"),
            repeats: counter(
                "repeats",
                "sends beyond a request's first, by whether the budget allowed them",
            ),
            refusals: counter("refusals", "requests given up on, by reason"),
            workspaces: counter(
                "workspace_refusals",
                "requests refused by the cap of their workspace",
            ),
            named: Mutex::default(),
            loads: counter("adapter_loads", "adapters loaded, by where from"),
            orders: counter("orders", "orders to engines by answer"),
            leases: counter("lease_changes", "leases on orders gained or lost"),
            quarantine: counter(
                "quarantine",
                "requests that became suspect of ending targets, were held back or let go",
            ),
            gates: counter(
                "target_notices",
                "targets that began or ceased to say something of themselves, by what",
            ),
            store: counter("store_reads", "readings of settings and targets by outcome"),
            settings_bytes: counter(
                "settings_bytes",
                "bytes of configurations taken in, by who told of them",
            ),
            settings: seconds(
                "settings_wait",
                "time from the first word of a configuration, or the call that brought it, until it was in force",
            ),
            first: seconds(
                "first_event",
                "time from a request's arrival to its first event",
            ),
            stall: seconds("load_stall", "time a request waited for an adapter"),
            exposition,
        }
    }

    pub(crate) fn request(&self, kind: RouteKind, how: &'static str) {
        let kind = match kind {
            RouteKind::Idempotent => "safe",
            RouteKind::NonIdempotent => "unsafe",
            RouteKind::Stream => "stream",
        };
        let labels = [KeyValue::new("kind", kind), KeyValue::new("how", how)];
        self.requests.add(1, &labels);
    }

    /// A request of `workspace` was refused by its cap.
    pub(crate) fn workspace_refusal(&self, workspace: &str, why: &'static str) {
        let mut named = self.named.lock().expect("no holder of this lock panics");
        let known = named.contains(workspace);
        if !known && named.len() < MOST_WORKSPACES {
            named.insert(workspace.to_string());
        }
        let label = match named.contains(workspace) {
            true => workspace.to_string(),
            false => "others".to_string(),
        };
        let labels = [KeyValue::new("workspace", label), KeyValue::new("why", why)];
        self.workspaces.add(1, &labels);
    }

    pub(crate) fn send(&self, how: &'static str) {
        self.sends.add(1, &[KeyValue::new("how", how)]);
    }

    pub(crate) fn retry(&self, granted: bool) {
        self.repeats.add(1, &[KeyValue::new("granted", granted)]);
    }

    pub(crate) fn refusal(&self, why: &'static str) {
        self.refusals.add(1, &[KeyValue::new("why", why)]);
    }

    pub(crate) fn adapter_load(&self, recent: bool) {
        let from = if recent { "at_hand" } else { "store" };
        self.loads.add(1, &[KeyValue::new("from", from)]);
    }

    pub(crate) fn command(&self, reply: &'static str) {
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    pub(crate) fn lease_change(&self, gained: bool) {
        self.leases.add(1, &[KeyValue::new("gained", gained)]);
    }

    pub(crate) fn store_read(&self, topic: &'static str, ok: bool) {
        let labels = [KeyValue::new("topic", topic), KeyValue::new("ok", ok)];
        self.store.add(1, &labels);
    }

    pub(crate) fn quarantine(&self, change: &'static str) {
        self.quarantine.add(1, &[KeyValue::new("change", change)]);
    }

    pub(crate) fn target_notice(&self, change: &'static str) {
        self.gates.add(1, &[KeyValue::new("change", change)]);
    }

    /// A configuration of `bytes` is in force, `ms` after the first word of it.
    pub(crate) fn settings(&self, way: &'static str, bytes: usize, ms: u64) {
        let labels = [KeyValue::new("way", way)];
        self.settings_bytes.add(bytes as u64, &labels);
        self.settings.record(ms as f64 / 1_000.0, &labels);
    }

    pub(crate) fn first_event(&self, ms: u64) {
        self.first.record(ms as f64 / 1_000.0, &[]);
    }

    pub(crate) fn load_stall(&self, ms: u64) {
        self.stall.record(ms as f64 / 1_000.0, &[]);
    }

    pub(crate) fn text(&self) -> String {
        self.exposition.text()
    }
}
