//! How long a run takes, from how much output its caller expects.
//!
//! Outputs and hints are counted in events of the stream.
//!
//! Callers may say how much output they expect. What that is worth differs
//! between routes: some always say a round number, others are off by a factor.
//! So the ratio of the real to the expected output and its spread are learned
//! for each route, as logarithms, since a hint is wrong by a factor.

use comfreyhall_domain::{Map, Name};

/// Weight of one sample in the moving averages: the last hundred or so decide.
const EWMA_WEIGHT: f64 = 0.02;

/// Assumed spread of a hint that no answer has confirmed, as a logarithm: a
/// factor of 2.
const INITIAL_SPREAD: f64 = 0.7;

/// Assumed output before any is known, in events.
const INITIAL_OUTPUT: f64 = 50.0;

/// Bound of one sample's ratio, as a logarithm.
const MAX_LOG_RATIO: f64 = 3.0;

/// Expected output of a request, in events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutputEstimate {
    /// The mean.
    pub events: f64,
    /// Factor by which two thirds of the outputs differ from it at most.
    pub spread: f64,
}

/// Moving mean and variance of a logarithm.
#[derive(Debug, Clone, Copy)]
struct LogMean {
    mean: f64,
    variance: f64,
}

impl LogMean {
    fn new(value: f64) -> Self {
        Self {
            mean: value,
            variance: INITIAL_SPREAD * INITIAL_SPREAD,
        }
    }

    fn record(&mut self, value: f64) {
        let delta = value - self.mean;
        self.mean += EWMA_WEIGHT * delta;
        self.variance += EWMA_WEIGHT * (delta * delta - self.variance);
    }

    /// Mean and spread of a lognormal with these moments, times `scale`.
    fn estimate(self, scale: f64) -> OutputEstimate {
        OutputEstimate {
            events: scale * (self.mean + self.variance / 2.0).exp(),
            spread: self.variance.sqrt().exp(),
        }
    }
}

/// Outputs of one route.
#[derive(Debug, Clone, Copy)]
struct RouteOutputs {
    /// Output of requests without a hint.
    plain: LogMean,
    /// Ratio of output to hint.
    ratio: LogMean,
}

impl Default for RouteOutputs {
    fn default() -> Self {
        Self {
            plain: LogMean::new(INITIAL_OUTPUT.ln()),
            ratio: LogMean::new(0.0),
        }
    }
}

/// Outputs of the runs of each route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: Map<Name, RouteOutputs>,
}

impl RunTimes {
    /// Records that a run of `route` had `events`, of which its caller expected
    /// `expected`.
    pub fn record(&mut self, route: &Name, events: u32, expected: Option<u32>) {
        let output = f64::from(events.max(1)).ln();
        let outputs = self.routes.entry(route.clone()).or_default();
        match expected {
            Some(expected) => {
                let ratio = output - f64::from(expected.max(1)).ln();
                outputs
                    .ratio
                    .record(ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO));
            }
            None => outputs.plain.record(output),
        }
    }

    /// Expected output of a request of `route` whose caller expects `expected`.
    pub fn output(&self, route: &Name, expected: Option<u32>) -> OutputEstimate {
        let outputs = self.routes.get(route).copied().unwrap_or_default();
        match expected {
            Some(expected) => outputs.ratio.estimate(f64::from(expected)),
            None => outputs.plain.estimate(1.0),
        }
    }

    /// Expected time for which a run of `route` holds its slot, where its prompt
    /// takes `read_ms` and an event `event_ms` at its engine.
    pub fn run_ms(&self, route: &Name, expected: Option<u32>, read_ms: f64, event_ms: f64) -> f64 {
        read_ms + self.output(route, expected).events * event_ms
    }
}
