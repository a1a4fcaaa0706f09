//! Rate limits for log lines that may come by the thousand.
//!
//! A caller over its quota is refused hundreds of times a second, and each line
//! costs a small daemon processor time that requests need. So each kind of line
//! is limited per second, and the next line says how many were left out.

use std::sync::Mutex;

/// Maximum number of lines of one kind per second.
const MAX_LINES: u32 = 20;

const WINDOW_MS: u64 = 1_000;

/// Limits one kind of line.
#[derive(Debug, Default)]
pub(crate) struct LineLimiter(Mutex<Window>);

#[derive(Debug, Default)]
struct Window {
    began: u64,
    written: u32,
    left_out: u64,
}

impl LineLimiter {
    /// Whether a line may be written at `now`; returns how many were left out
    /// before it.
    pub(crate) fn take(&self, now: u64) -> Option<u64> {
        let mut window = self.0.lock().expect("no holder of this lock panics");
        if now.saturating_sub(window.began) >= WINDOW_MS {
            window.began = now;
            window.written = 0;
        }
        if window.written >= MAX_LINES {
            window.left_out += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.left_out))
    }

    /// How many lines were left out since the last one.
    pub(crate) fn take_left_out(&self) -> u64 {
        let mut window = self.0.lock().expect("no holder of this lock panics");
        std::mem::take(&mut window.left_out)
    }
}

/// One limiter for each kind of frequent line.
#[derive(Debug, Default)]
pub(crate) struct LogLimits {
    /// Requests without a route or with an unknown key.
    pub(crate) rejected: LineLimiter,
    /// Requests over a quota.
    pub(crate) over_quota: LineLimiter,
    /// Requests for which no target takes work.
    pub(crate) unavailable: LineLimiter,
    /// Requests that get no slot in time.
    pub(crate) no_slot: LineLimiter,
    /// Responses in which a target announces something invalid.
    pub(crate) bad_notice: LineLimiter,
    /// Requests under which a target ended.
    pub(crate) suspect: LineLimiter,
    /// Records of streams that a daemon did not receive.
    pub(crate) stream_records: LineLimiter,
}

#[cfg(test)]
mod tests;
