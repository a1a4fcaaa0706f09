//! Finds the version of a stream that a caller resumes.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{StreamFinding, StreamQuery};
use comfreyhall_streams::{Answer, Evidence, Proof, conclude};
use futures::{StreamExt, stream::FuturesUnordered};

use super::{versions, wire};
use crate::{node::Node, traffic::Kind};

/// Daemons that are asked: the ones that were sent the record, and those that follow
/// them in the order for its id, in case some were not known to have ended.
const ASKED: usize = 8;

/// Longest wait for their answers: a few ms, and tens of ms on a busy core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The version of the stream of `service` that began as `first`; `None` if it is not
/// known.
pub(crate) async fn find_version(
    node: &Arc<Node>,
    service: &Name,
    first: Option<&Name>,
) -> Option<Proof> {
    let id = first.map_or("", |id| &**id);
    match own_answer(node, service, id) {
        Answer::Recorded {
            service,
            software,
            age_ms,
        } => Some(Proof {
            service: Some(service),
            software,
            evidence: Evidence::OwnRecord,
            age_ms,
        }),
        Answer::Only {
            software, age_ms, ..
        } => Some(Proof {
            service: None,
            software,
            evidence: Evidence::OwnHistory,
            age_ms,
        }),
        Answer::Unknown => ask_peers(node, service, id).await,
    }
}

fn own_answer(node: &Node, service: &Name, id: &str) -> Answer {
    let now = node.now();
    if let Some((record, age_ms)) = node.streams.find(id, now) {
        return Answer::Recorded {
            service: record.service,
            software: record.software,
            age_ms,
        };
    }
    let timing = versions::timing(node.settings().bounds.drain_ms);
    let view = node.view();
    let history = view.versions.get(service);
    let only = history.and_then(|h| Some((h, h.only_version(&timing, now)?)));
    match only {
        Some((history, software)) => Answer::Only {
            software: software.clone(),
            age_ms: history.age_ms(now),
            span_ms: history.span_ms(now),
        },
        None => Answer::Unknown,
    }
}

async fn ask_peers(node: &Arc<Node>, service: &Name, id: &str) -> Option<Proof> {
    let peers = node.fleet.first_peers(id, ASKED, node.now());
    let mut calls: FuturesUnordered<_> = peers
        .into_iter()
        .map(|p| ask(node, p, service, id))
        .collect();
    let mut answers = Vec::new();
    let all = async {
        while let Some(answer) = calls.next().await {
            let recorded = matches!(answer, Answer::Recorded { .. });
            answers.push(answer);
            if recorded {
                break;
            }
        }
    };
    // Late answers are left out.
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, all).await;
    let now = node.now();
    for answer in &answers {
        if let Answer::Only {
            software, span_ms, ..
        } = answer
            && let Some(history) = node.view().versions.get_mut(service)
        {
            history.learn_only(software, now.saturating_sub(*span_ms));
        }
    }
    conclude(&answers)
}

async fn ask(node: &Arc<Node>, peer: Name, service: &Name, id: &str) -> Answer {
    let Some(mut client) = node.fleet.client(&peer) else {
        return Answer::Unknown;
    };
    let query = StreamQuery {
        service: service.to_string(),
        id: id.to_string(),
    };
    let query = node.metrics.peer_sent(Kind::Versions, query);
    match client.find_stream(query).await {
        Ok(finding) => wire::decode_answer(finding.get_ref()),
        Err(status) => {
            log::debug!(target: "streams", peer:% = peer, id, error = status.message(); "question about a stream not answered");
            Answer::Unknown
        }
    }
}

/// Answers another daemon's question about a stream.
pub(crate) fn answer(node: &Node, query: &StreamQuery) -> StreamFinding {
    let service = query.service.as_str().into();
    wire::encode_answer(&own_answer(node, &service, &query.id))
}
