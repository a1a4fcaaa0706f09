//! Holding back requests that end the engines that run them.
//!
//! What goes wrong without it: a request crashes its engine, is started again at
//! the next one, and again through other daemons; engine after engine ends with
//! all that runs there. `comfreyhall-quarantine` decides; here a run that broke
//! off is looked at (has its engine or service ended, or only an answer been
//! lost?), and daemons swap what they found: at once with all, and now and then
//! with one of them, which reaches those that were cut off or have just started.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_protocol::{Findings, Map, StatusQuery, proves_not_run};
use comfreyhall_quarantine::{
    Change, Evidence, Fingerprint, Observation, Quarantine, Status, SyncPosition,
};
use rand::{Rng, seq::IteratorRandom};
use tokio::net::TcpStream;

use crate::{app::App, error::RouteError};

/// Pauses before each look at a target whose run broke off.
const LOOKS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(500),
];

/// Longest one look may take.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest one swap may take.
const SWAP_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a trial keeps others from being made here: longer than an engine
/// takes to end.
const TRIAL: Duration = Duration::from_secs(10);

/// How long after its first token a run counts as having just begun.
pub(crate) const EARLY: Duration = Duration::from_millis(300);

/// A target whose run broke off.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Suspect {
    /// The engine with this index, in this boot.
    Engine(usize, u64),
    /// The plain service with this index.
    Service(usize),
}

/// What this daemon knows of such requests.
pub(crate) struct Watch {
    boot: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    known: Quarantine,
    /// How far this daemon and each other have heard each other.
    links: Map<Arc<str>, Link>,
    trials: Map<Fingerprint, Instant>,
}

#[derive(Default, Clone, Copy)]
struct Link {
    /// Its findings that were heard here.
    heard: SyncPosition,
    /// Number of the last finding of ours that it has heard.
    told: u64,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            boot: rand::rng().random(),
            state: Mutex::default(),
        }
    }
}

impl Watch {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// Whether `fingerprint` may be sent now; `sent`: a send of this attempt may have run.
pub(crate) fn admit(app: &App, fingerprint: &Fingerprint, sent: bool) -> Result<(), RouteError> {
    let rank = rank(app, fingerprint);
    let mut state = app.inner.quarantine.state();
    let retry_ms = match state.known.status(fingerprint, rank, app.now_ms()) {
        Status::Allowed => return Ok(()),
        Status::Quarantined { retry_ms } => retry_ms,
        Status::Trial => {
            let last = state.trials.get(fingerprint);
            if last.is_none_or(|at| at.elapsed() > TRIAL) {
                state.trials.insert(*fingerprint, Instant::now());
                return Ok(());
            }
            TRIAL.as_millis() as u64
        }
    };
    match sent {
        true => Err(RouteError::QuarantinedInDoubt),
        false => Err(RouteError::Quarantined(retry_ms)),
    }
}

/// Where this instance stands among all in trying `fingerprint` again.
fn rank(app: &App, fingerprint: &Fingerprint) -> usize {
    let place = |id: &str| Fingerprint::of([fingerprint.as_bytes(), id.as_bytes()]);
    let own = place(&app.instance.id);
    let others = app.inner.peers.keys();
    others.filter(|id| place(id) < own).count()
}

/// A run of `fingerprint` broke off at a target; `early`: it had just begun.
pub(crate) fn broke(app: &App, at: Suspect, fingerprint: Fingerprint, early: bool) {
    let app = app.clone();
    tokio::spawn(async move {
        let Some(target) = ended(&app, at).await else {
            return;
        };
        found(
            &app,
            fingerprint,
            Observation::TargetEnded { target, early },
        );
    });
}

/// A target ran `fingerprint` to its end.
pub(crate) fn ran_whole(app: &App, fingerprint: Fingerprint) {
    if app.inner.quarantine.state().known.is_suspect(&fingerprint) {
        found(app, fingerprint, Observation::Completed);
    }
}

/// The name of the boot that has ended, if it has.
async fn ended(app: &App, at: Suspect) -> Option<Arc<str>> {
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        let (ended, name) = match at {
            Suspect::Engine(index, boot) => {
                let id = &app.inner.settings.engines[index].id;
                (engine_ended(app, index, boot).await, format!("{id}#{boot}"))
            }
            // A service does not say which boot it is: it counts once.
            Suspect::Service(index) => {
                let service = &app.inner.settings.services[index];
                let id = service.id.to_string();
                (service_ended(&service.listen).await, id)
            }
        };
        match ended {
            Some(true) => return Some(name.into()),
            Some(false) => return None,
            None => {}
        }
    }
    None
}

