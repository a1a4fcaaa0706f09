//! Caps by lending: the home of a workspace has the credit of all daemons, and
//! lends it for short to those whose requests need it.
//!
//! Every daemon has an equal part of every cap. It gives its part to the home
//! that it knows of, for a term ([`ledger`]); it borrows what its requests need,
//! a little ahead where they come often ([`purse`]). A daemon that hears of no
//! home is its own, with nothing but its own part.

mod account;
mod ledger;
mod purse;

use comfreyhall_protocol::Map;

use self::{
    ledger::{KNOWING_PART, Ledger, World},
    purse::Purse,
};
use crate::{
    FleetView, Name, PeerProcess, QuotaSnapshot, RateLimiter, ReserveOutcome, SettleReply,
    SettleRequest, Tolerance, UsageLine, meter::PlacedQuota,
};

/// How long a part given to a home stays there, in ms. Within it two renewals
/// may be lost; after it another home may have the part.
const TERM_MS: u64 = 1_500;

/// Pause between two calls to a home that nothing calls for, in ms.
const RENEW_MS: u64 = 400;

/// Least pause between calls that only borrow ahead, in ms.
const AHEAD_MS: u64 = 120;

/// Longest that a call may be on its way, in ms.
const CALL_MS: u64 = 400;

/// How long a home that did not answer is not asked by requests, in ms.
const SILENT_MS: u64 = 300;

/// To whom this daemon's part is given.
#[derive(Debug, Clone)]
struct ShareAssignment {
    home: PeerProcess,
    until: u64,
}

/// One group, as a borrower sees it.
#[derive(Debug, Default)]
struct Link {
    home: Option<PeerProcess>,
    given: Option<ShareAssignment>,
    /// The home's clock as it last told it.
    echo: Option<(PeerProcess, u64)>,
    serial: u64,
    /// The last call that was answered or given up.
    answered: u64,
    /// When it was last called; 0 for never.
    called: u64,
    calling: bool,
    /// Whether requests wait for an answer.
    urgent: bool,
    silent_until: u64,
    /// Part of the caps that the home lends, and when it said so.
    part: f64,
    told: u64,
}

impl Link {
    /// Whether this daemon's part may be given to `home`.
    fn free_for(&self, home: &PeerProcess, now: u64) -> bool {
        let given = self.given.as_ref();
        given.is_none_or(|g| g.home == *home || now >= g.until)
    }

    fn give(&mut self, home: &PeerProcess, now: u64) {
        self.given = Some(ShareAssignment {
            home: home.clone(),
            until: now + TERM_MS,
        });
    }

    fn busy(&self, now: u64) -> bool {
        self.calling && now.saturating_sub(self.called) < CALL_MS
    }
}

/// Caps by lending.
pub struct LendingLimiter {
    me: PeerProcess,
    tolerance: Tolerance,
    began: u64,
    fleet: FleetView,
    kept: Map<Name, PlacedQuota>,
    links: Map<Name, Link>,
    ledgers: Map<Name, Ledger>,
    purses: Map<Name, Purse>,
}

impl LendingLimiter {
    /// Nothing is known yet.
    pub fn new(me: PeerProcess, tolerance: Tolerance, now: u64) -> Self {
        Self {
            me,
            tolerance,
            began: now,
            fleet: FleetView::default(),
            kept: Map::default(),
            links: Map::default(),
            ledgers: Map::default(),
            purses: Map::default(),
        }
    }

    /// This daemon's part of every cap; none while its number is not known.
    fn share(&self) -> f64 {
        match (self.fleet.confirmed, self.fleet.members) {
            (false, _) | (_, 0) => 0.0,
            (true, members) => 1.0 / members as f64,
        }
    }

    /// Settles `lines` with the own ledger of `group`, and gives it the own part,
    /// if this daemon is the home.
    fn settle_own(&mut self, group: &Name, lines: Vec<UsageLine>, now: u64) {
        let share = self.share();
        let Some(link) = self.links.get_mut(group) else {
            return;
        };
        if link.home.as_ref() != Some(&self.me) {
            return;
        }
        let gives = link.free_for(&self.me, now);
        if gives {
            link.give(&self.me, now);
        }
        link.serial += 1;
        let call = SettleRequest {
            from: self.me.peer_addr.to_string(),
            boot: self.me.boot,
            serial: link.serial,
            group: group.to_string(),
            share: if gives { share } else { 0.0 },
            as_of: now,
            term_ms: TERM_MS,
            lines,
        };
        let reply = self.answer_by_ledger(&call, self.began, now);
        self.take_in(group, &reply, now);
    }

    fn answer_by_ledger(&mut self, call: &SettleRequest, met: u64, now: u64) -> SettleReply {
        let ledger = self.ledgers.entry(call.group.as_str().into()).or_default();
        let world = World {
            fleet: self.fleet,
            tolerance: &self.tolerance,
            age: now.saturating_sub(self.began),
            met,
            now,
        };
        let kept = &self.kept;
        ledger.answer(call, &self.me, &world, |w| kept.get(w).map(|k| &k.quota))
    }

