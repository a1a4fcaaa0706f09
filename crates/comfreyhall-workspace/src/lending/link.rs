//! The borrower's side: to whom a daemon's share is assigned, and the calls to
//! the coordinator of one group.
//!
//! A coordinator may lend a share until a term after the moment at which it reported
//! its clock. So a share that was assigned to a lost coordinator is free one
//! term after the last reply, however often the coordinator was called since.

use super::SHARE_TERM_MS;
use crate::PeerProcess;

/// Timeout of a call, in ms.
const CALL_TIMEOUT_MS: u64 = 400;

/// Lendable share from which a new coordinator has what it will get; a few
/// daemons may be lost.
const SETTLED_SHARE: f64 = 0.9;

/// The coordinator that this daemon's share is assigned to.
#[derive(Debug, Clone)]
pub(super) struct ShareAssignment {
    pub(super) coordinator: PeerProcess,
    pub(super) expires_at_ms: u64,
}

/// A reading of a coordinator's clock.
#[derive(Debug, Clone)]
pub(super) struct ClockReading {
    pub(super) coordinator: PeerProcess,
    /// What it reported.
    pub(super) clock_ms: u64,
    /// When the report arrived.
    pub(super) received_at_ms: u64,
}

/// State of one group, as seen by a borrower.
#[derive(Debug, Default)]
pub(super) struct CoordinatorLink {
    pub(super) coordinator: Option<PeerProcess>,
    /// When it became the coordinator.
    pub(super) changed_at_ms: u64,
    pub(super) assigned: Option<ShareAssignment>,
    pub(super) last_clock: Option<ClockReading>,
    /// The earlier coordinator that was notified that its share ends, and when.
    pub(super) revoked: Option<(PeerProcess, u64)>,
    /// Whether a call to an earlier coordinator, made before it was notified that its
    /// share ends, is still unanswered.
    pub(super) stale_call: bool,
    /// Since when nobody may lend the share.
    unlent_since_ms: u64,
    pub(super) serial: u64,
    /// The last call that was answered or has failed.
    pub(super) last_answered: u64,
    /// When the coordinator was last called; 0 for never.
    pub(super) called_at_ms: u64,
    pub(super) in_flight: bool,
    /// Whether requests wait for an answer.
    pub(super) urgent: bool,
    pub(super) backoff_until_ms: u64,
    /// Share of the quotas that the coordinator lends, and when it reported it.
    pub(super) lendable_share: f64,
    pub(super) updated_at_ms: u64,
}

impl CoordinatorLink {
    /// Whether this daemon's share may be assigned to `coordinator`.
    pub(super) fn may_assign_to(&self, coordinator: &PeerProcess, now: u64) -> bool {
        let assigned = self.assigned.as_ref();
        assigned.is_none_or(|a| a.coordinator == *coordinator || now >= a.expires_at_ms)
    }

    /// Assigns the share for a term from `from_ms`. Returns for how long nobody
    /// could lend it, in ms.
    pub(super) fn assign_to(&mut self, coordinator: &PeerProcess, from_ms: u64, now: u64) -> u64 {
        let expires_at_ms = from_ms + SHARE_TERM_MS;
        if let Some(assigned) = &self.assigned {
            self.unlent_since_ms = self.unlent_since_ms.max(assigned.expires_at_ms);
        }
        let unlent_ms = now.saturating_sub(self.unlent_since_ms);
        self.unlent_since_ms = expires_at_ms.max(now);
        self.revoked = None;
        self.assigned = Some(ShareAssignment {
            coordinator: coordinator.clone(),
            expires_at_ms,
        });
        unlent_ms
    }

    /// `coordinator` lends the share no longer.
    pub(super) fn free_share(&mut self, coordinator: &PeerProcess, now: u64) {
        if self.is_assigned_to(coordinator) {
            self.assigned = None;
            self.unlent_since_ms = self.unlent_since_ms.min(now);
        }
    }

    pub(super) fn is_assigned_to(&self, coordinator: &PeerProcess) -> bool {
        let assigned = self.assigned.as_ref();
        assigned.is_some_and(|a| a.coordinator == *coordinator)
    }

    /// An earlier coordinator that may still lend the share and can be asked to
    /// stop.
    pub(super) fn to_revoke(&self, local: &PeerProcess, now: u64) -> Option<&PeerProcess> {
        let assigned = self.assigned.as_ref().filter(|a| {
            now < a.expires_at_ms
                && a.coordinator != *local
                && self.coordinator.as_ref() != Some(&a.coordinator)
        });
        assigned.map(|a| &a.coordinator)
    }

    /// Whether `coordinator` was notified less than a call's timeout ago that its
    /// share ends.
    pub(super) fn is_revoking(&self, coordinator: &PeerProcess, now: u64) -> bool {
        let revoked = self.revoked.as_ref();
        revoked.is_some_and(|(from, at_ms)| {
            from == coordinator && now.saturating_sub(*at_ms) < CALL_TIMEOUT_MS
        })
    }

    /// Whether the share can be assigned to a coordinator that does not have it.
    pub(super) fn can_assign(&self, now: u64) -> bool {
        let clock = self.last_clock.as_ref();
        let has_clock = |c: &PeerProcess| {
            clock.is_some_and(|k| k.coordinator == *c && now < k.received_at_ms + SHARE_TERM_MS)
        };
        let coordinator = self.coordinator.as_ref().filter(|c| has_clock(c));
        coordinator.is_some_and(|c| !self.is_assigned_to(c) && self.may_assign_to(c, now))
    }

    /// Whether the daemons are still assigning their shares to a new coordinator.
    pub(super) fn is_settling(&self, now: u64) -> bool {
        self.lendable_share < SETTLED_SHARE
            && now.saturating_sub(self.changed_at_ms) < 2 * SHARE_TERM_MS
    }

    pub(super) fn is_busy(&self, now: u64) -> bool {
        self.in_flight && now.saturating_sub(self.called_at_ms) < CALL_TIMEOUT_MS
    }
}
