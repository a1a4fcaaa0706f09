//! Engines that some daemons reach and others do not, in changing combinations.

mod support;

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, ClientRequest, LoadedModel, Name, RouteKind, Set, Target};
use comfreyhall_fakes::{CallOutcome, FakeTable};
use comfreyhall_node::{Node, ports::*};
use futures::{FutureExt, future::BoxFuture};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use support::*;
use tokio::{net::TcpListener, time::Instant};

const DAEMONS: usize = 4;
const ENGINES: usize = 6;

/// Adapters that fit on an engine.
const SLOTS: usize = 2;

/// Adapters that are requested.
const ADAPTERS: usize = 60;

/// Lease term of the daemons.
const LEASE_TERM: Duration = Duration::from_millis(3_000);

const LOAD_TIME: Duration = Duration::from_millis(120);

/// How long cuts come and go.
const CUT_TIME: Duration = Duration::from_millis(9_000);

/// Longest time after the last cut until every daemon serves adapters that are not loaded.
const HEALED_WITHIN: Duration = Duration::from_millis(4_000);

/// What a path does between a daemon and an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// Connections are refused.
    Refused,
    /// Nothing comes back, and what was sent arrives when the cut may have ended.
    Hung,
}

/// One engine, as all daemons share it.
#[derive(Debug, Default)]
struct Engine {
    held: Set<AdapterRef>,
    loading: Set<AdapterRef>,
    sequence: u64,
    token: u64,
    /// Loads that were ordered without a slot for them.
    overfilled: usize,
    /// The commands that it accepted.
    accepted: Vec<Accepted>,
}

/// A command that an engine accepted.
#[derive(Clone)]
struct Accepted {
    holder: Name,
    token: u64,
    sent: Instant,
    arrived: Instant,
}

impl fmt::Debug for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = self.arrived - self.sent;
        write!(f, "{} under {}, ", self.holder, self.token)?;
        write!(f, "arrived {late:?} after it was sent, ")?;
        write!(f, "{:?} before the test ended", self.arrived.elapsed())
    }
}

impl Engine {
    fn command(&mut self, command: &Command, sent: Instant) -> CommandReply {
        if command.token < self.token {
            return CommandReply::Fenced;
        }
        self.token = command.token;
        if command.expected_sequence != self.sequence {
            return CommandReply::Conflict;
        }
        let adapter = command.adapter.clone();
        match command.action {
            Action::Load if self.held.contains(&adapter) => return CommandReply::Holds,
            Action::Load if self.loading.contains(&adapter) => return CommandReply::Accepted,
            Action::Load => {
                self.overfilled += usize::from(self.held.len() + self.loading.len() >= SLOTS);
                self.loading.insert(adapter);
            }
            _ => {
                self.held.remove(&adapter);
            }
        }
        self.sequence += 1;
        self.accepted.push(Accepted {
            holder: command.holder.clone(),
            token: command.token,
            sent,
            arrived: Instant::now(),
        });
        CommandReply::Accepted
    }

    /// Commands of a holder that came less than a lease term after one of its own, with
    /// another holder's in between: each with the two before it.
    fn turns(&self) -> Vec<[Accepted; 3]> {
        let mut turns = Vec::new();
        for (i, last) in self.accepted.iter().enumerate() {
            let between = self.accepted[..i].iter().rev();
            let mut recent = between.take_while(|e| last.arrived - e.arrived < LEASE_TERM);
            let Some(other) = recent.find(|e| e.holder != last.holder) else {
                continue;
            };
            if let Some(first) = recent.find(|e| e.holder == last.holder) {
                turns.push([first, other, last].map(Accepted::clone));
            }
        }
        turns
    }

    fn report(&self) -> Report {
        let adapters = self.held.iter().filter_map(|a| a.adapter.clone());
        Report {
            loaded: vec![LoadedModel {
                model: "m".into(),
                adapters: adapters.map(|name| (name, 1)).collect(),
            }],
            loading: self.loading.iter().map(|a| (a.clone(), 1)).collect(),
            sequence: self.sequence,
            busy: false,
        }
    }
}

type Engines = Arc<BTreeMap<Name, Mutex<Engine>>>;

/// Executes a command, and ends the load that it begins.
fn execute(engines: &Engines, target: &Name, command: &Command, sent: Instant) -> CommandReply {
    let (reply, begun) = {
        let mut engine = engines[target].lock().unwrap();
        let before = engine.sequence;
        let reply = engine.command(command, sent);
        (reply, engine.sequence > before)
    };
    if begun && command.action == Action::Load {
        let (engines, target, adapter) = (engines.clone(), target.clone(), command.adapter.clone());
        tokio::spawn(async move {
            tokio::time::sleep(LOAD_TIME).await;
            let mut engine = engines[&target].lock().unwrap();
            engine.loading.remove(&adapter);
            engine.held.insert(adapter);
        });
    }
    reply
}

/// The paths of one daemon to the engines.
struct Paths {
    engines: Engines,
    scripted: ScriptedBackend,
    cuts: Mutex<BTreeMap<Name, Cut>>,
}

