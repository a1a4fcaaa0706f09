//! Whether a target whose connection closed has ended, from probes of it.
//!
//! A closed connection alone proves nothing, and neither does a refused one, which looks the
//! same if the path to the target is cut. So peers are asked whether they reach it.

use std::time::Duration;

use comfreyhall_protocol::Reach;

/// Delay before each probe, in ms: a process that ended refuses connections at once; a
/// listener may outlive its process by a few ms.
const PROBE_DELAYS_MS: [u64; 4] = [0, 60, 200, 500];

/// What a probe of a target shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It is alive.
    Alive,
    /// Another boot answered, so the one that was asked has ended.
    OtherBoot,
    /// The connection was refused: nothing listens there any more, or the path is cut.
    Refused,
    /// No answer.
    NoAnswer,
}

impl ProbeResult {
    /// Converts it into the answer to a peer's question.
    pub fn to_wire(self) -> Reach {
        match self {
            ProbeResult::Alive => Reach::Alive,
            ProbeResult::OtherBoot => Reach::OtherBoot,
            ProbeResult::Refused => Reach::Refused,
            ProbeResult::NoAnswer => Reach::Unknown,
        }
    }

    /// Reads a peer's answer.
    pub fn from_wire(reach: Reach) -> Self {
        match reach {
            Reach::Alive => ProbeResult::Alive,
            Reach::OtherBoot => ProbeResult::OtherBoot,
            Reach::Refused => ProbeResult::Refused,
            Reach::Unknown => ProbeResult::NoAnswer,
        }
    }
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The target has ended.
    Ended,
    /// It is alive.
    Alive,
    /// Peers have to say whether they reach it.
    AskPeers,
    /// Nothing.
    Nothing,
}

/// The probes of one target.
#[derive(Debug, Default)]
pub struct EndCheck {
    made: usize,
}

impl EndCheck {
    /// The delay before the next probe; `None` after the last one.
    pub fn next_delay(&mut self) -> Option<Duration> {
        let delay_ms = PROBE_DELAYS_MS.get(self.made)?;
        self.made += 1;
        Some(Duration::from_millis(*delay_ms))
    }
}

impl From<ProbeResult> for Finding {
    fn from(result: ProbeResult) -> Self {
        match result {
            ProbeResult::Alive => Finding::Alive,
            ProbeResult::OtherBoot => Finding::Ended,
            ProbeResult::Refused => Finding::AskPeers,
            ProbeResult::NoAnswer => Finding::Nothing,
        }
    }
}

/// Answers of peers about a target that refuses connections from here.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerAnswers {
    reached: bool,
    refused: bool,
}

impl PeerAnswers {
    /// Adds what a peer's probe showed.
    pub fn add(&mut self, answer: ProbeResult) {
        self.reached |= answer == ProbeResult::Alive;
        self.refused |= matches!(answer, ProbeResult::Refused | ProbeResult::OtherBoot);
    }

    /// Whether a peer reaches the target, whatever others answer.
    pub fn is_reached(&self) -> bool {
        self.reached
    }

    /// Whether the target has ended; `None` if no peer knows.
    pub fn ended(&self) -> Option<bool> {
        match (self.reached, self.refused) {
            (true, _) => Some(false),
            (false, true) => Some(true),
            (false, false) => None,
        }
    }
}

#[cfg(test)]
mod tests;
