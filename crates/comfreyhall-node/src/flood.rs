//! Lines for the log that may come by the thousand.
//!
//! A caller over its cap is refused hundreds of times a second, and each line
//! costs a small daemon processor time that requests need. So a kind of line is
//! written so many times a second, and the next one says how many were left
//! out.

use std::sync::Mutex;

/// Lines of one kind in a second.
const MAX_LINES: u32 = 20;

const WINDOW_MS: u64 = 1_000;

/// One kind of line.
#[derive(Debug, Default)]
pub(crate) struct LineLimiter(Mutex<Window>);

#[derive(Debug, Default)]
struct Window {
    began: u64,
    written: u32,
    left_out: u64,
}

impl LineLimiter {
    /// Whether one may be written at `now`: how many were left out before it.
    pub(crate) fn admit(&self, now: u64) -> Option<u64> {
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
}

/// The kinds of lines that are bounded.
#[derive(Debug, Default)]
pub(crate) struct LogLimits {
    /// Requests without a route or a known key.
    pub(crate) rejected: LineLimiter,
    /// Requests over a cap.
    pub(crate) over_quota: LineLimiter,
    /// Requests none of whose targets takes anything.
    pub(crate) unavailable: LineLimiter,
    /// Answers in which a target says something odd of itself.
    pub(crate) bad_notice: LineLimiter,
}

#[cfg(test)]
mod tests;
