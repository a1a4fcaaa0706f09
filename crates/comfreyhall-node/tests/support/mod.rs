//! A scripted environment for one daemon: settings, targets and their answers.

#![allow(dead_code)]

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_backpressure::{Notice, Rate};
use comfreyhall_domain::*;
use comfreyhall_node::{Node, Reply, ports::*};
use comfreyhall_settings::NodeSettings;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::Notify;

/// What a target does with one send.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Answers completely with this status after so many ms.
    Answer(u16, u64),
    /// Nothing reaches it.
    Unreachable,
    /// It runs and never answers.
    Hang,
    /// The answer is lost.
    LoseAnswer,
    /// The target closes the connection and exits.
    Exit,
    /// The target closes the connection and stays alive.
    CloseConnection,
    /// Proves that the request did not run.
    Refuse(Refusal),
    /// Is full, and tolerates this many such rejections a second.
    RefuseBrittle(f64),
    /// A success without the marker of a target.
    UnverifiedSuccess,
    /// A failure with this status and no proof.
    UnprovenFailure(u16),
    /// Streams these event ids; then ends normally, or stops in the middle of an
    /// event.
    Stream(Vec<u64>, bool),
    /// Streams these event ids, where one byte of the event at this place is no text.
    SpoiltStream(Vec<u64>, usize),
    /// Streams these event ids, sends nothing for so many ms, then the others and its end.
    PausingStream(Vec<u64>, u64, Vec<u64>),
    /// The same, but its connection closes in the middle of the event after the last one.
    PausingBreak(Vec<u64>, u64, Vec<u64>),
    /// Streams these event ids and ends with the connection; the target exits with it
    /// if so asked.
    UnframedStream(Vec<u64>, bool),
    /// Answers with this text and ends with the connection.
    Unframed(&'static str),
}

/// How long a target runs a request before it closes the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// One send as targets saw it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub target: Name,
    pub request: Name,
    pub options: SendOptions,
}

/// Targets with scripted answers.
#[derive(Default)]
pub struct ScriptedBackend {
    pub behaviors: Mutex<Vec<Behavior>>,
    pub sent: Mutex<Vec<SentRequest>>,
    /// Used when `behaviors` is empty.
    pub default_behavior: Mutex<Option<Behavior>>,
    /// Commands received so far; the second one for an adapter finds its load
    /// done.
    pub commands: Mutex<Vec<Command>>,
    /// Targets of the commands, in the same order.
    pub command_targets: Mutex<Vec<Name>>,
    /// Whether loads finish.
    pub finish_loads: std::sync::atomic::AtomicBool,
    /// Number of commands that get no answer, from the first one on.
    pub unanswered_commands: std::sync::atomic::AtomicUsize,
    /// Targets whose paths from this daemon are cut.
    pub cut_targets: Mutex<Vec<Name>>,
    /// Targets that have exited.
    pub exited_targets: Mutex<Vec<Name>>,
    /// Silent runs that have not been cancelled.
    pub silent_runs: Arc<std::sync::atomic::AtomicUsize>,
    /// Reports requested so far.
    pub report_count: std::sync::atomic::AtomicUsize,
}

impl ScriptedBackend {
    fn is_cut(&self, target: &Target) -> bool {
        self.cut_targets.lock().unwrap().contains(&target.id)
    }
}

/// A silent run, counted until it is dropped.
struct SilentRun(Arc<std::sync::atomic::AtomicUsize>);

