//! How many model loads may begin, so that the weight store is not overrun.
//!
//! When many engines restart empty at once, each wants its model back. The
//! weight store allows a number of loads a second over all engines; beyond it
//! every load is slower, adapters that requests wait for included. Each
//! holder of leases keeps to its part of that rate.

use std::collections::VecDeque;

/// Time over which loads are counted, in ms.
const WINDOW_MS: u64 = 5_000;

/// Loads of one holder that have begun lately.
#[derive(Debug, Default)]
pub struct LoadRateLimit {
    begun: VecDeque<u64>,
}

impl LoadRateLimit {
    /// Takes a load out of the allowance; false if it has to wait.
    ///
    /// `rate`: loads a second over all engines. `part`: this holder's part of
    /// the engines, 0 to 1. At least one load a window is allowed.
    pub fn try_start(&mut self, rate: f64, part: f64, now: u64) -> bool {
        while self.begun.front().is_some_and(|at| now >= at + WINDOW_MS) {
            self.begun.pop_front();
        }
        let most = (rate * part * WINDOW_MS as f64 / 1_000.0).floor().max(1.0);
        let granted = (self.begun.len() as f64) < most;
        if granted {
            self.begun.push_back(now);
        }
        granted
    }
}
