//! Caps of workspaces and limits of targets, kept together with the other
//! daemons.
//!
//! A request takes credit of its workspace before it waits for anything, so that
//! one over the cap is refused at once and costs the others nothing; each of its
//! sends takes credit of a limited target right before it ([`Credit`]). A meter
//! decides (`comfreyhall-workspace`), one for workspaces and one for targets;
//! this duty tells it who is there, and carries its calls to the homes.

mod settle;
mod wire;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_domain::{Config, Map, Name};
use comfreyhall_settings::QuotaMode;
use comfreyhall_workspace::{
    GrantingLimiter, LendingLimiter, PeerProcess, PlacedQuota, QuotaSnapshot, RateLimiter,
    ReserveOutcome, SharingLimiter, Tolerance,
};
use tokio::sync::Notify;

pub(crate) use self::{
    settle::{notify_coordinator, spawn},
    wire::answer,
};
use crate::{clock, leases, node::Node, outbound};

/// Pause before a request that nobody could be asked for looks again, in ms.
const LOOK_MS: u64 = 40;

/// The group of workspaces where no group of engines is known.
const ONLY_GROUP: &str = "fleet";

/// What caps bound the use of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaKind {
    /// Workspaces, as configured.
    Workspaces,
    /// Targets, as they say themselves.
    Targets,
}

impl QuotaKind {
    /// Longest that a request waits for the answer of a home, in ms: it takes
    /// some ms, and some tens on a busy core. A request that gets no credit of
    /// one target has others to go to.
    fn answer_ms(self) -> u64 {
        match self {
            QuotaKind::Workspaces => 250,
            QuotaKind::Targets => 100,
        }
    }
}

/// Caps of one kind as this daemon keeps them.
pub(crate) struct Quotas {
    of: QuotaKind,
    state: Mutex<State>,
    /// Told when a home has answered.
    settled: Notify,
}

#[derive(Default)]
struct State {
    meter: Option<Box<dyn RateLimiter>>,
    /// The configuration that the meter has, and over which groups it is spread.
    version: u64,
    groups: Vec<Name>,
    /// Limits that the meter of targets has.
    limits: Map<Name, PlacedQuota>,
}

/// Why a request gets no credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaError {
    /// Its workspace is over its cap.
    Exceeded {
        /// Until there is room for it, in ms.
        retry_ms: u64,
    },
    /// Nobody in hearing knows how much the others use.
    Unknown {
        /// Until that may be known, in ms.
        retry_ms: u64,
    },
}