impl SilentRun {
    fn begin(count: &Arc<std::sync::atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for SilentRun {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
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
        verified: true,
        event_stream: false,
        framing: Framing::Explicit,
        body,
    }
}

fn whole(text: &'static str) -> Body {
    stream::iter([Ok(Bytes::from_static(text.as_bytes()))]).boxed()
}

impl Backend for ScriptedBackend {
    fn send(
        &self,
        target: Arc<Target>,
        ask: Arc<ClientRequest>,
        options: SendOptions,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        self.sent.lock().unwrap().push(SentRequest {
            target: target.id.clone(),
            request: ask.id.clone(),
            options,
        });
        if self.is_cut(&target) {
            return async { Err(SendError::NotSent("cut".into())) }.boxed();
        }
        let mut behaviors = self.behaviors.lock().unwrap();
        let behavior = match behaviors.is_empty() {
            true => self.default_behavior.lock().unwrap().clone(),
            false => Some(behaviors.remove(0)),
        };
        let behavior = behavior.unwrap_or(Behavior::Answer(200, 0));
        if matches!(behavior, Behavior::Exit | Behavior::UnframedStream(_, true)) {
            self.exited_targets.lock().unwrap().push(target.id.clone());
        }
        let breaks = matches!(behavior, Behavior::PausingBreak(..));
        let pauses = breaks || matches!(behavior, Behavior::PausingStream(..));
        let is_silent = pauses || matches!(behavior, Behavior::Hang);
        let run = is_silent.then(|| SilentRun::begin(&self.silent_runs));
        async move {
            match behavior {
                Behavior::Answer(status, ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    Ok(respond(status, whole("body")))
                }
                Behavior::Unreachable => Err(SendError::NotSent("scripted".into())),
                Behavior::LoseAnswer => Err(SendError::Indeterminate("scripted".into())),
                Behavior::Exit | Behavior::CloseConnection => {
                    tokio::time::sleep(CLOSE_DELAY).await;
                    Err(SendError::ConnectionClosed("scripted".into()))
                }
                Behavior::Hang => {
                    let _run = run;
                    std::future::pending().await
                }
                Behavior::Refuse(refusal) => Ok(Response {
                    refusal: Some(refusal),
                    verified: false,
                    ..respond(503, whole(""))
                }),
                Behavior::RefuseBrittle(per_s) => {
                    tokio::time::sleep(CLOSE_DELAY).await;
                    Ok(Response {
                        refusal: Some(Refusal::Full),
                        verified: false,
                        notice: Notice {
                            max_rejections: Rate::from_per_s(per_s),
                            ..Notice::default()
                        },
                        ..respond(503, whole(""))
                    })
                }
                Behavior::UnverifiedSuccess => Ok(Response {
                    verified: false,
                    ..respond(200, whole("not a target's"))
                }),
                Behavior::UnprovenFailure(status) => Ok(Response {
                    verified: false,
                    ..respond(status, whole(""))
                }),
                Behavior::Unframed(text) => Ok(Response {
                    framing: Framing::UntilClose,
                    ..respond(200, whole(text))
                }),
                Behavior::UnframedStream(ids, _) => {
                    let events = ids.into_iter().map(|i| Ok(event(i)));
                    Ok(Response {
                        event_stream: true,
                        framing: Framing::UntilClose,
                        ..respond(200, stream::iter(events).boxed())
                    })
                }
                Behavior::PausingStream(before, ms, after)
                | Behavior::PausingBreak(before, ms, after) => {
                    let pause = async move {
                        tokio::time::sleep(Duration::from_millis(ms)).await;
                        drop(run);
                        None
                    };
                    let paced = stream::iter(before.into_iter().map(Some))
                        .chain(stream::once(pause))
                        .chain(stream::iter(after.into_iter().map(Some)));
                    let paced = paced.filter_map(|id| async move { id.map(|i| Ok(event(i))) });
                    let end = breaks.then(|| {
                        Err(BodyError {
                            reason: "scripted break".into(),
                            cause: EndCause::ConnectionClosed,
                        })
                    });
                    let paced = paced.chain(stream::iter(end));
                    Ok(Response {
                        event_stream: true,
                        ..respond(200, paced.boxed())
                    })
                }
                Behavior::SpoiltStream(ids, at) => {
                    let events = ids.into_iter().enumerate().map(move |(place, id)| {
                        let mut bytes = event(id).to_vec();
                        if place == at {
                            let data = bytes.len() - 3;
                            bytes[data] = 0xff;
                        }
                        Ok(Bytes::from(bytes))
                    });
                    Ok(Response {
                        event_stream: true,
                        ..respond(200, stream::iter(events).boxed())
                    })
                }
                Behavior::Stream(ids, ends) => {
                    let mut pieces: Vec<BodyChunk> =
                        ids.into_iter().map(|i| Ok(event(i))).collect();
                    if !ends {
                        pieces.push(Ok(Bytes::from_static(b"id: 99\nda")));
                        pieces.push(Err(BodyError {
                            reason: "scripted break".into(),
                            cause: EndCause::ConnectionClosed,
                        }));
                    }
                    let paced = stream::iter(pieces).then(|piece| async {
                        if piece.is_err() {
                            tokio::time::sleep(CLOSE_DELAY).await;
                        }
                        piece
                    });
                    Ok(Response {
                        event_stream: true,
                        ..respond(200, paced.boxed())
                    })
                }
            }
        }
        .boxed()
    }

