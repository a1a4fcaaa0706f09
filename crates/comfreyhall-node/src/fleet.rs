//! The other daemons, and telling each other what is known.
//!
//! Every period a daemon swaps news with its peers, one call a pair for both
//! directions: what it has at each target (so that estimates count
//! everyone's work), which leases it holds, which adapters it has just
//! placed, what was asked for. A daemon that the store turns away gets newer
//! rows from its peers the same way. Whoever was not heard from lately is
//! not handed out to callers.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name};
use comfreyhall_protocol::{
    Daemon, Demand, EnsureReply, EnsureRequest, Holding, News, Placed, TargetWork,
    fleet_client::FleetClient,
    fleet_server::{self, FleetServer},
    link,
};
use comfreyhall_routing::{Standing, Work};
use comfreyhall_settings::NodeSettings;
use rand::{Rng, seq::IteratorRandom};
use tokio::net::TcpListener;
use tonic::{Request, Response, Status, transport::Channel};

use crate::{
    facts, keeper,
    node::Node,
    ports::{Fact, Facts, Topic},
};

/// Period of the news, in ms: the wait estimate is then at most a quarter of
/// a second old, about the time of one prompt.
const PERIOD_MS: u64 = 250;

/// Peers told in one period. With more daemons than this, news goes to a
/// random part of them each time, which keeps the cost of a daemon constant.
const FANOUT: usize = 16;

/// Periods that a peer may be silent before it is not handed out, so that a
/// few lost calls do not take it out. A fleet larger than the fan-out talks
/// in turns, and the time stretches with it.
const ALIVE_PERIODS: u64 = 4;

/// A peer that should have called and has not for this long is called, in ms.
const SILENT_MS: u64 = 600;

/// Longest one swap may take.
const SWAP_TIMEOUT: Duration = Duration::from_millis(400);

/// A peer not heard from for this long is forgotten, in ms.
const FORGET_MS: u64 = 60_000;

/// Pause between calls to a peer that does not answer, in ms.
const DEAD_PAUSE_MS: u64 = 1_000;

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
    heard: u64,
    called: u64,
    calling: bool,
    holdings: Vec<(Name, u64)>,
    pins: Vec<(Name, AdapterRef)>,
    /// Newest settings row it knows.
    settings: u64,
    /// Version of the targets it knows.
    targets: u64,
    demands: Map<Name, u32>,
    /// First placement it has not been told.
    told: u64,
}

#[derive(Default)]
struct State {
    /// By peer address.
    peers: Map<Name, Peer>,
    /// Requests in progress here, by target and adapter.
    pins: Map<(Name, AdapterRef), u32>,
    placed: VecDeque<(u64, Placed)>,
    next: u64,
}

/// The fleet as this daemon knows it.
pub(crate) struct Fleet {
    me: Daemon,
    state: Mutex<State>,
}

/// `model/adapter`.
pub(crate) fn key_of(adapter: &AdapterRef) -> Name {
    format!(
        "{}/{}",
        adapter.model,
        adapter.adapter.as_deref().unwrap_or("")
    )
    .into()
}

