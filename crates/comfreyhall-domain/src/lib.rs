//! The words comfreyhall decides in, free of any wire.
//!
//! Routes and services as configured ([`Config`]), targets as discovered
//! ([`Target`]), the facts of one request that decisions need ([`ClientRequest`]), and
//! what can become of sending it ([`Outcome`]). Drivers translate their wire
//! into these types at the border; nothing here knows a header or a field
//! name of any wire.

mod ask;
mod config;
mod outcome;
mod ranks;
mod target;

pub use ask::{AdapterRef, ClientRequest, ForwardedRequest, PromptSegment, TokenCounts};
pub use comfreyhall_protocol::{Map, Set};
pub use comfreyhall_workspace::{
    Allowance, KeyHash, KeyHasher, PresentedKey, Quota, QuotaUnit, RawNumber, RawUnit, Salt,
    Workspace, WorkspaceEntry, Workspaces, read_entries,
};
pub use config::{
    Caller, Config, EngineConfig, Model, RequestLimits, Route, RouteKind, Service, TrafficShare,
};
pub use outcome::{Answer, Outcome, Refusal, SendHistory, answer_for, answer_quarantined};
pub use ranks::PriorityTable;
pub use target::{LoadedModel, Stage, Target};

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
