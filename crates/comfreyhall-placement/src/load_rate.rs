//! Limits how many model loads may start, so that the weight store is not
//! overloaded.
//!
//! When many engines restart empty at once, each needs its model again. The
//! weight store allows a number of loads a second over all engines; beyond it
//! every load is slower, including those of adapters that requests wait for.
//! Each lease holder keeps to its share of that rate.

use std::collections::VecDeque;

/// Window over which loads are counted.
const WINDOW_MS: u64 = 5_000;

/// Loads that one lease holder has started recently.
#[derive(Debug, Default)]
pub struct LoadRateLimit {
    starts: VecDeque<u64>,
}

impl LoadRateLimit {
    /// Takes a load out of the allowance; false if it has to wait.
    ///
    /// `rate` is the loads a second over all engines, `share` this lease
    /// holder's share of the engines, 0 to 1. At least one load a window is
    /// allowed.
    pub fn try_start(&mut self, rate: f64, share: f64, now: u64) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|start| now >= start + WINDOW_MS)
        {
            self.starts.pop_front();
        }
        let max = (rate * share * WINDOW_MS as f64 / 1_000.0).floor().max(1.0);
        let granted = (self.starts.len() as f64) < max;
        if granted {
            self.starts.push_back(now);
        }
        granted
    }
}
