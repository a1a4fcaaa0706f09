//! Software versions in messages between daemons.

use comfreyhall_protocol::ServiceVersion;

use super::state::{Fleet, Peer};
use crate::{node::Node, streams};

/// Messages that send a new process all software versions: one may get lost.
const VERSION_MESSAGES: u8 = 3;

impl Fleet {
    /// Software versions for a message to `peer`.
    pub(super) fn versions_for(node: &Node, peer: &mut Peer, now: u64) -> Vec<ServiceVersion> {
        let new = peer.versions_sent < VERSION_MESSAGES;
        peer.versions_sent = peer.versions_sent.saturating_add(1);
        let view = node.view();
        let told = view.versions.iter().filter(|(_, h)| new || h.is_mixed());
        let versions = told.flat_map(|(service, history)| {
            let reports = history.report(now);
            reports.map(move |r| streams::encode_version(service, &r))
        });
        versions.collect()
    }

    /// Learns which software versions a peer has seen.
    pub(super) fn learn_versions(&self, node: &Node, versions: &[ServiceVersion], now: u64) {
        let mut view = node.view();
        for version in versions {
            if let Some(history) = view.versions.get_mut(version.service.as_str()) {
                history.learn(&streams::decode_version(version), now);
            }
        }
    }
}