impl Quotas {
    pub(crate) fn new(of: QuotaKind) -> Self {
        Self {
            of,
            state: Mutex::default(),
            settled: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether there is any cap.
    pub(crate) fn in_use(&self) -> bool {
        let state = self.state();
        match self.of {
            QuotaKind::Workspaces => state.meter.is_some(),
            QuotaKind::Targets => !state.limits.is_empty(),
        }
    }

    /// Sees that the meter has the caps of `config`.
    pub(crate) fn sync_config(&self, node: &Node, config: &Config) {
        if self.state().version != config.version {
            refresh(node, self.of);
        }
    }

    /// Ms until asking for a unit of `name` is of use.
    pub(crate) fn unavailable_ms(&self, name: &str, now: u64) -> u64 {
        let state = self.state();
        let meter = state.meter.as_ref();
        meter.map_or(0, |m| m.retry_after_ms(name, 1, now))
    }

    /// Whether more of `name` could be used than is, as far as is known here.
    pub(crate) fn has_spare(&self, name: &str, now: u64) -> bool {
        let state = self.state();
        state
            .meter
            .as_ref()
            .is_some_and(|m| m.has_surplus(name, now))
    }

    /// Takes a unit of `name` if it is to be had here and now.
    pub(crate) fn take_local(&self, name: &str, now: u64) -> bool {
        let mut state = self.state();
        let taken = state.meter.as_mut().map(|m| m.try_reserve(name, 1, now));
        taken == Some(ReserveOutcome::Granted)
    }

    /// What a refusal by the cap of `name` rests on.
    pub(crate) fn basis(&self, name: &str, now: u64) -> QuotaSnapshot {
        let state = self.state();
        let meter = state.meter.as_ref();
        meter.map_or_else(QuotaSnapshot::default, |m| m.snapshot(name, now))
    }
}

/// The groups that caps are spread over.
pub(crate) fn groups(node: &Node) -> Vec<Name> {
    let mut groups = leases::groups(node);
    if groups.is_empty() {
        groups.push(ONLY_GROUP.into());
    }
    groups
}

/// Gives the meter the caps in force, if it has others.
pub(crate) fn refresh(node: &Node, of: QuotaKind) {
    match of {
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
    let meter = state.meter.get_or_insert_with(|| {
        let me = me(node);
        Box::new(GrantingLimiter::new(me))
    });
    meter.set_quotas(limits.clone(), &groups, now);
    state.limits = limits;
    state.groups = groups;
    meet(node, QuotaKind::Targets, &mut state);
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
        state.meter = None;
        return;
    };
    let meter = state.meter.get_or_insert_with(|| meter(node));
    meter.configure(workspaces, &groups, now);
    state.version = config.version;
    state.groups = groups;
    meet(node, QuotaKind::Workspaces, &mut state);
}

/// Tells the meter who is there.
fn meet(node: &Node, of: QuotaKind, state: &mut State) {
    let met = settle::homes(node, of, &state.groups);
    if let Some(meter) = &mut state.meter {
        meter.update_fleet(&met.homes, met.fleet, node.now());
    }
}

/// This process, as a home.
fn me(node: &Node) -> PeerProcess {
    PeerProcess {
        peer_addr: node.fleet.peer_addr().into(),
        boot: node.fleet.boot(),
    }
}

fn meter(node: &Node) -> Box<dyn RateLimiter> {
    let settings = node.settings();
    let tolerance = Tolerance {
        window_ms: (settings.quotas.window_s * 1_000.0) as u64,
        overshoot: settings.quotas.overshoot,
        slack: settings.quotas.slack,
    };
    let me = me(node);
    match settings.quotas.mode {
        QuotaMode::Lending => Box::new(LendingLimiter::new(me, tolerance, clock::now())),
        QuotaMode::Sharing => Box::new(SharingLimiter::new(me, tolerance)),
    }
}

/// Takes credit of `size` units of `name` for a request.
pub(crate) async fn reserve(
    node: &Arc<Node>,
    of: QuotaKind,
    name: &Name,
    size: u64,
) -> Result<Credit, QuotaError> {
    let caps = node.quotas_of(of);
    let began = node.now();
    if let Some(meter) = &mut caps.state().meter {
        meter.record_demand(name, size, began);
    }
    let until = began + of.answer_ms();
    loop {
        let now = node.now();
        let taken = match &mut caps.state().meter {
            Some(meter) => meter.try_reserve(name, size, now),
            None => ReserveOutcome::UsageUnknown {
                retry_ms: of.answer_ms(),
            },
        };
        match taken {
            ReserveOutcome::Granted => return Ok(Credit::new(node, of, name, size)),
            ReserveOutcome::OverQuota { retry_ms } => {
                return Err(QuotaError::Exceeded { retry_ms });
            }
            ReserveOutcome::Pending(call) => {
                if !answered(node, of, name, call, until).await {
                    return Err(QuotaError::Unknown { retry_ms: LOOK_MS });
                }
            }
            ReserveOutcome::UsageUnknown { retry_ms } if now + retry_ms <= until && now < until => {
                let pause = LOOK_MS.min(until - now);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            ReserveOutcome::UsageUnknown { retry_ms } => {
                return Err(QuotaError::Unknown { retry_ms });
            }
        }
    }
}

/// Waits until the home of `name` has answered `call`, at most until `until`;
/// false if it has not.
async fn answered(node: &Arc<Node>, of: QuotaKind, name: &str, call: u64, until: u64) -> bool {
    let caps = node.quotas_of(of);
    loop {
        let settled = caps.settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        let done = match &caps.state().meter {
            Some(meter) => {
                let group = meter.quota_group(name);
                group.is_none_or(|g| meter.last_answered(&g) >= call)
            }
            None => true,
        };
        if done {
            return true;
        }
        settle::settle_due(node, of);
        let left = Duration::from_millis(until.saturating_sub(node.now()));
        if tokio::time::timeout(left, settled).await.is_err() {
            return false;
        }
    }
}

/// Credit of one request; what was not sent goes back when it is dropped.
pub(crate) struct Credit {
    node: Arc<Node>,
    of: QuotaKind,
    name: Name,
    size: u64,
    sent: bool,
}

impl Credit {
    /// Credit that was granted elsewhere for this request.
    pub(crate) fn granted(node: &Arc<Node>, target: &Name) -> Self {
        Self::new(node, QuotaKind::Targets, target, 1)
    }

    fn new(node: &Arc<Node>, of: QuotaKind, name: &Name, size: u64) -> Self {
        Self {
            node: node.clone(),
            of,
            name: name.clone(),
            size,
            sent: false,
        }
    }

    /// The request is about to be sent. Its own repeats cost no more.
    pub(crate) fn mark_sent(&mut self) {
        if !std::mem::replace(&mut self.sent, true) {
            self.with(|meter, name, size| meter.mark_sent(name, size));
        }
    }

    /// The request has surely not run and is not sent any more.
    pub(crate) fn refund(mut self) {
        if std::mem::replace(&mut self.sent, false) {
            self.with(|meter, name, size| meter.refund(name, size));
            self.size = 0;
        }
    }

    fn with(&self, act: impl FnOnce(&mut dyn RateLimiter, &str, u64)) {
        if let Some(meter) = &mut self.node.quotas_of(self.of).state().meter {
            act(meter.as_mut(), &self.name, self.size);
        }
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.sent && self.size > 0 {
            self.with(|meter, name, size| meter.release_unsent(name, size));
        }
    }
}
