//! The members of the fleet as this daemon last read them.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_protocol::Map;
use serde::{Deserialize, Serialize};

/// A member row.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) domain: String,
    pub(crate) address: String,
    pub(crate) leaving: bool,
    /// Random id of the process, so that a restart shows as a change.
    pub(crate) boot: u64,
    /// Heartbeats that this process has written.
    pub(crate) beat: u64,
}

/// A member as this daemon last read it.
struct ObservedMember {
    member: Member,
    /// When the row last changed, by this daemon's monotonic clock.
    changed_at: Instant,
}

/// All members that this daemon has read.
#[derive(Default)]
pub(crate) struct Members {
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) boot: u64,
    pub(super) beat: u64,
    observed: Map<String, ObservedMember>,
    /// Ids that the platform lists as draining.
    pub(super) leaving: Vec<String>,
    /// Time of the last successful scan.
    last_scan: Option<Instant>,
}

impl Members {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Records the rows of a scan made at `now`.
    pub(super) fn record_scan(&self, rows: Vec<Member>, now: Instant, lease: Duration) {
        let mut state = self.state();
        let last = state.last_scan.replace(now);
        let after_gap =
            last.is_some_and(|previous| now.saturating_duration_since(previous) >= lease);
        state
            .observed
            .retain(|id, _| rows.iter().any(|member| member.id == *id));
        for member in rows {
            let changed_at = match state.observed.get(&member.id) {
                Some(old) if old.member == member && !after_gap => old.changed_at,
                _ => now,
            };
            state
                .observed
                .insert(member.id.clone(), ObservedMember { member, changed_at });
        }
    }

    /// Live members that are not draining, as of the last scan.
    pub(super) fn live(&self, lease: Duration) -> Vec<Member> {
        let state = self.state();
        let Some(last_scan) = state.last_scan else {
            return Vec::new();
        };
        let is_live =
            |entry: &&ObservedMember| last_scan.saturating_duration_since(entry.changed_at) < lease;
        let accepts_requests =
            |member: &Member| !member.leaving && !state.leaving.contains(&member.id);
        let live = state
            .observed
            .values()
            .filter(is_live)
            .map(|entry| &entry.member);
        live.filter(|member| accepts_requests(member))
            .cloned()
            .collect()
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
