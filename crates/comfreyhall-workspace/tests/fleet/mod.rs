//! A fleet of daemons that enforce quotas together, in simulated time.
//!
//! One [`World`] holds the actual state: which daemons are up, which can reach
//! each other, who holds the lease of each group, which quota is active, and
//! every run. Its daemons know only the input of their limiters.

#![allow(dead_code)] // Each test file uses a part of it.

use std::{collections::BTreeSet, ops::Range};

use comfreyhall_protocol::Map;
use comfreyhall_workspace::{
    FleetView, GrantingLimiter, KeyHasher, LendingLimiter, Name, PeerProcess, Quota, QuotaUnit,
    RateLimiter, RawNumber, RawUnit, ReserveOutcome, Salt, SettleRequest, SharingLimiter,
    Tolerance, WorkspaceEntry, Workspaces, read_entries,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Length of a step of simulated time, in ms.
pub const STEP_MS: u64 = 50;

/// Time until a daemon that sends nothing counts as lost, in ms.
const PEER_TIMEOUT_MS: u64 = 1_400;

/// Time until a started daemon reads the member list from the store, in ms.
const LIST_DELAY_MS: u64 = 500;

/// Time without contact to the store after which information counts as stale,
/// in ms.
const STALE_MS: u64 = 10_000;

/// Maximum time from reserving credit until the request arrives at its target,
/// in ms.
const MAX_SEND_DELAY_MS: u64 = 400;

pub const GROUPS: [&str; 2] = ["east", "west"];

pub const TOLERANCE: Tolerance = Tolerance {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 17_000.0,
};

/// How far the requests at a limited target may exceed its limit.
pub const LIMIT_TOLERANCE: Tolerance = Tolerance {
    window_ms: 4_000,
    overshoot: 0.5,
    slack: 5.0,
};

/// The rate limiter to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Lending,
    /// Lending without handover.
    Counted,
    Sharing,
    Granting,
}

/// A request on its way to a target.
struct Sent {
    at_ms: u64,
    workspace: usize,
    size: u64,
    daemon: usize,
    boot: u64,
}

/// A settle request that a frozen coordinator has not read yet.
struct UnreadRequest {
    coordinator: usize,
    request: SettleRequest,
}

/// Information that all daemons of one network partition share.
#[derive(Default)]
struct SideKnowledge {
    known: BTreeSet<usize>,
    confirmed: bool,
    store_seen_at: u64,
    version: usize,
}

struct Daemon {
    limiter: Box<dyn RateLimiter>,
    peer: Name,
    boot: u64,
    up: bool,
    frozen_until_ms: u64,
    side: usize,
    started_at_ms: u64,
    known: BTreeSet<usize>,
    /// Since when each other daemon has been known.
    known_since: Map<usize, u64>,
    /// Whether the member list comes from the store, directly or through a
    /// peer.
    confirmed: bool,
    /// When each other daemon last sent something.
    peer_seen_at: Map<usize, u64>,
    /// When the store last answered, also through peers.
    store_seen_at: u64,
    /// The configuration version that is known here, and the one that the
    /// limiter has.
    version: usize,
    applied: usize,
}

/// A request that ran at a target.
pub struct Run {
    pub at_ms: u64,
    pub workspace: usize,
    pub size: u64,
}

pub struct World {
    pub now: u64,
    policy: Policy,
    tolerance: Tolerance,
    /// Range of request sizes, in units.
    sizes: Range<u64>,
    /// Settle requests made, and usage lines in them.
    pub requests_made: u64,
    pub usage_lines: u64,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    holders: [usize; 2],
    /// Quotas of each configuration version, and the time from which it is
    /// active.
    configs: Vec<(u64, Vec<Quota>)>,
    /// When all daemons first had each version.
    fully_applied_at: Vec<Option<u64>>,
    store_side: usize,
    loss_rate: f64,
    sent: Vec<Sent>,
    unread: Vec<UnreadRequest>,
    pub runs: Vec<Run>,
    pub refused: Vec<u64>,
    pub unknown: Vec<u64>,
    pub requested: Vec<u64>,
    /// Demand of each workspace, relative to its quota.
    pub demand: Vec<f64>,
    /// Daemons that receive the requests; all if it is empty.
    pub busy_daemons: Vec<usize>,
}