    fn take_in(&mut self, group: &Name, reply: &SettleReply, now: u64) {
        if let Some(link) = self.links.get_mut(group) {
            link.part = reply.lendable_share;
            link.told = now;
        }
        for settled in &reply.lines {
            if let Some(purse) = self.purses.get_mut(settled.workspace.as_str()) {
                purse.heard(settled, now);
            }
        }
    }

    /// Takes credit where this daemon is the home itself.
    fn take_own(&mut self, workspace: &str, group: &Name, size: f64, now: u64) -> ReserveOutcome {
        let line = self.purses.get_mut(workspace).map(|purse| {
            purse.lack(size);
            purse.tell(workspace, now)
        });
        self.settle_own(group, line.into_iter().collect(), now);
        let (Some(link), Some(purse)) = (self.links.get(group), self.purses.get_mut(workspace))
        else {
            return ReserveOutcome::UsageUnknown { retry_ms: RENEW_MS };
        };
        match purse.reserve(size) {
            true => ReserveOutcome::Granted,
            false => refusal(link, purse, now),
        }
    }

    fn lines(&mut self, group: &Name, now: u64) -> Vec<UsageLine> {
        let mut lines = Vec::new();
        for (workspace, purse) in &mut self.purses {
            let here = self.kept.get(workspace).is_some_and(|k| k.group == *group);
            if here && !purse.idle(now) {
                lines.push(purse.tell(workspace, now));
            }
        }
        lines
    }
}

/// What a request that finds no credit is told, if there is nobody to ask.
fn refusal(link: &Link, purse: &Purse, now: u64) -> ReserveOutcome {
    let retry_ms = purse.refused(now).unwrap_or(0);
    if link.part >= KNOWING_PART {
        return ReserveOutcome::OverQuota { retry_ms };
    }
    let lapse = link.given.as_ref().map_or(0, |g| g.until);
    ReserveOutcome::UsageUnknown {
        retry_ms: retry_ms.max(lapse.saturating_sub(now)),
    }
}

impl RateLimiter for LendingLimiter {
    fn set_quotas(&mut self, kept: Map<Name, PlacedQuota>, groups: &[Name], now: u64) {
        self.kept = kept;
        let kept = &self.kept;
        self.purses.retain(|w, _| kept.contains_key(w));
        for (group, ledger) in &mut self.ledgers {
            let age = now.saturating_sub(self.began);
            ledger.advance(self.fleet, age, now);
            ledger.retain(|w| kept.get(w).is_some_and(|k| k.group == *group));
        }
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, homes: &Map<Name, PeerProcess>, fleet: FleetView, now: u64) {
        self.fleet = fleet;
        let groups: Vec<Name> = self.links.keys().cloned().collect();
        for group in groups {
            let home = homes.get(&group).unwrap_or(&self.me).clone();
            if let Some(link) = self.links.get_mut(&group)
                && link.home.as_ref() != Some(&home)
            {
                link.home = Some(home.clone());
                link.silent_until = 0;
                link.part = 0.0;
                let own = link.given.as_ref().is_some_and(|g| g.home == self.me);
                if own && home != self.me {
                    // The own ledger forgets it at once, so another may have it.
                    link.given = None;
                    if let Some(ledger) = self.ledgers.get_mut(&group) {
                        ledger.withdraw(&self.me.peer_addr);
                    }
                }
            }
            self.settle_own(&group, Vec::new(), now);
        }
    }

    fn record_demand(&mut self, workspace: &str, size: u64, now: u64) {
        if let Some((name, _)) = self.kept.get_key_value(workspace) {
            let purse = self.purses.entry(name.clone()).or_default();
            purse.ask(size as f64, now);
        }
    }

    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome {
        let unknown = ReserveOutcome::UsageUnknown { retry_ms: RENEW_MS };
        let size = size as f64;
        let Some(group) = self.kept.get(workspace).map(|k| k.group.clone()) else {
            return unknown;
        };
        let Some(purse) = self.purses.get_mut(workspace) else {
            return unknown;
        };
        if purse.reserve(size) {
            return ReserveOutcome::Granted;
        }
        let link = self.links.get(&group);
        if link.is_some_and(|l| l.home.as_ref() == Some(&self.me)) {
            return self.take_own(workspace, &group, size, now);
        }
        let (Some(link), Some(purse)) =
            (self.links.get_mut(&group), self.purses.get_mut(workspace))
        else {
            return unknown;
        };
        if purse.refused(now).is_some() || now < link.silent_until {
            return refusal(link, purse, now);
        }
        purse.lack(size);
        link.urgent = true;
        ReserveOutcome::Pending(link.serial + 1)
    }

    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64 {
        let purse = self.purses.get(name);
        let refused = purse.filter(|p| p.held() < size as f64);
        refused.and_then(|p| p.refused(now)).unwrap_or(0)
    }