fn parse_key(key: &str) -> Option<AdapterRef> {
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
        };
        let fleet = Self {
            me,
            state: Mutex::default(),
        };
        for seed in &settings.seeds {
            fleet.meet(&seed.to_string(), true);
        }
        fleet
    }

    /// How long a peer may be silent, in ms, in a fleet of `peers`.
    fn alive_ms(peers: usize) -> u64 {
        let turns = (peers as f64 / FANOUT as f64).max(1.0);
        (turns * (ALIVE_PERIODS * PERIOD_MS) as f64) as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds a peer to call.
    pub(crate) fn meet(&self, addr: &str, seed: bool) {
        if addr == self.me.peer || addr.parse::<std::net::SocketAddr>().is_err() {
            return;
        }
        let mut state = self.state();
        let told = state.next;
        state.peers.entry(addr.into()).or_insert_with(|| Peer {
            client: FleetClient::new(link::channel(addr)),
            seed,
            about: None,
            heard: 0,
            called: 0,
            calling: false,
            holdings: Vec::new(),
            pins: Vec::new(),
            settings: 0,
            targets: 0,
            demands: Map::default(),
            told,
        });
    }

    /// Daemons alive now, this one included.
    pub(crate) fn size(&self, now: u64) -> usize {
        let state = self.state();
        1 + state.alive(now).count()
    }

    /// Counts a request in progress that uses an adapter.
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

    /// Requests that use `adapter` at `target` now, on any daemon.
    pub(crate) fn pins(&self, target: &Name, adapter: &AdapterRef, now: u64) -> u32 {
        let state = self.state();
        let own = state.pins.get(&(target.clone(), adapter.clone()));
        let theirs = state.alive(now).map(|(_, p)| p);
        let pinned = |p: &&Peer| p.pins.iter().any(|(t, a)| t == target && a == adapter);
        own.copied().unwrap_or(0) + theirs.filter(pinned).count() as u32
    }

    /// Adapters in use at each target, on any daemon.
    pub(crate) fn in_use(&self, now: u64) -> Map<Name, Vec<AdapterRef>> {
        let state = self.state();
        let mut out: Map<Name, Vec<AdapterRef>> = Map::default();
        let theirs = state
            .alive(now)
            .flat_map(|(_, p)| p.pins.iter().map(|(t, a)| (t, a)));
        for (target, adapter) in state.pins.keys().map(|(t, a)| (t, a)).chain(theirs) {
            let used = out.entry(target.clone()).or_default();
            if !used.contains(adapter) {
                used.push(adapter.clone());
            }
        }
        out
    }

    /// A request for `adapter` was served: holders want to know.
    pub(crate) fn demand(&self, key: &Name) {
        for peer in self.state().peers.values_mut() {
            if !peer.holdings.is_empty() {
                *peer.demands.entry(key.clone()).or_default() += 1;
            }
        }
    }

    /// An adapter has come to a target by our order, or was `None` of it
    /// is left there.
    pub(crate) fn placed(&self, target: &Name, adapter: &AdapterRef, version: Option<u64>) {
        let mut state = self.state();
        let serial = state.next;
        state.next += 1;
        let placed = Placed {
            target: target.to_string(),
            adapter: key_of(adapter).to_string(),
            version: version.unwrap_or(0),
            dropped: version.is_none(),
        };
        state.placed.push_back((serial, placed));
        if state.placed.len() > PLACED_KEPT {
            state.placed.pop_front();
        }
    }

    /// Who holds the lease of `group`, other than this daemon.
    pub(crate) fn holder(&self, group: &str, now: u64) -> Option<Name> {
        let state = self.state();
        let held = state.alive(now).filter_map(|(addr, peer)| {
            let holding = peer.holdings.iter().find(|(g, _)| &**g == group)?;
            Some((holding.1, addr.clone()))
        });
        held.max().map(|(_, addr)| addr)
    }

    pub(crate) fn client(&self, peer: &str) -> Option<FleetClient<Channel>> {
        self.state().peers.get(peer).map(|p| p.client.clone())
    }

    /// The alive peers' domains.
    pub(crate) fn domains(&self, now: u64) -> Vec<Name> {
        let state = self.state();
        let about = state.alive(now).filter_map(|(_, p)| p.about.as_ref());
        about
            .filter(|a| a.ready)
            .map(|a| a.domain.as_str().into())
            .collect()
    }

    pub(crate) fn addresses(&self, node: &Node, _domain: &str) -> (Vec<Name>, Duration) {
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

    /// What to tell the peer at `addr`.
    fn news_for(&self, node: &Node, addr: &str) -> News {
        let now = node.now();
        let mut news = self.own_news(node, now);
        let mut state = self.state();
        let known = state.alive(now).filter(|(a, _)| &***a != addr);
        news.peers = known.map(|(a, _)| a.to_string()).take(FANOUT).collect();
        let State {
            peers,
            pins,
            placed,
            next,
        } = &mut *state;
        for work in &mut news.work {
            let used = pins.keys().filter(|(t, _)| **t == *work.target);
            work.adapters = used.map(|(_, a)| key_of(a).to_string()).collect();
        }
        if let Some(peer) = peers.get_mut(addr) {
            let untold = placed.iter().filter(|(serial, _)| *serial >= peer.told);
            news.placed = untold.map(|(_, p)| p.clone()).collect();
            peer.told = *next;
            let demands = std::mem::take(&mut peer.demands);
            news.demands = demands
                .into_iter()
                .map(|(key, requests)| Demand {
                    key: key.to_string(),
                    requests,
                })
                .collect();
            news.wants_settings = peer.settings > news.settings_version;
        }
        news
    }

    fn own_news(&self, node: &Node, now: u64) -> News {
        let mut view = node.view();
        let work = view.board.own().map(|(target, w)| TargetWork {
            target: target.to_string(),
            prefill: w.prefill,
            running: w.running,
            adapters: Vec::new(),
        });
        let work = work.collect();
        let targets = view.book.shelf(Topic::Targets);
        let targets_version = targets.version;
        let targets_age = match targets.as_of {
            0 => u64::MAX,
            as_of => now.saturating_sub(as_of),
        };
        let rows = view.book.shelf(Topic::Settings).rows.values();
        let settings_version = rows.map(|f| f.version).max().unwrap_or(0);
        let mut from = self.me.clone();
        from.ready = node.ready();
        News {
            from: Some(from),
            work,
            holdings: node
                .leases
                .held(node.settings().bounds.fencing)
                .into_iter()
                .map(|(group, token)| Holding {
                    group: group.to_string(),
                    token,
                })
                .collect(),
            settings_version,
            targets_version,
            targets_age,
            wants_settings: settings_version == 0,
            ..News::default()
        }
    }

    /// Takes in a peer's news.
    fn learn(&self, node: &Node, news: News) {
        let Some(from) = news.from.clone() else {
            return;
        };
        let now = node.now();
        self.meet(&from.peer, false);
        for addr in &news.peers {
            self.meet(addr, false);
        }
        self.learn_peer(node, &from, &news, now);
        let peer: Name = from.id.as_str().into();
        let mut view = node.view();
        let used: Vec<&TargetWork> = news.work.iter().collect();
        for work in used {
            let target: Name = work.target.as_str().into();
            let told = Work {
                prefill: work.prefill,
                running: work.running,
            };
            view.board.peer(&target, &peer, told, now);
        }
        for placed in &news.placed {
            if let Some(adapter) = parse_key(&placed.adapter) {
                let target: Name = placed.target.as_str().into();
                let standing = match placed.dropped {
                    true => Standing::Absent,
                    false => Standing::Held(placed.version),
                };
                view.residency.note(&adapter, &target, standing, now);
            }
        }
        for demand in &news.demands {
            view.demand.bump(&demand.key, demand.requests, now);
        }
        drop(view);
        let age = news.targets_age;
        let covers = news.targets_version >= node.view().book.targets.version;
        for (topic, rows) in [
            (Topic::Settings, news.settings),
            (Topic::Targets, news.targets),
        ] {
            if rows.is_empty() {
                continue;
            }
            let rows: Vec<Fact> = rows.into_iter().map(from_wire).collect();
            let version = rows.iter().map(|f| f.version).max().unwrap_or(0);
            facts::apply(node, topic, Facts { rows, version });
            crate::follow::settle(node);
        }
        if age != u64::MAX && covers {
            let mut view = node.view();
            let targets = &mut view.book.targets;
            targets.as_of = targets.as_of.max(now.saturating_sub(age));
        }
    }

    fn learn_peer(&self, node: &Node, from: &Daemon, news: &News, now: u64) {
        for holding in &news.holdings {
            node.leases.beat(&holding.group, holding.token);
        }
        let mut state = self.state();
        let limit = Self::alive_ms(state.peers.len());
        let Some(peer) = state.peers.get_mut(from.peer.as_str()) else {
            return;
        };
        if !peer.alive(now, limit) {
            log::info!(target: "fleet", peer:% = from.id, addr:% = from.peer; "peer heard");
        }
        peer.heard = now;
        peer.about = Some(from.clone());
        peer.settings = news.settings_version;
        peer.targets = news.targets_version;
        let holdings = news.holdings.iter();
        peer.holdings = holdings
            .map(|h| (h.group.as_str().into(), h.token))
            .collect();
        peer.pins = news
            .work
            .iter()
            .flat_map(|w| {
                let target: Name = w.target.as_str().into();
                w.adapters
                    .iter()
                    .filter_map(move |a| Some((target.clone(), parse_key(a)?)))
            })
            .collect();
    }
}

impl State {
    /// Peers heard from lately.
    fn alive(&self, now: u64) -> impl Iterator<Item = (&Name, &Peer)> {
        let limit = Fleet::alive_ms(self.peers.len());
        self.peers.iter().filter(move |(_, p)| p.alive(now, limit))
    }
}

impl Peer {
    fn alive(&self, now: u64, limit: u64) -> bool {
        self.heard > 0 && now.saturating_sub(self.heard) <= limit
    }
}

fn to_wire(fact: &Fact) -> comfreyhall_protocol::Fact {
    comfreyhall_protocol::Fact {
        key: fact.key.to_string(),
        value: fact.value.as_ref().map(|v| v.to_vec()).unwrap_or_default(),
        version: fact.version,
        deleted: fact.value.is_none(),
    }
}

fn from_wire(fact: comfreyhall_protocol::Fact) -> Fact {
    Fact {
        key: fact.key.into(),
        value: (!fact.deleted).then(|| fact.value.into()),
        version: fact.version,
    }
}

/// Rows of `topic` with news since `version`.
fn rows_since(node: &Node, topic: Topic, version: u64) -> Vec<comfreyhall_protocol::Fact> {
    let mut view = node.view();
    let shelf = view.book.shelf(topic);
    let newer = shelf.news.iter().filter(|(_, v)| **v > version);
    let rows = newer.filter_map(|(key, _)| shelf.rows.get(key));
    rows.map(to_wire).collect()
}

/// Adds the rows that the sender of `asked` wants to `news`.
fn add_rows(node: &Node, asked: &News, news: &mut News) {
    if asked.wants_settings {
        news.settings = rows_since(node, Topic::Settings, asked.settings_version);
    }
    if news.targets_age < asked.targets_age {
        news.targets = rows_since(node, Topic::Targets, asked.targets_version);
    }
}

/// Starts swapping news.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            for addr in due(&node) {
                tokio::spawn(swap(node.clone(), addr));
            }
            let jitter = rand::rng().random_range(0..PERIOD_MS / 5);
            tokio::time::sleep(Duration::from_millis(PERIOD_MS + jitter)).await;
        }
    });
}

