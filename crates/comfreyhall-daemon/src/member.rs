//! Membership: heartbeats in the table service, and the addresses given to
//! callers.
//!
//! Each daemon writes its own row `member/<id>` once per heartbeat period, with
//! its address, its failure domain, whether it is draining, and a heartbeat
//! count. Every daemon reads all rows once per period and answers callers from
//! that copy, so the table's load does not grow with the number of callers.
//!
//! Failure cases and what prevents them:
//!
//! - Clocks differ between machines, so a timestamp written by one machine is
//!   of little use to another. A member is live while its count changed within
//!   the lease by the reader's own monotonic clock.
//! - While the table is down no count changes, and every member would seem
//!   to have crashed. Members are judged only by scans that succeeded. Between scans the
//!   last answer stands, and the first scan after a gap restarts every lease.
//! - An instance is draining: its own row says so at once, and the platform's
//!   instance list says so some time later, even if the instance could not
//!   write its row. Either is enough to stop giving out its address.

pub(crate) mod list;

use std::time::{Duration, Instant};

use comfreyhall_catalog::{CatalogError, Rows, put};
use comfreyhall_life::{Event, Stage};
use comfreyhall_protocol::{ListQuery, api::Addresses};
use prost::Message;

use self::list::Member;
use crate::app::App;

/// Timeout of a read of the platform's instance list.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes this instance's member row once.
pub(crate) async fn write_heartbeat(app: &App) -> Result<(), CatalogError> {
    let row = {
        let mut state = app.inner.members.state();
        if state.boot == 0 {
            state.boot = rand::random();
        }
        state.beat += 1;
        Member {
            id: app.instance.id.to_string(),
            domain: app.instance.domain.to_string(),
            address: app.instance.listen.clone(),
            leaving: app.is_draining(),
            boot: state.boot,
            beat: state.beat,
        }
    };
    let value = serde_json::to_vec(&row).expect("member rows serialise");
    let put = put(&format!("member/{}", row.id), value);
    app.inner.table.commit(Vec::new(), vec![put]).await?;
    Ok(())
}

/// Reads every member row once.
async fn scan(app: &App) -> Result<(), CatalogError> {
    let rows = app.inner.table.scan("member/", "", 0).await?;
    let members = rows
        .iter()
        .filter_map(|row| serde_json::from_slice(&row.value).ok())
        .collect();
    let lease = Duration::from_millis(app.inner.settings.tuning.lease_ms);
    app.inner
        .members
        .record_scan(members, Instant::now(), lease);
    Ok(())
}

/// Reads the platform's instance list. An instance that is listed there as
/// draining starts its planned stop.
async fn poll_instance_list(app: &App) {
    let mut client = app.inner.instance_list.clone();
    let answer = tokio::time::timeout(LIST_TIMEOUT, client.list(ListQuery {})).await;
    let Ok(Ok(reply)) = answer else { return };
    let reply = reply.into_inner();
    app.inner.counters.count_control(0, reply.encoded_len());
    let leaving: Vec<String> = reply
        .instances
        .into_iter()
        .filter(|instance| instance.leaving)
        .map(|instance| instance.id)
        .collect();
    let includes_us = leaving.iter().any(|id| **id == *app.instance.id);
    app.inner.members.state().leaving = leaving;
    if includes_us && !app.is_draining() {
        log::info!(target: "member", "the platform lists this instance as leaving");
        app.inner.lifecycle.handle(Event::Stop);
    }
}

/// Starts the heartbeat and scan tasks.
///
/// They are separate because a write that hangs must not keep this daemon from
/// noticing that others have left.
pub(crate) fn spawn(app: &App) {
    let period = Duration::from_millis(app.inner.settings.tuning.heartbeat_ms);
    let heartbeats = app.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            if heartbeats.inner.lifecycle.stage() == Stage::Starting {
                continue;
            }
            if let Err(e) = write_heartbeat(&heartbeats).await {
                log::warn!(target: "member", "heartbeat not written: {e}");
            }
        }
    });
    let scans = app.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            poll_instance_list(&scans).await;
            if let Err(e) = scan(&scans).await {
                log::warn!(target: "member", "member list not read: {e}");
            }
        }
    });
}

/// Addresses of the live members that are not draining, those in `domain`
/// first.
pub(crate) fn addresses(app: &App, domain: Option<&str>) -> Addresses {
    let tuning = &app.inner.settings.tuning;
    let mut live = app
        .inner
        .members
        .live(Duration::from_millis(tuning.lease_ms));
    // Before the first scan, give out at least this instance if it serves.
    if live.is_empty() && app.inner.lifecycle.stage() == Stage::Serving {
        return Addresses {
            addresses: vec![app.instance.listen.clone()],
            ttl_ms: tuning.address_ttl_ms,
        };
    }
    live.retain(|member| *member.id != *app.instance.id || !app.is_draining());
    live.sort_by_key(|member| (Some(member.domain.as_str()) != domain, member.id.clone()));
    Addresses {
        addresses: live.into_iter().map(|member| member.address).collect(),
        ttl_ms: tuning.address_ttl_ms,
    }
}
