//! Engines among which a placement request may be served.

use comfreyhall_domain::Name;

/// An engine that may load an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EngineCandidate {
    pub(crate) target: Name,
    /// Additional latency in ms compared with the best candidate: the engine
    /// loads the adapter only after that time has passed without a free slot
    /// elsewhere.
    pub(crate) extra_ms: u64,
}
