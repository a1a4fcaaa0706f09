//! The other daemons, and telling each other what is known.
//!
//! Every period a daemon swaps news with its peers, one call a pair for both
//! directions: what it has at each target (so that estimates count
//! everyone's work), which leases it holds, which adapters it has just
//! placed, what was asked for. A daemon that the store turns away gets newer
//! rows from its peers the same way. Whoever was not heard from lately is
//! not handed out to callers. In a large fleet ([`hub`]) news goes through
//! the holders of leases.

mod fetch;
mod holding;
mod hub;
mod members;
mod news;
mod progress;
mod runs;
mod swap;

pub(crate) use self::{
    progress::{RunChange, RunUpdate},
    runs::Run,
    swap::{announce, spawn, tell_all, tell_found},
};
pub use swap::serve_peers;

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name, Set};
use comfreyhall_protocol::{Cession, Daemon, Placed, fleet_client::FleetClient, link};
use comfreyhall_quarantine::SyncPosition;
use comfreyhall_routing::selection;
use comfreyhall_settings::NodeSettings;
use rand::{Rng, seq::IteratorRandom};
use tokio::sync::{Notify, mpsc};
use tonic::transport::Channel;

use self::runs::Runs;
use crate::{clock, node::Node};

/// Period of the news, in ms: the wait estimate is then at most a quarter of
/// a second old, about the time of one prompt.
const PERIOD_MS: u64 = 250;

/// Peers told in one period. With more daemons than this, news goes through
/// the holders of leases, which keeps the cost of a daemon constant.
const FANOUT: usize = 16;

/// Reports that may be missing before a peer is not handed out, so that a
/// few lost calls do not take it out.
const ALIVE_PERIODS: u64 = 4;

/// Most addresses in one answer, as callers take them.
const MOST_ADDRESSES: usize = 64;

/// How long callers may keep an address answer. Some keep it three times as
/// long, and a stopping daemon serves that long at least.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Placements remembered for peers that have not heard of them.
const PLACED_KEPT: usize = 512;

struct Peer {
    client: FleetClient<Channel>,
    seed: bool,
    about: Option<Daemon>,
    /// When its address was first heard of.
    met: u64,
    heard: u64,
    /// When a holder of leases last counted it as alive.
    vouched: u64,
    called: u64,
    calling: bool,
    /// Said to hold a lease, and not asked yet.
    hinted: bool,
    roster: hub::Roster,
    /// Adapters in use by others at targets of its groups, if it told.
    used: Map<Name, u32>,
    holdings: Vec<(Name, u64)>,
    /// Its runs at engines, as it told or as they were bound here.
    runs: Runs,
    /// Not asked for engines before this: it did not answer in time.
    mute_until: u64,
    /// Newest settings row it knows.
    settings: u64,
    /// Version of the targets it knows.
    targets: u64,
    /// Whether it cannot read the settings in the store by itself.
    cut_off: bool,
    /// Daemons that may serve requests, as it told; 0 if it does not know.
    members: usize,
    demands: Map<Name, u32>,
    /// First placement it has not been told.
    told: u64,
    /// Number of the last finding it has heard from this daemon.
    findings: u64,
    /// Its findings that this daemon has heard.
    heard_of: SyncPosition,
    /// Its clock in its last news.
    clock: u64,
}

#[derive(Default)]
struct State {
    /// By peer address.
    peers: Map<Name, Peer>,
    /// Requests that wait for an adapter at a target of ours.
    pins: Map<(Name, AdapterRef), u32>,
    /// Runs of this daemon at engines.
    runs: Runs,
    placed: VecDeque<(u64, Placed)>,
    next: u64,
    /// Groups this daemon handed on.
    cessions: Vec<Cession>,
    /// What daemons that report here are told.
    summary: hub::Summary,
    /// Whether the store has told this process who there is.
    listed: bool,
    /// When a peer was last called by chance, in a large fleet.
    strayed: u64,
}

