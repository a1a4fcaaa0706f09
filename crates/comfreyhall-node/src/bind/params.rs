//! What the holder of a group is asked for one run, and what it answers.

use std::sync::Arc;

use comfreyhall_domain::Name;
use comfreyhall_slots::SlotShare;
use comfreyhall_streams::SoftwareRule;

use crate::criteria::Requirements;

/// One request that needs an engine of a group.
#[derive(Debug, Clone)]
pub(crate) struct BindParams {
    /// Number of the run.
    pub(crate) run: u64,
    pub(crate) group: Name,
    pub(crate) service: Name,
    /// Name of its route.
    pub(crate) route: Name,
    /// Whose share of the slots it uses.
    pub(crate) share: SlotShare,
    /// Identity over all attempts of its caller; 0 if unknown.
    pub(crate) identity: u64,
    pub(crate) requirements: Arc<Requirements>,
    /// Minimum version of the adapter; 0 for any.
    pub(crate) min_version: u64,
    /// Priority of its route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Latency objective of its route, in ms.
    pub(crate) objective_ms: u64,
    /// Ms since it arrived.
    pub(crate) elapsed_ms: u64,
    /// Ms until its deadline.
    pub(crate) remaining_ms: u64,
    /// Engines that have already received it.
    pub(crate) tried: Vec<Name>,
    /// Engines that cannot take it now.
    pub(crate) unavailable: Vec<Name>,
    /// Whether only engines in `tried` may be used.
    pub(crate) only_tried: bool,
    /// Whether it waits for a load; otherwise it expects an answer at once.
    pub(crate) may_wait: bool,
    /// How long it would wait for a slot, in ms, when no other group has one
    /// sooner; 0 as long as other groups are to be asked.
    pub(crate) patience_ms: u64,
    /// Software versions that may receive it.
    pub(crate) software: SoftwareRule,
}

impl BindParams {
    /// Longest wait for its adapter, in ms.
    pub(crate) fn limit_ms(&self) -> u64 {
        let useful_ms = self.objective_ms.max(self.patience_ms);
        self.remaining_ms.min(useful_ms) + 1
    }
}

/// The engine of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Binding {
    pub(crate) target: Name,
    /// The adapter's version there.
    pub(crate) version: u64,
    /// Prompt tokens to prefill there.
    pub(crate) unread_tokens: u64,
    /// Ms to the first token that the holder expects.
    pub(crate) wait_ms: u64,
    /// Whether the adapter is requested so often that each failure domain should
    /// have engines of its own for it.
    pub(crate) hot: bool,
    /// Whether the holder has granted it a part of the engine's limit.
    pub(crate) granted: bool,
}

/// Why a run has no engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BindError {
    /// The holder does not answer, or no longer holds the lease; nothing is
    /// known.
    #[error("the holder does not answer")]
    NoAnswer,
    /// A load has to come first, and the request did not wait for one.
    #[error("a load has to come first")]
    LoadRequired,
    /// Its wait would be too long, in ms.
    #[error("the wait would be {0} ms")]
    TooLong(u64),
    /// No slot becomes free for it in time.
    #[error("no slot in time; one is expected in {return_ms} ms")]
    NoSlot {
        /// Ms after which the holder expects a slot for it.
        return_ms: u64,
    },
    /// No engine of the group can take it now.
    #[error("{reason}")]
    NoEngine {
        /// Why none can.
        reason: String,
        /// Engines that take no commands: they have ended or restarted.
        gone: Vec<Name>,
    },
}

impl BindError {
    pub(super) fn no_engine(reason: &str) -> Self {
        BindError::NoEngine {
            reason: reason.to_string(),
            gone: Vec::new(),
        }
    }
}
