//! A home's side: what it may lend, and what it has lent.
//!
//! A home lends only what daemons have given it the right to: each gives its
//! own part of every cap to one home at a time, for a short term counted from a
//! moment of the home's own clock. So however the fleet is torn apart, the
//! parts that all homes lend together are at most the whole, and a home that
//! nobody reaches any more has only its own.

use comfreyhall_protocol::Map;

use super::account::{Account, Minted, Terms};
use crate::{
    FleetView, GrantLine, Name, PeerProcess, Quota, SettleReply, SettleRequest, Tolerance,
};

/// How long a daemon must have been known before its part counts, in ms: those
/// that are out of hearing still count on fewer members until then.
pub(super) const SEASON_MS: u64 = 10_000;

/// What a minority lends of its parts: as many new members as there were may
/// have joined on the other side.
const MINORITY_PART: f64 = 0.5;

/// A home's part from which on it knows enough to say what all use.
pub(super) const KNOWING_PART: f64 = 0.5;

/// How long a home must know it before it lends more than the rate, in ms: the
/// one before may have lent a burst within the window.
const BONUS_AFTER_MS: u64 = 8_000;

/// How long what was lent to a daemon that is not heard of any more counts as
/// unused, in ms: it may be cut off and have it still.
const FORGET_MS: u64 = 60_000;

/// The part that a daemon gave.
#[derive(Debug, Clone)]
struct Share {
    boot: u64,
    part: f64,
    until: u64,
    serial: u64,
    /// Since when the daemon is known here.
    met: u64,
}

/// All accounts of one group.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    shares: Map<Name, Share>,
    accounts: Map<Name, Account>,
    minted: Minted,
    part: f64,
    /// Since when it lends enough to know what all use; 0 if it does not.
    knowing: u64,
    at: u64,
}

impl Ledger {
    /// Forgets accounts of workspaces for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }

    /// Goes on to `now` with the shares that still hold.
    pub(super) fn advance(&mut self, fleet: FleetView, age: u64, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        let before = self.part;
        self.part = self.lendable(fleet, age, now);
        self.forget(now);
        self.knowing = match (self.part >= KNOWING_PART, self.knowing) {
            (false, _) => 0,
            (true, 0) => now,
            (true, since) => since,
        };
        if self.at > 0 {
            // Shares that lapsed meanwhile did so at some unknown moment.
            let part = before.min(self.part);
            self.minted.rate += part * passed;
            if self.knowing > 0 && now.saturating_sub(self.knowing) >= BONUS_AFTER_MS {
                self.minted.bonus += part * passed;
            }
        }
        self.at = now;
    }

    fn forget(&mut self, now: u64) {
        let gone = |s: &Share| now.saturating_sub(s.until) >= FORGET_MS;
        if !self.shares.values().any(gone) {
            return;
        }
        self.shares.retain(|_, s| !gone(s));
        for account in self.accounts.values_mut() {
            account.retain(|from| self.shares.contains_key(from));
        }
    }

    /// Takes back the part that `from` gave.
    pub(super) fn withdraw(&mut self, from: &str) {
        if let Some(share) = self.shares.get_mut(from) {
            share.until = 0;
        }
    }

    fn lendable(&self, fleet: FleetView, age: u64, now: u64) -> f64 {
        let holds = self.shares.values().filter(|s| now < s.until);
        let members = fleet.members.max(1);
        let heard = holds.clone().count();
        // All that are known are new to a home that has just started.
        let known = |s: &&Share| age < SEASON_MS || now.saturating_sub(s.met) >= SEASON_MS;
        let part: f64 = holds.filter(known).map(|s| s.part).sum();
        let torn = heard * 2 < members || (fleet.stale && heard < members);
        match torn {
            // How small a part is cannot be known yet.
            _ if !fleet.confirmed => 0.0,
            true => part.min(1.0) * MINORITY_PART,
            false => part.min(1.0),
        }
    }

    /// Takes in the part that a daemon gives; false if a later call came before.
    fn give(&mut self, call: &SettleRequest, met: u64, now: u64) -> bool {
        let from: Name = call.from.as_str().into();
        let known = self.shares.get(&from);
        let restarted = known.is_some_and(|s| s.boot != call.boot);
        if known.is_some_and(|s| s.boot == call.boot && call.serial <= s.serial) {
            return false;
        }
        if restarted {
            // What the earlier process had is spent or gone.
            for account in self.accounts.values_mut() {
                account.retain(|other| *other != from);
            }
        }
        let share = Share {
            boot: call.boot,
            part: call.share.clamp(0.0, 1.0),
            until: match call.share > 0.0 {
                true => call.as_of.min(now) + call.term_ms,
                false => now,
            },
            serial: call.serial,
            met,
        };
        self.shares.insert(from, share);
        true
    }

    /// Answers `call` with the caps that `cap_of` names.
    pub(super) fn answer<'a>(
        &mut self,
        call: &SettleRequest,
        me: &PeerProcess,
        world: &World<'_>,
        cap_of: impl Fn(&str) -> Option<&'a Quota>,
    ) -> SettleReply {
        let now = world.now;
        let fresh = self.give(call, world.met, now);
        self.advance(world.fleet, world.age, now);
        let from: Name = call.from.as_str().into();
        let lines = call.lines.iter().filter(|_| fresh).map(|line| {
            let Some(cap) = cap_of(&line.workspace) else {
                return GrantLine {
                    workspace: line.workspace.clone(),
                    ..GrantLine::default()
                };
            };
            let terms = Terms::of(cap, world.tolerance, self.part);
            let name = line.workspace.as_str().into();
            let account = self.accounts.entry(name).or_default();
            account.settle(&from, line, &terms, self.minted, now)
        });
        let lines = lines.collect();
        SettleReply {
            boot: me.boot,
            clock_ms: now,
            lendable_share: self.part,
            lines,
        }
    }
}

/// What a home knows besides its ledger.
pub(super) struct World<'a> {
    pub(super) fleet: FleetView,
    pub(super) tolerance: &'a Tolerance,
    /// Ms since this daemon started.
    pub(super) age: u64,
    /// Since when the daemon that calls is known.
    pub(super) met: u64,
    pub(super) now: u64,
}
