//! The price of slot time, in ms for which a slot of an engine is held.
//!
//! Under heavy load all slots of a lease group are in use, and requests wait
//! for one to become free. A stream holds its slot to its end, and advances by
//! one token while the engine processes a chunk of another request's prompt. So
//! a long prompt processed beside eight streams takes eight times its
//! processing time out of the slots, and a request that waits for a slot gets
//! one that much later. With this price, long prompts and long streams end up
//! on different engines as far as there is a choice, and only while slots are
//! scarce.

/// Share of slots in use from which slot time has a price: below it a request
/// finds a free slot on one engine or another.
const FREE_SHARE: f64 = 0.6;

/// Assumed time that a run holds its slot, before any has ended.
const INITIAL_HOLD_MS: f64 = 1_500.0;

/// Weight of one run in the moving average of the hold time.
const EWMA_WEIGHT: f64 = 0.02;

/// How long runs hold their slots, learned from those that end.
#[derive(Debug, Clone, Copy)]
pub struct HoldTime(f64);

impl Default for HoldTime {
    fn default() -> Self {
        Self(INITIAL_HOLD_MS)
    }
}

impl HoldTime {
    /// Records that a run has held its slot for `ms`.
    pub fn record(&mut self, ms: u64) {
        self.0 += EWMA_WEIGHT * (ms as f64 - self.0);
    }

    /// Average time that a run holds its slot.
    pub fn mean_ms(self) -> f64 {
        self.0.max(1.0)
    }
}

/// The price of slot time in one group of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotTimePrice {
    /// Ms of a caller's wait for each ms of slot time.
    rate: f64,
}

impl SlotTimePrice {
    /// The price where `used` of `total` slots are in use.
    ///
    /// With all in use, each `hold` of slot time is one request that finds
    /// none, and misses its latency objective.
    pub fn new(used: u32, total: u32, hold: HoldTime, objective_ms: u64) -> Self {
        let used_share = f64::from(used) / f64::from(total.max(1));
        let scarcity = ((used_share - FREE_SHARE) / (1.0 - FREE_SHARE)).clamp(0.0, 1.0);
        Self {
            rate: scarcity * objective_ms as f64 / hold.mean_ms(),
        }
    }

    /// Cost, to the requests that wait for a slot, of processing a prompt for
    /// `processing_ms` beside `streams`.
    pub fn read_cost_ms(self, processing_ms: f64, streams: u32) -> f64 {
        self.rate * processing_ms * f64::from(streams)
    }
}
