//! Distributed rate limiting: what all limiters have in common.
//!
//! A daemon reserves credit for a request before it sends it. Credit comes from
//! the *coordinator* of the request's workspace, the one daemon that knows how
//! much all daemons use. Daemons settle with coordinators periodically, and
//! whenever a request lacks credit. Workspaces are distributed over groups, and
//! each group has one coordinator.

use comfreyhall_protocol::Map;

use crate::{Name, Quota, Workspaces};

/// One process of a daemon, as its peers address it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerProcess {
    /// Address on which it answers its peers.
    pub peer_addr: Name,
    /// Id of the process; a restart gets a new one.
    pub boot: u64,
}

/// The fleet as seen by one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetView {
    /// Number of daemons that may be serving requests, including this one and
    /// those that are unreachable.
    pub members: usize,
    /// Whether the member list comes from the platform's store, directly or
    /// through a peer that read it there.
    pub confirmed: bool,
    /// Whether there may be members that this daemon does not know of: nothing
    /// has come from the platform's store for long, not even through
    /// peers.
    pub stale: bool,
}

/// Result of trying to reserve credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The credit is reserved.
    Granted,
    /// The coordinator may grant it: try again once it has answered the call
    /// with this serial number, counted per group.
    Pending(u64),
    /// The workspace is over its quota.
    OverQuota {
        /// Delay until enough credit is available again, in ms.
        retry_ms: u64,
    },
    /// No reachable daemon knows how much the others use.
    UsageUnknown {
        /// Delay until that may be known, in ms.
        retry_ms: u64,
    },
}

/// One workspace's part of a [`SettleRequest`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageLine {
    /// Name of the workspace.
    pub workspace: String,
    /// Credit that the daemon holds and that no request has reserved.
    pub balance: f64,
    /// Credit reserved by requests that are not sent yet.
    pub reserved: f64,
    /// Credit returned with this request.
    pub returned: f64,
    /// Credit that waiting requests lack.
    pub need: f64,
    /// Credit that the smallest waiting request lacks.
    pub min_need: f64,
    /// Credit to borrow ahead of demand, in addition.
    pub prefetch: f64,
    /// Demand at this daemon, in units per second.
    pub demand: f64,
}

/// What a daemon sends to the coordinator of a group.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SettleRequest {
    /// Address on which the daemon answers its peers.
    pub from: String,
    /// Id of the daemon's process.
    pub boot: u64,
    /// Increases with each call of the process to this coordinator.
    pub serial: u64,
    /// Name of the group.
    pub group: String,
    /// Share of every quota that the coordinator may lend on the daemon's
    /// behalf.
    pub share: f64,
    /// The coordinator's clock as it last reported it; the term of the share
    /// starts there.
    pub as_of: u64,
    /// Term of the share, in ms.
    pub term_ms: u64,
    /// For how long nobody could lend the share before, in ms.
    pub unlent_ms: u64,
    /// Workspaces with something to report.
    pub lines: Vec<UsageLine>,
}

impl SettleRequest {
    /// The call numbered `serial` of `local` to the coordinator of `group`, which may
    /// lend no share on its behalf.
    pub(crate) fn without_share(
        local: &PeerProcess,
        serial: u64,
        group: &Name,
        lines: Vec<UsageLine>,
    ) -> Self {
        Self {
            from: local.peer_addr.to_string(),
            boot: local.boot,
            serial,
            group: group.to_string(),
            lines,
            ..Self::default()
        }
    }
}

/// One workspace's part of a [`SettleReply`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GrantLine {
    /// The workspace.
    pub workspace: String,
    /// Credit granted.
    pub grant: f64,
    /// Delay until there is credit for the refused requests, in ms; 0 if none
    /// was refused.
    pub retry_ms: u64,
    /// Demand at all other daemons, in units per second.
    pub other_demand: f64,
    /// Units lent to all daemons in the last window.
    pub lent: f64,
}

/// A coordinator's answer to a [`SettleRequest`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SettleReply {
    /// Id of the coordinator's process.
    pub boot: u64,
    /// The coordinator's clock, in ms.
    pub clock_ms: u64,
    /// Share of every quota that it lends on behalf of all daemons that settle
    /// with it.
    pub lendable_share: f64,
    /// One line for each line of the request, in its order; empty if a later
    /// request was handled before.
    pub lines: Vec<GrantLine>,
}

/// What a limiter knew when it refused a request; for logs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaSnapshot {
    /// Rate of the quota, in units per second.
    pub rate: f64,
    /// Address of the coordinator of the quota.
    pub coordinator: Option<Name>,
    /// Share of the quota that it lends.
    pub lendable_share: f64,
    /// Units that it lent to all daemons in the last window.
    pub lent: f64,
    /// Age of this information, in ms.
    pub age_ms: u64,
    /// Local credit that no request has reserved.
    pub balance: f64,
    /// Demand at this daemon, in units per second.
    pub demand: f64,
}

