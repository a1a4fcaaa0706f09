//! The fleet's retry budget.
//!
//! Without a bound, an outage multiplies its own load: every failure is sent
//! again, and the retry meets the same overloaded targets. The whole fleet may
//! retry a fixed share of a service's requests in any window, plus a small
//! allowance. Each daemon spends its own share, so no coordination is needed.

use std::collections::VecDeque;

/// Share of the budget that a daemon may spend. Daemons that start, stop or are
/// partitioned disagree about the number of members for a while, and their
/// shares together must stay below the whole.
const SAFETY_FACTOR: f64 = 0.7;

/// One daemon's share of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    window_ms: u64,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    /// Allows retries within `window_ms` of at most `ratio` times the requests
    /// plus this daemon's share of `allowance`.
    pub fn new(window_ms: u64, ratio: f64, allowance: f64) -> Self {
        Self {
            window_ms,
            ratio,
            allowance,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    fn expire(&mut self, now: u64) {
        let start = now.saturating_sub(self.window_ms);
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|time| *time < start) {
                queue.pop_front();
            }
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: u64) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget; false if none is left.
    ///
    /// `daemons` is how many share the allowance.
    pub fn try_retry(&mut self, now: u64, daemons: usize) -> bool {
        self.expire(now);
        let share = self.allowance / daemons.max(1) as f64;
        let limit = SAFETY_FACTOR * (self.ratio * self.requests.len() as f64 + share);
        let granted = (self.retries.len() as f64) + 1.0 <= limit;
        if granted {
            self.retries.push_back(now);
        }
        granted
    }
}
