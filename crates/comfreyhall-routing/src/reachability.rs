//! Whether this daemon reaches any target at all.
//!
//! A daemon may lose its paths to all targets while callers, the store and other
//! daemons still reach it. Its own evidence are the targets that it failed to reach
//! since one last answered. One unresponsive target proves nothing, and neither does a
//! moment without an answer.

use comfreyhall_domain::{Map, Name};

/// Different targets that have to fail in a row.
const MIN_TARGETS: usize = 3;

/// Time without an answer from any target before a daemon counts as isolated, in ms.
const SILENCE_MS: u64 = 400;

/// Time after which a failure is no evidence any more, in ms, if it is not repeated.
const EVIDENCE_MS: u64 = 5_000;

/// Contacts with targets.
#[derive(Debug, Default)]
pub struct Reachability {
    /// When a target last answered, or the daemon started.
    last_answer_ms: u64,
    /// Targets that could not be reached since then, and when.
    failures: Map<Name, u64>,
    isolated_since: Option<u64>,
}

/// A change of whether the daemon is isolated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReachChange {
    /// It reaches no target; these failed.
    Isolated(Vec<Name>),
    /// It reaches targets again, after so many ms.
    Restored(u64),
}

impl Reachability {
    /// That of a daemon that starts at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            last_answer_ms: now,
            ..Self::default()
        }
    }

    /// A target answered.
    pub fn record_answer(&mut self, now: u64) -> Option<ReachChange> {
        self.last_answer_ms = now;
        self.failures.clear();
        let since = self.isolated_since.take()?;
        Some(ReachChange::Restored(now.saturating_sub(since)))
    }

    /// `target` could not be reached; `targets` are known.
    pub fn record_failure(
        &mut self,
        target: &Name,
        targets: usize,
        now: u64,
    ) -> Option<ReachChange> {
        self.failures.insert(target.clone(), now);
        self.failures.retain(|_, at| now - *at <= EVIDENCE_MS);
        let silent = now.saturating_sub(self.last_answer_ms) >= SILENCE_MS;
        let enough = self.failures.len() >= MIN_TARGETS.min(targets.max(2));
        if self.isolated_since.is_some() || !silent || !enough {
            return None;
        }
        self.isolated_since = Some(now);
        Some(ReachChange::Isolated(
            self.failures.keys().cloned().collect(),
        ))
    }

    /// Since when it reaches no target.
    pub fn isolated_since(&self) -> Option<u64> {
        self.isolated_since
    }
}