/// Whether the boot of an engine has ended; `None` if nobody answers.
async fn engine_ended(app: &App, index: usize, boot: u64) -> Option<bool> {
    let mut client = app.inner.clients[index].clone();
    let call = client.status(StatusQuery {});
    match tokio::time::timeout(LOOK_TIMEOUT, call).await {
        Ok(Ok(status)) => Some(status.get_ref().epoch != boot),
        Ok(Err(s)) if proves_not_run(&s) => Some(true),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Whether nobody listens at `addr` any more; `None` if nobody answers.
async fn service_ended(addr: &str) -> Option<bool> {
    match tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Some(false),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Some(true),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Takes in a finding of this daemon and tells all others.
fn found(app: &App, fingerprint: Fingerprint, finding: Observation) {
    let evidence = Evidence {
        fingerprint,
        observation: finding,
        at_ms: app.now_ms(),
        observer: app.instance.id.clone(),
    };
    if learn(app, evidence) {
        for peer in app.inner.peers.keys() {
            tokio::spawn(swap(app.clone(), peer.clone()));
        }
    }
}

/// Takes in a finding, whoever made it; whether it is new.
fn learn(app: &App, evidence: Evidence) -> bool {
    let now = app.now_ms();
    let mut state = app.inner.quarantine.state();
    let before = state.known.serial();
    let changes = state.known.record(evidence, now);
    for change in &changes {
        note(app, &state.known, *change, now);
    }
    state.known.serial() > before
}

fn note(app: &App, known: &Quarantine, change: Change, now: u64) {
    let (fingerprint, what) = match change {
        Change::Suspected(fingerprint) => (fingerprint, "is suspect"),
        Change::Quarantined(fingerprint) => (fingerprint, "is held back"),
        Change::Released(fingerprint) => (fingerprint, "is let go"),
    };
    let ends = known.target_ends(&fingerprint).iter().map(|e| {
        let age = now.saturating_sub(e.at_ms);
        format!("{} ended {age} ms ago, told by {}", e.target, e.observer)
    });
    let ends: Vec<String> = ends.collect();
    app.inner.metrics.quarantine(match change {
        Change::Suspected(_) => "suspect",
        Change::Quarantined(_) => "held_back",
        Change::Released(_) => "let_go",
    });
    log::warn!(target: "quarantine", "request {fingerprint} {what}: {}", ends.join("; "));
}

/// Starts swapping with one other daemon now and then.
pub(crate) fn spawn(app: &App) {
    let app = app.clone();
    let period = Duration::from_millis(app.inner.settings.tuning.heartbeat_ms);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = app.now_ms();
            let changes = app.inner.quarantine.state().known.expire(now);
            for change in changes {
                note(&app, &app.inner.quarantine.state().known, change, now);
            }
            let peer = app.inner.peers.keys().choose(&mut rand::rng()).cloned();
            if let Some(peer) = peer {
                swap(app.clone(), peer).await;
            }
        }
    });
}

/// Swaps findings with one other daemon.
async fn swap(app: App, peer: Arc<str>) {
    let Some(mut client) = app.inner.peers.get(&peer).cloned() else {
        return;
    };
    let ours = findings(&app, &peer);
    match tokio::time::timeout(SWAP_TIMEOUT, client.swap(ours)).await {
        Ok(Ok(theirs)) => hear(&app, &theirs.into_inner()),
        Ok(Err(s)) => {
            log::debug!(target: "quarantine", "findings not swapped with {peer}: {}; they are told again", s.message());
        }
        Err(_) => {
            log::debug!(target: "quarantine", "{peer} is silent; findings are told again");
        }
    }
}

/// What the daemon `peer` may not have heard.
pub(crate) fn findings(app: &App, peer: &str) -> Findings {
    let now = app.now_ms();
    let state = app.inner.quarantine.state();
    let link = state.links.get(peer).copied().unwrap_or_default();
    let (told, last) = state.known.evidence_since(link.told);
    Findings {
        from: app.instance.id.to_string(),
        boot: app.inner.quarantine.boot,
        evidence: told.iter().map(|e| e.to_wire(now)).collect(),
        told_serial: last,
        heard_boot: link.heard.boot,
        heard_serial: link.heard.serial,
    }
}

/// Takes in what another daemon has told.
pub(crate) fn hear(app: &App, theirs: &Findings) {
    let now = app.now_ms();
    for told in &theirs.evidence {
        match Evidence::from_wire(told, now) {
            Some(evidence) => {
                learn(app, evidence);
            }
            None => {
                log::warn!(target: "quarantine", "a finding of {} names no request; upgrade that daemon", told.witness);
            }
        }
    }
    let heard_us = theirs.heard_boot == app.inner.quarantine.boot;
    let link = Link {
        heard: SyncPosition {
            boot: theirs.boot,
            serial: theirs.told_serial,
        },
        told: if heard_us { theirs.heard_serial } else { 0 },
    };
    let mut state = app.inner.quarantine.state();
    state.links.insert(theirs.from.as_str().into(), link);
}
