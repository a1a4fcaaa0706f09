//! Membership: heartbeats in the table service and the address answer.
//!
//! Each daemon writes its own row `member/<id>` every heartbeat period with
//! its address, domain, whether it is leaving, and the wall-clock time of
//! the beat. A reader counts a member live while its last beat is younger
//! than the lease. Only the owner writes its row, so no write conflicts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfreyhall_protocol::{Put, api::Addresses};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::app::App;

/// What a member row holds.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) domain: String,
    pub(crate) address: String,
    pub(crate) leaving: bool,
    /// Wall-clock time of the beat, ms since the Unix epoch.
    pub(crate) beat_ms: u64,
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Writes this instance's member row once.
pub(crate) async fn beat(app: &App) {
    let row = Member {
        id: app.instance.id.to_string(),
        domain: app.instance.domain.to_string(),
        address: app.instance.listen.clone(),
        leaving: app.leaving(),
        beat_ms: wall_ms(),
    };
    let put = Put {
        key: format!("member/{}", row.id),
        value: serde_json::to_vec(&row).expect("member rows serialise"),
        delete: false,
    };
    let sent = put.encoded_len() + 2;
    app.inner.counters.control(sent, 4);
    if let Err(e) = app.inner.table.commit(Vec::new(), vec![put]).await {
        log::warn!(target: "member", "heartbeat not written: {e}");
    }
}

/// Starts the heartbeat task.
pub(crate) fn spawn_heartbeat(app: &App) {
    let app = app.clone();
    let period = Duration::from_millis(app.inner.settings.tuning.heartbeat_ms);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(period);
        loop {
            tick.tick().await;
            beat(&app).await;
        }
    });
}

/// The live, not leaving members, those in `domain` first.
pub(crate) async fn addresses(app: &App, domain: Option<&str>) -> Addresses {
    let ttl_ms = app.inner.settings.tuning.address_ttl_ms;
    let lease = app.inner.settings.tuning.lease_ms;
    let now = wall_ms();
    let rows = match app.inner.table.scan("member/", 0).await {
        Ok(rows) => {
            let received: usize = rows.iter().map(|r| r.encoded_len() + 2).sum();
            app.inner.counters.control(9, received);
            rows
        }
        Err(e) => {
            log::warn!(target: "member", "member list not read: {e}");
            Vec::new()
        }
    };
    let mut live: Vec<Member> = rows
        .iter()
        .filter_map(|r| serde_json::from_slice::<Member>(&r.value).ok())
        .filter(|m| !m.leaving && now.saturating_sub(m.beat_ms) < lease)
        .collect();
    // With the table down, hand out at least this instance while it serves.
    if live.is_empty() && !app.leaving() {
        live.push(Member {
            id: app.instance.id.to_string(),
            domain: app.instance.domain.to_string(),
            address: app.instance.listen.clone(),
            leaving: false,
            beat_ms: now,
        });
    }
    live.sort_by_key(|m| (Some(m.domain.as_str()) != domain, m.id.clone()));
    Addresses {
        addresses: live.into_iter().map(|m| m.address).collect(),
        ttl_ms,
    }
}
