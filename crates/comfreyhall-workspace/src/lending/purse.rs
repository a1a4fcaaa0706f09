//! A borrower's side: credit that one daemon has for one workspace.

use crate::{GrantLine, UsageLine, pace::Pace};

/// Demand for which credit is borrowed ahead, in s: a bit more than the pause
/// between two settlements, so that a busy workspace's requests need not wait
/// for one.
const AHEAD_S: f64 = 0.6;

/// Longest that a refusal is passed on to other requests without asking again,
/// in ms: credit comes back all the time, and other daemons take it.
const REFUSED_MS: u64 = 150;

/// Demand below which a workspace is forgotten, in units a second.
const FORGOTTEN: f64 = 0.01;

/// Credit of one workspace at one daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct Purse {
    balance: f64,
    reserved: f64,
    demand: Pace,
    /// Size of the last request.
    size: f64,
    /// Credit that requests lack since the last call.
    need: f64,
    least: f64,
    /// Nothing is asked for before this.
    refused_until: u64,
    /// When there is more.
    retry_at: u64,
    /// Whether the home takes this daemon to have some.
    told: bool,
    /// Units lent to all in the last window, as the home last told.
    lent: f64,
}

impl Purse {
    /// Counts a request of `size`.
    pub(super) fn ask(&mut self, size: f64, now: u64) {
        self.demand.bump(size, now);
        self.size = size;
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

    pub(super) fn sent(&mut self, size: f64) {
        self.reserved = (self.reserved - size).max(0.0);
    }

    pub(super) fn unsent(&mut self, size: f64) {
        self.sent(size);
        self.balance += size;
    }

    pub(super) fn not_run(&mut self, size: f64) {
        self.balance += size;
    }

    /// A request of `size` waits for credit.
    pub(super) fn lack(&mut self, size: f64) {
        self.least = match self.need > 0.0 {
            true => self.least.min(size),
            false => size,
        };
        self.need += size;
    }

    /// Ms until there is more, if it was refused lately.
    pub(super) fn refused(&self, now: u64) -> Option<u64> {
        (now < self.refused_until).then(|| self.retry_at.saturating_sub(now))
    }

    /// Whether it is so low that busy requests would soon wait.
    pub(super) fn low(&self, now: u64) -> bool {
        now >= self.refused_until && self.balance < self.ahead(now) / 2.0
    }

    /// Whether it says nothing and the home knows so.
    pub(super) fn idle(&self, now: u64) -> bool {
        let empty = self.balance <= 0.0 && self.reserved <= 0.0 && self.need <= 0.0;
        empty && !self.told && self.demand.rate(now) < FORGOTTEN
    }

    /// Credit to have ahead of requests.
    ///
    /// Where a daemon sees a workspace's requests seldom, credit kept for the
    /// next one would lie idle while others need it.
    fn ahead(&self, now: u64) -> f64 {
        let ahead = self.demand.rate(now) * AHEAD_S;
        if ahead >= self.size { ahead } else { 0.0 }
    }

    /// What the home is told.
    pub(super) fn tell(&mut self, workspace: &str, now: u64) -> UsageLine {
        let ahead = self.ahead(now);
        let need = (std::mem::take(&mut self.need) - self.balance).max(0.0);
        let returned = match need > 0.0 {
            true => 0.0,
            false => (self.balance - 2.0 * ahead).max(0.0),
        };
        self.balance -= returned;
        let line = UsageLine {
            workspace: workspace.to_string(),
            balance: self.balance,
            reserved: self.reserved,
            returned,
            need,
            min_need: (self.least - self.balance).max(0.0),
            prefetch: (ahead - self.balance).max(0.0),
            demand: self.demand.rate(now),
        };
        self.told = line.balance + line.reserved > 0.0 || line.demand >= FORGOTTEN;
        line
    }

    /// Takes in what the home lends.
    pub(super) fn heard(&mut self, settled: &GrantLine, now: u64) {
        self.balance += settled.grant;
        self.lent = settled.lent;
        self.told |= settled.grant > 0.0;
        if settled.retry_ms > 0 {
            self.refused_until = now + settled.retry_ms.min(REFUSED_MS);
            self.retry_at = now + settled.retry_ms;
        }
    }

    pub(super) fn held(&self) -> f64 {
        self.balance
    }

    pub(super) fn lent(&self) -> f64 {
        self.lent
    }

    pub(super) fn rate(&self, now: u64) -> f64 {
        self.demand.rate(now)
    }
}
