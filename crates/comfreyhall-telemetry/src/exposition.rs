//! Exports opentelemetry metrics in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics of one process and their Prometheus exporter.
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
    /// Creates an exporter without instruments.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// The meter that creates the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(crate::METER)
    }

    /// Encodes the current values of all metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(e) = TextEncoder::new().encode(&families, &mut out) {
            log::warn!(target: "daemon", "cannot encode metrics: {e}");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
