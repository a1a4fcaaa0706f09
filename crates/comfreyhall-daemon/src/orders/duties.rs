//! The lease on load commands, and the reports of demand to its holder.

use std::time::{Duration, Instant};

use comfreyhall_lease::LeaseStatus;
use comfreyhall_life::Stage;
use comfreyhall_protocol::DemandReport;
use prost::Message;

use crate::app::App;

/// How often demand is reported to the lease holder.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Runs of the lease task per lease term.
const STEPS_PER_TERM: u32 = 4;

/// Starts the task that acquires, renews or watches the lease on load commands.
pub(crate) fn spawn(app: &App) {
    let app = app.clone();
    let term = lease_term(&app);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(term / STEPS_PER_TERM);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut was_held = false;
        loop {
            tick.tick().await;
            let lease = &app.inner.lease;
            let should_hold = app.inner.lifecycle.stage() == Stage::Serving;
            let step = async {
                match should_hold || !was_held {
                    true => lease.step(Instant::now, should_hold).await,
                    false => lease.release().await,
                }
            };
            if let Ok(Err(e)) = tokio::time::timeout(term / 2, step).await {
                log::debug!(target: "orders", "lease not renewed: {e}");
            }
            let token = lease.token(Instant::now());
            if token.is_some() != was_held {
                was_held = token.is_some();
                match token {
                    Some(token) => {
                        log::info!(target: "orders", "holding the lease under token {token}")
                    }
                    None => log::info!(target: "orders", "no longer holding the lease"),
                }
            }
        }
    });
}

/// Starts the task that reports demand to the lease holder.
///
/// The holder decides which adapters stay resident, but requests that other
/// daemons serve from resident adapters never reach it. Without these reports
/// it treats the adapters in steadiest use elsewhere as cold and evicts them.
pub(crate) fn spawn_reports(app: &App) {
    let app = app.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(REPORT_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let demands = app.inner.demand.drain();
            if demands.is_empty() {
                continue;
            }
            if let LeaseStatus::HeldByOther(holder) = app.inner.lease.status(Instant::now())
                && let Some(peer) = app.inner.peers.get(&holder)
            {
                let report = DemandReport { demands };
                app.inner.counters.count_control(report.encoded_len(), 0);
                let mut peer = peer.clone();
                let _ = tokio::time::timeout(REPORT_PERIOD, peer.report(report)).await;
            }
        }
    });
}

/// Adds a peer's demand report to the placement policy.
pub(crate) fn record_demand(app: &App, report: DemandReport) {
    let now = app.now_ms();
    let mut policy = app.policy();
    for demand in report.demands {
        policy.record_requests(&demand.key, demand.requests, now);
    }
}

pub(super) fn lease_term(app: &App) -> Duration {
    Duration::from_millis(app.inner.settings.tuning.lease_ms)
}
