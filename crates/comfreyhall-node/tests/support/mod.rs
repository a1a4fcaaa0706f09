//! A world for one daemon: settings, targets and what they answer, scripted.

#![allow(dead_code)]

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_backpressure::Notice;
use comfreyhall_domain::*;
use comfreyhall_node::{Node, Reply, ports::*};
use comfreyhall_settings::NodeSettings;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::Notify;

/// What a target does with one send.
#[derive(Debug, Clone)]
pub enum Act {
    /// Answers whole after so many ms.
    Answer(u16, u64),
    /// Nothing reaches it.
    Unreached,
    /// It runs and never answers.
    Mute,
    /// The answer is lost.
    Lost,
    /// The target closes the connection and ends.
    Ends,
    /// The target closes the connection and lives on.
    Closes,
    /// Proves that it did not run.
    Refuse(Refusal),
    /// A success without the mark of a target.
    Forged,
    /// A failure with this status and no proof.
    Unproved(u16),
    /// Streams these ids; then ends whole, or breaks off.
    Stream(Vec<u64>, bool),
}

/// How long a target runs a request before it closes the connection.
const LAST: Duration = Duration::from_millis(5);

/// One send as targets saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub target: Name,
    pub request: Name,
    pub extra: Extra,
}

/// Targets with scripted answers.
#[derive(Default)]
pub struct Script {
    pub acts: Mutex<Vec<Act>>,
    pub seen: Mutex<Vec<Seen>>,
    /// Used when `acts` is empty.
    pub always: Mutex<Option<Act>>,
    /// Orders to load so far; a load is done at the second look.
    pub orders: Mutex<Vec<Order>>,
    /// Targets of the orders, in the same order.
    pub ordered: Mutex<Vec<Name>>,
    /// Whether loads end.
    pub loads: std::sync::atomic::AtomicBool,
    /// Orders that get no answer, from the first one on.
    pub unanswered: std::sync::atomic::AtomicUsize,
    /// Targets that have ended.
    pub ended: Mutex<Vec<Name>>,
    /// Reports asked for so far.
    pub reports: std::sync::atomic::AtomicUsize,
}

fn event(id: u64) -> Bytes {
    format!("id: {id}\ndata: t{id}\n\n").into()
}

fn respond(status: u16, body: Body) -> Response {
    Response {
        status: StatusCode::from_u16(status).unwrap(),
        headers: HeaderMap::new(),
        notice: Notice::default(),
        refusal: None,
        genuine: true,
        events: false,
        body,
    }
}

fn whole(text: &'static str) -> Body {
    stream::iter([Ok(Bytes::from_static(text.as_bytes()))]).boxed()
}

impl Backend for Script {
    fn send(
        &self,
        target: Arc<Target>,
        ask: Arc<ClientRequest>,
        extra: Extra,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        self.seen.lock().unwrap().push(Seen {
            target: target.id.clone(),
            request: ask.id.clone(),
            extra,
        });
        let mut acts = self.acts.lock().unwrap();
        let act = match acts.is_empty() {
            true => self.always.lock().unwrap().clone(),
            false => Some(acts.remove(0)),
        };
        let act = act.unwrap_or(Act::Answer(200, 0));
        if matches!(act, Act::Ends) {
            self.ended.lock().unwrap().push(target.id.clone());
        }
        async move {
            match act {
                Act::Answer(status, ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    Ok(respond(status, whole("body")))
                }
                Act::Unreached => Err(SendError::NotSent("scripted".into())),
                Act::Lost => Err(SendError::Doubt("scripted".into())),
                Act::Ends | Act::Closes => {
                    tokio::time::sleep(LAST).await;
                    Err(SendError::Closed("scripted".into()))
                }
                Act::Mute => std::future::pending().await,
                Act::Refuse(refusal) => Ok(Response {
                    refusal: Some(refusal),
                    genuine: false,
                    ..respond(503, whole(""))
                }),
                Act::Forged => Ok(Response {
                    genuine: false,
                    ..respond(200, whole("not a target's"))
                }),
                Act::Unproved(status) => Ok(Response {
                    genuine: false,
                    ..respond(status, whole(""))
                }),
                Act::Stream(ids, ends) => {
                    let mut pieces: Vec<Piece> = ids.into_iter().map(|i| Ok(event(i))).collect();
                    if !ends {
                        pieces.push(Ok(Bytes::from_static(b"id: 99\nda")));
                        pieces.push(Err(Broken {
                            why: "scripted break".into(),
                            closed: true,
                        }));
                    }
                    let paced = stream::iter(pieces).then(|piece| async {
                        if piece.is_err() {
                            tokio::time::sleep(LAST).await;
                        }
                        piece
                    });
                    Ok(Response {
                        events: true,
                        ..respond(200, paced.boxed())
                    })
                }
            }
        }
        .boxed()
    }

