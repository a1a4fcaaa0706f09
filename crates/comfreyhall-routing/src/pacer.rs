//! When the prompts for one engine are sent, so that its streams get a turn.
//!
//! An engine that reads prompts without a break gives its streams one token for
//! each piece, and an event holds several tokens. In a burst all of its streams
//! are then late, although each prompt by itself would do no harm. So prompts are
//! sent in runs that an event can wait for, with time for an event between two
//! runs. Within a queue that the engine reads in order anyway, this costs a
//! prompt only these breaks.

use comfreyhall_domain::{Map, Name};

/// Ratio of the reading time that is planned to that of the known backlog, at most:
/// prompts that are on their way are not known yet.
const QUEUE_MARGIN: f64 = 1.5;

/// How an engine reads, for one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    /// Time to read the backlog of the engine, as far as is known, in ms.
    pub queued_ms: f64,
    /// Time to read the prompt, in ms.
    pub read_ms: f64,
    /// Longest run of reading that makes no stream late, in ms.
    pub run_ms: f64,
    /// Time for one event without reading, in ms.
    pub break_ms: f64,
    /// Longest delay of the prompt, in ms; beyond it the prompt goes at once.
    pub max_delay_ms: f64,
}

/// What one engine has been given to read.
#[derive(Debug, Clone, Copy, Default)]
struct Run {
    /// When it has read everything.
    free_at_ms: f64,
    /// Duration of its last run.
    run_ms: f64,
}

/// The runs of all engines.
#[derive(Debug, Default)]
pub struct PromptPacer {
    engines: Map<Name, Run>,
}

impl Run {
    /// In how many ms a prompt is to be sent, and the run with it.
    fn with(self, reading: Reading, now: u64) -> (u64, Run) {
        let now = now as f64;
        // The engine may have read faster than expected.
        let known_ms = now + QUEUE_MARGIN * reading.queued_ms;
        let free_at_ms = self.free_at_ms.min(known_ms);
        let ended = now >= free_at_ms + reading.break_ms;
        let run_ms = if ended { 0.0 } else { self.run_ms };
        let free_at_ms = free_at_ms.max(now);
        let fits = run_ms == 0.0 || run_ms + reading.read_ms <= reading.run_ms;
        let starts_at_ms = free_at_ms + reading.break_ms;
        let delay_ms = starts_at_ms - now;
        if fits || delay_ms > reading.max_delay_ms {
            let run = Run {
                free_at_ms: free_at_ms + reading.read_ms,
                run_ms: run_ms + reading.read_ms,
            };
            return (0, run);
        }
        let run = Run {
            free_at_ms: starts_at_ms + reading.read_ms,
            run_ms: reading.read_ms,
        };
        (delay_ms as u64, run)
    }
}

impl PromptPacer {
    /// In how many ms a prompt is to be sent to `target`.
    pub fn delay_ms(&self, target: &Name, reading: Reading, now: u64) -> u64 {
        let run = self.engines.get(target).copied().unwrap_or_default();
        run.with(reading, now).0
    }

    /// Counts a prompt that is sent to `target` after the delay, which is returned.
    pub fn admit(&mut self, target: &Name, reading: Reading, now: u64) -> u64 {
        let run = self.engines.entry(target.clone()).or_default();
        let (delay_ms, next) = run.with(reading, now);
        *run = next;
        delay_ms
    }

    /// Drops engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| keep(id));
    }
}
