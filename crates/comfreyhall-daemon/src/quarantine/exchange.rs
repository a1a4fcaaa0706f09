//! Exchange of evidence with other daemons: at once with all of them, and periodically with
//! a random one, which reaches daemons that were disconnected or have just started.

use std::{sync::Arc, time::Duration};

use comfreyhall_protocol::Findings;
use comfreyhall_quarantine::{Evidence, SyncPosition, process_time};
use rand::seq::IteratorRandom;

use super::{record, report_change, state::PeerSync};
use crate::app::App;

/// Timeout of one exchange of evidence.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the periodic exchange of evidence with one random peer.
pub(crate) fn spawn(app: &App) {
    let app = app.clone();
    let period = Duration::from_millis(app.inner.settings.tuning.heartbeat_ms);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = process_time(app.now_ms());
            let changes = app.inner.quarantine.state().quarantine.expire(now);
            for change in changes {
                report_change(
                    &app,
                    &app.inner.quarantine.state().quarantine,
                    change,
                    false,
                    now,
                );
            }
            let peer = app.inner.peers.keys().choose(&mut rand::rng()).cloned();
            if let Some(peer) = peer {
                run(app.clone(), peer).await;
            }
        }
    });
}

/// Exchanges evidence with one other daemon.
pub(super) async fn run(app: App, peer: Arc<str>) {
    let Some(mut client) = app.inner.peers.get(&peer).cloned() else {
        return;
    };
    let ours = unseen_evidence(&app, &peer);
    match tokio::time::timeout(EXCHANGE_TIMEOUT, client.swap(ours)).await {
        Ok(Ok(theirs)) => merge_evidence(&app, &theirs.into_inner()),
        Ok(Err(s)) => {
            log::debug!(target: "quarantine", "evidence not exchanged with {peer}: {}; it is sent again", s.message());
        }
        Err(_) => {
            log::debug!(target: "quarantine", "{peer} does not answer; evidence is sent again");
        }
    }
}

/// Evidence that the daemon `peer` may not have received.
pub(crate) fn unseen_evidence(app: &App, peer: &str) -> Findings {
    let now = process_time(app.now_ms());
    let state = app.inner.quarantine.state();
    let sync = state.peer_syncs.get(peer).copied().unwrap_or_default();
    let (unseen, last) = state.quarantine.evidence_since(sync.acknowledged_serial);
    Findings {
        from: app.instance.id.to_string(),
        boot: app.inner.quarantine.boot,
        evidence: unseen.iter().map(|e| e.to_wire(now)).collect(),
        told_serial: last,
        heard_boot: sync.received.boot,
        heard_serial: sync.received.serial,
    }
}

/// Merges evidence received from another daemon.
pub(crate) fn merge_evidence(app: &App, theirs: &Findings) {
    let now = process_time(app.now_ms());
    for item in &theirs.evidence {
        match Evidence::from_wire(item, now) {
            Some(evidence) => {
                record(app, evidence);
            }
            None => {
                log::warn!(target: "quarantine", "evidence from {} names no request; upgrade that daemon", item.observer);
            }
        }
    }
    let same_boot = theirs.heard_boot == app.inner.quarantine.boot;
    let sync = PeerSync {
        received: SyncPosition {
            boot: theirs.boot,
            serial: theirs.told_serial,
        },
        acknowledged_serial: if same_boot { theirs.heard_serial } else { 0 },
    };
    let mut state = app.inner.quarantine.state();
    state.peer_syncs.insert(theirs.from.as_str().into(), sync);
}
