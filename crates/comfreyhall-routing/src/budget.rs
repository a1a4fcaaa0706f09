//! The budget for sending a request more than once.
//!
//! Without a bound, an outage multiplies its own load: every failure is sent
//! again, and the second send meets the same overloaded targets. The whole
//! fleet may repeat a fixed share of a service's requests in any window, plus
//! a small allowance; each daemon spends its own part of it, so no daemon
//! has to ask another.

use std::collections::VecDeque;

/// Part of the allowance a daemon may spend: daemons that start, stop or are
/// cut off count members differently for a while, and their parts together
/// must stay below the whole.
const SAFETY: f64 = 0.7;

/// One daemon's part of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    window_ms: u64,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl RetryBudget {
    /// Repeats within `window_ms` of at most `ratio` times the requests plus
    /// this daemon's part of `allowance`.
    pub fn new(window_ms: u64, ratio: f64, allowance: f64) -> Self {
        Self {
            window_ms,
            ratio,
            allowance,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    fn expire(&mut self, now: u64) {
        let start = now.saturating_sub(self.window_ms);
        for queue in [&mut self.requests, &mut self.repeats] {
            while queue.front().is_some_and(|at| *at < start) {
                queue.pop_front();
            }
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: u64) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget; false if none is left.
    ///
    /// `daemons`: how many share the allowance.
    pub fn try_retry(&mut self, now: u64, daemons: usize) -> bool {
        self.expire(now);
        let part = self.allowance / daemons.max(1) as f64;
        let most = SAFETY * (self.ratio * self.requests.len() as f64 + part);
        let granted = (self.repeats.len() as f64) + 1.0 <= most;
        if granted {
            self.repeats.push_back(now);
        }
        granted
    }
}
