//! A daemon for tests, on a platform that never answers.

use std::{cell::Cell, sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyhall_domain::{
    AdapterRef, ClientRequest, Config, ForwardedRequest, RequestLimits, Revision, Route, RouteKind,
    Service, Stage, Target, TrafficShare,
};
use comfreyhall_settings::NodeSettings;
use futures::{FutureExt, future::BoxFuture};

use crate::{
    node::Node,
    ports::{
        Backend, Command, CommandReply, Decoded, PendingBatch, ProbeResult, Record, Report,
        ReportError, Response, SendError, SendOptions, Source, SourceError, TargetReply, Topic,
    },
};

struct Unresponsive;

/// A target that is ready and has nothing loaded.
pub(crate) fn target(id: &str) -> Target {
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
        row_version: rev(1),
    }
}

/// Decodes a target's row of the form `BORN STAGE` or `BORN STAGE SOFTWARE`.
fn decode(record: &Record) -> Option<Target> {
    let text = std::str::from_utf8(record.value.as_ref()?).ok()?;
    let (born, rest) = text.split_once(' ')?;
    let (stage, software) = rest.split_once(' ').unwrap_or((rest, "v1"));
    Some(Target {
        id: format!("{}@{born}", record.key).into(),
        name: record.key.clone(),
        started_at_ms: born.parse().ok()?,
        stage: match stage {
            "ready" => Stage::Ready,
            _ => Stage::Draining,
        },
        software: Some(software.into()),
        row_version: record.version,
        ..target(&record.key)
    })
}

/// Decodes a row `adapter/NAME` whose value is a version.
fn named_version(record: &Record) -> Option<Decoded> {
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some(record.key.strip_prefix("adapter/")?.into()),
    };
    let text = std::str::from_utf8(record.value.as_ref()?).ok()?;
    Some(Decoded::Version(adapter, text.parse().ok()?))
}

/// A version of a store without eras.
pub(crate) fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

impl Source for Unresponsive {
    fn read(&self, _: Topic) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        std::future::pending().boxed()
    }

    fn changes(
        &self,
        _: Topic,
        _: Revision,
        _: Duration,
    ) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        std::future::pending().boxed()
    }

    fn decode(&self, topic: Topic, record: &Record) -> Result<Decoded, String> {
        match topic {
            Topic::Settings if &*record.key == "config" => Ok(Decoded::Config {
                config: Box::new(config(record.version.number())),
                warnings: Vec::new(),
            }),
            Topic::Settings => Ok(named_version(record).unwrap_or(Decoded::Other)),
            Topic::Targets => decode(record)
                .map(Decoded::Target)
                .ok_or_else(|| "not a target".to_string()),
        }
    }
}

impl Backend for Unresponsive {
    fn send(
        &self,
        _: Arc<Target>,
        _: Arc<ClientRequest>,
        _: SendOptions,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        std::future::pending().boxed()
    }

    fn command(&self, _: Arc<Target>, _: Command) -> BoxFuture<'static, TargetReply<CommandReply>> {
        std::future::pending().boxed()
    }

    fn report(
        &self,
        _: Arc<Target>,
    ) -> BoxFuture<'static, TargetReply<Result<Report, ReportError>>> {
        std::future::pending().boxed()
    }

    fn probe(&self, _: Arc<Target>) -> BoxFuture<'static, TargetReply<ProbeResult>> {
        std::future::pending().boxed()
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

/// A configuration with one route, which leads to the service `s`.
pub(crate) fn config(version: u64) -> Config {
    let service = Service {
        name: "s".into(),
        max_connections: 10,
        engine: None,
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 3_000,
        objective_ms: 300,
        gap_objective_ms: None,
        priority: 0,
        shares: vec![TrafficShare {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        resumable: false,
        public: false,
    };
    Config {
        version,
        routes: vec![route],
        services: [("s".into(), service)].into_iter().collect(),
        limits: RequestLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: None,
    }
}

/// A request that matches the route of [`config`].
pub(crate) fn request(id: &str) -> ClientRequest {
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
            method: http::Method::GET,
            path: "/x".into(),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

thread_local! {
    /// Time of all daemons of the test that runs in this thread, if it is simulated.
    static TIME_MS: Cell<Option<u64>> = const { Cell::new(None) };
}

/// Time in ms, if it is simulated.
pub(crate) fn simulated_ms() -> Option<u64> {
    TIME_MS.get()
}

/// Simulates the time in this thread from now on.
pub(crate) fn set_time(ms: u64) {
    TIME_MS.set(Some(ms));
}

/// A daemon without any data yet.
pub(crate) fn node() -> Arc<Node> {
    node_at("n", "127.0.0.1:1")
}

/// A daemon without any data yet that answers its peers at `peers`.
pub(crate) fn node_at(id: &str, peers: &str) -> Arc<Node> {
    let text = r#"{
      id: "n", domain: "d", seeds: [], store: "127.0.0.1:1", cores: 0.1,
      listen: { front: "127.0.0.1:1", ready: "127.0.0.1:1", directory: "127.0.0.1:1", peers: "127.0.0.1:1" },
      bounds: { grace_s: 8, drain_ms: 2000, lease_ms: 3000, apply_ms: 2000, version_ms: 5000, address_s: 5,
                retry_ratio: 0.2, retry_allowance: 54, retry_s: 10, fencing: true, return_s: 2 },
    }"#;
    let mut settings = NodeSettings::parse(text, "test").unwrap();
    settings.id = id.into();
    settings.listen.peers = peers.parse().unwrap();
    Node::new(settings, Arc::new(Unresponsive), Arc::new(Unresponsive))
}
