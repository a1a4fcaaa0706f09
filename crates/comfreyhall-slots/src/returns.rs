//! Return times given to rejected callers.
//!
//! Callers that are rejected together and return together meet the same
//! shortage again. So return times are spread at the pace at which slots become
//! free, and a caller that returns at its time is served before new ones of its
//! share and priority.

use comfreyhall_protocol::Map;

/// Return times kept at most; further callers get an estimate only.
const MAX_PROMISES: usize = 1_024;

/// Earliest return time, in ms from now: a caller that comes sooner meets the
/// same requests again.
const MIN_RETURN_MS: u64 = 100;

/// How much earlier than its time a caller may return, in ms: clocks and links
/// differ by some ms.
const EARLY_MS: u64 = 50;

/// How long a return time is kept after it has passed, in ms. A caller
/// that comes later has other reasons than the wait.
const KEEP_MS: u64 = 2_000;

/// A return time.
#[derive(Debug, Clone, Copy)]
struct Promise {
    priority: u32,
    at_ms: u64,
}

/// Return times by identity of the request.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    promises: Map<u64, Promise>,
}

impl ReturnSchedule {
    /// Gives the request `identity` a return time, `earliest_ms` from now or
    /// after the callers before it of the same or a more urgent priority;
    /// returns the ms until then, at most `latest_ms`.
    pub fn promise(
        &mut self,
        identity: u64,
        priority: u32,
        (earliest_ms, latest_ms): (u64, u64),
        interval_ms: f64,
        now: u64,
    ) -> u64 {
        self.promises.retain(|_, p| now < p.at_ms + KEEP_MS);
        self.promises.remove(&identity);
        let earliest_ms = earliest_ms.max(MIN_RETURN_MS).min(latest_ms);
        let first_ms = now + earliest_ms;
        let is_before = |p: &&Promise| p.priority <= priority && p.at_ms >= first_ms;
        let before = self.promises.values().filter(is_before).count();
        let wait_ms = earliest_ms + (interval_ms * before as f64) as u64;
        let wait_ms = wait_ms.min(latest_ms);
        if identity != 0 && self.promises.len() < MAX_PROMISES {
            let at_ms = now + wait_ms;
            self.promises.insert(identity, Promise { priority, at_ms });
        }
        wait_ms
    }

    /// Whether `identity` has a return time that has come.
    pub fn is_due(&self, identity: u64, now: u64) -> bool {
        let promise = self.promises.get(&identity);
        promise.is_some_and(|p| now + EARLY_MS >= p.at_ms && now < p.at_ms + KEEP_MS)
    }

    /// Forgets the return time of `identity`, which waits again.
    pub fn remove(&mut self, identity: u64) {
        self.promises.remove(&identity);
    }

    /// Return times that are kept.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