/// How a coordinator started to lend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LendingStart {
    /// Share of the quotas that it lends.
    pub share: f64,
    /// Time for which nobody had lent before, weighted by share, in s: it lends
    /// what accrued then, and nothing if it is 0.
    pub unlent_s: f64,
}

/// What this daemon lent as a coordinator since the last report; for metrics and
/// logs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LendingReport {
    /// Groups in which it began to know total use.
    pub starts: Vec<(Name, LendingStart)>,
    /// Units granted.
    pub granted: f64,
    /// Units that daemons hold unused now.
    pub held: f64,
}

/// Enforces quotas on one daemon, in cooperation with its peers.
pub trait RateLimiter: Send {
    /// Applies the workspaces of a new configuration, distributed over
    /// `groups`.
    fn configure(&mut self, workspaces: &Workspaces, groups: &[Name], now: u64) {
        self.set_quotas(place_quotas(workspaces, groups), groups, now);
    }

    /// Replaces the quotas to enforce, by name, and the list of groups.
    fn set_quotas(&mut self, quotas: Map<Name, PlacedQuota>, groups: &[Name], now: u64);

    /// Updates the coordinator of each group, which may be this daemon, and the
    /// view of the fleet.
    fn update_fleet(&mut self, coordinators: &Map<Name, PeerProcess>, fleet: FleetView, now: u64);

    /// Records the arrival of a request of `size` units for `workspace`.
    fn record_demand(&mut self, workspace: &str, size: u64, now: u64);

    /// Tries to reserve `size` units for a request that has arrived.
    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome;

    /// Delay until it makes sense to ask for `size` units, in ms; 0 if it does
    /// now.
    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64;

    /// Whether this daemon knows that the quota is not fully used.
    fn has_surplus(&self, name: &str, now: u64) -> bool;

    /// A request with reserved credit is about to be sent.
    fn mark_sent(&mut self, workspace: &str, size: u64);

    /// A request with reserved credit will not be sent.
    fn release_unsent(&mut self, workspace: &str, size: u64);

    /// A request that was sent has certainly not run, and will not be sent
    /// again.
    fn refund(&mut self, workspace: &str, size: u64);

    /// Coordinators to settle with now.
    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)>;

    /// Builds the request to `coordinator` of `group`.
    fn settle_request(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        now: u64,
    ) -> SettleRequest;

    /// Answers a daemon as coordinator. `known_since_ms`: since when its
    /// address has been known here.
    fn handle_settle(
        &mut self,
        request: &SettleRequest,
        known_since_ms: u64,
        now: u64,
    ) -> SettleReply;

    /// Applies the answer of `coordinator`; `None` if it did not answer.
    fn handle_reply(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    );

    /// Serial number of the last call to the coordinator of `group` that was
    /// answered or has failed.
    fn last_answered(&self, group: &Name) -> u64;

    /// The process `coordinator` has ended.
    fn process_ended(&mut self, coordinator: &PeerProcess, now: u64);

    /// What was lent as a coordinator since the last call.
    fn take_report(&mut self) -> LendingReport {
        LendingReport::default()
    }

    /// What is known about the quota of `workspace`; for logs.
    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot;

    /// The group whose coordinator keeps the quota of `workspace`.
    fn quota_group(&self, workspace: &str) -> Option<Name>;
}

/// Chooses the group among `groups` whose coordinator keeps the quota of
/// `workspace`.
///
/// Rendezvous hashing: all daemons agree without communicating, and adding or
/// removing a group moves only the workspaces that it gains or loses.
pub fn coordinator_group<'a>(workspace: &str, groups: &'a [Name]) -> Option<&'a Name> {
    use std::hash::{Hash, Hasher};
    groups.iter().max_by_key(|group| {
        let mut hash = rustc_hash::FxHasher::default();
        workspace.hash(&mut hash);
        group.hash(&mut hash);
        // The high bits are mixed best, and comparison starts from the top.
        hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15)
    })
}

/// A quota and the group that keeps it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedQuota {
    /// The quota.
    pub quota: Quota,
    /// The group whose coordinator keeps it.
    pub group: Name,
}

/// The workspaces in `workspaces` that have a quota, distributed over `groups`.
pub(crate) fn place_quotas(workspaces: &Workspaces, groups: &[Name]) -> Map<Name, PlacedQuota> {
    let limited = workspaces.all().iter().filter_map(|w| match w.allowance {
        crate::Allowance::Limited(quota) => {
            let group = coordinator_group(&w.name, groups)?.clone();
            Some((w.name.clone(), PlacedQuota { quota, group }))
        }
        _ => None,
    });
    limited.collect()
}