    fn command(
        &self,
        target: Arc<Target>,
        command: Command,
    ) -> BoxFuture<'static, TargetReply<CommandReply>> {
        if self.is_cut(&target) {
            let reply = CommandReply::NotSent("cut".into());
            return async { TargetReply::new(reply) }.boxed();
        }
        self.command_targets.lock().unwrap().push(target.id.clone());
        let mut commands = self.commands.lock().unwrap();
        let answered = commands.len() >= self.unanswered_commands.load(Ordering::SeqCst);
        let first = commands.len() == self.unanswered_commands.load(Ordering::SeqCst);
        let again = !first && commands.iter().any(|o| o.adapter == command.adapter);
        commands.push(command);
        let ended = again && self.finish_loads.load(Ordering::SeqCst);
        async move {
            if !answered {
                std::future::pending::<()>().await;
            }
            TargetReply::new(match ended {
                true => CommandReply::Holds,
                false => CommandReply::Accepted,
            })
        }
        .boxed()
    }

    fn report(
        &self,
        target: Arc<Target>,
    ) -> BoxFuture<'static, TargetReply<Result<Report, ReportError>>> {
        self.report_count.fetch_add(1, Ordering::SeqCst);
        if self.is_cut(&target) {
            let error = ReportError::NoAnswer("cut".into());
            return async { TargetReply::new(Err(error)) }.boxed();
        }
        async {
            TargetReply::new(Ok(Report {
                loaded: vec![held("m")],
                ..Report::default()
            }))
        }
        .boxed()
    }

    fn probe(&self, target: Arc<Target>) -> BoxFuture<'static, TargetReply<ProbeResult>> {
        let unreachable = matches!(
            *self.default_behavior.lock().unwrap(),
            Some(Behavior::Unreachable)
        );
        let pulse = match self.exited_targets.lock().unwrap().contains(&target.id) {
            true => ProbeResult::Refused,
            false if unreachable || self.is_cut(&target) => ProbeResult::NoAnswer,
            false => ProbeResult::Alive,
        };
        async move { TargetReply::new(pulse) }.boxed()
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

/// A configuration, and targets that may drain.
pub struct ScriptedSource {
    pub config: Config,
    /// A newer configuration, once it is published.
    pub published: Mutex<Option<Config>>,
    pub notify: Notify,
    /// Whether the store fails to answer for changes of the settings.
    pub unavailable: AtomicBool,
    /// Whether feed calls are answered at once, without a wait for a change.
    pub hasty: AtomicBool,
    /// Feed calls so far.
    pub feed_calls: std::sync::atomic::AtomicUsize,
    pub targets: Vec<Target>,
    /// Targets that are draining.
    pub draining: Mutex<Vec<Name>>,
}

