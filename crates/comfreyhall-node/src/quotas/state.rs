//! The limiters of this daemon and what they were given.

use std::sync::{Mutex, MutexGuard};

use comfreyhall_domain::{Map, Name};
use comfreyhall_workspace::{PlacedQuota, QuotaSnapshot, RateLimiter, ReserveOutcome};
use tokio::sync::Notify;

/// What a quota limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaKind {
    /// Workspaces, as configured.
    Workspaces,
    /// Targets, by the limits they announce.
    Targets,
}

impl QuotaKind {
    /// Longest wait of a request for a coordinator's answer, in ms: it takes a
    /// few ms, and some tens on a busy core. A request that gets no credit of
    /// one target can use others.
    pub(crate) fn answer_ms(self) -> u64 {
        match self {
            QuotaKind::Workspaces => 250,
            QuotaKind::Targets => 100,
        }
    }
}

/// Quotas of one kind on this daemon.
pub(crate) struct Quotas {
    pub(super) kind: QuotaKind,
    state: Mutex<State>,
    /// Notified when a coordinator has answered.
    pub(super) answered: Notify,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) limiter: Option<Box<dyn RateLimiter>>,
    /// Version of the configuration that the limiter has, and the groups it is
    /// distributed over.
    pub(super) version: u64,
    pub(super) groups: Vec<Name>,
    /// Limits that the limiter of targets has.
    pub(super) limits: Map<Name, PlacedQuota>,
}

impl Quotas {
    pub(crate) fn new(kind: QuotaKind) -> Self {
        Self {
            kind,
            state: Mutex::default(),
            answered: Notify::new(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether there is any quota.
    pub(crate) fn in_use(&self) -> bool {
        let state = self.state();
        match self.kind {
            QuotaKind::Workspaces => state.limiter.is_some(),
            QuotaKind::Targets => !state.limits.is_empty(),
        }
    }

    /// Time in ms until a unit of `name` may be available.
    pub(crate) fn unavailable_ms(&self, name: &str, now: u64) -> u64 {
        let state = self.state();
        let limiter = state.limiter.as_ref();
        limiter.map_or(0, |m| m.retry_after_ms(name, 1, now))
    }

    /// Whether `name` has unused units, as far as is known here.
    pub(crate) fn has_spare(&self, name: &str, now: u64) -> bool {
        let state = self.state();
        state
            .limiter
            .as_ref()
            .is_some_and(|m| m.has_surplus(name, now))
    }

    /// Takes a unit of `name` if one is available here and now.
    pub(crate) fn take_local(&self, name: &str, now: u64) -> bool {
        let mut state = self.state();
        let outcome = state.limiter.as_mut().map(|m| m.try_reserve(name, 1, now));
        outcome == Some(ReserveOutcome::Granted)
    }

    /// The data behind a rejection by the quota of `name`.
    pub(crate) fn basis(&self, name: &str, now: u64) -> QuotaSnapshot {
        let state = self.state();
        let limiter = state.limiter.as_ref();
        limiter.map_or_else(QuotaSnapshot::default, |m| m.snapshot(name, now))
    }
}
