//! One workspace's account at its home.
//!
//! A cap allows `rate` x window + `burst` in any window. A bucket alone would
//! allow a busy workspace the rate and the burst only once, so the burst comes
//! back as a bonus on the rate, spread over the window, and what was lent in
//! the last window is counted besides.

use std::collections::VecDeque;

use comfreyhall_protocol::Map;

use crate::{GrantLine, Name, Quota, Tolerance, UsageLine};

/// Part of the tolerance that may lie with daemons beyond what their requests
/// wait for: it is what a home that takes over does not know of at first.
const PREFETCH_FRACTION: f64 = 0.25;

/// Part of the tolerance that may lie unused beyond the burst: credit on its way
/// to those who use it, which would be lost to the rate else.
const UNUSED_FRACTION: f64 = 0.5;

/// Part of the tolerance that the bonus may come to in a window: a home that
/// takes over does not know what the one before has lent.
const BONUS_FRACTION: f64 = 0.9;

/// How long a refusal counts in the estimate of when there is more, in ms.
const UNMET_TTL_MS: u64 = 1_000;

/// Bounds of that estimate, in ms.
const RETRY_RANGE_MS: (f64, f64) = (20.0, 5_000.0);

/// Slots in which a window is counted.
const WINDOW_INTERVALS: u64 = 80;

/// What a home may lend of one cap.
#[derive(Debug, Clone, Copy)]
pub(super) struct LendingTerms {
    /// Units a second.
    rate: f64,
    /// Units a second besides, of the burst.
    bonus: f64,
    /// Units that may lie unused at once.
    max_unused: f64,
    /// Of these, units at daemons that no request needs.
    max_prefetch: f64,
    /// Units in a window.
    window_limit: f64,
    window_ms: u64,
}

impl LendingTerms {
    /// For a home that lends `part` of `cap`.
    pub(super) fn of(quota: &Quota, tolerance: &Tolerance, share: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(quota);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        Self {
            rate: quota.rate,
            bonus: quota.burst.min(BONUS_FRACTION * tolerated) / window_s,
            max_unused: (quota.burst + UNUSED_FRACTION * tolerated) * share,
            max_prefetch: PREFETCH_FRACTION * tolerated * share,
            window_limit: tolerance.allowed(quota) * share,
            window_ms: tolerance.window_ms,
        }
    }
}

/// Seconds of a whole rate, and of a whole bonus, that a home was given.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AccruedTime {
    pub(super) rate_s: f64,
    pub(super) bonus_s: f64,
}

/// What the home has lent to one daemon, as far as is known.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    held: f64,
    reserved: f64,
    demand: f64,
    /// What it lacked and did not get, and when.
    unmet: f64,
    updated_at_ms: u64,
}

/// One workspace's account.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    balance: f64,
    /// Up to where it was credited.
    credited_to: AccruedTime,
    loans: Map<Name, Loan>,
    window: Window,
}

impl Account {
    /// Keeps what was lent to daemons for which `keep` is true.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.loans.retain(|from, _| keep(from));
    }

    fn held(&self) -> f64 {
        self.loans.values().map(|l| l.held).sum()
    }

    /// Units that lie unused here and at daemons.
    fn unused(&self) -> f64 {
        self.balance
            + self
                .loans
                .values()
                .map(|l| l.held + l.reserved)
                .sum::<f64>()
    }

    /// Credits what was minted since.
    fn credit(&mut self, terms: &LendingTerms, accrued: AccruedTime) {
        let rate = (accrued.rate_s - self.credited_to.rate_s).max(0.0) * terms.rate;
        let bonus = (accrued.bonus_s - self.credited_to.bonus_s).max(0.0) * terms.bonus;
        self.credited_to = accrued;
        let unused = self.unused();
        if unused > terms.max_unused {
            self.balance = (self.balance - (unused - terms.max_unused)).max(0.0);
        } else {
            self.balance += (rate + bonus).min(terms.max_unused - unused);
        }
    }

    fn unmet(&self, now: u64) -> f64 {
        let recent = |l: &&Loan| now.saturating_sub(l.updated_at_ms) <= UNMET_TTL_MS;
        self.loans.values().filter(recent).map(|l| l.unmet).sum()
    }

    /// Settles with the daemon `from`; `part`: of the cap that the home lends.
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
        self.credit(terms, accrued);
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

    /// What `line` gets of `most`.
    fn grant(&self, line: &UsageLine, terms: &LendingTerms, available: f64) -> f64 {
        let prefetch_room = (terms.max_prefetch - self.held()).max(0.0);
        match available >= line.need {
            true => line.need + line.prefetch.min(prefetch_room).min(available - line.need),
            // Some of those who wait, if it does for the first.
            false if available >= line.min_need => available,
            false => 0.0,
        }
    }

    /// When there is as much again as was refused lately, in ms.
    fn retry_ms(&self, terms: &LendingTerms, now: u64) -> u64 {
        let missing = (self.unmet(now) - self.balance).max(0.0);
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        (missing / rate * 1_000.0).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1) as u64
    }
}

/// What was lent, less what came back, in the last window.
#[derive(Debug, Clone, Default)]
struct Window {
    /// Number of each slot, and what was lent in it.
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
            .is_some_and(|(s, _)| s + WINDOW_INTERVALS < interval)
        {
            self.intervals.pop_front();
        }
        self.intervals.iter().map(|(_, units)| units).sum()
    }
}
