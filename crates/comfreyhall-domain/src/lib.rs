//! The words comfreyhall decides in, free of any wire.
//!
//! Routes and services as configured ([`Config`]), targets as discovered
//! ([`Target`]), the facts of one request that decisions need ([`Ask`]), and
//! what can become of sending it ([`Outcome`]). Drivers translate their wire
//! into these types at the border; nothing here knows a header or a field
//! name of any wire.

mod ask;
mod config;
mod outcome;
mod ranks;
mod target;

pub use ask::{AdapterRef, Ask, Message, Part, Tokens};
pub use comfreyhall_protocol::{Map, Set};
pub use comfreyhall_workspace::{
    Allowance, Cap, Entry, Given, GivenUnit, KeyHash, KeyHasher, PresentedKey, Salt, Unit,
    Workspace, Workspaces, read,
};
pub use config::{Caller, Config, Engine, Kind, Limits, Model, Route, Service, Share};
pub use outcome::{Answer, Outcome, Refusal, Verdict, answer_for, answer_held};
pub use ranks::Ranks;
pub use target::{Held, Stage, Target};

/// A shared immutable name.
pub type Name = std::sync::Arc<str>;

#[cfg(test)]
mod tests;