/// The fleet as this daemon knows it.
pub(crate) struct Fleet {
    me: Daemon,
    state: Mutex<State>,
    /// Number of the next run.
    next_run: AtomicU64,
    /// Settings handed to other daemons.
    giving: fetch::Giving,
    /// Wakes the duty that fetches settings.
    fetch: Notify,
    /// Where events of runs are put to be told to holders.
    tell: mpsc::Sender<RunUpdate>,
    events: Mutex<Option<mpsc::Receiver<RunUpdate>>>,
}

/// How news came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// A peer called.
    Call,
    /// A peer answered a call of ours: only answers bear sums and rosters.
    Answer,
}

/// `model/adapter`.
pub(crate) fn adapter_key(adapter: &AdapterRef) -> Name {
    format!(
        "{}/{}",
        adapter.model,
        adapter.adapter.as_deref().unwrap_or("")
    )
    .into()
}

pub(crate) fn parse_adapter_key(key: &str) -> Option<AdapterRef> {
    let (model, adapter) = key.split_once('/')?;
    Some(AdapterRef {
        model: model.into(),
        adapter: (!adapter.is_empty()).then(|| adapter.into()),
    })
}

impl Fleet {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let me = Daemon {
            id: settings.id.to_string(),
            boot: rand::rng().random(),
            peer: settings.listen.peers.to_string(),
            front: settings.listen.front.to_string(),
            domain: settings.domain.to_string(),
            ready: false,
            millicores: (settings.cores * 1_000.0) as u32,
        };
        let (tell, events) = mpsc::channel(progress::QUEUE);
        let fleet = Self {
            me,
            state: Mutex::default(),
            // A daemon that starts again must not go on with numbers that it
            // had before: holders still know some of those runs.
            next_run: AtomicU64::new(rand::rng().random::<u64>() >> 1),
            giving: fetch::Giving::default(),
            fetch: Notify::new(),
            tell,
            events: Mutex::new(Some(events)),
        };
        for seed in &settings.seeds {
            fleet.add_peer(&seed.to_string(), true);
        }
        fleet
    }

    /// How long a peer may be silent, in ms, in a fleet of `peers`.
    fn alive_ms(peers: usize) -> u64 {
        ALIVE_PERIODS * hub::pace_ms(peers)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds a peer to call.
    pub(crate) fn add_peer(&self, addr: &str, seed: bool) {
        if addr == self.me.peer || addr.parse::<std::net::SocketAddr>().is_err() {
            return;
        }
        let mut state = self.state();
        let told = state.next;
        state.peers.entry(addr.into()).or_insert_with(|| Peer {
            client: FleetClient::new(link::channel(addr)),
            seed,
            about: None,
            met: clock::now(),
            heard: 0,
            vouched: 0,
            called: 0,
            calling: false,
            hinted: false,
            roster: hub::Roster::default(),
            used: Map::default(),
            holdings: Vec::new(),
            runs: Runs::default(),
            mute_until: 0,
            settings: 0,
            targets: 0,
            cut_off: false,
            members: 0,
            demands: Map::default(),
            told,
            findings: 0,
            heard_of: SyncPosition::default(),
            clock: 0,
        });
    }

    /// Whether the peer at `addr` has been out of everybody's hearing for so
    /// long that it is taken for gone.
    pub(crate) fn is_lost(&self, addr: &str, now: u64) -> bool {
        let state = self.state();
        state.peers.get(addr).is_some_and(|p| {
            let last = p.heard.max(p.vouched).max(p.met);
            now.saturating_sub(last) >= swap::FORGET_MS / 2
        })
    }

    /// Whether this daemon's address is the smallest of those alive.
    pub(crate) fn has_lowest_addr(&self, now: u64) -> bool {
        let state = self.state();
        state.alive(now).all(|(addr, _)| *self.me.peer < **addr)
    }

    /// Daemons alive now, this one included.
    pub(crate) fn size(&self, now: u64) -> usize {
        let state = self.state();
        1 + state.alive(now).count()
    }

    /// How many daemons alive come before this one for `key`: each key has an
    /// order of its own, the same at all daemons that know of each other.
    pub(crate) fn rank(&self, key: &str, now: u64) -> usize {
        let own = selection::rendezvous_rank(key, &self.me.peer);
        let state = self.state();
        let before = |addr: &Name| selection::rendezvous_rank(key, addr) < own;
        state.alive(now).filter(|(addr, _)| before(addr)).count()
    }

    /// Has the duty that fetches settings look whether there is something to do.
    pub(crate) fn wake_fetch(&self) {
        self.fetch.notify_one();
    }

    /// Counts a request that waits for `adapter` at `target`.
    pub(crate) fn pin(&self, target: &Name, adapter: &AdapterRef) {
        let key = (target.clone(), adapter.clone());
        *self.state().pins.entry(key).or_default() += 1;
    }

    pub(crate) fn unpin(&self, target: &Name, adapter: &AdapterRef) {
        let key = (target.clone(), adapter.clone());
        let mut state = self.state();
        if let Some(count) = state.pins.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                state.pins.remove(&key);
            }
        }
    }

    /// A number for a run of this daemon.
    pub(crate) fn next_run_id(&self) -> u64 {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// A run of this daemon is sent to its engine.
    pub(crate) fn start_run(&self, id: u64, run: Run) {
        self.state().runs.begin(id, run);
    }

    /// The engine has read the prompt of a run of this daemon.
    pub(crate) fn mark_prompt_read(&self, id: u64) {
        self.state().runs.read(id);
    }

    /// A run of this daemon has ended.
    pub(crate) fn end_run(&self, id: u64) {
        self.state().runs.end(id);
    }

    /// Counts a run of the daemon at `peer`, which it is about to send.
    pub(crate) fn add_bound_run(&self, node: &Node, peer: &str, id: u64, run: Run) {
        let until = node.now() + self.alive_for();
        let mut state = self.state();
        let Some(known) = state.peers.get_mut(peer) else {
            return;
        };
        let Some(name) = known.about.as_ref().map(|a| Name::from(a.id.as_str())) else {
            return;
        };
        let (target, work) = (run.target.clone(), run.work());
        known.runs.begin(id, run);
        drop(state);
        node.view().board.add_peer_work(&name, &target, work, until);
    }

    /// How long a daemon may be silent, in ms.
    fn alive_for(&self) -> u64 {
        Self::alive_ms(self.state().peers.len())
    }

    /// Adapters in use at `target`, on any daemon.
    pub(crate) fn in_use_at(&self, target: &Name, now: u64) -> Set<AdapterRef> {
        let state = self.state();
        let here = state.uses(now).filter(|(t, _)| *t == target);
        here.map(|(_, adapter)| adapter.clone()).collect()
    }

    /// Adapters in use at each target, on any daemon.
    pub(crate) fn in_use(&self, now: u64) -> Map<Name, Vec<AdapterRef>> {
        let state = self.state();
        let mut out: Map<Name, Vec<AdapterRef>> = Map::default();
        for (target, adapter) in state.pinned(now) {
            out.entry(target.clone()).or_default().push(adapter.clone());
        }
        out
    }

    /// Adapters in use at targets, as holders of leases tell.
    pub(crate) fn reported_in_use(&self, now: u64) -> Map<Name, u32> {
        let state = self.state();
        let told = state.heard(now).flat_map(|(_, p)| p.used.iter());
        told.map(|(t, n)| (t.clone(), *n)).collect()
    }

    /// A request for `adapter` was served: holders want to know.
    pub(crate) fn record_demand(&self, key: &Name) {
        for peer in self.state().peers.values_mut() {
            if !peer.holdings.is_empty() {
                *peer.demands.entry(key.clone()).or_default() += 1;
            }
        }
    }

    /// An adapter came to a target by our order, or left it (`None`).
    pub(crate) fn record_placement(
        &self,
        target: &Name,
        adapter: &AdapterRef,
        version: Option<u64>,
    ) {
        let mut state = self.state();
        let serial = state.next;
        state.next += 1;
        let placed = Placed {
            target: target.to_string(),
            adapter: adapter_key(adapter).to_string(),
            version: version.unwrap_or(0),
            dropped: version.is_none(),
        };
        state.placed.push_back((serial, placed));
        if state.placed.len() > PLACED_KEPT {
            state.placed.pop_front();
        }
    }

    /// Which process this is.
    pub(crate) fn boot(&self) -> u64 {
        self.me.boot
    }

    /// The process that answers at `peer`, as it told.
    pub(crate) fn boot_of(&self, peer: &str) -> Option<u64> {
        let state = self.state();
        Some(state.peers.get(peer)?.about.as_ref()?.boot)
    }

    /// Where this daemon answers its peers.
    pub(crate) fn peer_addr(&self) -> &str {
        &self.me.peer
    }

    pub(crate) fn client(&self, peer: &str) -> Option<FleetClient<Channel>> {
        self.state().peers.get(peer).map(|p| p.client.clone())
    }

    pub(crate) fn addresses(&self, node: &Node) -> (Vec<Name>, Duration) {
        let now = node.now();
        let mut out: Vec<Name> = Vec::new();
        if node.ready() {
            out.push(self.me.front.as_str().into());
        }
        let state = self.state();
        let about = state.alive(now).filter_map(|(_, p)| p.about.as_ref());
        let about = about.filter(|a| a.ready);
        out.extend(about.map(|a| Name::from(a.front.as_str())));
        if out.len() > MOST_ADDRESSES {
            out = out
                .into_iter()
                .choose_multiple(&mut rand::rng(), MOST_ADDRESSES);
        }
        let bound = Duration::from_secs_f64(node.settings().bounds.address_s);
        (out, ADDRESS_TTL.min(bound))
    }
}

