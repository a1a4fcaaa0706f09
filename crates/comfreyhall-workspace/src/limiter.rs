//! Keeping caps together with the other daemons: what both ways have in common.
//!
//! A daemon takes credit for a request before it sends it. Credit comes from
//! the *home* of the request's workspace, one daemon that knows how much all of
//! them use; daemons settle with homes every now and then, and whenever a
//! request lacks credit. Workspaces are spread over groups, and each group has
//! one home.

use comfreyhall_protocol::Map;

use crate::{Name, Quota, Workspaces};

/// One process of a daemon that others can reach.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerProcess {
    /// Where it answers its peers.
    pub peer_addr: Name,
    /// Which process.
    pub boot: u64,
}

/// The fleet as one daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetView {
    /// Daemons that may serve requests, this one and those out of hearing among
    /// them.
    pub members: usize,
    /// Whether the platform's store, or somebody who had it from there, has told
    /// this process who they are.
    pub confirmed: bool,
    /// Whether there may be members that this daemon has not heard of: nothing
    /// was heard of the platform's store for long, not even through others.
    pub stale: bool,
}

/// What became of taking credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// It is reserved.
    Granted,
    /// The home may lend it: take again once it has answered this call, the
    /// number of which counts for the group of the cap.
    Pending(u64),
    /// The workspace is over its cap.
    OverQuota {
        /// Until so much is there again, in ms.
        retry_ms: u64,
    },
    /// Nobody in hearing knows how much the others use.
    UsageUnknown {
        /// Until that may be known, in ms.
        retry_ms: u64,
    },
}

/// What a daemon tells of one workspace when it settles.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageLine {
    /// The workspace.
    pub workspace: String,
    /// Credit that it has and no request holds.
    pub balance: f64,
    /// Credit that requests hold which are not sent yet.
    pub reserved: f64,
    /// Credit that it gives back with this.
    pub returned: f64,
    /// Credit that waiting requests lack.
    pub need: f64,
    /// Credit that the first of them lacks.
    pub min_need: f64,
    /// Credit that it would like to have besides.
    pub prefetch: f64,
    /// Units a second asked of it.
    pub demand: f64,
}

/// What a daemon tells the home of a group.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SettleRequest {
    /// Where the daemon answers its peers.
    pub from: String,
    /// Its process.
    pub boot: u64,
    /// Grows with each call of the process to this home.
    pub serial: u64,
    /// The group.
    pub group: String,
    /// Part of every cap that the home may lend on its behalf.
    pub share: f64,
    /// The home's clock, as it last told it: the share holds from then.
    pub as_of: u64,
    /// How long the share holds, in ms.
    pub term_ms: u64,
    /// Workspaces with something to tell.
    pub lines: Vec<UsageLine>,
}

/// What a home answers of one workspace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GrantLine {
    /// The workspace.
    pub workspace: String,
    /// Credit lent.
    pub grant: f64,
    /// When there is more for those that were refused, in ms; 0 if none was.
    pub retry_ms: u64,
    /// Units a second asked of all other daemons.
    pub other_demand: f64,
    /// Units lent to all in the last window.
    pub lent: f64,
}

/// What a home answers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SettleReply {
    /// The home's process.
    pub boot: u64,
    /// Its clock.
    pub clock_ms: u64,
    /// Part of every cap that it lends for all who settle with it.
    pub lendable_share: f64,
    /// In the order of the call's lines; none if a later call came before.
    pub lines: Vec<GrantLine>,
}

/// What a refusal rests on.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaSnapshot {
    /// Units a second that the cap allows.
    pub rate: f64,
    /// Who keeps the cap.
    pub coordinator: Option<Name>,
    /// Part of the cap that it lends.
    pub lendable_share: f64,
    /// Units that it lent to all in the last window.
    pub lent: f64,
    /// Ms since it said so.
    pub age_ms: u64,
    /// Credit here that no request holds.
    pub balance: f64,
    /// Units a second asked of this daemon.
    pub demand: f64,
}

/// One daemon's part in keeping the caps.
pub trait RateLimiter: Send {
    /// Takes over the workspaces of a new configuration, spread over `groups`.
    fn configure(&mut self, workspaces: &Workspaces, groups: &[Name], now: u64) {
        self.set_quotas(place_quotas(workspaces, groups), groups, now);
    }

    /// Takes over the caps to keep, by name, and all groups.
    fn set_quotas(&mut self, quotas: Map<Name, PlacedQuota>, groups: &[Name], now: u64);

    /// Takes over who is the home of each group, this daemon among them, and
    /// the fleet.
    fn update_fleet(&mut self, coordinators: &Map<Name, PeerProcess>, fleet: FleetView, now: u64);

    /// A request of `size` units comes for `workspace`.
    fn record_demand(&mut self, workspace: &str, size: u64, now: u64);

    /// Reserves `size` units for a request that came.
    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome;

    /// Ms until asking for `size` units is of use; 0 if it may be now.
    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64;

    /// Whether this daemon knows that more could be used than is.
    fn has_surplus(&self, name: &str, now: u64) -> bool;

    /// A request that holds credit is about to be sent.
    fn mark_sent(&mut self, workspace: &str, size: u64);

    /// A request that holds credit will not be sent.
    fn release_unsent(&mut self, workspace: &str, size: u64);

    /// A request that was sent has surely not run, and will not be sent again.
    fn refund(&mut self, workspace: &str, size: u64);

    /// Homes to settle with now.
    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)>;

    /// What to tell `home` of `group`.
    fn settle_request(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        now: u64,
    ) -> SettleRequest;

    /// Answers a daemon, as a home; `met`: since when its address is known here.
    fn handle_settle(
        &mut self,
        request: &SettleRequest,
        known_since_ms: u64,
        now: u64,
    ) -> SettleReply;

    /// Takes in what `home` answered; `None` if it did not.
    fn handle_reply(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    );

    /// The last call to a home of `group` that was answered or given up.
    fn last_answered(&self, group: &Name) -> u64;

    /// The process `home` has ended.
    fn process_ended(&mut self, coordinator: &PeerProcess);

    /// What a refusal of `workspace` rests on.
    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot;

    /// The group whose home keeps the cap of `workspace`.
    fn quota_group(&self, workspace: &str) -> Option<Name>;
}

/// The group of `groups` in which `workspace` has its home.
///
/// Rendezvous hashing: all daemons agree without talking, and a group more or
/// less moves only the workspaces that it had or gets.
pub fn coordinator_group<'a>(workspace: &str, groups: &'a [Name]) -> Option<&'a Name> {
    use std::hash::{Hash, Hasher};
    groups.iter().max_by_key(|group| {
        let mut hash = rustc_hash::FxHasher::default();
        workspace.hash(&mut hash);
        group.hash(&mut hash);
        // The high bits are mixed best; ranks compare from the top.
        hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15)
    })
}

/// A cap and where it is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedQuota {
    /// The cap.
    pub quota: Quota,
    /// The group whose home keeps it.
    pub group: Name,
}

/// The capped workspaces of `workspaces`, spread over `groups`.
pub(crate) fn place_quotas(workspaces: &Workspaces, groups: &[Name]) -> Map<Name, PlacedQuota> {
    let capped = workspaces.all().iter().filter_map(|w| match w.allowance {
        crate::Allowance::Limited(quota) => {
            let group = coordinator_group(&w.name, groups)?.clone();
            Some((w.name.clone(), PlacedQuota { quota, group }))
        }
        _ => None,
    });
    capped.collect()
}
