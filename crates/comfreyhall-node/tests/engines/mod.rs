//! Daemons and the engines that they share, with paths that can be cut and engines that
//! fall silent.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_domain::{
    AdapterRef, ClientRequest, LoadedModel, Name, Route, RouteKind, Set, Target,
};
use comfreyhall_fakes::FakeTable;
use comfreyhall_node::{Node, ports::*};
use futures::{FutureExt, future::BoxFuture};
use rand::{Rng, rngs::StdRng, seq::IteratorRandom};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::support::*;

/// Adapters that fit on an engine.
const SLOTS: usize = 2;

/// Lease term of the daemons.
pub const LEASE_TERM: Duration = Duration::from_millis(3_000);

const LOAD_TIME: Duration = Duration::from_millis(120);

/// What a path does between a daemon and an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cut {
    /// Connections are refused.
    Refused,
    /// Nothing comes back, and what was sent arrives when the cut may have ended.
    Hung,
}

/// One engine, as all daemons share it.
#[derive(Debug, Default)]
pub struct Engine {
    held: Set<AdapterRef>,
    loading: Set<AdapterRef>,
    pub sequence: u64,
    token: u64,
    /// Whether it rejects a lower token than it has seen.
    fencing: bool,
    /// Loads that were ordered without a slot for them.
    pub overfilled: usize,
    /// The commands that it accepted.
    pub accepted: Vec<Accepted>,
}

/// A command that an engine accepted.
#[derive(Clone)]
pub struct Accepted {
    pub holder: Name,
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
    fn new(fencing: bool) -> Self {
        Self {
            fencing,
            ..Self::default()
        }
    }

    fn command(&mut self, command: &Command, sent: Instant) -> CommandReply {
        if self.fencing && command.token < self.token {
            return CommandReply::Fenced;
        }
        self.token = self.token.max(command.token);
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

    /// Commands under a lower token than one before, each with that one.
    fn lower_tokens(&self) -> Vec<[Accepted; 2]> {
        let pairs = self.accepted.windows(2);
        let lower = pairs.filter(|p| p[1].token < p[0].token);
        lower.map(|p| [p[0].clone(), p[1].clone()]).collect()
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

pub type Engines = Arc<BTreeMap<Name, Mutex<Engine>>>;

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
pub struct Paths {
    engines: Engines,
    pub scripted: ScriptedBackend,
    pub cuts: Mutex<BTreeMap<Name, Cut>>,
    /// Whether the engines are silent: they carry out commands once they go on.
    silent: watch::Receiver<bool>,
}

impl Paths {
    /// Has a command wait at a silent engine, whether or not its sender does.
    fn leave_waiting(
        &self,
        target: &Name,
        command: Command,
        sent: Instant,
    ) -> BoxFuture<'static, TargetReply<CommandReply>> {
        let (engines, target, mut silent) =
            (self.engines.clone(), target.clone(), self.silent.clone());
        let reply = tokio::spawn(async move {
            let on = silent.wait_for(|silent| !silent).await;
            on.expect("the fleet is there");
            execute(&engines, &target, &command, sent)
        });
        async { TargetReply::new(reply.await.expect("engines do not panic")) }.boxed()
    }

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
        if *self.silent.borrow() {
            return self.leave_waiting(&target.id, command, sent);
        }
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
        if *self.silent.borrow() {
            return std::future::pending().boxed();
        }
        let answer = match self.cut(&target) {
            None => Ok(self.engines[&target.id].lock().unwrap().report()),
            Some(_) => Err(ReportError::NoAnswer("cut".into())),
        };
        async { TargetReply::new(answer) }.boxed()
    }

    fn probe(&self, target: Arc<Target>) -> BoxFuture<'static, TargetReply<ProbeResult>> {
        let result = match self.cut(&target) {
            None if *self.silent.borrow() => ProbeResult::NoAnswer,
            None => ProbeResult::Alive,
            Some(Cut::Refused) => ProbeResult::Refused,
            Some(Cut::Hung) => ProbeResult::NoAnswer,
        };
        async move { TargetReply::new(result) }.boxed()
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    pub paths: Vec<Arc<Paths>>,
    pub engines: Engines,
    source: Arc<ScriptedSource>,
    /// The rows of all daemons, and each one's calls for them.
    table: FakeTable,
    pub tables: Vec<FakeTable>,
    /// The daemons' addresses for peers.
    seeds: Vec<String>,
    silent: watch::Sender<bool>,
    fencing: bool,
}

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub daemons: usize,
    pub engines: usize,
    /// Whether engines check tokens.
    pub fencing: bool,
}

