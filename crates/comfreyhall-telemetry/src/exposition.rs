//! Metrics recorded with opentelemetry and written as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instruments of one process, and their text.
pub struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Default for Exposition {
    fn default() -> Self {
        Self::new()
    }
}

impl Exposition {
    /// No instruments yet.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// The meter to make instruments with.
    pub fn meter(&self) -> Meter {
        self.provider.meter(crate::METER)
    }

    /// Everything recorded so far, in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(e) = TextEncoder::new().encode(&families, &mut out) {
            log::warn!(target: "daemon", "metrics not written: {e}");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
