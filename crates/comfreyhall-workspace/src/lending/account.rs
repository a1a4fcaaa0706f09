//! One workspace's account at its coordinator.
//!
//! A quota allows `rate` x window + `burst` in any window. A token bucket alone
//! would give a busy workspace the burst only once in addition to the rate, so
//! the burst is paid out as a bonus on the rate, spread over the window. In
//! addition, what was lent in the last window is counted and bounded.

use std::collections::VecDeque;

use comfreyhall_protocol::Map;

use crate::{GrantLine, Name, Quota, Tolerance, UsageLine};

/// Fraction of the tolerance that daemons may hold beyond what their requests
/// wait for: a coordinator that takes over does not know of this credit at
/// first.
const PREFETCH_FRACTION: f64 = 0.25;

/// Fraction of the tolerance that may be held unused beyond the burst: credit
/// on its way to its users, which would otherwise be lost to the rate.
const UNUSED_FRACTION: f64 = 0.5;

/// Fraction of the tolerance that the bonus may reach in a window: a
/// coordinator that takes over does not know what its predecessor has lent.
const BONUS_FRACTION: f64 = 0.9;

/// Fraction of the tolerance that an even flow uses; the rest covers credit
/// that daemons hold and a coordinator that takes over does not know of.
const EVEN_FRACTION: f64 = 0.85;

/// Longest time for which credit accrues to a share that nobody lends, in s.
pub(super) const MAX_UNLENT_S: f64 = 1.0;

/// How long a refusal counts in the estimate of the retry delay, in ms.
const UNMET_TTL_MS: u64 = 1_000;

/// Minimum and maximum of that estimate, in ms.
const RETRY_RANGE_MS: (f64, f64) = (20.0, 5_000.0);

/// Number of intervals in which a window is counted.
const WINDOW_INTERVALS: u64 = 80;

/// How credit accrues at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flow {
    /// At one rate, into a bucket that starts empty.
    Even,
    /// The rate at once and the burst later, with a count of what was lent in
    /// the last window.
    Counted,
}

/// What a coordinator may lend of one quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct LendingTerms {
    /// Units per second.
    rate: f64,
    /// Bonus from the burst, in units per second in addition to the rate.
    bonus: f64,
    /// Units per second that accrue to a share while nobody lends it.
    unlent: f64,
    /// Maximum number of units that may be held unused.
    max_unused: f64,
    /// Maximum number of those units at daemons that no request needs.
    max_prefetch: f64,
    /// Maximum number of units lent in a window.
    window_limit: f64,
    window_ms: u64,
}

impl LendingTerms {
    /// The terms for a coordinator that lends `share` of `quota`.
    pub(super) fn of(quota: &Quota, tolerance: &Tolerance, share: f64, flow: Flow) -> Self {
        match flow {
            Flow::Even => Self::even(quota, tolerance, share),
            Flow::Counted => Self::counted(quota, tolerance, share),
        }
    }

    fn even(quota: &Quota, tolerance: &Tolerance, share: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(quota);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        let excess = EVEN_FRACTION * tolerated;
        let depth = quota.burst.max(excess);
        let rate = (tolerance.allowed(quota) + excess - depth) / window_s;
        Self {
            rate,
            bonus: 0.0,
            unlent: rate.min(depth / MAX_UNLENT_S),
            max_unused: depth * share,
            max_prefetch: PREFETCH_FRACTION * tolerated * share,
            window_limit: f64::INFINITY,
            window_ms: tolerance.window_ms,
        }
    }

    fn counted(quota: &Quota, tolerance: &Tolerance, share: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(quota);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        Self {
            rate: quota.rate,
            bonus: quota.burst.min(BONUS_FRACTION * tolerated) / window_s,
            unlent: 0.0,
            max_unused: (quota.burst + UNUSED_FRACTION * tolerated) * share,
            max_prefetch: PREFETCH_FRACTION * tolerated * share,
            window_limit: tolerance.allowed(quota) * share,
            window_ms: tolerance.window_ms,
        }
    }
}

/// Time, weighted by the lendable share, for which a coordinator accrued the
/// rate and the bonus, in s.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AccruedTime {
    pub(super) rate_s: f64,
    pub(super) bonus_s: f64,
    /// The same for shares that nobody could lend for a while.
    pub(super) unlent_s: f64,
}

/// What the coordinator has lent to one daemon, as far as it knows.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    held: f64,
    reserved: f64,
    demand: f64,
    /// Units that the daemon lacked and did not get, and when this was
    /// recorded.
    unmet: f64,
    updated_at_ms: u64,
}

/// One workspace's account.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    balance: f64,
    /// Accrued time that is already credited.
    credited_to: AccruedTime,
    loans: Map<Name, Loan>,
    window: Window,
}

