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
const AHEAD_PART: f64 = 0.25;

/// Part of the tolerance that may lie unused beyond the burst: credit on its way
/// to those who use it, which would be lost to the rate else.
const UNUSED_PART: f64 = 0.5;

/// Part of the tolerance that the bonus may come to in a window: a home that
/// takes over does not know what the one before has lent.
const BONUS_PART: f64 = 0.9;

/// How long a refusal counts in the estimate of when there is more, in ms.
const UNMET_MS: u64 = 1_000;

/// Bounds of that estimate, in ms.
const RETRY_MS: (f64, f64) = (20.0, 5_000.0);

/// Slots in which a window is counted.
const SLOTS: u64 = 80;

/// What a home may lend of one cap.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    /// Units a second.
    rate: f64,
    /// Units a second besides, of the burst.
    bonus: f64,
    /// Units that may lie unused at once.
    unused: f64,
    /// Of these, units at daemons that no request needs.
    ahead: f64,
    /// Units in a window.
    allowed: f64,
    window_ms: u64,
}

impl Terms {
    /// For a home that lends `part` of `cap`.
    pub(super) fn of(cap: &Quota, tolerance: &Tolerance, part: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(cap);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        Self {
            rate: cap.rate,
            bonus: cap.burst.min(BONUS_PART * tolerated) / window_s,
            unused: (cap.burst + UNUSED_PART * tolerated) * part,
            ahead: AHEAD_PART * tolerated * part,
            allowed: tolerance.allowed(cap) * part,
            window_ms: tolerance.window_ms,
        }
    }
}

/// Seconds of a whole rate, and of a whole bonus, that a home was given.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Minted {
    pub(super) rate: f64,
    pub(super) bonus: f64,
}

/// What the home has lent to one daemon, as far as is known.
#[derive(Debug, Clone, Copy, Default)]
struct Lent {
    held: f64,
    reserved: f64,
    demand: f64,
    /// What it lacked and did not get, and when.
    unmet: f64,
    at: u64,
}

/// One workspace's account.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    balance: f64,
    /// Up to where it was credited.
    mark: Minted,
    lent: Map<Name, Lent>,
    window: Window,
}

impl Account {
    /// Keeps what was lent to daemons for which `keep` is true.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.lent.retain(|from, _| keep(from));
    }

    fn held(&self) -> f64 {
        self.lent.values().map(|l| l.held).sum()
    }

    /// Units that lie unused here and at daemons.
    fn unused(&self) -> f64 {
        self.balance + self.lent.values().map(|l| l.held + l.reserved).sum::<f64>()
    }

    /// Credits what was minted since.
    fn credit(&mut self, terms: &Terms, minted: Minted) {
        let rate = (minted.rate - self.mark.rate).max(0.0) * terms.rate;
        let bonus = (minted.bonus - self.mark.bonus).max(0.0) * terms.bonus;
        self.mark = minted;
        let unused = self.unused();
        if unused > terms.unused {
            self.balance = (self.balance - (unused - terms.unused)).max(0.0);
        } else {
            self.balance += (rate + bonus).min(terms.unused - unused);
        }
    }

    fn unmet(&self, now: u64) -> f64 {
        let recent = |l: &&Lent| now.saturating_sub(l.at) <= UNMET_MS;
        self.lent.values().filter(recent).map(|l| l.unmet).sum()
    }

    /// Settles with the daemon `from`; `part`: of the cap that the home lends.
    pub(super) fn settle(
        &mut self,
        from: &Name,
        line: &UsageLine,
        terms: &Terms,
        minted: Minted,
        now: u64,
    ) -> GrantLine {
        let lent = self.lent.entry(from.clone()).or_default();
        lent.held = line.balance;
        lent.reserved = line.reserved;
        lent.demand = line.demand;
        lent.at = now;
        self.balance += line.returned;
        self.window.add(-line.returned, terms.window_ms, now);
        self.credit(terms, minted);
        let room = (terms.allowed - self.window.sum(terms.window_ms, now)).max(0.0);
        let grant = self.grant(line, terms, self.balance.min(room));
        self.balance -= grant;
        self.window.add(grant, terms.window_ms, now);
        let others: f64 = self.lent.values().map(|l| l.demand).sum();
        if let Some(lent) = self.lent.get_mut(from) {
            lent.held += grant;
            lent.unmet = (line.need - grant).max(0.0);
        }
        if line.balance + line.reserved + line.demand + grant <= 0.0 {
            self.lent.remove(from);
        }
        GrantLine {
            workspace: line.workspace.clone(),
            grant,
            retry_ms: match line.need > grant {
                true => self.retry_ms(terms, now),
                false => 0,
            },
            other_demand: (others - line.demand).max(0.0),
            lent: self.window.sum(terms.window_ms, now),
        }
    }

    /// What `line` gets of `most`.
    fn grant(&self, line: &UsageLine, terms: &Terms, most: f64) -> f64 {
        let spare = (terms.ahead - self.held()).max(0.0);
        match most >= line.need {
            true => line.need + line.prefetch.min(spare).min(most - line.need),
            // Some of those who wait, if it does for the first.
            false if most >= line.min_need => most,
            false => 0.0,
        }
    }

    /// When there is as much again as was refused lately, in ms.
    fn retry_ms(&self, terms: &Terms, now: u64) -> u64 {
        let missing = (self.unmet(now) - self.balance).max(0.0);
        let rate = terms.rate.max(f64::MIN_POSITIVE);
        (missing / rate * 1_000.0).clamp(RETRY_MS.0, RETRY_MS.1) as u64
    }
}

/// What was lent, less what came back, in the last window.
#[derive(Debug, Clone, Default)]
struct Window {
    /// Number of each slot, and what was lent in it.
    slots: VecDeque<(u64, f64)>,
}

impl Window {
    fn slot(window_ms: u64, now: u64) -> u64 {
        now / (window_ms / SLOTS).max(1)
    }

    fn add(&mut self, units: f64, window_ms: u64, now: u64) {
        let slot = Self::slot(window_ms, now);
        match self.slots.back_mut() {
            Some((last, sum)) if *last == slot => *sum += units,
            _ => self.slots.push_back((slot, units)),
        }
    }

    fn sum(&mut self, window_ms: u64, now: u64) -> f64 {
        let slot = Self::slot(window_ms, now);
        while self.slots.front().is_some_and(|(s, _)| s + SLOTS < slot) {
            self.slots.pop_front();
        }
        self.slots.iter().map(|(_, units)| units).sum()
    }
}
