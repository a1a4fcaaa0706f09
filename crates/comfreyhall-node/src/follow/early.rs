//! Pauses after feed calls that come back early without a change.
//!
//! A feed is to wait for a change. A store that answers at once instead, or says again and
//! again that its history is gone, would be called without end.

use std::time::Duration;

use super::StoreAnswer;
use crate::ports::SourceError;

/// Pause after the first such call, in ms; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 20;

/// Parts of the bound for settings, of which the longest pause is one: a change is known
/// that much later.
const PARTS_PER_APPLY: u64 = 6;

/// Consecutive feed calls that came back early without a change.
#[derive(Debug, Default)]
pub(super) struct EarlyAnswers {
    count: u32,
}

impl EarlyAnswers {
    /// Notes the answer to a call that was to wait up to `wait` and took `took`.
    pub(super) fn note(
        &mut self,
        answer: &Result<StoreAnswer, SourceError>,
        wait: Duration,
        took: Duration,
    ) {
        let is_empty = match answer {
            Ok(answer) => answer.batch.rows.is_empty(),
            Err(SourceError::Compacted | SourceError::Restored) => true,
            // The pause after a failure is another one.
            Err(SourceError::Unavailable(_)) => false,
        };
        self.count = match is_empty && took < wait / 2 {
            true => self.count.saturating_add(1),
            false => 0,
        };
    }

    /// Pause before the next call, with the bound for settings; `draw` spreads it over half
    /// to one and a half times its length.
    pub(super) fn pause_ms(&self, apply_ms: u64, draw: u64) -> u64 {
        let Some(doublings) = self.count.checked_sub(1) else {
            return 0;
        };
        let grown = FIRST_PAUSE_MS << doublings.min(10);
        let pause = grown.min(apply_ms / PARTS_PER_APPLY).max(1);
        pause / 2 + draw % pause
    }
}
