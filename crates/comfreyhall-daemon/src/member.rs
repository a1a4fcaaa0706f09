//! Membership: heartbeats in the table service and the address answer.
//!
//! Each daemon writes its own row `member/<id>` every heartbeat period with
//! its address, domain, whether it is leaving, and a count of its beats.
//! Every daemon reads all rows once per period and answers callers from
//! that copy, so the table's load does not grow with the callers.
//!
//! What can go wrong, and what prevents it:
//!
//! - Clocks differ between machines, so a beat time written by one machine
//!   says little to another. A member is live while its count moved within
//!   the lease by the reader's own steady clock.
//! - The table is down: nobody's count moves, and everyone would look dead.
//!   Counts are only judged by scans that succeeded; between them the last
//!   answer stands, and the first scan after a gap starts every lease anew.
//! - An instance leaves: its own row says so at once, and the platform's
//!   list says so some time later, even if it could not write its row.
//!   Either is enough to hand it out no more.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_catalog::{CatalogError, Rows, put};
use comfreyhall_life::{Event, Stage};
use comfreyhall_protocol::{ListQuery, Map, api::Addresses};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::app::App;

/// Longest a read of the platform's instance list may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// What a member row holds.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) domain: String,
    pub(crate) address: String,
    pub(crate) leaving: bool,
    /// Random id of the process, so a restart shows as a change.
    pub(crate) boot: u64,
    /// Beats this process has written.
    pub(crate) beat: u64,
}

/// A member as this daemon last saw it.
struct Seen {
    member: Member,
    /// When the row last changed, by our steady clock.
    moved: Instant,
}

/// Everyone this daemon has seen.
#[derive(Default)]
pub(crate) struct Members {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    boot: u64,
    beat: u64,
    seen: Map<String, Seen>,
    /// Ids the platform lists as leaving.
    leaving: Vec<String>,
    /// Time of the last scan that succeeded.
    scanned: Option<Instant>,
}

impl Members {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Takes over the rows of a scan made at `now`.
    fn observe(&self, rows: Vec<Member>, now: Instant, lease: Duration) {
        let mut state = self.state();
        let last = state.scanned.replace(now);
        let gap = last.is_some_and(|t| now.saturating_duration_since(t) >= lease);
        state.seen.retain(|id, _| rows.iter().any(|m| m.id == *id));
        for member in rows {
            let moved = match state.seen.get(&member.id) {
                Some(old) if old.member == member && !gap => old.moved,
                _ => now,
            };
            state.seen.insert(member.id.clone(), Seen { member, moved });
        }
    }

    /// Live members that are not leaving, as of the last scan.
    fn live(&self, lease: Duration) -> Vec<Member> {
        let state = self.state();
        let Some(scanned) = state.scanned else {
            return Vec::new();
        };
        let fresh = |s: &&Seen| scanned.saturating_duration_since(s.moved) < lease;
        let staying = |m: &Member| !m.leaving && !state.leaving.contains(&m.id);
        let live = state.seen.values().filter(fresh).map(|s| &s.member);
        live.filter(|m| staying(m)).cloned().collect()
    }
}

/// Writes this instance's member row once.
pub(crate) async fn beat(app: &App) -> Result<(), CatalogError> {
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
            leaving: app.leaving(),
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
        .filter_map(|r| serde_json::from_slice(&r.value).ok())
        .collect();
    let lease = Duration::from_millis(app.inner.settings.tuning.lease_ms);
    app.inner.members.observe(members, Instant::now(), lease);
    Ok(())
}

/// Reads the platform's list; an instance that finds itself there as
/// leaving starts its planned stop.
async fn list(app: &App) {
    let mut client = app.inner.listing.clone();
    let answer = tokio::time::timeout(LIST_TIMEOUT, client.list(ListQuery {})).await;
    let Ok(Ok(reply)) = answer else { return };
    let reply = reply.into_inner();
    app.inner.counters.control(0, reply.encoded_len());
    let leaving: Vec<String> = reply
        .instances
        .into_iter()
        .filter(|i| i.leaving)
        .map(|i| i.id)
        .collect();
    let ours = leaving.iter().any(|id| **id == *app.instance.id);
    app.inner.members.state().leaving = leaving;
    if ours && !app.leaving() {
        log::info!(target: "member", "the platform lists this instance as leaving");
        app.inner.life.handle(Event::Stop);
    }
}

/// Starts the heartbeat and scan tasks.
///
/// They are apart because a write that hangs must not keep this daemon from
/// seeing who else left.
pub(crate) fn spawn(app: &App) {
    let period = Duration::from_millis(app.inner.settings.tuning.heartbeat_ms);
    let beats = app.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            if beats.inner.life.stage() == Stage::Starting {
                continue;
            }
            if let Err(e) = beat(&beats).await {
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
            list(&scans).await;
            if let Err(e) = scan(&scans).await {
                log::warn!(target: "member", "member list not read: {e}");
            }
        }
    });
}

/// The live, not leaving members, those in `domain` first.
pub(crate) fn addresses(app: &App, domain: Option<&str>) -> Addresses {
    let tuning = &app.inner.settings.tuning;
    let mut live = app
        .inner
        .members
        .live(Duration::from_millis(tuning.lease_ms));
    // Before the first scan, hand out at least this instance if it serves.
    if live.is_empty() && app.inner.life.stage() == Stage::Serving {
        return Addresses {
            addresses: vec![app.instance.listen.clone()],
            ttl_ms: tuning.address_ttl_ms,
        };
    }
    live.retain(|m| *m.id != *app.instance.id || !app.leaving());
    live.sort_by_key(|m| (Some(m.domain.as_str()) != domain, m.id.clone()));
    Addresses {
        addresses: live.into_iter().map(|m| m.address).collect(),
        ttl_ms: tuning.address_ttl_ms,
    }
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
