//! What place-time costs: ms for which a place of an engine is held.
//!
//! The load answered here is a heavy day: all places of a group are in use,
//! and requests wait for one to fall free. A stream holds its place to its
//! end, and moves on by one token while the engine reads a piece of another
//! request's prompt. So a long prompt read beside eight streams takes eight
//! times its reading out of the places, and somebody who waits for one gets it
//! that much later. Priced so, long prompts and long streams part by
//! themselves, as far as there is a choice and as long as places are short.

/// Part of the places in use from which on place-time has a price: below it a
/// request finds a free place on one engine or another.
const FREE: f64 = 0.6;

/// Time that a run holds its place before any has ended, in ms.
const FIRST_HOLD_MS: f64 = 1_500.0;

/// Weight of one run in the mean time that runs hold their places.
const GAIN: f64 = 0.02;

/// How long runs hold their places, learned from those that end.
#[derive(Debug, Clone, Copy)]
pub struct HoldTime(f64);

impl Default for HoldTime {
    fn default() -> Self {
        Self(FIRST_HOLD_MS)
    }
}

impl HoldTime {
    /// A run has held its place for `ms`.
    pub fn record(&mut self, ms: u64) {
        self.0 += GAIN * (ms as f64 - self.0);
    }

    /// Ms that a run holds its place.
    pub fn mean_ms(self) -> f64 {
        self.0.max(1.0)
    }
}

/// The price of place-time in one group of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotTimePrice {
    /// Ms of a caller's wait for each ms of a place.
    rate: f64,
}

impl SlotTimePrice {
    /// The price where `used` of `all` places are in use.
    ///
    /// With all in use each `hold` of place-time is one request that finds
    /// none, and misses its objective of `aim_ms`.
    pub fn new(used: u32, all: u32, hold: HoldTime, aim_ms: u64) -> Self {
        let part = f64::from(used) / f64::from(all.max(1));
        let scarce = ((part - FREE) / (1.0 - FREE)).clamp(0.0, 1.0);
        Self {
            rate: scarce * aim_ms as f64 / hold.mean_ms(),
        }
    }

    /// What reading for `reading_ms` beside `streams` costs those who wait for
    /// a place, in ms.
    pub fn read_cost_ms(self, reading_ms: f64, streams: u32) -> f64 {
        self.rate * reading_ms * f64::from(streams)
    }
}