    fn order(&self, target: Arc<Target>, order: Order) -> BoxFuture<'static, Heard<OrderReply>> {
        self.ordered.lock().unwrap().push(target.id.clone());
        let mut orders = self.orders.lock().unwrap();
        let answered = orders.len() >= self.unanswered.load(Ordering::SeqCst);
        let first = orders.len() == self.unanswered.load(Ordering::SeqCst);
        let again = !first && orders.iter().any(|o| o.adapter == order.adapter);
        orders.push(order);
        let ended = again && self.loads.load(Ordering::SeqCst);
        async move {
            if !answered {
                std::future::pending::<()>().await;
            }
            Heard::plain(match ended {
                true => OrderReply::Holds,
                false => OrderReply::Accepted,
            })
        }
        .boxed()
    }

    fn report(&self, _: Arc<Target>) -> BoxFuture<'static, Heard<Result<Report, NoReport>>> {
        self.reports.fetch_add(1, Ordering::SeqCst);
        async {
            Heard::plain(Ok(Report {
                held: vec![held("m")],
                ..Report::default()
            }))
        }
        .boxed()
    }

    fn probe(&self, target: Arc<Target>) -> BoxFuture<'static, Heard<Pulse>> {
        let pulse = match self.ended.lock().unwrap().contains(&target.id) {
            true => Pulse::Ended,
            false => Pulse::Alive,
        };
        async move { Heard::plain(pulse) }.boxed()
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

/// A model without adapters.
pub fn held(model: &str) -> LoadedModel {
    LoadedModel {
        model: model.into(),
        adapters: Vec::new(),
    }
}

/// A configuration, and targets that may leave.
pub struct World {
    pub config: Config,
    /// A newer configuration, and whoever waits for one.
    pub newer: Mutex<Option<Config>>,
    pub published: Notify,
    /// Whether changes of the settings are read at all.
    pub deaf: AtomicBool,
    pub targets: Vec<Target>,
    /// Targets that say that they leave.
    pub leaving: Mutex<Vec<Name>>,
}

impl Source for World {
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Arriving, SourceError>> {
        let leaving = self.leaving.lock().unwrap().clone();
        let row = |key: &str| Fact {
            key: key.into(),
            value: Some(Bytes::new()),
            version: 1 + u64::from(leaving.iter().any(|l| &**l == key)),
        };
        let rows = match topic {
            Topic::Settings => vec![row("config")],
            Topic::Targets => self.targets.iter().map(|t| row(&t.id)).collect(),
        };
        let facts = Facts { rows, version: 1 };
        async { Ok(async { Ok(facts) }.boxed()) }.boxed()
    }