fn limiter(
    policy: Policy,
    tolerance: Tolerance,
    local: PeerProcess,
    now: u64,
) -> Box<dyn RateLimiter> {
    match policy {
        Policy::Lending => Box::new(LendingLimiter::new(local, tolerance, now)),
        Policy::Counted => Box::new(LendingLimiter::new(local, tolerance, now).without_handover()),
        Policy::Sharing => Box::new(SharingLimiter::new(local, tolerance)),
        Policy::Granting => Box::new(GrantingLimiter::new(local)),
    }
}

fn peer_of(id: usize) -> Name {
    format!("10.0.0.{id}:1").into()
}

fn workspaces(quotas: &[Quota]) -> Workspaces {
    let entries = quotas.iter().enumerate().map(|(id, quota)| WorkspaceEntry {
        name: format!("w{id}"),
        unit: RawUnit::Tokens,
        default_tokens: RawNumber::Number(200.0),
        rate: RawNumber::Number(quota.rate),
        burst: RawNumber::Number(quota.burst),
        ..WorkspaceEntry::default()
    });
    let hasher = KeyHasher::new(Salt::new([7; 32]));
    let (workspaces, problems) = read_entries(hasher, entries.collect());
    assert!(problems.is_empty(), "{problems:?}");
    workspaces
}

pub fn quota(rate: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens {
            default_tokens: 200,
        },
        rate,
        burst: rate,
    }
}

/// A target's limit, in requests per second.
pub fn limit(rate: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Requests,
        rate,
        burst: 0.0,
    }
}

impl World {
    /// A fleet that enforces quotas of workspaces, counted in tokens.
    pub fn new(policy: Policy, daemons: usize, quotas: Vec<Quota>, seed: u64) -> Self {
        Self::build(policy, TOLERANCE, 400..4_800, daemons, quotas, seed)
    }

    /// A fleet that enforces limits of targets, counted in requests.
    pub fn with_limits(policy: Policy, daemons: usize, quotas: Vec<Quota>, seed: u64) -> Self {
        Self::build(policy, LIMIT_TOLERANCE, 1..2, daemons, quotas, seed)
    }

