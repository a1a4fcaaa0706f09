//! Which targets this daemon reaches, each by itself.
//!
//! A connection that cannot be opened has its target probed at once. Two failures in a row
//! make the target lost to this daemon. It sends nothing there until a probe finds the
//! target again, so that no request waits for a path that is known to be cut. A lost target
//! may be alive all the same, and reached by other daemons.

use comfreyhall_domain::{Map, Name};

/// Failures in a row that make a target lost.
const MIN_FAILURES: u32 = 2;

/// Pause after the first probe of a target, in ms; it doubles with each one.
const FIRST_PROBE_PAUSE_MS: u64 = 250;

/// Longest pause between two probes of a lost target, in ms.
const MAX_PROBE_PAUSE_MS: u64 = 1_000;

/// Probes that are due at once: a daemon may lose thousands of targets together.
const MAX_DUE_PROBES: usize = 24;

/// What is known of a target since it last answered.
#[derive(Debug)]
struct Failure {
    count: u32,
    /// When it is to be probed.
    probe_at_ms: u64,
    pause_ms: u64,
    /// Whether its controller asks it for reports, which makes probes superfluous.
    watched: bool,
}

impl Failure {
    fn new(now: u64) -> Self {
        Self {
            count: 0,
            probe_at_ms: now,
            pause_ms: FIRST_PROBE_PAUSE_MS,
            watched: false,
        }
    }

    fn is_lost(&self) -> bool {
        self.count >= MIN_FAILURES
    }
}

/// Contacts with single targets.
#[derive(Debug, Default)]
pub struct Contacts {
    failures: Map<Name, Failure>,
}

impl Contacts {
    /// Records that `target` answered.
    pub fn record_answer(&mut self, target: &str) {
        self.failures.remove(target);
    }

    /// Records that no connection to `target` could be opened.
    pub fn record_failure(&mut self, target: &Name, now: u64) {
        let failure = self
            .failures
            .entry(target.clone())
            .or_insert_with(|| Failure::new(now));
        failure.count = failure.count.saturating_add(1);
    }

    /// Records that a probe of `target` failed: evidence only against one that has failed
    /// before.
    pub fn record_failed_probe(&mut self, target: &str) {
        if let Some(failure) = self.failures.get_mut(target) {
            failure.count = failure.count.saturating_add(1);
        }
    }

    /// Records that `target` did not answer several calls of its controller, which goes
    /// on asking it.
    pub fn record_lost(&mut self, target: &Name, now: u64) {
        self.record_failure(target, now);
        if let Some(failure) = self.failures.get_mut(target) {
            failure.count = failure.count.max(MIN_FAILURES);
            failure.watched = true;
        }
    }

    /// Records that the controller of `target` has ended.
    pub fn end_watch(&mut self, target: &str) {
        if let Some(failure) = self.failures.get_mut(target) {
            failure.watched = false;
        }
    }

    /// Whether `target` has failed since it last answered.
    pub fn has_failed(&self, target: &str) -> bool {
        self.failures.contains_key(target)
    }

    /// Whether `target` is lost to this daemon.
    pub fn is_lost(&self, target: &str) -> bool {
        self.failures.get(target).is_some_and(Failure::is_lost)
    }

    /// Lost targets.
    pub fn lost(&self) -> impl Iterator<Item = &Name> {
        self.failures
            .iter()
            .filter(|(_, f)| f.is_lost())
            .map(|(target, _)| target)
    }

    /// Whether no target is lost.
    pub fn reaches_all(&self) -> bool {
        self.lost().next().is_none()
    }

    /// Targets that are to be probed now; sets when they are due again.
    pub fn take_due_probes(&mut self, now: u64) -> Vec<Name> {
        let due = self.failures.iter_mut();
        let due = due.filter(|(_, f)| !f.watched && now >= f.probe_at_ms);
        due.take(MAX_DUE_PROBES)
            .map(|(target, failure)| {
                failure.probe_at_ms = now + failure.pause_ms;
                failure.pause_ms = (2 * failure.pause_ms).min(MAX_PROBE_PAUSE_MS);
                target.clone()
            })
            .collect()
    }

    /// Drops targets that are not `known` any more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.failures.retain(|target, _| known(target));
    }
}

#[cfg(test)]
mod tests;