    fn changes(
        &self,
        _: Topic,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Arriving, SourceError>> {
        async move {
            let changed = self.changed(after);
            let facts = match tokio::time::timeout(wait, changed).await {
                Ok(facts) => facts,
                Err(_) if self.deaf.load(Ordering::SeqCst) => {
                    return Err(SourceError::Unavailable("scripted".into()));
                }
                Err(_) => Facts {
                    rows: Vec::new(),
                    version: after,
                },
            };
            Ok(async { Ok(facts) }.boxed())
        }
        .boxed()
    }

    fn decode(&self, topic: Topic, fact: &Fact) -> Result<Decoded, String> {
        Ok(match topic {
            Topic::Settings => Decoded::Config {
                config: Box::new(match fact.version {
                    1 => self.config.clone(),
                    _ => self.newer.lock().unwrap().clone().unwrap(),
                }),
                odd: Vec::new(),
            },
            Topic::Targets => {
                let target = self.targets.iter().find(|t| t.id == fact.key);
                let mut target = target.unwrap().clone();
                if fact.version > 1 {
                    target.stage = Stage::Draining;
                }
                Decoded::Target(target)
            }
        })
    }
}

impl World {
    /// Writes `config` as an operator would.
    pub fn publish(&self, config: Config) {
        *self.newer.lock().unwrap() = Some(config);
        self.published.notify_waiters();
    }

    /// The configuration written after `after`, once there is one.
    async fn changed(&self, after: u64) -> Facts {
        loop {
            let published = self.published.notified();
            let version = self.newer.lock().unwrap().as_ref().map_or(0, |c| c.version);
            if version > after && !self.deaf.load(Ordering::SeqCst) {
                let row = Fact {
                    key: "config".into(),
                    value: Some(Bytes::new()),
                    version,
                };
                return Facts {
                    rows: vec![row],
                    version,
                };
            }
            published.await;
        }
    }
}

pub fn route(kind: RouteKind, attempts: u32, resumable: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind,
        timeout_ms: 3_000,
        objective_ms: 300,
        priority: 0,
        shares: vec![TrafficShare {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: attempts,
        resumable,
        public: false,
    }
}

pub fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        name: id.into(),
        started_at_ms: 0,
        service: "s".into(),
        addr: "127.0.0.1:1".into(),
        failure_domain: "d".into(),
        stage: Stage::Ready,
        max_running: 4,
        loaded: Vec::new(),
        accepted_commands: 0,
        row_version: 1,
    }
}

fn settings() -> NodeSettings {
    settings_of("n", "127.0.0.1:1", &[], 0.25)
}

/// Settings of the daemon `id` that answers peers at `peer`.
pub fn settings_of(id: &str, peer: &str, seeds: &[String], cores: f64) -> NodeSettings {
    let text = r#"{
      id: "ID", domain: "d", seeds: SEEDS, store: "127.0.0.1:1",
      listen: { front: "PEER", ready: "127.0.0.1:1", directory: "127.0.0.1:1", peers: "PEER" },
      cores: CORES,
      bounds: { grace_s: 8, drain_ms: 2000, lease_ms: 3000, apply_ms: 2000, version_ms: 5000, address_s: 5,
                retry_ratio: 0.2, retry_allowance: 54, retry_s: 10, fencing: true, return_s: 2 },
    }"#;
    let text = text
        .replace("ID", id)
        .replace("PEER", peer)
        .replace("SEEDS", &format!("{seeds:?}"))
        .replace("CORES", &cores.to_string());
    NodeSettings::parse(&text, "test").unwrap()
}

/// A daemon that serves `route` with targets `a` and `b`.
pub async fn serving(route: Route, acts: Vec<Act>) -> (Arc<Node>, Arc<Script>) {
    let (node, script, _) = world(route, None, acts).await;
    (node, script)
}

/// A model service whose engines have one place for adapters of model `m`.
pub fn engine() -> EngineConfig {
    EngineConfig {
        max_running: 4,
        cache_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 1,
        load_rate: 1.0,
        models: vec![Model {
            name: "m".into(),
            weights_mb: 50.0,
            load_ms: 100,
            adapter_mb: 1.0,
        }],
    }
}

