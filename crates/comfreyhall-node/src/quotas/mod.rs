//! Quotas of workspaces and limits of targets, enforced together with the other
//! daemons.
//!
//! A request reserves credit of its workspace before it waits for anything, so
//! that one over the quota is rejected at once and costs the others nothing.
//! Each of its sends reserves credit of a limited target right before it
//! ([`Credit`]). The decisions are made by a rate limiter
//! (`comfreyhall-workspace`), one for workspaces and one for targets; this
//! module gives the limiters the list of daemons, and carries their calls
//! to the quota coordinators.

mod answer;
mod settle;
pub(crate) mod state;
mod task;
mod wire;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Config, Name};
use comfreyhall_settings::QuotaMode;
use comfreyhall_workspace::{
    GrantingLimiter, LendingLimiter, PeerProcess, RateLimiter, ReserveOutcome, SharingLimiter,
    Tolerance,
};

use self::state::State;
pub(crate) use self::{
    answer::answer,
    settle::notify_coordinator,
    state::{QuotaKind, Quotas},
    task::spawn,
};
use crate::{clock, leases, node::Node, outbound};

/// Interval at which a request retries while no coordinator is known, in ms.
const RETRY_POLL_MS: u64 = 40;

/// The group of workspaces where no group of engines is known.
const DEFAULT_GROUP: &str = "fleet";

/// Why a request gets no credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaError {
    /// Its workspace is over its quota.
    Exceeded {
        /// Time until there is room for it, in ms.
        retry_ms: u64,
    },
    /// No reachable daemon knows how much the others use.
    Unknown {
        /// Time until that may be known, in ms.
        retry_ms: u64,
    },
}

impl Quotas {
    /// Ensures that the limiter has the quotas of `config`.
    pub(crate) fn sync_config(&self, node: &Node, config: &Config) {
        if self.state().version != config.version {
            refresh(node, self.kind);
        }
    }
}

/// The groups that quotas are distributed over.
pub(crate) fn groups(node: &Node) -> Vec<Name> {
    let mut groups = leases::groups(node);
    if groups.is_empty() {
        groups.push(DEFAULT_GROUP.into());
    }
    groups
}

/// Updates the limiter if other quotas are active now.
pub(crate) fn refresh(node: &Node, kind: QuotaKind) {
    match kind {
        QuotaKind::Workspaces => refresh_workspaces(node),
        QuotaKind::Targets => refresh_targets(node),
    }
}

fn refresh_targets(node: &Node) {
    let now = node.now();
    let limits = outbound::limits(node, now);
    if limits.is_empty() && !node.target_limits.in_use() {
        return;
    }
    let groups = groups(node);
    let mut state = node.target_limits.state();
    if state.limits == limits && state.groups == groups {
        return;
    }
    let limiter = state.limiter.get_or_insert_with(|| {
        let me = own_process(node);
        Box::new(GrantingLimiter::new(me))
    });
    limiter.set_quotas(limits.clone(), &groups, now);
    state.limits = limits;
    state.groups = groups;
    update_members(node, QuotaKind::Targets, &mut state);
}

fn refresh_workspaces(node: &Node) {
    let Some(config) = node.config() else {
        return;
    };
    let groups = groups(node);
    let now = node.now();
    let mut state = node.quotas.state();
    if state.version == config.version && state.groups == groups {
        return;
    }
    let Some(workspaces) = &config.workspaces else {
        state.limiter = None;
        return;
    };
    let limiter = state.limiter.get_or_insert_with(|| limiter(node));
    limiter.configure(workspaces, &groups, now);
    state.version = config.version;
    state.groups = groups;
    update_members(node, QuotaKind::Workspaces, &mut state);
}

/// Gives the limiter the list of daemons.
fn update_members(node: &Node, kind: QuotaKind, state: &mut State) {
    let current = settle::coordinators(node, kind, &state.groups);
    if let Some(limiter) = &mut state.limiter {
        limiter.update_fleet(&current.by_group, current.fleet, node.now());
    }
}

/// This process, as a quota coordinator.
fn own_process(node: &Node) -> PeerProcess {
    PeerProcess {
        peer_addr: node.fleet.peer_addr().into(),
        boot: node.fleet.boot(),
    }
}

fn limiter(node: &Node) -> Box<dyn RateLimiter> {
    let settings = node.settings();
    let tolerance = Tolerance {
        window_ms: (settings.quotas.window_s * 1_000.0) as u64,
        overshoot: settings.quotas.overshoot,
        slack: settings.quotas.slack,
    };
    let me = own_process(node);
    match settings.quotas.mode {
        QuotaMode::Lending => {
            let limiter = LendingLimiter::new(me, tolerance, clock::now());
            match settings.policies.quota_handover {
                true => Box::new(limiter),
                false => Box::new(limiter.without_handover()),
            }
        }
        QuotaMode::Sharing => Box::new(SharingLimiter::new(me, tolerance)),
    }
}

