//! Latency model for the time to a first token, learned from the answers.
//!
//! The latency has a fixed part (a step or two, and sending the answer) and a
//! part proportional to the prompt tokens that are processed first. One line is
//! fitted to the samples of all engines, because in a large fleet a daemon has
//! a sample of each of them only every quarter of a minute. A factor for each
//! engine says how much slower or faster than the line it is.
//!
//! A rate alone is not enough: a lone prompt of 1,500 tokens takes 190 ms,
//! which makes 8 tokens a ms, and a queue of 10,000 tokens then seems to take
//! 1,250 ms where it takes 410 (medians of 4,288 samples under heavy load).
//! With such estimates adapters were loaded a second time, and others evicted
//! for them, to avoid queues that were short.

/// Initial fixed part in ms, and ms for each token: an engine that processes 20
/// tokens a ms.
const INITIAL_LINE: (f64, f64) = (100.0, 0.05);

/// Bounds of the learned ms for each token, so that one unusual hour can
/// neither idle nor overload all engines.
const SLOPE_BOUNDS: (f64, f64) = (0.005, 0.5);

/// Bounds of the learned fixed part.
const BASE_BOUNDS_MS: (f64, f64) = (0.0, 1_000.0);

/// Mean backlog of the initial line in tokens, and its standard deviation:
/// those of a day at half load.
const INITIAL_BACKLOG: (f64, f64) = (3_000.0, 4_000.0);

/// Number of samples that the initial line counts for.
const INITIAL_WEIGHT: f64 = 20.0;

/// Factor by which each new sample decays the weight of earlier ones: the last
/// 300 or so decide, about half a minute of one daemon's requests.
const DECAY: f64 = 0.997;

/// Weight of one sample in the moving average of an engine's factor.
const EWMA_WEIGHT: f64 = 0.1;

/// Bounds of one sample's ratio of measured to expected latency.
const SAMPLE_BOUNDS: (f64, f64) = (0.3, 6.0);

/// Linear regression over all engines: ms to the first token by tokens to be
/// processed.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    var_x: f64,
    cov: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        let (base, slope) = INITIAL_LINE;
        let (mean_x, deviation) = INITIAL_BACKLOG;
        let var_x = INITIAL_WEIGHT * deviation * deviation;
        Self {
            weight: INITIAL_WEIGHT,
            mean_x,
            mean_y: base + slope * mean_x,
            var_x,
            cov: slope * var_x,
        }
    }
}

impl LatencyModel {
    /// Adds a sample: `tokens` took `ms`.
    pub fn record(&mut self, tokens: f64, ms: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.var_x *= DECAY;
        self.cov *= DECAY;
        let dx = tokens - self.mean_x;
        self.mean_x += dx / self.weight;
        self.mean_y += (ms - self.mean_y) / self.weight;
        self.var_x += dx * (tokens - self.mean_x);
        self.cov += dx * (ms - self.mean_y);
    }

    /// Expected ms for each further token.
    pub fn slope(&self) -> f64 {
        (self.cov / self.var_x.max(1.0)).clamp(SLOPE_BOUNDS.0, SLOPE_BOUNDS.1)
    }

    /// Expected latency for `tokens`.
    pub fn predict_ms(&self, tokens: f64) -> f64 {
        let slope = self.slope();
        let base = (self.mean_y - slope * self.mean_x).clamp(BASE_BOUNDS_MS.0, BASE_BOUNDS_MS.1);
        base + slope * tokens
    }
}

/// Latency of one engine relative to the shared line.
#[derive(Debug, Clone, Copy)]
pub struct SpeedFactor(f64);

impl Default for SpeedFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl SpeedFactor {
    /// Adds a latency of `ms` where the line expected `expected`.
    pub fn record(&mut self, ms: f64, expected: f64) {
        let sample = (ms / expected.max(1.0)).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        self.0 += EWMA_WEIGHT * (sample - self.0);
    }

    /// The current factor.
    pub fn get(self) -> f64 {
        self.0
    }
}
