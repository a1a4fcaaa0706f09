//! A fleet of daemons that keep caps together, in simulated time.
//!
//! One [`World`] has the truth: who is up, who reaches whom, who holds the lease
//! of each group, which cap is in force, and every run. Its daemons know what
//! their meters were told.

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

/// Until a daemon that is not heard of counts as gone, in ms.
const SILENT_MS: u64 = 1_400;

/// Until a daemon that has started reads who there is in the store, in ms.
const LIST_MS: u64 = 500;

/// Until the store's silence makes what is known old, in ms.
const STALE_MS: u64 = 10_000;

/// Longest from credit to arrival of a request that holds it, in ms.
const WAIT_MS: u64 = 400;

pub const GROUPS: [&str; 2] = ["east", "west"];

pub const TOLERANCE: Tolerance = Tolerance {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 17_000.0,
};

/// How far the requests at a limited target may lie above its limit.
pub const LIMIT_TOLERANCE: Tolerance = Tolerance {
    window_ms: 4_000,
    overshoot: 0.5,
    slack: 5.0,
};

/// Which way is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Lending,
    Sharing,
    Granting,
}

/// A request on its way to a target.
struct Sent {
    at: u64,
    workspace: usize,
    size: u64,
    daemon: usize,
    boot: u64,
}

/// A call that a frozen home has not read yet.
struct Unread {
    home: usize,
    call: SettleRequest,
}

/// What daemons that reach each other know together.
#[derive(Default)]
struct Told {
    known: BTreeSet<usize>,
    certain: bool,
    store: u64,
    version: usize,
}

struct Daemon {
    meter: Box<dyn RateLimiter>,
    peer: Name,
    boot: u64,
    up: bool,
    frozen_until: u64,
    side: usize,
    began: u64,
    known: BTreeSet<usize>,
    /// Since when each is known.
    met: Map<usize, u64>,
    /// Whether the store, or somebody who knew it from there, has told who
    /// there is.
    certain: bool,
    /// When each other was last heard of.
    heard: Map<usize, u64>,
    /// When the store was last heard of, also through others.
    store: u64,
    /// Which configuration is known here, and which one its meter has.
    version: usize,
    applied: usize,
}

/// A run at a target.
pub struct Run {
    pub at: u64,
    pub workspace: usize,
    pub size: u64,
}

pub struct World {
    pub now: u64,
    way: Way,
    tolerance: Tolerance,
    /// Sizes of requests, in units.
    sizes: Range<u64>,
    /// Calls to homes, and lines in them.
    pub calls: u64,
    pub lines: u64,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    holders: [usize; 2],
    /// Caps of each version of the configuration, and from when on it holds.
    configs: Vec<(u64, Vec<Quota>)>,
    /// When all daemons last came to have each version.
    settled: Vec<Option<u64>>,
    store_side: usize,
    loss: f64,
    sent: Vec<Sent>,
    unread: Vec<Unread>,
    pub runs: Vec<Run>,
    pub refused: Vec<u64>,
    pub unsure: Vec<u64>,
    pub asked: Vec<u64>,
    /// Demand of each workspace, against its cap.
    pub demand: Vec<f64>,
    /// Daemons that get the requests; all if it is empty.
    pub focus: Vec<usize>,
}

fn meter(way: Way, tolerance: Tolerance, home: PeerProcess, now: u64) -> Box<dyn RateLimiter> {
    match way {
        Way::Lending => Box::new(LendingLimiter::new(home, tolerance, now)),
        Way::Sharing => Box::new(SharingLimiter::new(home, tolerance)),
        Way::Granting => Box::new(GrantingLimiter::new(home)),
    }
}

fn peer_of(at: usize) -> Name {
    format!("10.0.0.{at}:1").into()
}

fn workspaces(caps: &[Quota]) -> Workspaces {
    let entries = caps.iter().enumerate().map(|(at, cap)| WorkspaceEntry {
        name: format!("w{at}"),
        unit: RawUnit::Tokens,
        default_tokens: RawNumber::Number(200.0),
        rate: RawNumber::Number(cap.rate),
        burst: RawNumber::Number(cap.burst),
        ..WorkspaceEntry::default()
    });
    let hasher = KeyHasher::new(Salt::new([7; 32]));
    let (workspaces, problems) = read_entries(hasher, entries.collect());
    assert!(problems.is_empty(), "{problems:?}");
    workspaces
}

pub fn cap(rate: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens {
            default_tokens: 200,
        },
        rate,
        burst: rate,
    }
}