impl State {
    /// Peers heard from lately, here or by a holder of leases.
    fn alive(&self, now: u64) -> impl Iterator<Item = (&Name, &Peer)> {
        let limit = Fleet::alive_ms(self.peers.len());
        self.peers.iter().filter(move |(_, p)| p.seen(now, limit))
    }

    /// Each adapter in use at a target by any daemon, once.
    fn pinned(&self, now: u64) -> Set<(&Name, &AdapterRef)> {
        self.uses(now).collect()
    }

    /// Adapters in use at targets, some of them more than once.
    fn uses(&self, now: u64) -> impl Iterator<Item = (&Name, &AdapterRef)> {
        let theirs = self.heard(now).flat_map(|(_, p)| p.runs.uses());
        let waiting = self.pins.keys().map(|(target, adapter)| (target, adapter));
        waiting.chain(self.runs.uses()).chain(theirs)
    }

    /// Peers that this daemon heard from lately.
    fn heard(&self, now: u64) -> impl Iterator<Item = (&Name, &Peer)> {
        let limit = Fleet::alive_ms(self.peers.len());
        self.peers.iter().filter(move |(_, p)| p.alive(now, limit))
    }
}

impl Peer {
    fn alive(&self, now: u64, limit: u64) -> bool {
        recent(self.heard, now, limit)
    }

    /// Whether it was heard from lately, here or by a holder of leases.
    fn seen(&self, now: u64, limit: u64) -> bool {
        self.alive(now, limit) || recent(self.vouched, now, limit)
    }
}

/// Whether `at` is set and at most `limit` ms ago.
fn recent(at: u64, now: u64, limit: u64) -> bool {
    at > 0 && now.saturating_sub(at) <= limit
}

#[cfg(test)]
mod tests;