impl Source for ScriptedSource {
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        let leaving = self.draining.lock().unwrap().clone();
        let row = |key: &str| Record {
            key: key.into(),
            value: Some(Bytes::new()),
            version: Revision::new(0, 1 + u64::from(leaving.iter().any(|l| &**l == key))),
        };
        let rows = match topic {
            Topic::Settings => vec![row("config")],
            Topic::Targets => self.targets.iter().map(|t| row(&t.id)).collect(),
        };
        let facts = RecordBatch {
            rows,
            version: Revision::new(0, 1),
        };
        async { Ok(async { Ok(facts) }.boxed()) }.boxed()
    }

    fn changes(
        &self,
        _: Topic,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        self.feed_calls.fetch_add(1, Ordering::SeqCst);
        let wait = match self.hasty.load(Ordering::SeqCst) {
            true => Duration::ZERO,
            false => wait,
        };
        async move {
            let changed = self.changed(after);
            let facts = match tokio::time::timeout(wait, changed).await {
                Ok(facts) => facts,
                Err(_) if self.unavailable.load(Ordering::SeqCst) => {
                    return Err(SourceError::Unavailable("scripted".into()));
                }
                Err(_) => RecordBatch {
                    rows: Vec::new(),
                    version: after,
                },
            };
            Ok(async { Ok(facts) }.boxed())
        }
        .boxed()
    }

    fn decode(&self, topic: Topic, fact: &Record) -> Result<Decoded, String> {
        Ok(match topic {
            Topic::Settings => Decoded::Config {
                config: Box::new(match fact.version.number() {
                    1 => self.config.clone(),
                    _ => self.published.lock().unwrap().clone().unwrap(),
                }),
                warnings: Vec::new(),
            },
            Topic::Targets => {
                let target = self.targets.iter().find(|t| t.id == fact.key);
                let mut target = target.unwrap().clone();
                if fact.version.number() > 1 {
                    target.stage = Stage::Draining;
                }
                Decoded::Target(target)
            }
        })
    }
}

impl ScriptedSource {
    /// Publishes `config` as an operator would.
    pub fn publish(&self, config: Config) {
        *self.published.lock().unwrap() = Some(config);
        self.notify.notify_waiters();
    }