    fn build(
        policy: Policy,
        tolerance: Tolerance,
        sizes: Range<u64>,
        daemons: usize,
        quotas: Vec<Quota>,
        seed: u64,
    ) -> Self {
        let count = quotas.len();
        let mut world = Self {
            now: 1,
            policy,
            tolerance,
            sizes,
            requests_made: 0,
            usage_lines: 0,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            holders: [0, 1],
            configs: vec![(0, quotas)],
            fully_applied_at: vec![Some(0)],
            store_side: 0,
            loss_rate: 0.0,
            sent: Vec::new(),
            unread: Vec::new(),
            runs: Vec::new(),
            refused: vec![0; count],
            unknown: vec![0; count],
            requested: vec![0; count],
            demand: vec![0.0; count],
            busy_daemons: Vec::new(),
        };
        for _ in 0..daemons {
            world.add();
        }
        world
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Adds a daemon that knows only of the first one.
    pub fn add(&mut self) {
        let id = self.daemons.len();
        let daemon = self.start(id, 1);
        self.daemons.push(daemon);
    }

    fn start(&self, id: usize, boot: u64) -> Daemon {
        let peer = peer_of(id);
        let coordinator = PeerProcess {
            peer_addr: peer.clone(),
            boot,
        };
        let version = self.configs.len() - 1;
        let mut limiter = limiter(self.policy, self.tolerance, coordinator, self.now);
        let groups = GROUPS.map(Name::from);
        limiter.configure(&workspaces(&self.configs[version].1), &groups, self.now);
        Daemon {
            limiter,
            peer,
            boot,
            up: true,
            frozen_until_ms: 0,
            side: self.daemons.get(id).map_or(0, |d| d.side),
            started_at_ms: self.now,
            known: [0, id].into(),
            known_since: Map::default(),
            confirmed: false,
            peer_seen_at: Map::default(),
            store_seen_at: self.now,
            version,
            applied: version,
        }
    }

    pub fn stop(&mut self, id: usize) {
        self.daemons[id].up = false;
    }

    pub fn restart(&mut self, id: usize) {
        let boot = self.daemons[id].boot + 1;
        self.daemons[id] = self.start(id, boot);
        self.unread.retain(|u| u.coordinator != id);
    }

    pub fn freeze(&mut self, id: usize, ms: u64) {
        self.daemons[id].frozen_until_ms = self.now + ms;
    }

    /// Cuts off the daemons for which `away` is true from the others; the store
    /// is on side `store`.
    pub fn partition(&mut self, store: usize, away: impl Fn(usize) -> bool) {
        self.store_side = store;
        for (id, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.side = usize::from(away(id));
        }
    }

    /// Cuts off each daemon from all others.
    pub fn isolate_all(&mut self) {
        for (id, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.side = id + 1;
        }
        self.store_side = 0;
    }

    pub fn set_loss(&mut self, part: f64) {
        self.loss_rate = part;
    }

    pub fn set_holder(&mut self, group: usize, holder: usize) {
        self.holders[group] = holder;
    }

    pub fn configure(&mut self, quotas: Vec<Quota>) {
        self.configs.push((self.now, quotas));
        self.fully_applied_at.push(None);
    }

    fn is_running(&self, id: usize) -> bool {
        self.daemons[id].up && self.now >= self.daemons[id].frozen_until_ms
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        self.daemons[a].side == self.daemons[b].side
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.gossip();
        self.thaw();
        for id in 0..self.daemon_count() {
            if self.is_running(id) {
                self.update_fleet(id);
                for (group, coordinator) in self.daemons[id].limiter.due_settlements(self.now) {
                    self.settle(id, &group, &coordinator);
                }
            }
        }
        for workspace in 0..self.demand.len() {
            self.generate_requests(workspace);
        }
        self.run_due();
    }

    /// Daemons that reach each other exchange the member list and the active
    /// configuration.
    fn gossip(&mut self) {
        let newest = self.configs.len() - 1;
        let mut sides: Map<usize, SideKnowledge> = Map::default();
        let running: Vec<usize> = (0..self.daemon_count())
            .filter(|id| self.is_running(*id))
            .collect();
        for id in running.iter().copied() {
            if self.daemons[id].side == self.store_side {
                self.daemons[id].store_seen_at = self.now;
                self.daemons[id].version = newest;
                self.list(id);
            }
            let daemon = &self.daemons[id];
            let shared = sides.entry(daemon.side).or_default();
            shared.known.extend(&daemon.known);
            shared.confirmed |= daemon.confirmed;
            shared.store_seen_at = shared.store_seen_at.max(daemon.store_seen_at);
            shared.version = shared.version.max(daemon.version);
        }
        let holders = self.holders;
        for id in running {
            let reachable = holders.iter().filter(|h| self.is_running(**h));
            let reachable: Vec<usize> = reachable
                .copied()
                .filter(|h| self.connected(id, *h))
                .collect();
            let (now, daemon) = (self.now, &mut self.daemons[id]);
            let shared = &sides[&daemon.side];
            if daemon.known.len() < shared.known.len() {
                daemon.known = shared.known.clone();
            }
            if daemon.known_since.len() < daemon.known.len() {
                for other in daemon.known.clone() {
                    daemon.known_since.entry(other).or_insert(now);
                }
            }
            daemon.confirmed |= shared.confirmed;
            daemon.store_seen_at = shared.store_seen_at;
            daemon.version = shared.version;
            daemon
                .peer_seen_at
                .extend(reachable.into_iter().map(|h| (h, now)));
        }
        let all = self.daemons.iter().all(|d| d.up && d.applied == newest);
        if all && self.fully_applied_at[newest].is_none() {
            self.fully_applied_at[newest] = Some(self.now);
        }
    }

    /// A started daemon reads the member list from the store.
    fn list(&mut self, id: usize) {
        let size = self.daemon_count();
        let daemon = &mut self.daemons[id];
        if !daemon.confirmed && self.now.saturating_sub(daemon.started_at_ms) >= LIST_DELAY_MS {
            daemon.confirmed = true;
            daemon.known.extend(0..size);
        }
    }

    fn update_fleet(&mut self, id: usize) {
        let now = self.now;
        let mut coordinators: Map<Name, PeerProcess> = Map::default();
        for (group, holder) in GROUPS.iter().zip(self.holders) {
            let peer_seen_at = self.daemons[id].peer_seen_at.get(&holder);
            let recent = peer_seen_at.is_some_and(|h| now.saturating_sub(*h) <= PEER_TIMEOUT_MS);
            if holder == id || recent {
                let holder = &self.daemons[holder];
                coordinators.insert(
                    (*group).into(),
                    PeerProcess {
                        peer_addr: holder.peer.clone(),
                        boot: holder.boot,
                    },
                );
            }
        }
        let daemon = &mut self.daemons[id];
        let fleet = FleetView {
            members: daemon.known.len(),
            confirmed: daemon.confirmed,
            stale: now.saturating_sub(daemon.store_seen_at) >= STALE_MS,
        };
        if daemon.applied != daemon.version {
            daemon.applied = daemon.version;
            let found = workspaces(&self.configs[daemon.version].1);
            daemon
                .limiter
                .configure(&found, &GROUPS.map(Name::from), now);
        }
        daemon.limiter.update_fleet(&coordinators, fleet, now);
    }

    fn settle(&mut self, id: usize, group: &Name, coordinator: &PeerProcess) {
        let now = self.now;
        let request = self.daemons[id]
            .limiter
            .settle_request(group, coordinator, now);
        self.requests_made += 1;
        self.usage_lines += request.lines.len() as u64;
        let to = self
            .daemons
            .iter()
            .position(|d| d.peer == coordinator.peer_addr);
        let to = to.expect("coordinators are daemons");
        let dropped = self.rng.random_bool(self.loss_rate);
        if dropped || !self.connected(id, to) || !self.daemons[to].up {
            self.daemons[id]
                .limiter
                .handle_reply(group, coordinator, None, now);
            return;
        }
        if !self.is_running(to) {
            self.unread.push(UnreadRequest {
                coordinator: to,
                request,
            });
            self.daemons[id]
                .limiter
                .handle_reply(group, coordinator, None, now);
            return;
        }
        let known_since = self.daemons[to]
            .known_since
            .get(&id)
            .copied()
            .unwrap_or(now);
        let reply = self.daemons[to]
            .limiter
            .handle_settle(&request, known_since, now);
        let dropped = self.rng.random_bool(self.loss_rate);
        let reply = (!dropped).then_some(&reply);
        self.daemons[id]
            .limiter
            .handle_reply(group, coordinator, reply, now);
    }

    /// Coordinators that were frozen read the requests received meanwhile.
    fn thaw(&mut self) {
        let (ready, later) = std::mem::take(&mut self.unread)
            .into_iter()
            .partition(|u| self.is_running(u.coordinator));
        self.unread = later;
        for unread in ready {
            let now = self.now;
            let from = self
                .daemons
                .iter()
                .position(|d| *d.peer == *unread.request.from);
            let coordinator = &mut self.daemons[unread.coordinator];
            let known_since = from.and_then(|f| coordinator.known_since.get(&f).copied());
            coordinator
                .limiter
                .handle_settle(&unread.request, known_since.unwrap_or(now), now);
        }
    }

    fn generate_requests(&mut self, workspace: usize) {
        let quota = self.configs.last().expect("there is a configuration").1[workspace];
        let mut due = quota.rate * self.demand[workspace] * STEP_MS as f64 / 1_000.0;
        while due > 0.0 {
            let size = self.rng.random_range(self.sizes.clone());
            if due < size as f64 && !self.rng.random_bool(due / size as f64) {
                return;
            }
            due -= size as f64;
            let id = match self.busy_daemons.len() {
                0 => self.rng.random_range(0..self.daemon_count()),
                n => self.busy_daemons[self.rng.random_range(0..n)].min(self.daemon_count() - 1),
            };
            if self.is_running(id) {
                self.send_request(id, workspace, size);
            }
        }
    }

    fn send_request(&mut self, id: usize, workspace: usize, size: u64) {
        self.requested[workspace] += size;
        let name = format!("w{workspace}");
        let now = self.now;
        self.daemons[id].limiter.record_demand(&name, size, now);
        let mut outcome = self.daemons[id].limiter.try_reserve(&name, size, now);
        if matches!(outcome, ReserveOutcome::Pending(_)) {
            for (group, coordinator) in self.daemons[id].limiter.due_settlements(now) {
                self.settle(id, &group, &coordinator);
            }
            outcome = self.daemons[id].limiter.try_reserve(&name, size, now);
        }
        match outcome {
            ReserveOutcome::Granted => {
                let wait = self.rng.random_range(0..=MAX_SEND_DELAY_MS);
                self.sent.push(Sent {
                    at_ms: now + wait,
                    workspace,
                    size,
                    daemon: id,
                    boot: self.daemons[id].boot,
                });
            }
            ReserveOutcome::OverQuota { .. } => self.refused[workspace] += size,
            ReserveOutcome::Pending(_) | ReserveOutcome::UsageUnknown { .. } => {
                self.unknown[workspace] += size
            }
        }
    }

    /// Sends waiting requests whose daemon still runs.
    fn run_due(&mut self) {
        let (due, later) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|s| s.at_ms <= self.now && self.is_running(s.daemon));
        self.sent = later;
        for sent in due {
            let daemon = &mut self.daemons[sent.daemon];
            if daemon.boot != sent.boot {
                continue;
            }
            daemon
                .limiter
                .mark_sent(&format!("w{}", sent.workspace), sent.size);
            self.runs.push(Run {
                at_ms: self.now,
                workspace: sent.workspace,
                size: sent.size,
            });
        }
    }