impl Account {
    /// Keeps only the loans of daemons for which `keep` is true.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.loans.retain(|from, _| keep(from));
    }

    /// Units that daemons hold unused and that no request has reserved.
    pub(super) fn held(&self) -> f64 {
        self.loans.values().map(|l| l.held).sum()
    }

    /// Units held unused here and at daemons.
    fn unused(&self) -> f64 {
        self.balance
            + self
                .loans
                .values()
                .map(|l| l.held + l.reserved)
                .sum::<f64>()
    }

    /// Credits what accrued since the last call.
    fn accrue(&mut self, terms: &LendingTerms, accrued: AccruedTime) {
        let rate = (accrued.rate_s - self.credited_to.rate_s).max(0.0) * terms.rate;
        let bonus = (accrued.bonus_s - self.credited_to.bonus_s).max(0.0) * terms.bonus;
        let unlent = (accrued.unlent_s - self.credited_to.unlent_s).max(0.0) * terms.unlent;
        self.credited_to = accrued;
        let unused = self.unused();
        if unused > terms.max_unused {
            self.balance = (self.balance - (unused - terms.max_unused)).max(0.0);
        } else {
            self.balance += (rate + bonus + unlent).min(terms.max_unused - unused);
        }
    }

    fn unmet(&self, now: u64) -> f64 {
        let recent = |l: &&Loan| now.saturating_sub(l.updated_at_ms) <= UNMET_TTL_MS;
        self.loans.values().filter(recent).map(|l| l.unmet).sum()
    }

    /// Settles with the daemon `from`, on the terms of the share that the
    /// coordinator lends.
    pub(super) fn settle(
        &mut self,
        from: &Name,
        line: &UsageLine,
        terms: &LendingTerms,
        accrued: AccruedTime,
        now: u64,
    ) -> GrantLine {
        let loan = self.loans.entry(from.clone()).or_default();
        loan.held = line.balance;
        loan.reserved = line.reserved;
        loan.demand = line.demand;
        loan.updated_at_ms = now;
        self.balance += line.returned;
        self.window.add(-line.returned, terms.window_ms, now);
        self.accrue(terms, accrued);
        let window_room = (terms.window_limit - self.window.sum(terms.window_ms, now)).max(0.0);
        let grant = self.grant(line, terms, self.balance.min(window_room));
        self.balance -= grant;
        self.window.add(grant, terms.window_ms, now);
        let total_demand: f64 = self.loans.values().map(|l| l.demand).sum();
        if let Some(loan) = self.loans.get_mut(from) {
            loan.held += grant;
            loan.unmet = (line.need - grant).max(0.0);
        }
        if line.balance + line.reserved + line.demand + grant <= 0.0 {
            self.loans.remove(from);
        }
        GrantLine {
            workspace: line.workspace.clone(),
            grant,
            retry_ms: match line.need > grant {
                true => self.retry_ms(terms, now),
                false => 0,
            },
            other_demand: (total_demand - line.demand).max(0.0),
            lent: self.window.sum(terms.window_ms, now),
        }
    }

    /// Units of `available` that are granted to `line`.
    fn grant(&self, line: &UsageLine, terms: &LendingTerms, available: f64) -> f64 {
        let prefetch_room = (terms.max_prefetch - self.held()).max(0.0);
        match available >= line.need {
            true => line.need + line.prefetch.min(prefetch_room).min(available - line.need),
            // Grant some of the waiting requests if there is enough for the
            // smallest.
            false if available >= line.min_need => available,
            false => 0.0,
        }
    }

    /// Delay until there is as much again as was recently refused, in ms.
    fn retry_ms(&self, terms: &LendingTerms, now: u64) -> u64 {
        let missing = (self.unmet(now) - self.balance).max(0.0);
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        (missing / rate * 1_000.0).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1) as u64
    }
}

/// What was lent in the last window, minus what was returned.
#[derive(Debug, Clone, Default)]
struct Window {
    /// Number of each interval, and the units lent in it.
    intervals: VecDeque<(u64, f64)>,
}

impl Window {
    fn interval(window_ms: u64, now: u64) -> u64 {
        now / (window_ms / WINDOW_INTERVALS).max(1)
    }

    fn add(&mut self, units: f64, window_ms: u64, now: u64) {
        let interval = Self::interval(window_ms, now);
        match self.intervals.back_mut() {
            Some((last, sum)) if *last == interval => *sum += units,
            _ => self.intervals.push_back((interval, units)),
        }
    }

    fn sum(&mut self, window_ms: u64, now: u64) -> f64 {
        let interval = Self::interval(window_ms, now);
        while self
            .intervals
            .front()
            .is_some_and(|(first, _)| first + WINDOW_INTERVALS < interval)
        {
            self.intervals.pop_front();
        }
        self.intervals.iter().map(|(_, units)| units).sum()
    }
}
