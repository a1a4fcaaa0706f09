//! Settlement with the quota coordinators of workspaces and targets.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Map, Name};
use comfreyhall_workspace::{FleetView, PeerProcess, SettleRequest};

use super::{own_process, state::QuotaKind, wire};
use crate::{leases, node::Node, outbound, traffic::Kind};

/// Longest duration of one call: requests wait for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an answer of the store, direct or through others, after which there may be
/// daemons that no reachable one knows, in ms.
const STALE_MS: u64 = 10_000;

/// Coordinators and fleet size, as passed to the limiter.
pub(super) struct Coordinators {
    pub(super) by_group: Map<Name, PeerProcess>,
    pub(super) fleet: FleetView,
}

/// Returns the coordinators of `groups`: the holder of a group's lease, and
/// while none is known, the first daemon in the order for the group.
///
/// Limits of targets require a single coordinator at a time, so where there are
/// leases nobody substitutes for their holders.
pub(super) fn coordinators(node: &Node, kind: QuotaKind, groups: &[Name]) -> Coordinators {
    let now = node.now();
    let substitutes = kind == QuotaKind::Workspaces || leases::groups(node).is_empty();
    let first = |group: &Name| match node.fleet.preferred_daemon(group, now) {
        Some(peer) => Some(peer),
        None => (kind == QuotaKind::Targets).then(|| node.fleet.peer_addr().into()),
    };
    let coordinator = |group: &Name| match node.token(group) {
        Some(_) => Some(own_process(node)),
        None => {
            let peer = node.fleet.holder(group, now);
            let peer = peer.or_else(|| first(group).filter(|_| substitutes))?;
            if *peer == *node.fleet.peer_addr() {
                return Some(own_process(node));
            }
            let boot = node.fleet.boot_of(&peer)?;
            Some(PeerProcess {
                peer_addr: peer,
                boot,
            })
        }
    };
    let by_group = groups
        .iter()
        .filter_map(|g| Some((g.clone(), coordinator(g)?)));
    let by_group = by_group.collect();
    let members = node.fleet.members(now);
    let stale = node.view().records.settings_sync.age_ms(now) > STALE_MS;
    Coordinators {
        by_group,
        fleet: FleetView {
            members: members.unwrap_or(0),
            confirmed: members.is_some(),
            stale,
        },
    }
}

/// Calls the coordinators that are due.
pub(super) fn settle_due(node: &Arc<Node>, kind: QuotaKind) {
    let now = node.now();
    let calls: Vec<(Name, PeerProcess, SettleRequest)> = {
        let mut state = node.quotas_of(kind).state();
        let Some(limiter) = &mut state.limiter else {
            return;
        };
        let due = limiter.due_settlements(now).into_iter();
        let calls = due.map(|(group, coordinator)| {
            let call = limiter.settle_request(&group, &coordinator, now);
            (group, coordinator, call)
        });
        calls.collect()
    };
    for (group, coordinator, call) in calls {
        tokio::spawn(settle(node.clone(), kind, group, coordinator, call));
    }
}

/// Calls the coordinator of `group`, whether it is due or not.
pub(crate) fn notify_coordinator(node: &Arc<Node>, kind: QuotaKind, group: Name) {
    let now = node.now();
    let mut current = coordinators(node, kind, std::slice::from_ref(&group));
    let Some(coordinator) = current
        .by_group
        .remove(&group)
        .filter(|h| *h != own_process(node))
    else {
        return;
    };
    let call = {
        let mut state = node.quotas_of(kind).state();
        let Some(limiter) = &mut state.limiter else {
            return;
        };
        limiter.settle_request(&group, &coordinator, now)
    };
    tokio::spawn(settle(node.clone(), kind, group, coordinator, call));
}

async fn settle(
    node: Arc<Node>,
    kind: QuotaKind,
    group: Name,
    coordinator: PeerProcess,
    call: SettleRequest,
) {
    let reply = match node.fleet.client(&coordinator.peer_addr) {
        Some(mut client) => {
            // A call about targets includes the notices that they sent to this daemon.
            let words = match kind {
                QuotaKind::Workspaces => Vec::new(),
                QuotaKind::Targets => outbound::own_notices(&node, &call.group),
            };
            let call = wire::call(kind, &call, words);
            let answer = client.settle(node.metrics.peer_sent(Kind::Quotas, call));
            tokio::time::timeout(CALL_TIMEOUT, answer).await
        }
        None => Ok(Err(tonic::Status::unavailable("the home is not known"))),
    };
    let (reply, ended) = match reply {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            outbound::merge_notices(&node, &reply.words, "home");
            (Some(wire::from_reply(reply)), false)
        }
        Ok(Err(status)) => {
            log::debug!(target: "caps", peer:% = coordinator.peer_addr, group:%, error:% = status.message(); "quota coordinator unreachable");
            (None, connection_refused(&status))
        }
        Err(_) => {
            log::debug!(target: "caps", peer:% = coordinator.peer_addr, group:%; "quota coordinator did not answer in time");
            (None, false)
        }
    };
    let now = node.now();
    let quotas = node.quotas_of(kind);
    if let Some(limiter) = &mut quotas.state().limiter {
        limiter.handle_reply(&group, &coordinator, reply.as_ref(), now);
        if ended {
            limiter.process_ended(&coordinator, now);
        }
    }
    quotas.answered.notify_waiters();
}

/// Whether the connection was refused: nothing listens there, so the process
/// has ended.
fn connection_refused(status: &tonic::Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(e) = cause {
        let io = e.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = e.source();
    }
    false
}
