//! Rows of the store in messages between daemons.

use comfreyhall_domain::Revision;
use comfreyhall_protocol::{News, TargetsProof};

use super::{periods, state::Fleet};
use crate::{
    node::Node,
    ports::{Record, Topic},
};

/// Maximum size in bytes of the settings in a gossip message: a few named
/// versions, or a configuration of some dozen routes.
///
/// Without a limit, holders answer each report of a large fleet with the whole
/// configuration until it has been applied, and over slow links no answer
/// arrives in time. Larger settings are read from the store or fetched once.
const MAX_SETTINGS_BYTES: usize = 8 * 1_024;

impl Fleet {
    /// Adds rows that the peer at `addr` may lack to a call.
    ///
    /// In a large fleet only holders receive them unasked, and pass them on:
    /// rows for randomly called peers, whose recent state is not known, came to
    /// two thirds of the bytes between 89 daemons.
    pub(super) fn push_rows(&self, node: &Node, addr: &str, gossip: &mut News) {
        let (new, cut_off, settings, known) = {
            let state = self.state();
            let Some(peer) = state.peers.get(addr) else {
                return;
            };
            if periods::is_large(state.peers.len()) && !peer.holds() {
                return;
            }
            let new = peer.daemon.is_none();
            (
                new,
                peer.cut_off,
                peer.settings_version,
                peer.targets_complete,
            )
        };
        // A new peer may have just started. A peer that is cut off gets only
        // what it lacks: in an outage of the store all are cut off, and a
        // configuration of 300 KB went to the holders with each report of 90
        // daemons, 0.45 GB between failure domains in six seconds.
        if new || cut_off {
            add_settings(node, settings, gossip);
        }
        add_targets(node, known, gossip);
    }
}

pub(super) fn to_wire(record: &Record) -> comfreyhall_protocol::Fact {
    comfreyhall_protocol::Fact {
        key: record.key.to_string(),
        value: record
            .value
            .as_ref()
            .map(|v| v.to_vec())
            .unwrap_or_default(),
        version: record.version.to_wire(),
        deleted: record.value.is_none(),
    }
}

pub(super) fn from_wire(fact: comfreyhall_protocol::Fact) -> Record {
    Record {
        key: fact.key.into(),
        value: (!fact.deleted).then(|| fact.value.into()),
        version: Revision::from_wire(fact.version),
    }
}

/// Rows of `topic` that changed after `version`.
pub(super) fn rows_since(
    node: &Node,
    topic: Topic,
    version: Revision,
) -> Vec<comfreyhall_protocol::Fact> {
    let mut view = node.view();
    let stored = view.records.topic_rows(topic);
    // All rows of settings, so that nobody lacks the newest one; of targets
    // only relevant changes.
    let newer = |record: &&Record| match topic {
        Topic::Settings => record.version > version,
        Topic::Targets => stored
            .changed_versions
            .get(&record.key)
            .is_some_and(|v| *v > version),
    };
    stored.rows.values().filter(newer).map(to_wire).collect()
}

/// Versions that the sender of a message has.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedVersions {
    settings_version: Revision,
    targets_complete: Revision,
    targets_age: u64,
}

impl From<&News> for ReportedVersions {
    fn from(gossip: &News) -> Self {
        Self {
            settings_version: Revision::from_wire(gossip.settings_version),
            targets_complete: Revision::from_wire(gossip.targets_complete),
            targets_age: gossip.targets_age,
        }
    }
}

/// Adds the settings newer than `version` to a message for a peer, all of them
/// or none: a peer that has the newest row counts as having those before it. A
/// peer that does not receive them learns of the newer version, and reads or
/// fetches it.
fn add_settings(node: &Node, version: Revision, gossip: &mut News) {
    let rows = rows_since(node, Topic::Settings, version);
    let bytes: usize = rows.iter().map(|r| r.value.len()).sum();
    if bytes <= MAX_SETTINGS_BYTES {
        gossip.settings = rows;
        gossip.settings_since = version.to_wire();
    }
}

/// Adds the rows that a peer lacks to its answer.
pub(super) fn add_rows(node: &Node, asked: ReportedVersions, gossip: &mut News) {
    add_settings(node, asked.settings_version, gossip);
    if gossip.targets_age < asked.targets_age {
        add_targets(node, asked.targets_complete, gossip);
    }
}

/// Adds the relevant changes of targets after `version` to a message, and how recent
/// they are.
fn add_targets(node: &Node, version: Revision, gossip: &mut News) {
    gossip.targets = rows_since(node, Topic::Targets, version);
    let now = node.now();
    let view = node.view();
    let targets = &view.records.targets;
    gossip.targets_proof = targets.proven_age(now).map(|age_ms| TargetsProof {
        since: version.to_wire(),
        until: targets.complete_to.to_wire(),
        age_ms,
    });
}