pub async fn start_fleet(plan: Plan) -> Fleet {
    let mut long = route(RouteKind::Stream, 2, false);
    long.objective_ms = 600;
    start_fleet_on(long, plan).await
}

/// The same, which serves `route`.
pub async fn start_fleet_on(route: Route, plan: Plan) -> Fleet {
    let Plan {
        daemons,
        engines,
        fencing,
    } = plan;
    let mut config = engine();
    config.adapter_slots = SLOTS as u32;
    let mut source = scripted_source(route, Some(config));
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets = (0..engines)
        .map(|i| Target {
            loaded: vec![held("m")],
            ..target(&format!("e{i}"))
        })
        .collect();
    let names = only
        .targets
        .iter()
        .map(|t| (t.id.clone(), Mutex::new(Engine::new(fencing))));
    let engines: Engines = Arc::new(names.collect());
    let table = FakeTable::default();
    let mut listeners = Vec::new();
    for _ in 0..daemons {
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
        silent: watch::Sender::new(false),
        fencing,
    };
    for (i, listener) in listeners.into_iter().enumerate() {
        fleet.start_daemon(&format!("n{i}"), listener);
    }
    for node in &fleet.nodes {
        while node.addresses().0.len() < daemons {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet
}

impl Fleet {
    /// Starts the daemon `id`, which answers peers on `listener`.
    pub fn start_daemon(&mut self, id: &str, listener: TcpListener) {
        let own = Arc::new(Paths {
            engines: self.engines.clone(),
            scripted: ScriptedBackend::default(),
            cuts: Mutex::default(),
            silent: self.silent.subscribe(),
        });
        *own.scripted.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
        let addr = listener.local_addr().unwrap().to_string();
        let mut settings = settings_of(id, &addr, &self.seeds, 0.25);
        settings.bounds.fencing = self.fencing;
        let node = Node::new(settings, self.source.clone(), own.clone());
        let table = self.table.client();
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        self.nodes.push(node);
        self.paths.push(own);
        self.tables.push(table);
    }

    /// Commands with which holders took turns, by engine.
    pub fn turns(&self) -> Vec<(Name, [Accepted; 3])> {
        let engines = self.engines.iter();
        let turns = engines.flat_map(|(id, e)| {
            let turns = e.lock().unwrap().turns().into_iter();
            turns.map(|t| (id.clone(), t))
        });
        turns.collect()
    }

    /// What engines accepted under a lower token than before, by engine.
    pub fn lower_tokens(&self) -> Vec<(Name, [Accepted; 2])> {
        let engines = self.engines.iter();
        let lower = engines.flat_map(|(id, e)| {
            let lower = e.lock().unwrap().lower_tokens().into_iter();
            lower.map(|l| (id.clone(), l))
        });
        lower.collect()
    }

    /// Makes all engines silent, or has them go on.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Has all daemons but the one at `except` serve new adapters for this long.
    pub async fn serve_new(&self, except: Option<usize>, name: &str, time: Duration) {
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

    pub async fn serve(&self, daemon: usize, id: String, adapter: String) -> bool {
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
    pub fn holder(&self) -> Option<Name> {
        let engines = self.engines.values().map(|e| e.lock().unwrap());
        let last = engines.filter_map(|e| e.accepted.last().cloned());
        let last = last.max_by_key(|a| a.arrived);
        last.map(|a| a.holder)
    }

    /// Changes the paths of all daemons: most engines are cut off, or none. The holder
    /// mostly loses some.
    pub fn change_cuts(&self, rng: &mut StdRng) {
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
                let count = rng.random_range(2..=self.engines.len());
                let chosen = self.engines.keys().choose_multiple(rng, count);
                cuts.extend(chosen.into_iter().map(|id| (id.clone(), how)));
            }
        }
    }

    pub fn heal(&self) {
        for paths in &self.paths {
            paths.cuts.lock().unwrap().clear();
        }
    }
}
