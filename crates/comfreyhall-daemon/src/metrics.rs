//! The daemon's metrics, recorded with opentelemetry and served as text.
//!
//! `GET /v1/metrics` answers in the Prometheus text format. The two figures
//! the operators weigh come first: load stalls (a histogram, in seconds) and
//! batch efficiency (a gauge per engine, the used share of its batch steps).

use std::sync::Mutex;

use comfreyhall_protocol::{EngineStatus, Map};
use comfreyhall_telemetry::Exposition;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Bounds of the load stall histogram, in seconds.
const STALL_BOUNDS: [f64; 10] = [0.0, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0];

/// The daemon's instruments.
pub(crate) struct Metrics {
    exposition: Exposition,
    stall: Histogram<f64>,
    missed: Counter<u64>,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    resumes: Counter<u64>,
    loads: Counter<u64>,
    quarantine: Counter<u64>,
    efficiency: Gauge<f64>,
    /// Steps and used slots of each engine at the last report.
    engines: Mutex<Map<String, (u64, u64)>>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let exposition = Exposition::new();
        let meter = exposition.meter();
        Self {
            stall: meter
                .f64_histogram("load_stall")
                .with_unit("s")
                .with_description("time a request waited for an adapter load")
                .with_boundaries(STALL_BOUNDS.to_vec())
                .build(),
            missed: meter
                .u64_counter("stall_promises_missed")
                .with_description("requests that waited longer than their customer's terms")
                .build(),
            requests: meter
                .u64_counter("requests")
                .with_description("requests by how they ended")
                .build(),
            tokens: meter
                .u64_counter("tokens")
                .with_description("tokens passed on to callers")
                .build(),
            resumes: meter
                .u64_counter("resumes")
                .with_description("answers that went on at another engine")
                .build(),
            loads: meter
                .u64_counter("load_orders")
                .with_description("load orders sent to engines")
                .build(),
            quarantine: meter
                .u64_counter("quarantine")
                .with_description(
                    "requests that became suspect of ending targets, were held back or let go",
                )
                .build(),
            efficiency: meter
                .f64_gauge("batch_efficiency")
                .with_description("used share of an engine's batch steps, 0 to 1")
                .build(),
            engines: Mutex::default(),
            exposition,
        }
    }

    pub(crate) fn quarantine(&self, change: &'static str) {
        self.quarantine.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records how long a started request waited for a load, and whether
    /// that is longer than `promise_ms` (0: nothing was promised).
    pub(crate) fn stall(&self, waited: std::time::Duration, promise_ms: u64) {
        self.stall.record(waited.as_secs_f64(), &[]);
        if promise_ms > 0 && waited.as_millis() as u64 > promise_ms {
            self.missed.add(1, &[]);
        }
    }

    /// Counts a request that ended as `how`.
    pub(crate) fn request(&self, how: &'static str) {
        self.requests.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts a token passed on.
    pub(crate) fn token(&self) {
        self.tokens.add(1, &[]);
    }

    /// Counts an answer that went on at another engine.
    pub(crate) fn resume(&self) {
        self.resumes.add(1, &[]);
    }

    /// Counts a load order.
    pub(crate) fn load(&self) {
        self.loads.add(1, &[]);
    }

    /// Takes an engine's report: its batch efficiency since the last one.
    pub(crate) fn engine(&self, id: &str, status: &EngineStatus) {
        let mut engines = self.engines.lock().expect("no holder of this lock panics");
        let now = (status.steps, status.used);
        let before = engines.insert(id.to_string(), now).unwrap_or(now);
        let steps = status.steps.saturating_sub(before.0);
        let used = status.used.saturating_sub(before.1);
        if steps > 0 && status.width > 0 {
            let share = used as f64 / (steps * u64::from(status.width)) as f64;
            let engine = KeyValue::new("engine", id.to_string());
            self.efficiency.record(share, &[engine]);
        }
    }

    /// Everything recorded so far, in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.exposition.text()
    }
}