    /// The largest number of units run in a window of a workspace, and the
    /// number allowed in it.
    pub fn worst_window(&self, workspace: usize) -> (f64, f64) {
        let runs: Vec<&Run> = self
            .runs
            .iter()
            .filter(|r| r.workspace == workspace)
            .collect();
        let mut worst = (0.0, f64::INFINITY);
        let (mut first, mut sum) = (0, 0);
        for last in 0..runs.len() {
            sum += runs[last].size;
            while runs[last].at_ms - runs[first].at_ms >= self.tolerance.window_ms {
                sum -= runs[first].size;
                first += 1;
            }
            let allowed = self.allowed(workspace, runs[last].at_ms);
            if sum as f64 / allowed > worst.0 / worst.1 {
                worst = (sum as f64, allowed);
            }
        }
        worst
    }

    /// Units allowed in the window that ends at `end`: a lower quota applies
    /// one window after all daemons have it.
    fn allowed(&self, workspace: usize, end: u64) -> f64 {
        let start = end.saturating_sub(self.tolerance.window_ms);
        let mut max_units: f64 = 0.0;
        for (version, (from, quotas)) in self.configs.iter().enumerate() {
            let next = self.fully_applied_at.get(version + 1).copied();
            let end_ms = match next {
                None => u64::MAX,
                Some(fully_applied_at) => fully_applied_at
                    .map_or(u64::MAX, |applied_ms| applied_ms + self.tolerance.window_ms),
            };
            if *from <= end && end_ms >= start {
                let quota = &quotas[workspace];
                max_units = max_units
                    .max(self.tolerance.allowed(quota) + self.tolerance.tolerated_excess(quota));
            }
        }
        max_units
    }

    pub fn units_run(&self, workspace: usize, from: u64, to: u64) -> f64 {
        let runs = self.runs.iter().filter(|r| r.workspace == workspace);
        let runs = runs.filter(|r| r.at_ms >= from && r.at_ms < to);
        runs.map(|r| r.size as f64).sum()
    }
}