    fn has_surplus(&self, _name: &str, _now: u64) -> bool {
        false
    }

    fn mark_sent(&mut self, workspace: &str, size: u64) {
        if let Some(purse) = self.purses.get_mut(workspace) {
            purse.sent(size as f64);
        }
    }

    fn release_unsent(&mut self, workspace: &str, size: u64) {
        if let Some(purse) = self.purses.get_mut(workspace) {
            purse.unsent(size as f64);
        }
    }

    fn refund(&mut self, workspace: &str, size: u64) {
        if let Some(purse) = self.purses.get_mut(workspace) {
            purse.not_run(size as f64);
        }
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let mut due = Vec::new();
        for (group, link) in &self.links {
            if link.busy(now) {
                continue;
            }
            // The part is asked back from an earlier home, which may live on.
            if let Some(given) = link.given.as_ref().filter(|g| {
                now < g.until && g.home != self.me && link.home.as_ref() != Some(&g.home)
            }) {
                due.push((group.clone(), given.home.clone()));
                continue;
            }
            let Some(home) = link.home.as_ref().filter(|h| **h != self.me) else {
                continue;
            };
            let since = now.saturating_sub(link.called);
            let here = |w: &Name| self.kept.get(w).is_some_and(|k| k.group == *group);
            let low = || self.purses.iter().any(|(w, p)| p.low(now) && here(w));
            let asks = link.urgent && now >= link.silent_until;
            if asks || since >= RENEW_MS || (since >= AHEAD_MS && low()) {
                due.push((group.clone(), home.clone()));
            }
        }
        due
    }

    fn settle_request(&mut self, group: &Name, home: &PeerProcess, now: u64) -> SettleRequest {
        let share = self.share();
        let current = self.links.get(group).and_then(|l| l.home.clone());
        let lines = match current.as_ref() == Some(home) {
            true => self.lines(group, now),
            false => Vec::new(),
        };
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        link.called = now;
        link.calling = true;
        link.urgent = false;
        let echo = link.echo.as_ref().filter(|(from, _)| from == home);
        let echo = echo.map(|(_, clock)| *clock);
        let gives = current.as_ref() == Some(home) && echo.is_some() && link.free_for(home, now);
        if gives {
            link.give(home, now);
        }
        SettleRequest {
            from: self.me.peer_addr.to_string(),
            boot: self.me.boot,
            serial: link.serial,
            group: group.to_string(),
            share: if gives { share } else { 0.0 },
            as_of: echo.unwrap_or(0),
            term_ms: TERM_MS,
            lines,
        }
    }

    fn handle_settle(&mut self, call: &SettleRequest, met: u64, now: u64) -> SettleReply {
        self.settle_own(&call.group.as_str().into(), Vec::new(), now);
        self.answer_by_ledger(call, met, now)
    }

    fn handle_reply(
        &mut self,
        group: &Name,
        home: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    ) {
        let Some(link) = self.links.get_mut(group) else {
            return;
        };
        link.calling = false;
        link.answered = link.serial;
        let Some(reply) = reply else {
            link.silent_until = now + SILENT_MS;
            return;
        };
        if reply.boot != home.boot {
            // Another process answers there: the one that was meant has ended.
            let home = home.clone();
            self.process_ended(&home);
            return;
        }
        link.silent_until = 0;
        if link.home.as_ref() != Some(home) {
            // It no longer lends on this daemon's behalf.
            link.given = None;
            return;
        }
        link.echo = Some((home.clone(), reply.clock_ms));
        self.take_in(group, reply, now);
    }

    fn last_answered(&self, group: &Name) -> u64 {
        self.links.get(group).map_or(u64::MAX, |l| l.answered)
    }

    fn process_ended(&mut self, home: &PeerProcess) {
        for link in self.links.values_mut() {
            if link.given.as_ref().is_some_and(|g| g.home == *home) {
                link.given = None;
            }
        }
    }

    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot {
        let kept = self.kept.get(workspace);
        let purse = self.purses.get(workspace);
        let link = kept.and_then(|k| self.links.get(&k.group));
        QuotaSnapshot {
            rate: kept.map_or(0.0, |k| k.quota.rate),
            coordinator: link.and_then(|l| Some(l.home.as_ref()?.peer_addr.clone())),
            lendable_share: link.map_or(0.0, |l| l.part),
            lent: purse.map_or(0.0, Purse::lent),
            age_ms: link.map_or(0, |l| now.saturating_sub(l.told)),
            balance: purse.map_or(0.0, Purse::held),
            demand: purse.map_or(0.0, |p| p.rate(now)),
        }
    }

    fn quota_group(&self, workspace: &str) -> Option<Name> {
        self.kept.get(workspace).map(|k| k.group.clone())
    }
}

#[cfg(test)]
mod tests;