/// Longest wait of a request while the use of its workspace is not known, in ms:
/// a new coordinator learns it in about a second.
const MAX_UNKNOWN_WAIT_MS: u64 = 1_500;

/// Part of a request's remaining time that it may wait for that.
const UNKNOWN_WAIT_PART: u64 = 4;

/// How long a request with `left_ms` to its deadline may wait until the use of
/// its workspace is known, in ms.
pub(crate) fn unknown_wait_ms(node: &Node, left_ms: u64) -> u64 {
    let shortest = QuotaKind::Workspaces.answer_ms();
    match node.settings().policies.quota_handover {
        true => (left_ms / UNKNOWN_WAIT_PART).clamp(shortest, MAX_UNKNOWN_WAIT_MS),
        false => shortest,
    }
}

/// Reserves credit of `size` units of `name` for a request, which may wait for
/// `wait_ms` for a coordinator.
pub(crate) async fn reserve(
    node: &Arc<Node>,
    kind: QuotaKind,
    name: &Name,
    size: u64,
    wait_ms: u64,
) -> Result<Credit, QuotaError> {
    let quotas = node.quotas_of(kind);
    let began = node.now();
    if let Some(limiter) = &mut quotas.state().limiter {
        limiter.record_demand(name, size, began);
    }
    let until = began + wait_ms;
    loop {
        let now = node.now();
        let outcome = match &mut quotas.state().limiter {
            Some(limiter) => limiter.try_reserve(name, size, now),
            None => ReserveOutcome::UsageUnknown { retry_ms: wait_ms },
        };
        match outcome {
            ReserveOutcome::Granted => return Ok(Credit::new(node, kind, name, size)),
            ReserveOutcome::OverQuota { retry_ms } => {
                return Err(QuotaError::Exceeded { retry_ms });
            }
            ReserveOutcome::Pending(call) => {
                if !await_answer(node, kind, name, call, until).await {
                    return Err(QuotaError::Unknown {
                        retry_ms: RETRY_POLL_MS,
                    });
                }
            }
            ReserveOutcome::UsageUnknown { retry_ms } if now + retry_ms <= until && now < until => {
                let pause = RETRY_POLL_MS.min(until - now);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            ReserveOutcome::UsageUnknown { retry_ms } => {
                return Err(QuotaError::Unknown { retry_ms });
            }
        }
    }
}

/// Waits until the coordinator of `name` has answered `call`, at most until
/// `until`; returns false if it has not.
async fn await_answer(
    node: &Arc<Node>,
    kind: QuotaKind,
    name: &str,
    call: u64,
    until: u64,
) -> bool {
    let quotas = node.quotas_of(kind);
    loop {
        let notified = quotas.answered.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let done = match &quotas.state().limiter {
            Some(limiter) => {
                let group = limiter.quota_group(name);
                group.is_none_or(|g| limiter.last_answered(&g) >= call)
            }
            None => true,
        };
        if done {
            return true;
        }
        settle::settle_due(node, kind);
        let left = Duration::from_millis(until.saturating_sub(node.now()));
        if tokio::time::timeout(left, notified).await.is_err() {
            return false;
        }
    }
}

/// Credit of one request; the unsent part is returned when it is dropped.
pub(crate) struct Credit {
    node: Arc<Node>,
    kind: QuotaKind,
    name: Name,
    size: u64,
    sent: bool,
}

impl Credit {
    /// Credit that was granted elsewhere for this request.
    pub(crate) fn granted(node: &Arc<Node>, target: &Name) -> Self {
        Self::new(node, QuotaKind::Targets, target, 1)
    }

    fn new(node: &Arc<Node>, kind: QuotaKind, name: &Name, size: u64) -> Self {
        Self {
            node: node.clone(),
            kind,
            name: name.clone(),
            size,
            sent: false,
        }
    }

    /// Marks the request as about to be sent. Retries of the request cost no
    /// more.
    pub(crate) fn mark_sent(&mut self) {
        if !std::mem::replace(&mut self.sent, true) {
            self.with(|limiter, name, size| limiter.mark_sent(name, size));
        }
    }

    /// Returns the credit of a request that has certainly not run and will not
    /// be sent again.
    pub(crate) fn refund(mut self) {
        if std::mem::replace(&mut self.sent, false) {
            self.with(|limiter, name, size| limiter.refund(name, size));
            self.size = 0;
        }
    }

    fn with(&self, act: impl FnOnce(&mut dyn RateLimiter, &str, u64)) {
        if let Some(limiter) = &mut self.node.quotas_of(self.kind).state().limiter {
            act(limiter.as_mut(), &self.name, self.size);
        }
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.sent && self.size > 0 {
            self.with(|limiter, name, size| limiter.release_unsent(name, size));
        }
    }
}
