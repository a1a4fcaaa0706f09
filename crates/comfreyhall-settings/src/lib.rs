//! The settings of a comfreyhall deployment.
//!
//! One file describes a whole deployment: its entry instances, engines, plain
//! services, the platform's table service and weight store, and the policy
//! knobs. Every process reads the same file and picks its own part by name,
//! so a process learns its address and failure domain from its settings.
//!
//! The file is JSON with comments (parsed as JSON5). [`Settings::parse`]
//! checks it whole before anything uses it: a bad file is refused with an
//! error that names the field and says how to mend it, and a process that is
//! already running keeps the last good settings.

mod check;
mod model;
mod node;

pub use check::SettingsError;
pub use model::*;
pub use node::{Bounds, Listen, NodeSettings, Policies, QuotaMode, Quotas};

#[cfg(test)]
mod tests;
