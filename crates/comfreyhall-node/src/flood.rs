//! Lines for the log that may come by the thousand.
//!
//! A caller over its cap is refused hundreds of times a second, and each line
//! costs a small daemon processor time that requests need. So a kind of line is
//! written so many times a second, and the next one says how many were left
//! out.

use std::sync::Mutex;

/// Lines of one kind in a second.
const MOST: u32 = 20;

const SECOND_MS: u64 = 1_000;

/// One kind of line.
#[derive(Debug, Default)]
pub(crate) struct Lines(Mutex<Second>);

#[derive(Debug, Default)]
struct Second {
    began: u64,
    written: u32,
    left_out: u64,
}

impl Lines {
    /// Whether one may be written at `now`: how many were left out before it.
    pub(crate) fn take(&self, now: u64) -> Option<u64> {
        let mut second = self.0.lock().expect("no holder of this lock panics");
        if now.saturating_sub(second.began) >= SECOND_MS {
            second.began = now;
            second.written = 0;
        }
        if second.written >= MOST {
            second.left_out += 1;
            return None;
        }
        second.written += 1;
        Some(std::mem::take(&mut second.left_out))
    }
}

/// The kinds of lines that are bounded.
#[derive(Debug, Default)]
pub(crate) struct Flood {
    /// Requests without a route or a known key.
    pub(crate) turned: Lines,
    /// Requests over a cap.
    pub(crate) capped: Lines,
    /// Requests none of whose targets takes anything.
    pub(crate) shut: Lines,
    /// Answers in which a target says something odd of itself.
    pub(crate) odd: Lines,
}

#[cfg(test)]
mod tests;
