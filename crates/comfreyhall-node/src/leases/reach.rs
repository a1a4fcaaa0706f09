//! Hands a group on when the holder of its lease has lost the group's engines.
//!
//! The holder's loads would fail until its paths are back, while other daemons may reach
//! the engines. Only a daemon that has just probed some of them successfully gets the
//! group: engines that have ended are lost to everybody.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Reach, ReachQuery, fleet_client::FleetClient};
use rand::seq::IteratorRandom;
use tonic::transport::Channel;

use super::VACANT_TERMS;
use crate::{fleet, metrics::Metrics, node::Node, traffic::Kind};

/// Peers that are asked whether they reach the lost engines.
const MAX_ASKED: usize = 6;

/// Lost engines that each of them probes.
const MAX_PROBED: usize = 3;

/// Share of the probed engines that have to answer.
const MIN_ALIVE_SHARE: f64 = 0.6;

/// Longest wait for the answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which engines that are lost together become known.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Waits until engines have been lost.
pub(super) async fn wait_for_losses(node: &Node) {
    node.leases.wait_for_loss().await;
    tokio::time::sleep(SETTLE_TIME).await;
}

/// If this daemon commands `group`, has lost its engines and another daemon reaches them,
/// stops commanding it and names the other one; returns whether it did.
pub(super) async fn transfer(node: &Arc<Node>, group: &Name) -> bool {
    if node.token(group).is_none() || !node.loses_group(group) {
        return false;
    }
    let lost = node.lost_engines(group);
    let Some(to) = find_successor(node, group, &lost).await else {
        log::info!(target: "leases", group:% = group, lost = lost.len(); "engines are lost; no other daemon is known to reach them");
        return false;
    };
    let settings = node.settings();
    let bounds = &settings.bounds;
    if let Some(token) = node.leases.hand_over(group, bounds.fencing) {
        let until_ms = node.now() + VACANT_TERMS * bounds.lease_ms;
        node.fleet.announce_handover(group, token, &to, until_ms);
    }
    log::warn!(target: "leases", group:% = group, lost = lost.len(), to:% = to; "engines are lost; the group is handed on");
    node.changed.notify_waiters();
    fleet::notify_all(node).await;
    true
}

/// The best placed daemon that reaches most of a few `lost` engines of `group`.
async fn find_successor(node: &Arc<Node>, group: &Name, lost: &[Name]) -> Option<Name> {
    let probed = lost.iter().choose_multiple(&mut rand::rng(), MAX_PROBED);
    let needed = (probed.len() as f64 * MIN_ALIVE_SHARE).ceil() as usize;
    if needed == 0 {
        return None;
    }
    let asked = node.fleet.reaching_successors(group, MAX_ASKED, node.now());
    let calls = asked.into_iter().map(|(addr, client)| {
        let probed = &probed;
        async move { (addr, count_alive(&node.metrics, client, probed).await) }
    });
    let answers = futures::future::join_all(calls).await;
    let reaching = answers.into_iter().find(|(_, alive)| *alive >= needed);
    reaching.map(|(addr, _)| addr)
}

/// How many of `targets` the daemon behind `client` reaches.
async fn count_alive(metrics: &Metrics, client: FleetClient<Channel>, targets: &[&Name]) -> usize {
    let calls = targets.iter().map(|target| {
        let mut client = client.clone();
        let query = ReachQuery {
            target: target.to_string(),
        };
        let query = metrics.peer_sent(Kind::Reach, query);
        async move {
            match tokio::time::timeout(ANSWER_TIMEOUT, client.reach(query)).await {
                Ok(Ok(reply)) => reply.into_inner().reach() == Reach::Alive,
                Ok(Err(e)) => {
                    log::debug!(target: "leases", target_id:% = target, error:% = e; "peer not asked whether it reaches an engine");
                    false
                }
                Err(_) => false,
            }
        }
    });
    let alive = futures::future::join_all(calls).await;
    alive.into_iter().filter(|alive| *alive).count()
}
