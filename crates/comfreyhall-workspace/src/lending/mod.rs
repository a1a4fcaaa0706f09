//! Quotas by lending: the coordinator of a workspace holds the credit of all
//! daemons and lends it for a short time to those whose requests need it.
//!
//! Every daemon owns an equal share of every quota. It assigns its share to the
//! coordinator that it knows of, for a term ([`ledger`]). It borrows what its
//! requests need, slightly ahead of demand where they arrive often
//! ([`credit`]). A daemon that knows of no coordinator acts as its own, with
//! nothing but its own share.

mod account;
mod credit;
mod ledger;
mod limits;
mod link;
mod terms;

use comfreyhall_protocol::Map;

use self::{
    credit::CreditBalance,
    ledger::{Ledger, LedgerContext, QUORUM_SHARE},
    link::CoordinatorLink,
    terms::Flow,
};
use crate::{
    FleetView, Name, PeerProcess, ReserveOutcome, SettleReply, SettleRequest, Tolerance, UsageLine,
    limiter::PlacedQuota,
};

/// How long a share assigned to a coordinator stays there, in ms. Two renewals
/// may be lost within a term; after it, another coordinator may get the share.
const SHARE_TERM_MS: u64 = 1_500;

/// Interval between two calls to a coordinator if nothing else triggers one, in
/// ms.
const RENEW_INTERVAL_MS: u64 = 400;

/// Minimum interval between calls that only borrow ahead, in ms.
const PREFETCH_INTERVAL_MS: u64 = 120;

/// How long requests do not call a coordinator that did not answer, in ms.
const BACKOFF_MS: u64 = 300;

/// Rate limiter that lends credit through a coordinator.
pub struct LendingLimiter {
    local: PeerProcess,
    tolerance: Tolerance,
    /// Whether a new coordinator continues where the earlier one stopped.
    handover: bool,
    started_at_ms: u64,
    fleet: FleetView,
    quotas: Map<Name, PlacedQuota>,
    links: Map<Name, CoordinatorLink>,
    ledgers: Map<Name, Ledger>,
    credits: Map<Name, CreditBalance>,
}

impl LendingLimiter {
    /// Creates a limiter without quotas or known coordinators.
    pub fn new(local: PeerProcess, tolerance: Tolerance, now: u64) -> Self {
        Self {
            local,
            tolerance,
            handover: true,
            started_at_ms: now,
            fleet: FleetView::default(),
            quotas: Map::default(),
            links: Map::default(),
            ledgers: Map::default(),
            credits: Map::default(),
        }
    }

    /// Lets a new coordinator start with nothing but the rate, and counts what
    /// was lent in each window.
    #[must_use]
    pub fn without_handover(mut self) -> Self {
        self.handover = false;
        self
    }

    fn units_held(&self) -> f64 {
        let held = |l: &Ledger| l.units_held();
        self.ledgers.values().map(held).sum()
    }

    /// This daemon's share of every quota; 0 while the number of daemons is not
    /// known.
    fn share(&self) -> f64 {
        match (self.fleet.confirmed, self.fleet.members) {
            (false, _) | (_, 0) => 0.0,
            (true, members) => 1.0 / members as f64,
        }
    }

    /// Settles `lines` with the local ledger of `group`, and assigns the own
    /// share to it, if this daemon is the coordinator.
    fn settle_locally(&mut self, group: &Name, lines: Vec<UsageLine>, now: u64) {
        let share = self.share();
        let Some(link) = self.links.get_mut(group) else {
            return;
        };
        if link.coordinator.as_ref() != Some(&self.local) {
            return;
        }
        let nothing = self.handover && share <= 0.0;
        let assigns = !nothing && link.may_assign_to(&self.local, now);
        let unlent_ms = match assigns {
            true => link.assign_to(&self.local, now, now),
            false => 0,
        };
        link.serial += 1;
        let request = SettleRequest {
            share: if assigns { share } else { 0.0 },
            as_of: now,
            term_ms: SHARE_TERM_MS,
            unlent_ms: known_unlent_ms(unlent_ms, self.started_at_ms, now),
            ..SettleRequest::without_share(&self.local, link.serial, group, lines)
        };
        let reply = self.settle_with_ledger(&request, self.started_at_ms, now);
        self.apply_reply(group, &reply, now);
    }

