//! A borrower's side: credit that one daemon has for one workspace.

use crate::{GrantLine, UsageLine, demand::DemandRate};

/// Demand for which credit is borrowed ahead, in s: a bit more than the pause
/// between two settlements, so that a busy workspace's requests need not wait
/// for one.
const PREFETCH_S: f64 = 0.6;

/// Longest that a refusal is passed on to other requests without asking again,
/// in ms: credit comes back all the time, and other daemons take it.
const REFUSAL_TTL_MS: u64 = 150;

/// Demand below which a workspace is forgotten, in units a second.
const MIN_DEMAND: f64 = 0.01;

/// Credit of one workspace at one daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct CreditBalance {
    balance: f64,
    reserved: f64,
    demand: DemandRate,
    /// Size of the last request.
    last_size: f64,
    /// Credit that requests lack since the last call.
    need: f64,
    min_need: f64,
    /// Nothing is asked for before this.
    refused_until_ms: u64,
    /// When there is more.
    retry_at_ms: u64,
    /// Whether the home takes this daemon to have some.
    reported: bool,
    /// Units lent to all in the last window, as the home last told.
    lent_total: f64,
}

impl CreditBalance {
    /// Counts a request of `size`.
    pub(super) fn record_demand(&mut self, size: f64, now: u64) {
        self.demand.add(size, now);
        self.last_size = size;
    }

    /// Reserves `size`, if there is as much.
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

    /// A request of `size` waits for credit.
    pub(super) fn add_need(&mut self, size: f64) {
        self.min_need = match self.need > 0.0 {
            true => self.min_need.min(size),
            false => size,
        };
        self.need += size;
    }

    /// Ms until there is more, if it was refused lately.
    pub(super) fn retry_after_ms(&self, now: u64) -> Option<u64> {
        (now < self.refused_until_ms).then(|| self.retry_at_ms.saturating_sub(now))
    }

    /// Whether it is so low that busy requests would soon wait.
    pub(super) fn is_low(&self, now: u64) -> bool {
        now >= self.refused_until_ms && self.balance < self.prefetch_target(now) / 2.0
    }

    /// Whether it says nothing and the home knows so.
    pub(super) fn is_idle(&self, now: u64) -> bool {
        let empty = self.balance <= 0.0 && self.reserved <= 0.0 && self.need <= 0.0;
        empty && !self.reported && self.demand.rate(now) < MIN_DEMAND
    }

    /// Credit to have ahead of requests.
    ///
    /// Where a daemon sees a workspace's requests seldom, credit kept for the
    /// next one would lie idle while others need it.
    fn prefetch_target(&self, now: u64) -> f64 {
        let target = self.demand.rate(now) * PREFETCH_S;
        if target >= self.last_size {
            target
        } else {
            0.0
        }
    }

    /// What the home is told.
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

    /// Takes in what the home lends.
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