impl Paths {
    fn cut(&self, target: &Target) -> Option<Cut> {
        self.cuts.lock().unwrap().get(&target.id).copied()
    }
}

impl Backend for Paths {
    fn send(
        &self,
        target: Arc<Target>,
        request: Arc<ClientRequest>,
        options: SendOptions,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        if self.cut(&target).is_some() {
            return async { Err(SendError::NotSent("cut".into())) }.boxed();
        }
        self.scripted.send(target, request, options)
    }

    fn command(
        &self,
        target: Arc<Target>,
        command: Command,
    ) -> BoxFuture<'static, TargetReply<CommandReply>> {
        let engines = self.engines.clone();
        let sent = Instant::now();
        let reply = match self.cut(&target) {
            None => execute(&engines, &target.id, &command, sent),
            Some(Cut::Refused) => CommandReply::NotSent("refused".into()),
            Some(Cut::Hung) => {
                tokio::spawn(async move {
                    tokio::time::sleep(2 * LOAD_TIME).await;
                    execute(&engines, &target.id, &command, sent);
                });
                CommandReply::Silent("hung".into())
            }
        };
        async { TargetReply::new(reply) }.boxed()
    }

    fn report(
        &self,
        target: Arc<Target>,
    ) -> BoxFuture<'static, TargetReply<Result<Report, ReportError>>> {
        let answer = match self.cut(&target) {
            None => Ok(self.engines[&target.id].lock().unwrap().report()),
            Some(_) => Err(ReportError::NoAnswer("cut".into())),
        };
        async { TargetReply::new(answer) }.boxed()
    }

    fn probe(&self, target: Arc<Target>) -> BoxFuture<'static, TargetReply<ProbeResult>> {
        let result = match self.cut(&target) {
            None => ProbeResult::Alive,
            Some(Cut::Refused) => ProbeResult::Refused,
            Some(Cut::Hung) => ProbeResult::NoAnswer,
        };
        async move { TargetReply::new(result) }.boxed()
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

struct Fleet {
    nodes: Vec<Arc<Node>>,
    paths: Vec<Arc<Paths>>,
    engines: Engines,
    source: Arc<ScriptedSource>,
    /// The rows of all daemons, and each one's calls for them.
    table: FakeTable,
    tables: Vec<FakeTable>,
    /// The daemons' addresses for peers.
    seeds: Vec<String>,
}