/// A target's limit, in requests a second.
pub fn limit(rate: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Requests,
        rate,
        burst: 0.0,
    }
}

impl World {
    /// A fleet that keeps the caps of workspaces, counted in tokens.
    pub fn new(way: Way, daemons: usize, caps: Vec<Quota>, seed: u64) -> Self {
        Self::with(way, TOLERANCE, 400..4_800, daemons, caps, seed)
    }

    /// A fleet that keeps the limits of targets, counted in requests.
    pub fn limits(way: Way, daemons: usize, caps: Vec<Quota>, seed: u64) -> Self {
        Self::with(way, LIMIT_TOLERANCE, 1..2, daemons, caps, seed)
    }

    fn with(
        way: Way,
        tolerance: Tolerance,
        sizes: Range<u64>,
        daemons: usize,
        caps: Vec<Quota>,
        seed: u64,
    ) -> Self {
        let count = caps.len();
        let mut world = Self {
            now: 1,
            way,
            tolerance,
            sizes,
            calls: 0,
            lines: 0,
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            holders: [0, 1],
            configs: vec![(0, caps)],
            settled: vec![Some(0)],
            store_side: 0,
            loss: 0.0,
            sent: Vec::new(),
            unread: Vec::new(),
            runs: Vec::new(),
            refused: vec![0; count],
            unsure: vec![0; count],
            asked: vec![0; count],
            demand: vec![0.0; count],
            focus: Vec::new(),
        };
        for _ in 0..daemons {
            world.add();
        }
        world
    }

    pub fn size(&self) -> usize {
        self.daemons.len()
    }

    /// Adds a daemon, which knows of the first one only.
    pub fn add(&mut self) {
        let at = self.daemons.len();
        let daemon = self.start(at, 1);
        self.daemons.push(daemon);
    }

    fn start(&self, at: usize, boot: u64) -> Daemon {
        let peer = peer_of(at);
        let home = PeerProcess {
            peer_addr: peer.clone(),
            boot,
        };
        let version = self.configs.len() - 1;
        let mut meter = meter(self.way, self.tolerance, home, self.now);
        let groups = GROUPS.map(Name::from);
        meter.configure(&workspaces(&self.configs[version].1), &groups, self.now);
        Daemon {
            meter,
            peer,
            boot,
            up: true,
            frozen_until: 0,
            side: self.daemons.get(at).map_or(0, |d| d.side),
            began: self.now,
            known: [0, at].into(),
            met: Map::default(),
            certain: false,
            heard: Map::default(),
            store: self.now,
            version,
            applied: version,
        }
    }

    pub fn kill(&mut self, at: usize) {
        self.daemons[at].up = false;
    }

    pub fn restart(&mut self, at: usize) {
        let boot = self.daemons[at].boot + 1;
        self.daemons[at] = self.start(at, boot);
        self.unread.retain(|u| u.home != at);
    }

    pub fn freeze(&mut self, at: usize, ms: u64) {
        self.daemons[at].frozen_until = self.now + ms;
    }