/// A world with `route` and targets `a` and `b`; `engine` makes them engines.
pub fn scenery(route: Route, engine: Option<EngineConfig>) -> Arc<World> {
    let mut targets = vec![target("a"), target("b")];
    if engine.is_some() {
        targets.iter_mut().for_each(|t| t.loaded = vec![held("m")]);
    }
    let service = Service {
        name: "s".into(),
        max_connections: 10,
        engine,
    };
    Arc::new(World {
        config: Config {
            version: 1,
            routes: vec![route],
            services: [("s".into(), service)].into_iter().collect(),
            limits: RequestLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            },
            workspaces: None,
        },
        newer: Mutex::default(),
        published: Notify::new(),
        deaf: AtomicBool::new(false),
        targets,
        leaving: Mutex::default(),
    })
}

/// The same with the world it sees.
pub async fn world(
    route: Route,
    engine: Option<EngineConfig>,
    acts: Vec<Act>,
) -> (Arc<Node>, Arc<Script>, Arc<World>) {
    let source = scenery(route, engine);
    let script = Arc::new(Script::default());
    *script.acts.lock().unwrap() = acts;
    let node = Node::new(settings(), source.clone(), script.clone());
    comfreyhall_node::spawn(&node, comfreyhall_fakes::FakeTable::default());
    while !node.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (node, script, source)
}

pub fn ask(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        key: None,
        host: "h".into(),
        remaining_ms: Some(2_000),
        adapter: None,
        tokens: None,
        prompt_segments: Vec::new(),
        last_event_id: None,
        forwarded: ForwardedRequest {
            method: Method::GET,
            path: "/x".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

/// An answer as a caller sees it.
#[derive(Debug, PartialEq)]
pub enum Got {
    Whole(u16),
    NotRun,
    TimedOut,
    Unknown,
    /// The key belongs to nobody.
    NoKey,
    /// The workspace is over its cap.
    OverCap,
    /// Held back; whether it may have run.
    Quarantined(bool),
    /// The ids of the stream's events and whether it ended whole.
    Stream(Vec<u64>, bool),
    Other,
}

pub async fn got(reply: Reply) -> Got {
    match reply {
        Reply::Whole { status, .. } => Got::Whole(status.as_u16()),
        Reply::NotReady { .. } | Reply::Unanswered(Answer::NotRun { .. }) => Got::NotRun,
        Reply::Unanswered(Answer::TimedOut) => Got::TimedOut,
        Reply::Unanswered(Answer::Unknown) => Got::Unknown,
        Reply::Unanswered(Answer::Quarantined { may_have_run, .. }) => {
            Got::Quarantined(may_have_run)
        }
        Reply::NoRoute => Got::Other,
        Reply::NoKey => Got::NoKey,
        Reply::Unanswered(Answer::OverCap { .. }) => Got::OverCap,
        Reply::Events { mut body, .. } => {
            let mut ids = Vec::new();
            while let Some(piece) = body.next().await {
                let Ok(bytes) = piece else {
                    return Got::Stream(ids, false);
                };
                let text = String::from_utf8(bytes.to_vec()).unwrap();
                let found = text.lines().filter_map(|l| l.strip_prefix("id: "));
                ids.extend(found.map(|i| i.parse::<u64>().unwrap()));
            }
            Got::Stream(ids, true)
        }
    }
}

/// What the tests hash keys with.
pub fn hasher() -> KeyHasher {
    KeyHasher::new(Salt::new([9; 32]))
}

/// The workspace `name`, without a cap, whose key is `key of NAME`.
pub fn entry(name: &str) -> WorkspaceEntry {
    WorkspaceEntry {
        name: name.to_string(),
        keys: vec![hasher().hash(format!("key of {name}").as_bytes())],
        ..WorkspaceEntry::default()
    }
}

/// Workspaces without caps.
pub fn workspaces(names: &[&str]) -> Workspaces {
    read_entries(hasher(), names.iter().map(|n| entry(n)).collect()).0
}

pub fn keyed(id: &str, key: &str) -> ClientRequest {
    ClientRequest {
        key: Some(PresentedKey::new(key.as_bytes())),
        ..ask(id)
    }
}
