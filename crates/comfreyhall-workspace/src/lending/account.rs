//! One workspace's account at its coordinator.
//!
//! Credit accrues with time and with the shares that the coordinator lends, as
//! the terms of the quota say.

use std::collections::VecDeque;

use comfreyhall_protocol::Map;

use super::terms::LendingTerms;
use crate::{GrantLine, Name, UsageLine};

/// How long a refusal counts in the estimate of the retry delay, in ms.
const UNMET_TTL_MS: u64 = 1_000;

/// Minimum and maximum of that estimate, in ms.
const RETRY_RANGE_MS: (f64, f64) = (20.0, 5_000.0);

/// Number of intervals in which a window is counted.
const WINDOW_INTERVALS: u64 = 80;

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

    /// Drops the credit that is not lent.
    pub(super) fn drop_credit(&mut self) {
        self.balance = 0.0;
        self.credited_to = AccruedTime::default();
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
