//! What a prompt costs the streams that run beside it.
//!
//! An engine reads prompts in pieces between the tokens of its streams, and an
//! event holds several tokens. So while it reads a backlog, each stream waits
//! for its next event about as long as the reading takes, or as long as one
//! event can wait at most. On a slow engine one prompt at a time may be harmless
//! and a second one make all its streams late, which shows in no estimate of the
//! time to the first event.

/// Ratio of the expected gap to the objective below which no stream is late.
/// The span up to [`CERTAIN`] covers the error of the backlog, which is one
/// report old, and of the pace.
const HARMLESS: f64 = 0.75;

/// Ratio of the expected gap to the objective from which every stream is late.
const CERTAIN: f64 = 1.25;

/// Lateness of the streams of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interference {
    /// Time to read the backlog, in ms.
    pub queued_ms: f64,
    /// Time to read the new prompt, in ms.
    pub read_ms: f64,
    /// Longest wait of one event, in ms, however long the backlog is.
    pub event_wait_ms: f64,
    /// Longest gap of a stream that is in time, in ms.
    pub objective_ms: f64,
}

impl Interference {
    /// Probability that reading for `read_ms` makes a stream beside it late.
    fn probability(self, read_ms: f64) -> f64 {
        let gap_ms = read_ms.min(self.event_wait_ms);
        let ratio = gap_ms / self.objective_ms.max(1.0);
        ((ratio - HARMLESS) / (CERTAIN - HARMLESS)).clamp(0.0, 1.0)
    }

    /// Probability that a stream is late because of the new prompt: with the
    /// backlog alone it would be in time.
    pub fn late_probability(self) -> f64 {
        self.probability(self.queued_ms + self.read_ms) - self.probability(self.queued_ms)
    }

    /// Expected cost beside `streams`, where a late one costs `late_cost_ms`.
    pub fn cost_ms(self, streams: u32, late_cost_ms: f64) -> f64 {
        self.late_probability() * f64::from(streams) * late_cost_ms
    }
}
