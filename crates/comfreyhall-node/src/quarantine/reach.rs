//! Whether other daemons reach a target that refuses connections from this one.
//!
//! A target that has ended refuses connections from everybody, one whose path to this daemon
//! is cut from some. Taken for an end, a cut would be evidence against the requests that
//! ran there, and exclude the target at all daemons.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{ReachQuery, ReachReply};
use comfreyhall_quarantine::{PeerAnswers, ProbeResult};
use futures::{StreamExt, stream::FuturesUnordered};

use crate::{node::Node, outbound, traffic::Kind};

/// Peers that are asked: with paths to a target cut for half of all daemons, all of these are
/// cut off once in 64 times.
const MAX_ASKED: usize = 6;

/// Longest wait for the answers of peers, each of which opens one connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Whether `target`, which refuses connections from here, refuses them from everybody.
/// `None` if no peer knows. Without peers nobody has another path to it.
pub(super) async fn is_refused_by_all(node: &Arc<Node>, target: &Name) -> Option<bool> {
    let clients = node.fleet.some_clients(MAX_ASKED, node.now());
    if clients.is_empty() {
        return Some(true);
    }
    let query = ReachQuery {
        target: target.to_string(),
    };
    let calls = clients.into_iter().map(|mut client| {
        let query = node.metrics.peer_sent(Kind::Reach, query.clone());
        async move { client.reach(query).await }
    });
    let mut replies: FuturesUnordered<_> = calls.collect();
    let mut answers = PeerAnswers::default();
    let asking = async {
        while let Some(reply) = replies.next().await {
            match reply.map(|r| r.into_inner().reach()) {
                Ok(reach) => answers.add(ProbeResult::from_wire(reach)),
                Err(e) => {
                    log::debug!(target: "quarantine", target_id:% = target, error:% = e; "peer not asked whether it reaches a target");
                }
            }
            if answers.is_reached() {
                return;
            }
        }
    };
    // After a timeout the answers that have come decide.
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, asking).await;
    let verdict = answers.ended();
    if verdict == Some(false) {
        log::info!(target: "quarantine", target_id:% = target; "a peer reaches the target that refuses connections from here");
    }
    verdict
}

/// Answers a peer that does not reach a target.
pub(crate) async fn answer(node: &Arc<Node>, query: &ReachQuery) -> ReachReply {
    let known = node.view().targets.get(query.target.as_str()).cloned();
    let Some(target) = known else {
        return ReachReply::default();
    };
    let probe = outbound::probe(node, &target);
    let found = tokio::time::timeout(ANSWER_TIMEOUT, probe).await;
    let found = found.unwrap_or(ProbeResult::NoAnswer);
    ReachReply {
        reach: found.to_wire().into(),
    }
}
