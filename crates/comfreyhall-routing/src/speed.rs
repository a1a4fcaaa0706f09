//! How long an engine takes to a first token, learned from the answers.
//!
//! The wait has a fixed part (a step or two, and sending the answer) and a
//! part in proportion to the prompt tokens that are read first. One line is
//! fitted to the samples of all engines, because in a large fleet a daemon
//! sees each of them only every quarter of a minute; a factor for each engine
//! says how much slower or faster than the line it is.
//!
//! What goes wrong with a rate alone: a lone prompt of 1,500 tokens takes
//! 190 ms, which makes 8 tokens a ms, and a queue of 10,000 tokens then seems
//! to take 1,250 ms where it takes 410 (medians of 4,288 samples of one heavy
//! day). Adapters were loaded a second time, and others pushed
//! out for them, to escape queues that were short.

/// Fixed part and ms for each token before anything is measured: an engine
/// that reads 20 tokens a ms.
const FIRST: (f64, f64) = (100.0, 0.05);

/// Bounds of the learned ms for each token: one odd hour must not stop or
/// flood all engines.
const SLOPES: (f64, f64) = (0.005, 0.5);

/// Bounds of the learned fixed part, in ms.
const BASES: (f64, f64) = (0.0, 1_000.0);

/// Backlog, in tokens, about which the first line turns, and its deviation:
/// those of a day at half load.
const FIRST_BACKLOG: (f64, f64) = (3_000.0, 4_000.0);

/// Samples that the first line is worth.
const FIRST_WEIGHT: f64 = 20.0;

/// What is left of the weight of a sample with each new one: the last 300 or
/// so decide, about half a minute of one daemon's requests.
const KEEP: f64 = 0.997;

/// Weight of one sample in the factor of an engine.
const GAIN: f64 = 0.1;

/// Bounds of what one sample says of an engine, against the line.
const FACTORS: (f64, f64) = (0.3, 6.0);

/// The line of all engines: ms to the first token over tokens to be read.
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
        let (base, slope) = FIRST;
        let (mean_x, deviation) = FIRST_BACKLOG;
        let var_x = FIRST_WEIGHT * deviation * deviation;
        Self {
            weight: FIRST_WEIGHT,
            mean_x,
            mean_y: base + slope * mean_x,
            var_x,
            cov: slope * var_x,
        }
    }
}

impl LatencyModel {
    /// Takes in that `tokens` took `ms`.
    pub fn record(&mut self, tokens: f64, ms: f64) {
        self.weight = self.weight * KEEP + 1.0;
        self.var_x *= KEEP;
        self.cov *= KEEP;
        let dx = tokens - self.mean_x;
        self.mean_x += dx / self.weight;
        self.mean_y += (ms - self.mean_y) / self.weight;
        self.var_x += dx * (tokens - self.mean_x);
        self.cov += dx * (ms - self.mean_y);
    }

    /// Ms to expect for `tokens`.
    pub fn predict_ms(&self, tokens: f64) -> f64 {
        let slope = (self.cov / self.var_x.max(1.0)).clamp(SLOPES.0, SLOPES.1);
        let base = (self.mean_y - slope * self.mean_x).clamp(BASES.0, BASES.1);
        base + slope * tokens
    }
}

/// How one engine compares with the line.
#[derive(Debug, Clone, Copy)]
pub struct SpeedFactor(f64);

impl Default for SpeedFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl SpeedFactor {
    /// Takes in a wait of `ms` where the line expected `expected`.
    pub fn record(&mut self, ms: f64, expected: f64) {
        let sample = (ms / expected.max(1.0)).clamp(FACTORS.0, FACTORS.1);
        self.0 += GAIN * (sample - self.0);
    }

    /// The factor.
    pub fn get(self) -> f64 {
        self.0
    }
}
