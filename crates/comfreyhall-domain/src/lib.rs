//! Domain types that the daemon's decisions work on, independent of any wire
//! format.
//!
//! Routes and services as configured ([`Config`]), targets as discovered
//! ([`Target`]), the parts of a request that decisions need
//! ([`ClientRequest`]), and the possible results of sending it ([`Outcome`]).
//! Drivers convert their wire format into these types at the boundary; nothing
//! here knows a header or a field name of any protocol.

mod config;
mod outcome;
mod priority;
mod request;
mod stated;
mod target;

pub use comfreyhall_protocol::{Map, Revision, Set};
pub use comfreyhall_workspace::{
    Allowance, KeyHash, KeyHasher, PresentedKey, Quota, QuotaUnit, RawNumber, RawUnit, Salt,
    Workspace, WorkspaceEntry, Workspaces, read_entries,
};
pub use config::{
    Caller, Config, EngineConfig, Model, RequestLimits, Route, RouteKind, Service, TrafficShare,
};
pub use outcome::{Answer, Outcome, Refusal, SendHistory, answer_for, answer_quarantined};
pub use priority::PriorityTable;
pub use request::{AdapterRef, ClientRequest, ForwardedRequest, PromptSegment, TokenCounts};
pub use stated::StatedTime;
pub use target::{LoadedModel, Stage, Target};

/// A shared, immutable string.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