/// Peers to call now.
fn due(node: &Node) -> Vec<Name> {
    let now = node.now();
    let mut state = node.fleet.state();
    let me = node.fleet.me.peer.as_str();
    let limit = Fleet::alive_ms(state.peers.len());
    state.peers.retain(|_, p| {
        let last = p.heard.max(p.called);
        p.seed || p.heard == 0 && p.called == 0 || now.saturating_sub(last) < FORGET_MS
    });
    let mut out: Vec<Name> = Vec::new();
    for (addr, peer) in &state.peers {
        let quiet = now.saturating_sub(peer.heard);
        // One call a pair: the one with the smaller address makes it.
        let turn = me < &**addr || quiet > SILENT_MS;
        let rest = peer.heard == 0 || quiet > limit;
        let early = rest && now.saturating_sub(peer.called) < DEAD_PAUSE_MS && peer.called > 0;
        if turn && !early && !peer.calling {
            out.push(addr.clone());
        }
    }
    let out = out.into_iter().choose_multiple(&mut rand::rng(), FANOUT);
    for addr in &out {
        if let Some(peer) = state.peers.get_mut(addr) {
            peer.calling = true;
            peer.called = now;
        }
    }
    out
}

async fn swap(node: Arc<Node>, addr: Name) {
    let Some(mut client) = node.fleet.client(&addr) else {
        return;
    };
    let mut news = node.fleet.news_for(&node, &addr);
    let (asked, known) = {
        let state = node.fleet.state();
        let peer = state.peers.get(&addr);
        (
            peer.and_then(|p| p.about.clone()),
            peer.map_or(0, |p| p.targets),
        )
    };
    if asked.is_none() {
        // A peer met for the first time may have just started.
        news.settings = rows_since(&node, Topic::Settings, 0);
    }
    news.targets = rows_since(&node, Topic::Targets, known);
    let answer = tokio::time::timeout(SWAP_TIMEOUT, client.exchange(news)).await;
    if let Some(peer) = node.fleet.state().peers.get_mut(&addr) {
        peer.calling = false;
    }
    match answer {
        Ok(Ok(reply)) => node.fleet.learn(&node, reply.into_inner()),
        Ok(Err(status)) => {
            log::debug!(target: "fleet", peer:% = addr, error:% = status.message(); "peer not reached");
        }
        Err(_) => log::debug!(target: "fleet", peer:% = addr; "peer silent"),
    }
}

