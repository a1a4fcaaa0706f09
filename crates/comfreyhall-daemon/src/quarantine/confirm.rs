//! Whether a target whose run broke off has ended.

use std::{sync::Arc, time::Duration};

use comfreyhall_protocol::{ReachQuery, ReachReply, StatusQuery, proves_not_run};
use comfreyhall_quarantine::{EndCheck, Finding, PeerAnswers, ProbeResult};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::net::TcpStream;

use crate::app::App;

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for what peers' probes show.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// Peers that are asked whether they reach a target.
const MAX_ASKED: usize = 6;

/// A target whose run broke off and that may have ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum SuspectTarget {
    /// The engine with this index, in this boot (one start of its process).
    Engine(usize, u64),
    /// The plain service with this index.
    Service(usize),
}

impl SuspectTarget {
    /// Its name in evidence and in questions to peers. Services do not report their
    /// boot, so all ends of a service count as one.
    fn name(self, app: &App) -> String {
        let settings = &app.inner.settings;
        match self {
            SuspectTarget::Engine(index, boot) => format!("{}#{boot}", settings.engines[index].id),
            SuspectTarget::Service(index) => settings.services[index].id.to_string(),
        }
    }

    /// The target of this name.
    fn named(app: &App, name: &str) -> Option<Self> {
        let settings = &app.inner.settings;
        if let Some((id, boot)) = name.rsplit_once('#') {
            let index = settings.engines.iter().position(|e| *e.id == *id)?;
            return Some(SuspectTarget::Engine(index, boot.parse().ok()?));
        }
        let index = settings.services.iter().position(|s| *s.id == *name)?;
        Some(SuspectTarget::Service(index))
    }

    async fn probe(self, app: &App) -> ProbeResult {
        let probe = async {
            match self {
                SuspectTarget::Engine(index, boot) => probe_engine(app, index, boot).await,
                SuspectTarget::Service(index) => {
                    probe_service(&app.inner.settings.services[index].listen).await
                }
            }
        };
        let found = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
        found.unwrap_or(ProbeResult::NoAnswer)
    }
}

/// The name of the boot that has ended, if one has.
pub(super) async fn ended_boot(app: &App, target: SuspectTarget) -> Option<Arc<str>> {
    let name = target.name(app);
    let mut check = EndCheck::default();
    while let Some(delay) = check.next_delay() {
        tokio::time::sleep(delay).await;
        let ended = match target.probe(app).await.into() {
            Finding::Ended => Some(true),
            Finding::Alive => Some(false),
            Finding::AskPeers => ended_by_peers(app, &name).await,
            Finding::Nothing => None,
        };
        if let Some(ended) = ended {
            return ended.then(|| name.into());
        }
    }
    None
}

/// Whether the target refuses connections from everybody; `None` if no peer knows.
/// Without peers nobody has another path to it.
async fn ended_by_peers(app: &App, name: &str) -> Option<bool> {
    let peers = &app.inner.peers;
    if peers.is_empty() {
        return Some(true);
    }
    let calls = peers.values().take(MAX_ASKED).cloned().map(|mut client| {
        let query = ReachQuery {
            target: name.to_string(),
        };
        async move { client.reach(query).await }
    });
    let mut replies: FuturesUnordered<_> = calls.collect();
    let mut answers = PeerAnswers::default();
    let asking = async {
        while let Some(reply) = replies.next().await {
            match reply.map(|r| r.into_inner().reach()) {
                Ok(reach) => answers.add(ProbeResult::from_wire(reach)),
                Err(s) => {
                    log::debug!(target: "quarantine", "a peer does not say whether it reaches {name}: {}", s.message());
                }
            }
            if answers.is_reached() {
                return;
            }
        }
    };
    // After a timeout the answers that have come decide.
    let _ = tokio::time::timeout(PEER_TIMEOUT, asking).await;
    if answers.is_reached() {
        log::info!(target: "quarantine", "a peer reaches {name}, which refuses connections from here");
    }
    answers.ended()
}

/// Answers a peer that does not reach a target.
pub(crate) async fn answer(app: &App, query: &ReachQuery) -> ReachReply {
    let found = match SuspectTarget::named(app, &query.target) {
        Some(target) => target.probe(app).await,
        None => ProbeResult::NoAnswer,
    };
    ReachReply {
        reach: found.to_wire().into(),
    }
}

/// Probes the boot of an engine.
async fn probe_engine(app: &App, index: usize, boot: u64) -> ProbeResult {
    let mut client = app.inner.engine_clients[index].clone();
    match client.status(StatusQuery {}).await {
        Ok(status) if status.get_ref().epoch == boot => ProbeResult::Alive,
        Ok(_) => ProbeResult::OtherBoot,
        Err(s) if proves_not_run(&s) => ProbeResult::Refused,
        Err(_) => ProbeResult::NoAnswer,
    }
}

/// Looks whether anything listens at `addr`.
async fn probe_service(addr: &str) -> ProbeResult {
    match TcpStream::connect(addr).await {
        Ok(_) => ProbeResult::Alive,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Err(_) => ProbeResult::NoAnswer,
    }
}
