//! The task that keeps the limiters up to date and settles with the coordinators.

use std::{sync::Arc, time::Duration};

use super::{
    refresh,
    settle::{coordinators, settle_due},
    state::{QuotaKind, Quotas},
};
use crate::{node::Node, outbound};

/// Interval between checks which coordinators are due.
const POLL: Duration = Duration::from_millis(100);

/// Starts the settlement task.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            outbound::sweep(&node);
            for kind in [QuotaKind::Workspaces, QuotaKind::Targets] {
                refresh(&node, kind);
                let quotas = node.quotas_of(kind);
                if quotas.in_use() {
                    refresh_members(&node, quotas);
                    report(&node, quotas);
                    settle_due(&node, kind);
                }
            }
            tokio::select! {
                () = node.changed.notified() => {}
                () = tokio::time::sleep(POLL) => {}
            }
        }
    });
}

/// Logs and counts what this daemon does as a coordinator.
fn report(node: &Node, quotas: &Quotas) {
    let Some(report) = quotas.state().limiter.as_mut().map(|l| l.take_report()) else {
        return;
    };
    if quotas.kind != QuotaKind::Workspaces {
        return;
    }
    for (group, start) in report.starts {
        // Whether it lends what nobody lent before, or starts with nothing.
        let how = match start.unlent_s > 0.0 {
            true => "known",
            false => "bounded",
        };
        node.metrics.quota_start(how);
        let (lends, unlent_ms) = (
            (start.share * 100.0) as u64,
            (start.unlent_s * 1_000.0) as u64,
        );
        log::info!(target: "caps", group:%, how, lends, unlent_ms; "lending");
    }
    node.metrics.quota_credit(report.granted, report.held);
}

fn refresh_members(node: &Node, quotas: &Quotas) {
    let groups = quotas.state().groups.clone();
    let current = coordinators(node, quotas.kind, &groups);
    let now = node.now();
    if let Some(limiter) = &mut quotas.state().limiter {
        limiter.update_fleet(&current.by_group, current.fleet, now);
    }
}
