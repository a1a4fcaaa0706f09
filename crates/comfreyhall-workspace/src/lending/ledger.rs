//! The coordinator's side: what it may lend, and what it has lent.
//!
//! A coordinator lends only what daemons have given it the right to: each
//! daemon assigns its own share of every quota to one coordinator at a time,
//! for a short term that is counted by the coordinator's own clock. So under
//! any network partition the shares that all coordinators lend add up to at
//! most the whole quota, and a coordinator that nobody reaches has only its own
//! share.

use comfreyhall_protocol::Map;

use super::{
    account::{Account, AccruedTime},
    terms::{Flow, LendingTerms, MAX_UNLENT_S},
};
use crate::{
    FleetView, GrantLine, LendingStart, Name, PeerProcess, Quota, SettleReply, SettleRequest,
    Tolerance,
};

/// How long a daemon must have been known before its share counts, in ms: until
/// then, unreachable daemons may still compute their shares for fewer members.
pub(super) const MIN_KNOWN_MS: u64 = 10_000;

/// Factor on the shares that a minority partition lends: as many new members as
/// there were may have joined on the other side.
const MINORITY_FACTOR: f64 = 0.5;

/// Lendable share from which a coordinator knows enough about total use to
/// refuse requests.
pub(super) const QUORUM_SHARE: f64 = 0.5;

/// How long a coordinator must have had that share before it lends more than
/// the rate, in ms: its predecessor may have lent a burst within the window.
const BONUS_DELAY_MS: u64 = 8_000;

/// How long loans to a daemon that sends nothing any more count as unused, in
/// ms: it may be disconnected and still hold them.
const FORGET_AFTER_MS: u64 = 60_000;

/// The share that a daemon assigned.
#[derive(Debug, Clone)]
struct DelegatedShare {
    boot: u64,
    fraction: f64,
    expires_at_ms: u64,
    serial: u64,
    /// Since when the daemon has been known here.
    known_since_ms: u64,
}

impl DelegatedShare {
    /// Whether the daemon is known for long enough; to a coordinator that has
    /// just started, all are new.
    fn counts(&self, uptime_ms: u64, now: u64) -> bool {
        uptime_ms < MIN_KNOWN_MS || now.saturating_sub(self.known_since_ms) >= MIN_KNOWN_MS
    }
}

/// Factor on the shares of `active_count` daemons.
fn side_factor(fleet: FleetView, active_count: usize) -> f64 {
    let members = fleet.members.max(1);
    let partitioned = active_count * 2 < members || (fleet.stale && active_count < members);
    match partitioned {
        // The size of a share is not known yet.
        _ if !fleet.confirmed => 0.0,
        true => MINORITY_FACTOR,
        false => 1.0,
    }
}

/// All accounts of one group.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    shares: Map<Name, DelegatedShare>,
    accounts: Map<Name, Account>,
    accrued: AccruedTime,
    lendable_share: f64,
    /// Since when it has lent enough to know total use; 0 if it does not.
    quorum_since_ms: u64,
    /// How it started to know total use, if that was not reported yet.
    start: Option<LendingStart>,
    /// Units granted since the last report.
    granted: f64,
    advanced_at_ms: u64,
}

impl Ledger {
    /// Drops accounts of workspaces for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }

    /// Drops the credit that has accrued and is not lent.
    pub(super) fn drop_credit(&mut self) {
        self.accrued = AccruedTime::default();
        for account in self.accounts.values_mut() {
            account.drop_credit();
        }
    }

    /// Units that daemons hold unused.
    pub(super) fn units_held(&self) -> f64 {
        self.accounts.values().map(Account::held).sum()
    }

    pub(super) fn take_granted(&mut self) -> f64 {
        std::mem::take(&mut self.granted)
    }

    pub(super) fn take_start(&mut self) -> Option<LendingStart> {
        self.start.take()
    }

    /// Advances to `now` with the shares that are still valid.
    pub(super) fn advance(&mut self, fleet: FleetView, uptime_ms: u64, now: u64) {
        let elapsed_s = now.saturating_sub(self.advanced_at_ms) as f64 / 1_000.0;
        let before = self.lendable_share;
        self.lendable_share = self.compute_lendable_share(fleet, uptime_ms, now);
        self.forget(now);
        self.quorum_since_ms = match (self.lendable_share >= QUORUM_SHARE, self.quorum_since_ms) {
            (false, _) => 0,
            (true, 0) => {
                self.start = Some(LendingStart {
                    share: self.lendable_share,
                    unlent_s: self.accrued.unlent_s,
                });
                now
            }
            (true, since_ms) => since_ms,
        };
        if self.advanced_at_ms > 0 {
            // Shares that expired in between did so at an unknown time.
            let lendable = before.min(self.lendable_share);
            self.accrued.rate_s += lendable * elapsed_s;
            if self.quorum_since_ms > 0
                && now.saturating_sub(self.quorum_since_ms) >= BONUS_DELAY_MS
            {
                self.accrued.bonus_s += lendable * elapsed_s;
            }
        }
        self.advanced_at_ms = now;
    }

