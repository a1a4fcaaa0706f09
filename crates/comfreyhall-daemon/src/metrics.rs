//! The daemon's metrics, recorded with OpenTelemetry.
//!
//! `GET /v1/metrics` returns them in the Prometheus text format. The two most
//! important for operators are load stalls (a histogram, in seconds) and batch
//! efficiency (a gauge per engine, the used share of its batch steps).

use std::sync::Mutex;

use comfreyhall_protocol::{EngineStatus, Map};
use comfreyhall_relay::EndCause;
use comfreyhall_telemetry::Exposition;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Bucket bounds of the load stall histogram, in seconds.
const STALL_BOUNDS: [f64; 10] = [0.0, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0];

/// The daemon's instruments.
pub(crate) struct Metrics {
    exposition: Exposition,
    stall: Histogram<f64>,
    missed_promises: Counter<u64>,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    resumes: Counter<u64>,
    ended: Counter<u64>,
    loads: Counter<u64>,
    quarantine: Counter<u64>,
    efficiency: Gauge<f64>,
    /// Steps and used slots of each engine in its last report.
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
            missed_promises: meter
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
            ended: meter
                .u64_counter("answers_ended")
                .with_description("answers of targets that ended before they were complete")
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

    pub(crate) fn count_quarantine(&self, change: &'static str) {
        self.quarantine.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records how long a started request waited for a load, and whether that
    /// exceeds `promised_ms` (0: no promise).
    pub(crate) fn record_stall(&self, waited: std::time::Duration, promised_ms: u64) {
        self.stall.record(waited.as_secs_f64(), &[]);
        if promised_ms > 0 && waited.as_millis() as u64 > promised_ms {
            self.missed_promises.add(1, &[]);
        }
    }

    /// Counts a request by its outcome.
    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("how", outcome)]);
    }

    /// Counts a token forwarded to a caller.
    pub(crate) fn count_token(&self) {
        self.tokens.add(1, &[]);
    }

    /// Counts an answer resumed on another engine.
    pub(crate) fn count_resume(&self) {
        self.resumes.add(1, &[]);
    }

    /// Counts an answer of a target that ended before it was complete.
    pub(crate) fn count_ended(&self, cause: EndCause) {
        self.ended.add(1, &[KeyValue::new("cause", cause.name())]);
    }

    /// Counts a load command sent to an engine.
    pub(crate) fn count_load(&self) {
        self.loads.add(1, &[]);
    }

    /// Records the batch efficiency of an engine since its previous report.
    pub(crate) fn record_engine(&self, id: &str, status: &EngineStatus) {
        let mut engines = self.engines.lock().expect("no holder of this lock panics");
        let current = (status.steps, status.used);
        let previous = engines.insert(id.to_string(), current).unwrap_or(current);
        let steps = status.steps.saturating_sub(previous.0);
        let used = status.used.saturating_sub(previous.1);
        if steps > 0 && status.width > 0 {
            let used_share = used as f64 / (steps * u64::from(status.width)) as f64;
            let engine = KeyValue::new("engine", id.to_string());
            self.efficiency.record(used_share, &[engine]);
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.exposition.text()
    }
}
