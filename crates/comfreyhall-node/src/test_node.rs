//! A daemon for tests, on a platform that never answers.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, Stage, Target};
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

/// A target that is ready and holds nothing.
pub(crate) fn target(id: &str) -> Target {
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

/// A target's row, in the form `BORN STAGE`.
fn decode(fact: &Record) -> Option<Target> {
    let text = std::str::from_utf8(fact.value.as_ref()?).ok()?;
    let (born, stage) = text.split_once(' ')?;
    Some(Target {
        id: format!("{}@{born}", fact.key).into(),
        name: fact.key.clone(),
        started_at_ms: born.parse().ok()?,
        stage: match stage {
            "ready" => Stage::Ready,
            _ => Stage::Draining,
        },
        row_version: fact.version,
        ..target(&fact.key)
    })
}

impl Source for Unresponsive {
    fn read(&self, _: Topic) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        std::future::pending().boxed()
    }

    fn changes(
        &self,
        _: Topic,
        _: u64,
        _: Duration,
    ) -> BoxFuture<'_, Result<PendingBatch, SourceError>> {
        std::future::pending().boxed()
    }

    fn decode(&self, topic: Topic, fact: &Record) -> Result<Decoded, String> {
        match topic {
            Topic::Settings => Ok(Decoded::Other),
            Topic::Targets => decode(fact)
                .map(Decoded::Target)
                .ok_or_else(|| "no target's".to_string()),
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

/// A daemon that knows nothing yet.
pub(crate) fn node() -> Arc<Node> {
    let text = r#"{
      id: "n", domain: "d", seeds: [], store: "127.0.0.1:1", cores: 0.1,
      listen: { front: "127.0.0.1:1", ready: "127.0.0.1:1", directory: "127.0.0.1:1", peers: "127.0.0.1:1" },
      bounds: { grace_s: 8, drain_ms: 2000, lease_ms: 3000, apply_ms: 2000, version_ms: 5000, address_s: 5,
                retry_ratio: 0.2, retry_allowance: 54, retry_s: 10, fencing: true, return_s: 2 },
    }"#;
    let settings = NodeSettings::parse(text, "test").unwrap();
    Node::new(settings, Arc::new(Unresponsive), Arc::new(Unresponsive))
}
