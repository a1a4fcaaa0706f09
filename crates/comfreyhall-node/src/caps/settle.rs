//! Settling with the homes of workspaces.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Map, Name};
use comfreyhall_workspace::{FleetView, PeerProcess, SettleRequest};

use super::{QuotaKind, Quotas, me, refresh, wire};
use crate::{leases, node::Node, outbound};

/// Pause between looks at which homes are due.
const LOOK: Duration = Duration::from_millis(100);

/// Longest one call may take: requests wait for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence of the store, also through others, after which there may be daemons
/// that nobody in hearing has heard of, in ms.
const STALE_MS: u64 = 10_000;

/// Starts the duty.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            outbound::sweep(&node);
            for of in [QuotaKind::Workspaces, QuotaKind::Targets] {
                refresh(&node, of);
                let caps = node.quotas_of(of);
                if caps.in_use() {
                    meet(&node, caps);
                    settle_due(&node, of);
                }
            }
            tokio::select! {
                () = node.changed.notified() => {}
                () = tokio::time::sleep(LOOK) => {}
            }
        }
    });
}

/// Who is there, as the meter is told.
pub(super) struct Met {
    pub(super) homes: Map<Name, PeerProcess>,
    pub(super) fleet: FleetView,
}

fn meet(node: &Node, caps: &Quotas) {
    let groups = caps.state().groups.clone();
    let met = homes(node, caps.of, &groups);
    let now = node.now();
    if let Some(meter) = &mut caps.state().meter {
        meter.update_fleet(&met.homes, met.fleet, now);
    }
}

/// The homes of `groups`: the holder of a group's lease, and while none is
/// known, the daemon that comes first for the group.
///
/// Limits of targets rest on there being one home at a time, so where there are
/// leases nobody stands in for their holders.
pub(super) fn homes(node: &Node, of: QuotaKind, groups: &[Name]) -> Met {
    let now = node.now();
    let stands_in = of == QuotaKind::Workspaces || leases::groups(node).is_empty();
    let first = |group: &Name| match node.fleet.first_for(group, now) {
        Some(peer) => Some(peer),
        None => (of == QuotaKind::Targets).then(|| node.fleet.peer_addr().into()),
    };
    let home = |group: &Name| match node.token(group) {
        Some(_) => Some(me(node)),
        None => {
            let peer = node.fleet.holder(group, now);
            let peer = peer.or_else(|| first(group).filter(|_| stands_in))?;
            if *peer == *node.fleet.peer_addr() {
                return Some(me(node));
            }
            let boot = node.fleet.boot_of(&peer)?;
            Some(PeerProcess {
                peer_addr: peer,
                boot,
            })
        }
    };
    let homes = groups.iter().filter_map(|g| Some((g.clone(), home(g)?)));
    let homes = homes.collect();
    let members = node.fleet.members(now);
    let stale = node.view().records.settings_sync.age_ms(now) > STALE_MS;
    Met {
        homes,
        fleet: FleetView {
            members: members.unwrap_or(0),
            confirmed: members.is_some(),
            stale,
        },
    }
}

/// Calls the homes that are due.
pub(super) fn settle_due(node: &Arc<Node>, of: QuotaKind) {
    let now = node.now();
    let calls: Vec<(Name, PeerProcess, SettleRequest)> = {
        let mut state = node.quotas_of(of).state();
        let Some(meter) = &mut state.meter else {
            return;
        };
        let due = meter.due_settlements(now).into_iter();
        let calls = due.map(|(group, home)| {
            let call = meter.settle_request(&group, &home, now);
            (group, home, call)
        });
        calls.collect()
    };
    for (group, home, call) in calls {
        tokio::spawn(settle(node.clone(), of, group, home, call));
    }
}

/// Calls the home of `group`, whether or not it is due.
pub(crate) fn notify_coordinator(node: &Arc<Node>, of: QuotaKind, group: Name) {
    let now = node.now();
    let mut met = homes(node, of, std::slice::from_ref(&group));
    let Some(home) = met.homes.remove(&group).filter(|h| *h != me(node)) else {
        return;
    };
    let call = {
        let mut state = node.quotas_of(of).state();
        let Some(meter) = &mut state.meter else {
            return;
        };
        meter.settle_request(&group, &home, now)
    };
    tokio::spawn(settle(node.clone(), of, group, home, call));
}

async fn settle(
    node: Arc<Node>,
    of: QuotaKind,
    group: Name,
    home: PeerProcess,
    call: SettleRequest,
) {
    let reply = match node.fleet.client(&home.peer_addr) {
        Some(mut client) => {
            let answer = client.settle(wire::call(&node, of, &call));
            tokio::time::timeout(CALL_TIMEOUT, answer).await
        }
        None => Ok(Err(tonic::Status::unavailable("the home is not known"))),
    };
    let (reply, ended) = match reply {
        Ok(Ok(reply)) => (Some(wire::from_reply(&node, reply.into_inner())), false),
        Ok(Err(status)) => {
            log::debug!(target: "caps", peer:% = home.peer_addr, group:%, error:% = status.message(); "home not reached");
            (None, refused(&status))
        }
        Err(_) => {
            log::debug!(target: "caps", peer:% = home.peer_addr, group:%; "home silent");
            (None, false)
        }
    };
    let now = node.now();
    let caps = node.quotas_of(of);
    if let Some(meter) = &mut caps.state().meter {
        meter.handle_reply(&group, &home, reply.as_ref(), now);
        if ended {
            meter.process_ended(&home);
        }
    }
    caps.settled.notify_waiters();
}

/// Whether nothing listens there any more: the process has ended.
fn refused(status: &tonic::Status) -> bool {
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