    fn forget(&mut self, now: u64) {
        let expired = |s: &DelegatedShare| now.saturating_sub(s.expires_at_ms) >= FORGET_AFTER_MS;
        if !self.shares.values().any(expired) {
            return;
        }
        self.shares.retain(|_, s| !expired(s));
        for account in self.accounts.values_mut() {
            account.retain(|from| self.shares.contains_key(from));
        }
    }

    /// Revokes the share that `from` assigned.
    pub(super) fn revoke_share(&mut self, from: &str) {
        if let Some(share) = self.shares.get_mut(from) {
            share.expires_at_ms = 0;
        }
    }

    fn compute_lendable_share(&self, fleet: FleetView, uptime_ms: u64, now: u64) -> f64 {
        let active = self.shares.values().filter(|s| now < s.expires_at_ms);
        let active_count = active.clone().count();
        let counted = active.filter(|s| s.counts(uptime_ms, now));
        let total: f64 = counted.map(|s| s.fraction).sum();
        total.min(1.0) * side_factor(fleet, active_count)
    }

    /// Credits the time for which nobody could lend the share of `request`.
    fn credit_unlent(&mut self, request: &SettleRequest, context: &LedgerContext<'_>) {
        let now = context.now;
        let active = self.shares.values().filter(|s| now < s.expires_at_ms);
        let active_count = active.count();
        let share = self.shares.get(request.from.as_str());
        let share = share.filter(|s| now < s.expires_at_ms && s.counts(context.uptime_ms, now));
        let fraction = share.map_or(0.0, |s| s.fraction) * side_factor(context.fleet, active_count);
        let unlent_s = (request.unlent_ms as f64 / 1_000.0).min(MAX_UNLENT_S);
        self.accrued.unlent_s += fraction * unlent_s;
    }

    /// Accepts the share that a daemon assigns; false if a later request was
    /// handled before.
    fn accept_share(&mut self, request: &SettleRequest, known_since_ms: u64, now: u64) -> bool {
        let from: Name = request.from.as_str().into();
        let known = self.shares.get(&from);
        let restarted = known.is_some_and(|s| s.boot != request.boot);
        if known.is_some_and(|s| s.boot == request.boot && request.serial <= s.serial) {
            return false;
        }
        if restarted {
            // What the earlier process held is spent or lost.
            for account in self.accounts.values_mut() {
                account.retain(|other| *other != from);
            }
        }
        let share = DelegatedShare {
            boot: request.boot,
            fraction: request.share.clamp(0.0, 1.0),
            expires_at_ms: match request.share > 0.0 {
                true => request.as_of.min(now) + request.term_ms,
                false => now,
            },
            serial: request.serial,
            known_since_ms,
        };
        self.shares.insert(from, share);
        true
    }

    /// Answers `request` with the quotas that `quota_of` returns.
    pub(super) fn answer<'a>(
        &mut self,
        request: &SettleRequest,
        local: &PeerProcess,
        context: &LedgerContext<'_>,
        quota_of: impl Fn(&str) -> Option<&'a Quota>,
    ) -> SettleReply {
        let now = context.now;
        let in_order = self.accept_share(request, context.known_since_ms, now);
        self.advance(context.fleet, context.uptime_ms, now);
        if in_order && request.unlent_ms > 0 {
            self.credit_unlent(request, context);
        }
        let from: Name = request.from.as_str().into();
        let lines = request.lines.iter().filter(|_| in_order).map(|line| {
            let Some(quota) = quota_of(&line.workspace) else {
                return GrantLine {
                    workspace: line.workspace.clone(),
                    ..GrantLine::default()
                };
            };
            let terms =
                LendingTerms::of(quota, context.tolerance, self.lendable_share, context.flow);
            let name = line.workspace.as_str().into();
            let account = self.accounts.entry(name).or_default();
            let settled = account.settle(&from, line, &terms, self.accrued, now);
            self.granted += settled.grant;
            settled
        });
        let lines = lines.collect();
        SettleReply {
            boot: local.boot,
            clock_ms: now,
            lendable_share: self.lendable_share,
            lines,
        }
    }
}

/// What a coordinator knows in addition to its ledger.
pub(super) struct LedgerContext<'a> {
    pub(super) fleet: FleetView,
    pub(super) tolerance: &'a Tolerance,
    pub(super) flow: Flow,
    /// Time since this daemon started, in ms.
    pub(super) uptime_ms: u64,
    /// Since when the calling daemon has been known.
    pub(super) known_since_ms: u64,
    pub(super) now: u64,
}
