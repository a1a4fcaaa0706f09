//! The fleet's retry budget.
//!
//! Without a bound, an outage multiplies its own load: every failure is sent
//! again, and the retry meets the same overloaded targets. The whole fleet may
//! retry a fixed share of a service's requests in any window, plus a small
//! allowance. Each daemon spends its own share, so no coordination is needed.
//!
//! The shares have to add up to no more than the whole for daemons that start
//! anew, join or are partitioned too. A share is therefore a part of the allowance
//! by the number of instances that may exist, not of those seen now, and a process
//! that has just started gets less, since an earlier one may have spent the rest
//! in the same window.

use std::collections::VecDeque;

/// Part of the budget by requests that daemons may spend: in one window they may
/// spend what they received in that window and in the one before.
const REQUEST_PART: f64 = 0.5;

/// Part of the allowance that is shared by processes older than a window.
const ALLOWANCE_PART: f64 = 0.6;

/// Part of the allowance that is shared by processes younger than a window: enough
/// is left for two starts of each instance within one.
const START_PART: f64 = 0.2;

/// One daemon's share of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    window_ms: u64,
    ratio: f64,
    allowance: f64,
    /// When this process started.
    started_ms: u64,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    /// Allows retries within `window_ms` of at most `ratio` times the requests
    /// plus `allowance` over the fleet; this process started at `started_ms`.
    pub fn new(window_ms: u64, ratio: f64, allowance: f64, started_ms: u64) -> Self {
        Self {
            window_ms,
            ratio,
            allowance,
            started_ms,
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
    /// `members` is how many instances may share the allowance; `None` if there may
    /// be more than are known.
    pub fn try_retry(&mut self, now: u64, members: Option<usize>) -> bool {
        self.expire(now);
        let by_requests = REQUEST_PART * self.ratio * self.requests.len() as f64;
        let limit = by_requests + self.allowance_share(now, members);
        let granted = (self.retries.len() as f64) + 1.0 <= limit;
        if granted {
            self.retries.push_back(now);
        }
        granted
    }

    fn allowance_share(&self, now: u64, members: Option<usize>) -> f64 {
        let part = match now.saturating_sub(self.started_ms) < self.window_ms {
            true => START_PART,
            false => ALLOWANCE_PART,
        };
        members.map_or(0.0, |n| part * self.allowance / n.max(1) as f64)
    }
}