    /// The configuration published after `after`, once there is one.
    async fn changed(&self, after: Revision) -> RecordBatch {
        loop {
            let published = self.notify.notified();
            let version = self
                .published
                .lock()
                .unwrap()
                .as_ref()
                .map_or(0, |c| c.version);
            let version = Revision::new(0, version);
            if version > after && !self.unavailable.load(Ordering::SeqCst) {
                let row = Record {
                    key: "config".into(),
                    value: Some(Bytes::new()),
                    version,
                };
                return RecordBatch {
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
        gap_objective_ms: None,
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
        software: Some("v1".into()),
        addr: "127.0.0.1:1".into(),
        failure_domain: "d".into(),
        stage: Stage::Ready,
        max_running: 4,
        loaded: Vec::new(),
        accepted_commands: 0,
        row_version: Revision::new(0, 1),
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
pub async fn start_node(
    route: Route,
    behaviors: Vec<Behavior>,
) -> (Arc<Node>, Arc<ScriptedBackend>) {
    let (node, backend, _) = start_node_with(route, None, behaviors).await;
    (node, backend)
}

/// A model service whose engines have one slot for adapters of model `m`.
pub fn engine() -> EngineConfig {
    EngineConfig {
        max_running: 4,
        cache_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 1,
        load_rate: 1.0,
        event_tokens: 1,
        models: vec![Model {
            name: "m".into(),
            weights_mb: 50.0,
            load_ms: 100,
            adapter_mb: 1.0,
        }],
    }
}

/// A source with `route` and targets `a` and `b`, which are engines if `engine`
/// is given.
pub fn scripted_source(route: Route, engine: Option<EngineConfig>) -> Arc<ScriptedSource> {
    let mut targets = vec![target("a"), target("b")];
    if engine.is_some() {
        targets.iter_mut().for_each(|t| t.loaded = vec![held("m")]);
    }
    let service = Service {
        name: "s".into(),
        max_connections: 10,
        engine,
    };
    Arc::new(ScriptedSource {
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
        published: Mutex::default(),
        notify: Notify::new(),
        unavailable: AtomicBool::new(false),
        hasty: AtomicBool::new(false),
        feed_calls: std::sync::atomic::AtomicUsize::new(0),
        targets,
        draining: Mutex::default(),
    })
}

/// The same; also returns its source.
pub async fn start_node_with(
    route: Route,
    engine: Option<EngineConfig>,
    behaviors: Vec<Behavior>,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    start_node_among(route, engine, behaviors, Vec::new()).await
}

/// The same, with `others` besides the targets `a` and `b`.
pub async fn start_node_among(
    route: Route,
    engine: Option<EngineConfig>,
    behaviors: Vec<Behavior>,
    others: Vec<Target>,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    let mut source = scripted_source(route, engine);
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets.extend(others);
    let backend = Arc::new(ScriptedBackend::default());
    *backend.behaviors.lock().unwrap() = behaviors;
    let node = Node::new(settings(), source.clone(), backend.clone());
    comfreyhall_node::spawn(&node, comfreyhall_fakes::FakeTable::default());
    while !node.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (node, backend, source)
}

pub fn ask(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        key: None,
        host: "h".into(),
        remaining_ms: Some(2_000),
        adapter: None,
        tokens: None,
        expected_output: None,
        prompt_segments: Vec::new(),
        last_event_id: None,
        resumes: None,
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
pub enum CallerResult {
    Complete(u16),
    NotRun,
    TimedOut,
    Unknown,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The workspace is over its quota.
    OverCap,
    /// Quarantined; whether it may have run.
    Quarantined(bool),
    /// The ids of the stream's events and whether it ended normally.
    Stream(Vec<u64>, bool),
    Other,
}

pub async fn caller_result(reply: Reply) -> CallerResult {
    match reply {
        Reply::Complete { status, .. } => CallerResult::Complete(status.as_u16()),
        Reply::NotReady { .. } | Reply::Unanswered(Answer::NotRun { .. }) => CallerResult::NotRun,
        Reply::Unanswered(Answer::TimedOut) => CallerResult::TimedOut,
        Reply::Unanswered(Answer::Unknown) => CallerResult::Unknown,
        Reply::Unanswered(Answer::Quarantined { may_have_run, .. }) => {
            CallerResult::Quarantined(may_have_run)
        }
        Reply::NoRoute => CallerResult::Other,
        Reply::UnknownKey => CallerResult::UnknownKey,
        Reply::Unanswered(Answer::OverCap { .. }) => CallerResult::OverCap,
        Reply::Stream { mut body, .. } => {
            let mut ids = Vec::new();
            while let Some(piece) = body.next().await {
                let Ok(bytes) = piece else {
                    return CallerResult::Stream(ids, false);
                };
                let text = String::from_utf8_lossy(&bytes);
                let found = text.lines().filter_map(|l| l.strip_prefix("id: "));
                ids.extend(found.map(|i| i.parse::<u64>().unwrap()));
            }
            CallerResult::Stream(ids, true)
        }
    }
}

/// Hashes keys in the tests.
pub fn hasher() -> KeyHasher {
    KeyHasher::new(Salt::new([9; 32]))
}

/// The workspace `name`, without a quota, whose key is `key of NAME`.
pub fn entry(name: &str) -> WorkspaceEntry {
    WorkspaceEntry {
        name: name.to_string(),
        keys: vec![hasher().hash(format!("key of {name}").as_bytes())],
        ..WorkspaceEntry::default()
    }
}

/// Workspaces without quotas.
pub fn workspaces(names: &[&str]) -> Workspaces {
    read_entries(hasher(), names.iter().map(|n| entry(n)).collect()).0
}

pub fn keyed(id: &str, key: &str) -> ClientRequest {
    ClientRequest {
        key: Some(PresentedKey::new(key.as_bytes())),
        ..ask(id)
    }
}

/// How many answers of targets ended early for `cause`, as `node` has counted.
pub fn answers_ended(node: &Node, cause: EndCause) -> u64 {
    let metrics = node.metrics_text();
    let label = format!("\"{}\"", cause.name());
    let samples = metrics.lines().filter(|l| !l.starts_with('#'));
    let mut counts = samples.filter(|l| l.contains("answers_ended") && l.contains(&label));
    let count = counts.next().and_then(|l| l.rsplit(' ').next());
    count.map_or(0, |c| c.parse().unwrap())
}
