//! The borrower's side: credit that one daemon holds for one workspace.

use crate::{GrantLine, UsageLine, demand::DemandRate};

/// Seconds of demand for which credit is borrowed ahead: slightly more than the
/// interval between two settlements, so that requests of a busy workspace need
/// not wait for one.
const PREFETCH_S: f64 = 0.6;

/// Maximum time for which a refusal is applied to other requests without asking
/// again, in ms: credit comes back continuously, and other daemons take it.
const REFUSAL_TTL_MS: u64 = 150;

/// Demand below which a workspace is dropped, in units per second.
const MIN_DEMAND: f64 = 0.01;

/// Credit of one workspace at one daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct CreditBalance {
    balance: f64,
    reserved: f64,
    demand: DemandRate,
    /// Size of the last request.
    last_size: f64,
    /// Credit that requests have lacked since the last call.
    need: f64,
    min_need: f64,
    /// Nothing is requested before this time.
    refused_until_ms: u64,
    /// When there will be more credit.
    retry_at_ms: u64,
    /// Whether the coordinator assumes that this daemon has credit or demand.
    reported: bool,
    /// Units lent to all daemons in the last window, as last reported by the
    /// coordinator.
    lent_total: f64,
}

impl CreditBalance {
    /// Records a request of `size`.
    pub(super) fn record_demand(&mut self, size: f64, now: u64) {
        self.demand.add(size, now);
        self.last_size = size;
    }

    /// Reserves `size` if the balance covers it.
    pub(super) fn reserve(&mut self, size: f64) -> bool {
        let enough = self.balance >= size;
        if enough {
            self.balance -= size;
            self.reserved += size;
        }
        enough
    }

    pub(super) fn mark_sent(&mut self, size: f64) {
        self.reserved = (self.reserved - size).max(0.0);
    }

    pub(super) fn release_unsent(&mut self, size: f64) {
        self.mark_sent(size);
        self.balance += size;
    }

    pub(super) fn refund(&mut self, size: f64) {
        self.balance += size;
    }

    /// Records that a request of `size` waits for credit.
    pub(super) fn add_need(&mut self, size: f64) {
        self.min_need = match self.need > 0.0 {
            true => self.min_need.min(size),
            false => size,
        };
        self.need += size;
    }

    /// Delay until there is more credit, in ms, if a request was refused
    /// recently.
    pub(super) fn retry_after_ms(&self, now: u64) -> Option<u64> {
        (now < self.refused_until_ms).then(|| self.retry_at_ms.saturating_sub(now))
    }

    /// Whether the balance is so low that busy requests would soon wait.
    pub(super) fn is_low(&self, now: u64) -> bool {
        now >= self.refused_until_ms && self.balance < self.prefetch_target(now) / 2.0
    }

    /// Whether there is nothing to report and the coordinator knows that.
    pub(super) fn is_idle(&self, now: u64) -> bool {
        let empty = self.balance <= 0.0 && self.reserved <= 0.0 && self.need <= 0.0;
        empty && !self.reported && self.demand.rate(now) < MIN_DEMAND
    }

    /// Credit to hold ahead of requests.
    ///
    /// If a daemon rarely sees a workspace's requests, credit held for the next
    /// one would lie idle while other daemons need it.
    fn prefetch_target(&self, now: u64) -> f64 {
        let target = self.demand.rate(now) * PREFETCH_S;
        if target >= self.last_size {
            target
        } else {
            0.0
        }
    }

    /// Builds the line to report to the coordinator.
    pub(super) fn report(&mut self, workspace: &str, now: u64) -> UsageLine {
        let target = self.prefetch_target(now);
        let need = (std::mem::take(&mut self.need) - self.balance).max(0.0);
        let returned = match need > 0.0 {
            true => 0.0,
            false => (self.balance - 2.0 * target).max(0.0),
        };
        self.balance -= returned;
        let line = UsageLine {
            workspace: workspace.to_string(),
            balance: self.balance,
            reserved: self.reserved,
            returned,
            need,
            min_need: (self.min_need - self.balance).max(0.0),
            prefetch: (target - self.balance).max(0.0),
            demand: self.demand.rate(now),
        };
        self.reported = line.balance + line.reserved > 0.0 || line.demand >= MIN_DEMAND;
        line
    }

    /// Applies what the coordinator granted.
    pub(super) fn apply_grant(&mut self, grant_line: &GrantLine, now: u64) {
        self.balance += grant_line.grant;
        self.lent_total = grant_line.lent;
        self.reported |= grant_line.grant > 0.0;
        if grant_line.retry_ms > 0 {
            self.refused_until_ms = now + grant_line.retry_ms.min(REFUSAL_TTL_MS);
            self.retry_at_ms = now + grant_line.retry_ms;
        }
    }

    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    pub(super) fn lent(&self) -> f64 {
        self.lent_total
    }

    pub(super) fn demand_rate(&self, now: u64) -> f64 {
        self.demand.rate(now)
    }
}
