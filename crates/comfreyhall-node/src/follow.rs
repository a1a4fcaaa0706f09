//! Following the settings in force and the targets in the platform's store.
//!
//! Settings are followed by a feed that answers at the first change, which
//! costs next to nothing while nothing changes. Targets publish themselves
//! about every second, so a feed of them would answer all the time; they are
//! read on a beat that leaves room in the bound for targets that leave.
//!
//! What goes wrong: the store is away, and entries of living targets lapse.
//! Taking them for gone would stop all service the moment the store is back.
//! So after an outage removals count only once a listing taken the return
//! time after the store's return still lacks them.

use std::{sync::Arc, time::Duration};

use comfreyhall_life::Event;

use crate::{
    facts,
    node::Node,
    ports::{Facts, SourceError, Topic},
};

/// Longest wait of one feed call. Shorter than the store's longest by far,
/// so that a silent connection is noticed.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call, in ms. The store allows two thousand reads a
/// second over all daemons; settings must be in force 2 s after their
/// acceptance, so trying five times a second spends a tenth of that bound.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads of the targets within the bound for targets that leave.
const READS_PER_DRAIN: u64 = 3;

/// Reads further apart than this many beats are an outage of the store.
const OUTAGE_BEATS: u64 = 3;

/// Starts both duties.
pub(crate) fn spawn(node: &Arc<Node>) {
    tokio::spawn(settings(node.clone()));
    tokio::spawn(targets(node.clone()));
}

async fn settings(node: Arc<Node>) {
    let mut after: Option<u64> = None;
    let mut down = false;
    loop {
        let answer = match after {
            None => node.source.read(Topic::Settings).await,
            Some(version) => {
                let feed = node.source.changes(Topic::Settings, version, FEED_WAIT);
                feed.await
            }
        };
        match answer {
            Ok(facts) => {
                if down {
                    log::info!(target: "follow", version = facts.version; "store answers again for settings");
                    down = false;
                }
                after = Some(facts.version);
                let now = node.now();
                node.view().book.settings.read = now;
                facts::apply(&node, Topic::Settings, facts);
                settle(&node);
            }
            Err(e) => {
                if !down || e == SourceError::Forgotten {
                    log::warn!(target: "follow", error:% = e; "settings not read");
                }
                down = true;
                if e == SourceError::Forgotten {
                    after = None;
                    continue;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Begins to serve once a configuration and some target are known.
pub(crate) fn settle(node: &Node) {
    let known = {
        let view = node.view();
        view.config.is_some() && !view.targets.is_empty()
    };
    if known {
        node.life.handle(Event::Synced);
    }
}

async fn targets(node: Arc<Node>) {
    let mut away = Outage::default();
    let mut down = false;
    loop {
        let beat = node.settings().bounds.drain_ms / READS_PER_DRAIN;
        let began = node.now();
        match node.source.read(Topic::Targets).await {
            Ok(listed) => {
                if down {
                    log::info!(target: "follow", version = listed.version; "store answers again for targets");
                    down = false;
                }
                take(&node, &mut away, listed, beat);
            }
            Err(e) => {
                if !down {
                    log::warn!(target: "follow", error:% = e; "targets not read");
                }
                down = true;
            }
        }
        let spent = node.now().saturating_sub(began);
        let pause = beat.saturating_sub(spent).max(50);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// When the store was last away, as seen by this daemon.
#[derive(Debug, Default)]
struct Outage {
    /// When it answered again; 0 if it never was away.
    over: u64,
}

fn take(node: &Node, away: &mut Outage, listed: Facts, beat: u64) {
    let now = node.now();
    let last = {
        let mut view = node.view();
        std::mem::replace(&mut view.book.targets.read, now)
    };
    if last > 0 && now.saturating_sub(last) > OUTAGE_BEATS * beat {
        away.over = now;
    }
    facts::apply(node, Topic::Targets, listed.clone());
    let back = (node.settings().bounds.return_s * 1_000.0) as u64;
    if away.over == 0 || now.saturating_sub(away.over) >= back {
        facts::sweep(node, &listed);
    }
    let targets: Vec<_> = node.view().targets.values().cloned().collect();
    node.backend.retain(&targets);
    settle(node);
}