async fn start_fleet() -> Fleet {
    let mut long = route(RouteKind::Stream, 2, false);
    long.objective_ms = 600;
    let mut config = engine();
    config.adapter_slots = SLOTS as u32;
    let mut source = scripted_source(long, Some(config));
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets = (0..ENGINES)
        .map(|i| Target {
            loaded: vec![held("m")],
            ..target(&format!("e{i}"))
        })
        .collect();
    let names = only
        .targets
        .iter()
        .map(|t| (t.id.clone(), Mutex::default()));
    let engines: Engines = Arc::new(names.collect());
    let table = FakeTable::default();
    let mut listeners = Vec::new();
    for _ in 0..DAEMONS {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addrs = listeners
        .iter()
        .map(|l| l.local_addr().unwrap().to_string());
    let seeds: Vec<String> = addrs.collect();
    let mut fleet = Fleet {
        nodes: Vec::new(),
        paths: Vec::new(),
        engines,
        source,
        table,
        tables: Vec::new(),
        seeds,
    };
    for (i, listener) in listeners.into_iter().enumerate() {
        fleet.start_daemon(&format!("n{i}"), listener);
    }
    for node in &fleet.nodes {
        while node.addresses().0.len() < DAEMONS {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet
}

impl Fleet {
    /// Starts the daemon `id`, which answers peers on `listener`.
    fn start_daemon(&mut self, id: &str, listener: TcpListener) {
        let own = Arc::new(Paths {
            engines: self.engines.clone(),
            scripted: ScriptedBackend::default(),
            cuts: Mutex::default(),
        });
        *own.scripted.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
        let addr = listener.local_addr().unwrap().to_string();
        let settings = settings_of(id, &addr, &self.seeds, 0.25);
        let node = Node::new(settings, self.source.clone(), own.clone());
        let table = self.table.client();
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        self.nodes.push(node);
        self.paths.push(own);
        self.tables.push(table);
    }

    /// Commands with which holders took turns, by engine.
    fn turns(&self) -> Vec<(Name, [Accepted; 3])> {
        let engines = self.engines.iter();
        let turns = engines.flat_map(|(id, e)| {
            let turns = e.lock().unwrap().turns().into_iter();
            turns.map(|t| (id.clone(), t))
        });
        turns.collect()
    }

    /// Has all daemons but the one at `except` serve new adapters for this long.
    async fn serve_new(&self, except: Option<usize>, name: &str, time: Duration) {
        let began = Instant::now();
        for i in 0.. {
            let daemons = (0..self.nodes.len()).filter(|d| Some(*d) != except);
            let sends = daemons.map(|d| {
                let id = format!("{name}{i}-{d}");
                self.serve(d, id.clone(), id)
            });
            let _ = tokio::time::timeout(time, futures::future::join_all(sends)).await;
            if began.elapsed() >= time {
                return;
            }
        }
    }

    async fn serve(&self, daemon: usize, id: String, adapter: String) -> bool {
        let request = ClientRequest {
            adapter: Some(AdapterRef {
                model: "m".into(),
                adapter: Some(adapter.as_str().into()),
            }),
            remaining_ms: Some(1_500),
            ..ask(&id)
        };
        let result = caller_result(self.nodes[daemon].serve(request).await).await;
        result == CallerResult::Stream(vec![1], true)
    }

    /// The daemon whose command an engine accepted last.
    fn holder(&self) -> Option<Name> {
        let engines = self.engines.values().map(|e| e.lock().unwrap());
        let last = engines.filter_map(|e| e.accepted.last().cloned());
        let last = last.max_by_key(|a| a.arrived);
        last.map(|a| a.holder)
    }

    /// Changes the paths of all daemons: most engines are cut off, or none. The holder
    /// mostly loses some.
    fn change_cuts(&self, rng: &mut StdRng) {
        let holder = self.holder();
        for (node, paths) in self.nodes.iter().zip(&self.paths) {
            let mut cuts = paths.cuts.lock().unwrap();
            cuts.clear();
            let holds = holder.as_ref() == Some(&node.settings().id);
            if rng.random_bool(if holds { 0.8 } else { 0.3 }) {
                let how = match rng.random_bool(0.5) {
                    true => Cut::Refused,
                    false => Cut::Hung,
                };
                let count = rng.random_range(2..=ENGINES);
                let chosen = self.engines.keys().choose_multiple(rng, count);
                cuts.extend(chosen.into_iter().map(|id| (id.clone(), how)));
            }
        }
    }

    fn heal(&self) {
        for paths in &self.paths {
            paths.cuts.lock().unwrap().clear();
        }
    }
}

/// Guards against engines that are ordered to load more than they have slots for while
/// their group passes from daemon to daemon, against holders that take turns, and against groups that stay without loads
/// after the last cut.
#[tokio::test]
async fn serve_changing_cuts_never_overfill() {
    let mut rng = StdRng::seed_from_u64(46);
    let fleet = Arc::new(start_fleet().await);
    let began = Instant::now();
    let mut next_change = began;
    let mut sent = 0;
    while began.elapsed() < CUT_TIME {
        if Instant::now() >= next_change {
            fleet.change_cuts(&mut rng);
            next_change += Duration::from_millis(rng.random_range(300..1_500));
        }
        let daemon = rng.random_range(0..DAEMONS);
        let adapter = format!("a{}", rng.random_range(0..ADAPTERS));
        let (to, id) = (fleet.clone(), format!("q{sent}"));
        tokio::spawn(async move { to.serve(daemon, id, adapter).await });
        sent += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.heal();
    let healed = Instant::now();
    for daemon in 0..DAEMONS {
        for i in 0.. {
            let name = format!("h{daemon}-{i}");
            if fleet.serve(daemon, name.clone(), name).await {
                break;
            }
            assert!(healed.elapsed() < HEALED_WITHIN, "daemon {daemon}");
        }
    }
    let turns = fleet.turns();
    assert!(turns.is_empty(), "holders took turns: {turns:#?}");
    let overfilled = |e: &Mutex<Engine>| e.lock().unwrap().overfilled;
    let overfilled: Vec<usize> = fleet.engines.values().map(overfilled).collect();
    assert_eq!(overfilled, [0; ENGINES]);
    let commands = fleet.engines.values().map(|e| e.lock().unwrap().sequence);
    assert!(commands.sum::<u64>() > 100);
}

/// Time in which a daemon that stops ends, and its successor begins to command the group.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Calls that the store refuses to a daemon that stops.
const REFUSED_CALLS: usize = 100;

/// Guards against a holder that hands its group on when it stops, as the store is away,
/// starts again and takes the group back within a lease term of its last command: it has
/// forgotten that command.
#[tokio::test]
async fn serve_restarted_holder_takes_no_turn() {
    let mut fleet = start_fleet().await;
    fleet.serve_new(None, "first", STOP_TIME).await;
    let holder = loop {
        match fleet.holder() {
            Some(holder) => break holder,
            None => fleet.serve_new(None, "next", STOP_TIME).await,
        }
    };
    let ids = fleet.nodes.iter().map(|n| n.settings().id.clone());
    let stopping = ids.into_iter().position(|id| *id == *holder).unwrap();
    let refused = std::iter::repeat_n(CallOutcome::Unsent, REFUSED_CALLS);
    fleet.tables[stopping].script(refused);
    let node = fleet.nodes[stopping].clone();
    tokio::spawn(async move { comfreyhall_node::drain(&node, || {}).await });
    fleet.serve_new(Some(stopping), "beside", STOP_TIME).await;
    let successor = fleet.holder();
    assert!(successor.is_some_and(|s| s != holder), "nobody went on");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.start_daemon(&holder, listener);
    let time = LEASE_TERM - STOP_TIME;
    fleet.serve_new(Some(stopping), "again", time).await;
    let turns = fleet.turns();
    assert!(turns.is_empty(), "holders took turns: {turns:#?}");
}