/// Tells every peer at once, as before a stop.
pub(crate) async fn tell_all(node: &Arc<Node>) {
    let addrs: Vec<Name> = {
        let now = node.now();
        let state = node.fleet.state();
        state.alive(now).map(|(a, _)| a.clone()).collect()
    };
    let calls = addrs.into_iter().map(|a| swap(node.clone(), a));
    futures::future::join_all(calls).await;
}

/// Answers the other daemons.
struct Answers(Arc<Node>);

#[tonic::async_trait]
impl fleet_server::Fleet for Answers {
    async fn exchange(&self, req: Request<News>) -> Result<Response<News>, Status> {
        let asked = req.into_inner();
        let addr = asked.from.as_ref().map(|d| d.peer.clone());
        let addr = addr.unwrap_or_default();
        self.0.fleet.learn(&self.0, asked.clone());
        let mut news = self.0.fleet.news_for(&self.0, &addr);
        add_rows(&self.0, &asked, &mut news);
        Ok(Response::new(news))
    }

    async fn ensure(&self, req: Request<EnsureRequest>) -> Result<Response<EnsureReply>, Status> {
        Ok(Response::new(
            keeper::answer(&self.0, req.into_inner()).await,
        ))
    }
}

/// Answers the other daemons on `listener` for as long as the process runs.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) -> eyre::Result<()> {
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(1)))
        .http2_keepalive_timeout(Some(Duration::from_secs(1)))
        .add_service(FleetServer::new(Answers(node)))
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}