    fn settle_with_ledger(
        &mut self,
        request: &SettleRequest,
        known_since_ms: u64,
        now: u64,
    ) -> SettleReply {
        let ledger = self
            .ledgers
            .entry(request.group.as_str().into())
            .or_default();
        let context = LedgerContext {
            fleet: self.fleet,
            tolerance: &self.tolerance,
            flow: match self.handover {
                true => Flow::Even,
                false => Flow::Counted,
            },
            uptime_ms: now.saturating_sub(self.started_at_ms),
            known_since_ms,
            now,
        };
        let quotas = &self.quotas;
        ledger.answer(request, &self.local, &context, |w| {
            quotas.get(w).map(|q| &q.quota)
        })
    }

    fn apply_reply(&mut self, group: &Name, reply: &SettleReply, now: u64) {
        if let Some(link) = self.links.get_mut(group) {
            link.lendable_share = reply.lendable_share;
            link.updated_at_ms = now;
        }
        for grant_line in &reply.lines {
            if let Some(credit) = self.credits.get_mut(grant_line.workspace.as_str()) {
                credit.apply_grant(grant_line, now);
            }
        }
    }

    /// Reserves credit where this daemon is the coordinator.
    fn reserve_locally(
        &mut self,
        workspace: &str,
        group: &Name,
        size: f64,
        now: u64,
    ) -> ReserveOutcome {
        let line = self.credits.get_mut(workspace).map(|credit| {
            credit.add_need(size);
            credit.report(workspace, now)
        });
        self.settle_locally(group, line.into_iter().collect(), now);
        let (Some(link), Some(credit)) = (self.links.get(group), self.credits.get_mut(workspace))
        else {
            return ReserveOutcome::UsageUnknown {
                retry_ms: RENEW_INTERVAL_MS,
            };
        };
        match credit.reserve(size) {
            true => ReserveOutcome::Granted,
            false => refuse(link, credit, self.handover, now),
        }
    }

    fn usage_lines(&mut self, group: &Name, now: u64) -> Vec<UsageLine> {
        let mut lines = Vec::new();
        for (workspace, credit) in &mut self.credits {
            let in_group = self
                .quotas
                .get(workspace)
                .is_some_and(|q| q.group == *group);
            if in_group && !credit.is_idle(now) {
                lines.push(credit.report(workspace, now));
            }
        }
        lines
    }
}

/// Time in ms for which nobody could lend a share, as far as this process knows:
/// until a term after its start, another may lend what its predecessor assigned.
fn known_unlent_ms(unlent_ms: u64, started_at_ms: u64, now: u64) -> u64 {
    let known_ms = now.saturating_sub(started_at_ms + SHARE_TERM_MS);
    unlent_ms.min(known_ms)
}

/// Refusal of a request that finds no credit when there is nobody to ask.
fn refuse(
    link: &CoordinatorLink,
    credit: &CreditBalance,
    handover: bool,
    now: u64,
) -> ReserveOutcome {
    let retry_ms = credit.retry_after_ms(now).unwrap_or(0);
    if handover && link.is_settling(now) {
        // A new coordinator may have nothing yet, whatever the others use.
        let retry_ms = retry_ms.max(RENEW_INTERVAL_MS);
        return ReserveOutcome::UsageUnknown { retry_ms };
    }
    if link.lendable_share >= QUORUM_SHARE {
        return ReserveOutcome::OverQuota { retry_ms };
    }
    let expires_at_ms = link.assigned.as_ref().map_or(0, |a| a.expires_at_ms);
    ReserveOutcome::UsageUnknown {
        retry_ms: retry_ms.max(expires_at_ms.saturating_sub(now)),
    }
}

#[cfg(test)]
mod tests;
