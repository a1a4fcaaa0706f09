//! Congestion window for loads from the weight store.
//!
//! The store serves some number of loads at full speed; beyond it each takes
//! longer in proportion, so more at once bring nothing and delay the ones that
//! requests wait for. The number differs between deployments, other daemons
//! load from the same store, and it is not published; the duration of a load
//! shows it. The window doubles in the time of a load until the store is busy
//! for the first time. From then on it grows by one each time it was full and
//! loads were fast, and shrinks by a factor when most are slow.

/// Minimum size before any load has ended.
const MIN_INITIAL_SIZE: f64 = 3.0;

/// Engines for each concurrent load before any load has ended. A weight store
/// is built for the fleet that it serves; a slower one shows in the duration of
/// the first loads. With a fixed start, a fleet of 156 engines that starts
/// empty orders 200 loads in its first second where the store can do 290.
const ENGINES_PER_LOAD: f64 = 2.5;

/// Bounds of the window.
const SIZE_BOUNDS: (f64, f64) = (2.0, 64.0);

/// A load this much longer than the fastest seen indicates an overloaded store.
/// The end of a load is polled some 15 ms apart, 6% of a load.
const SLOW_RATIO: f64 = 1.3;

/// Weight of one load in the moving average of slow loads.
const EWMA_WEIGHT: f64 = 0.2;

/// Share of slow loads at which the store counts as busy: then all are slow,
/// while a slow engine or a late command makes one in some dozen slow.
const BUSY_SHARE: f64 = 0.5;

/// Factor by which the window shrinks when the store is busy.
const SHRINK_FACTOR: f64 = 0.85;

/// The same the first time: the window has doubled since loads were fast, and
/// that shows one load late.
const FIRST_SHRINK_FACTOR: f64 = 0.6;

/// Growth of the fastest duration per second, so that it is forgotten within
/// minutes: the store may have become slower.
const DRIFT_PER_S: f64 = 0.004;

/// The congestion window of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct LoadWindow {
    size: f64,
    /// Whether the store has never been busy yet.
    slow_start: bool,
    /// Moving average of the share of slow loads.
    slow_share: f64,
    fastest_ms: f64,
    /// When the last load ended.
    last_end_ms: u64,
    /// The window does not shrink before this time, so that one busy period
    /// counts once.
    shrink_after_ms: u64,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            size: MIN_INITIAL_SIZE,
            slow_start: true,
            slow_share: 0.0,
            fastest_ms: f64::INFINITY,
            last_end_ms: 0,
            shrink_after_ms: 0,
        }
    }
}

impl LoadWindow {
    /// Sets the initial size for the loads of `engines`, unless a load has
    /// already ended.
    pub fn init_for(&mut self, engines: usize) {
        if self.last_end_ms == 0 {
            self.size = (engines as f64 / ENGINES_PER_LOAD).clamp(MIN_INITIAL_SIZE, SIZE_BOUNDS.1);
        }
    }

    /// Number of concurrent loads allowed.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Records a load that took `duration_ms` and ended at `now`; `full` is
    /// whether the window was full.
    pub fn record_load(&mut self, duration_ms: u64, full: bool, now: u64) {
        let duration_ms = duration_ms as f64;
        let elapsed_s = now.saturating_sub(self.last_end_ms) as f64 / 1_000.0;
        self.last_end_ms = now;
        self.fastest_ms = (self.fastest_ms * (1.0 + DRIFT_PER_S * elapsed_s)).min(duration_ms);
        let slow = duration_ms > self.fastest_ms * SLOW_RATIO;
        self.slow_share += EWMA_WEIGHT * (f64::from(u8::from(slow)) - self.slow_share);
        if slow {
            if now >= self.shrink_after_ms && self.slow_share >= BUSY_SHARE {
                let factor = if self.slow_start {
                    FIRST_SHRINK_FACTOR
                } else {
                    SHRINK_FACTOR
                };
                self.slow_start = false;
                self.size = (self.size * factor).max(SIZE_BOUNDS.0);
                self.shrink_after_ms = now + duration_ms as u64;
            }
        } else if full {
            let growth = if self.slow_start {
                1.0
            } else {
                1.0 / self.size
            };
            self.size = (self.size + growth).min(SIZE_BOUNDS.1);
        }
    }
}