    /// Daemons for which `away` says so are cut off from the others; the store
    /// is on the side `store`.
    pub fn cut(&mut self, store: usize, away: impl Fn(usize) -> bool) {
        self.store_side = store;
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.side = usize::from(away(at));
        }
    }

    /// Each daemon is cut off from all others.
    pub fn shatter(&mut self) {
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.side = at + 1;
        }
        self.store_side = 0;
    }

    pub fn lose(&mut self, part: f64) {
        self.loss = part;
    }

    pub fn hold(&mut self, group: usize, holder: usize) {
        self.holders[group] = holder;
    }

    pub fn configure(&mut self, caps: Vec<Quota>) {
        self.configs.push((self.now, caps));
        self.settled.push(None);
    }

    fn active(&self, at: usize) -> bool {
        self.daemons[at].up && self.now >= self.daemons[at].frozen_until
    }

    fn joined(&self, a: usize, b: usize) -> bool {
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
        for at in 0..self.size() {
            if self.active(at) {
                self.meet(at);
                for (group, home) in self.daemons[at].meter.due_settlements(self.now) {
                    self.settle(at, &group, &home);
                }
            }
        }
        for workspace in 0..self.demand.len() {
            self.requests(workspace);
        }
        self.arrive();
    }

    /// Daemons that reach each other tell who there is and which configuration
    /// is in force.
    fn gossip(&mut self) {
        let newest = self.configs.len() - 1;
        let mut sides: Map<usize, Told> = Map::default();
        let active: Vec<usize> = (0..self.size()).filter(|at| self.active(*at)).collect();
        for at in active.iter().copied() {
            if self.daemons[at].side == self.store_side {
                self.daemons[at].store = self.now;
                self.daemons[at].version = newest;
                self.list(at);
            }
            let daemon = &self.daemons[at];
            let told = sides.entry(daemon.side).or_default();
            told.known.extend(&daemon.known);
            told.certain |= daemon.certain;
            told.store = told.store.max(daemon.store);
            told.version = told.version.max(daemon.version);
        }
        let holders = self.holders;
        for at in active {
            let heard = holders.iter().filter(|h| self.active(**h));
            let heard: Vec<usize> = heard.copied().filter(|h| self.joined(at, *h)).collect();
            let (now, daemon) = (self.now, &mut self.daemons[at]);
            let told = &sides[&daemon.side];
            if daemon.known.len() < told.known.len() {
                daemon.known = told.known.clone();
            }
            if daemon.met.len() < daemon.known.len() {
                for other in daemon.known.clone() {
                    daemon.met.entry(other).or_insert(now);
                }
            }
            daemon.certain |= told.certain;
            daemon.store = told.store;
            daemon.version = told.version;
            daemon.heard.extend(heard.into_iter().map(|h| (h, now)));
        }
        let all = self.daemons.iter().all(|d| d.up && d.applied == newest);
        if all && self.settled[newest].is_none() {
            self.settled[newest] = Some(self.now);
        }
    }

    /// A daemon that has started reads who there is in the store.
    fn list(&mut self, at: usize) {
        let size = self.size();
        let daemon = &mut self.daemons[at];
        if !daemon.certain && self.now.saturating_sub(daemon.began) >= LIST_MS {
            daemon.certain = true;
            daemon.known.extend(0..size);
        }
    }

    fn meet(&mut self, at: usize) {
        let now = self.now;
        let mut homes: Map<Name, PeerProcess> = Map::default();
        for (group, holder) in GROUPS.iter().zip(self.holders) {
            let heard = self.daemons[at].heard.get(&holder);
            let recent = heard.is_some_and(|h| now.saturating_sub(*h) <= SILENT_MS);
            if holder == at || recent {
                let holder = &self.daemons[holder];
                homes.insert(
                    (*group).into(),
                    PeerProcess {
                        peer_addr: holder.peer.clone(),
                        boot: holder.boot,
                    },
                );
            }
        }
        let daemon = &mut self.daemons[at];
        let fleet = FleetView {
            members: daemon.known.len(),
            confirmed: daemon.certain,
            stale: now.saturating_sub(daemon.store) >= STALE_MS,
        };
        if daemon.applied != daemon.version {
            daemon.applied = daemon.version;
            let found = workspaces(&self.configs[daemon.version].1);
            daemon.meter.configure(&found, &GROUPS.map(Name::from), now);
        }
        daemon.meter.update_fleet(&homes, fleet, now);
    }

    fn settle(&mut self, at: usize, group: &Name, home: &PeerProcess) {
        let now = self.now;
        let call = self.daemons[at].meter.settle_request(group, home, now);
        self.calls += 1;
        self.lines += call.lines.len() as u64;
        let to = self.daemons.iter().position(|d| d.peer == home.peer_addr);
        let to = to.expect("homes are daemons");
        let lost = self.rng.random_bool(self.loss);
        if lost || !self.joined(at, to) || !self.daemons[to].up {
            self.daemons[at].meter.handle_reply(group, home, None, now);
            return;
        }
        if !self.active(to) {
            self.unread.push(Unread { home: to, call });
            self.daemons[at].meter.handle_reply(group, home, None, now);
            return;
        }
        let met = self.daemons[to].met.get(&at).copied().unwrap_or(now);
        let reply = self.daemons[to].meter.handle_settle(&call, met, now);
        let lost = self.rng.random_bool(self.loss);
        let reply = (!lost).then_some(&reply);
        self.daemons[at].meter.handle_reply(group, home, reply, now);
    }

    /// Homes that were frozen read what came meanwhile.
    fn thaw(&mut self) {
        let (ready, later) = std::mem::take(&mut self.unread)
            .into_iter()
            .partition(|u| self.active(u.home));
        self.unread = later;
        for unread in ready {
            let now = self.now;
            let from = self
                .daemons
                .iter()
                .position(|d| *d.peer == *unread.call.from);
            let home = &mut self.daemons[unread.home];
            let met = from.and_then(|f| home.met.get(&f).copied());
            home.meter
                .handle_settle(&unread.call, met.unwrap_or(now), now);
        }
    }

    fn requests(&mut self, workspace: usize) {
        let cap = self.configs.last().expect("there is a configuration").1[workspace];
        let mut due = cap.rate * self.demand[workspace] * STEP_MS as f64 / 1_000.0;
        while due > 0.0 {
            let size = self.rng.random_range(self.sizes.clone());
            if due < size as f64 && !self.rng.random_bool(due / size as f64) {
                return;
            }
            due -= size as f64;
            let at = match self.focus.len() {
                0 => self.rng.random_range(0..self.size()),
                n => self.focus[self.rng.random_range(0..n)].min(self.size() - 1),
            };
            if self.active(at) {
                self.request(at, workspace, size);
            }
        }
    }

    fn request(&mut self, at: usize, workspace: usize, size: u64) {
        self.asked[workspace] += size;
        let name = format!("w{workspace}");
        let now = self.now;
        self.daemons[at].meter.record_demand(&name, size, now);
        let mut taken = self.daemons[at].meter.try_reserve(&name, size, now);
        if matches!(taken, ReserveOutcome::Pending(_)) {
            for (group, home) in self.daemons[at].meter.due_settlements(now) {
                self.settle(at, &group, &home);
            }
            taken = self.daemons[at].meter.try_reserve(&name, size, now);
        }
        match taken {
            ReserveOutcome::Granted => {
                let wait = self.rng.random_range(0..=WAIT_MS);
                self.sent.push(Sent {
                    at: now + wait,
                    workspace,
                    size,
                    daemon: at,
                    boot: self.daemons[at].boot,
                });
            }
            ReserveOutcome::OverQuota { .. } => self.refused[workspace] += size,
            ReserveOutcome::Pending(_) | ReserveOutcome::UsageUnknown { .. } => {
                self.unsure[workspace] += size
            }
        }
    }

    /// Requests that waited are sent, if their daemon still runs.
    fn arrive(&mut self) {
        let (due, later) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|s| s.at <= self.now && self.active(s.daemon));
        self.sent = later;
        for sent in due {
            let daemon = &mut self.daemons[sent.daemon];
            if daemon.boot != sent.boot {
                continue;
            }
            daemon
                .meter
                .mark_sent(&format!("w{}", sent.workspace), sent.size);
            self.runs.push(Run {
                at: self.now,
                workspace: sent.workspace,
                size: sent.size,
            });
        }
    }

    /// The most that ran in a window, against what the rule allows there, by
    /// workspace.
    pub fn worst(&self, workspace: usize) -> (f64, f64) {
        let runs: Vec<&Run> = self
            .runs
            .iter()
            .filter(|r| r.workspace == workspace)
            .collect();
        let mut worst = (0.0, f64::INFINITY);
        let (mut first, mut sum) = (0, 0);
        for last in 0..runs.len() {
            sum += runs[last].size;
            while runs[last].at - runs[first].at >= self.tolerance.window_ms {
                sum -= runs[first].size;
                first += 1;
            }
            let allowed = self.allowed(workspace, runs[last].at);
            if sum as f64 / allowed > worst.0 / worst.1 {
                worst = (sum as f64, allowed);
            }
        }
        worst
    }

    /// What the rule allows in the window that ends at `end`: a lower cap binds
    /// one window after all daemons have it.
    fn allowed(&self, workspace: usize, end: u64) -> f64 {
        let start = end.saturating_sub(self.tolerance.window_ms);
        let mut most: f64 = 0.0;
        for (version, (from, caps)) in self.configs.iter().enumerate() {
            let next = self.settled.get(version + 1).copied();
            let until = match next {
                None => u64::MAX,
                Some(settled) => settled.map_or(u64::MAX, |at| at + self.tolerance.window_ms),
            };
            if *from <= end && until >= start {
                let cap = &caps[workspace];
                most = most.max(self.tolerance.allowed(cap) + self.tolerance.tolerated_excess(cap));
            }
        }
        most
    }

    pub fn ran(&self, workspace: usize, from: u64, to: u64) -> f64 {
        let runs = self.runs.iter().filter(|r| r.workspace == workspace);
        let runs = runs.filter(|r| r.at >= from && r.at < to);
        runs.map(|r| r.size as f64).sum()
    }
}
