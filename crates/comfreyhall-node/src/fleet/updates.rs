//! Updates of runs for lease holders.

use comfreyhall_domain::Name;
use comfreyhall_routing::StreamSample;

/// Capacity of the queue of updates. What does not fit is left to the next
/// gossip message.
pub(super) const UPDATE_QUEUE_LEN: usize = 512;

/// A state change of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunUpdate {
    pub(crate) run: u64,
    pub(crate) target: Name,
    pub(crate) group: Name,
    pub(crate) change: RunChange,
}

/// What changed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RunChange {
    /// Its first event arrived, after this many ms.
    FirstEvent(u64),
    /// It has ended, or was never sent.
    Ended,
    /// Its stream has ended.
    Streamed(StreamReport),
    /// Its answer counts for the engine, with this weight.
    Success(f64),
    /// Its answer counts against the engine, with this weight.
    Failure(f64),
}

/// How a stream went that has ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StreamReport {
    pub(crate) sample: StreamSample,
    /// Name of its route.
    pub(crate) route: Name,
    /// Events that its caller expected.
    pub(crate) expected: Option<u32>,
}
