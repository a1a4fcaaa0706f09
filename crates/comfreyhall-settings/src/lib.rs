//! The settings of a comfreyhall deployment.
//!
//! A single file describes a whole deployment: its entry instances, engines and
//! plain services, the platform's table service and weight store, and the tuning
//! parameters. Every process reads the same file and looks up its own entry by
//! name, which gives its address and failure domain.
//!
//! The file is JSON with comments (parsed as JSON5). [`Settings::parse`]
//! validates all of it before anything uses it. An invalid file is rejected with
//! an error that names the field and says how to fix it, and a process that is
//! already running keeps the last valid settings.

mod check;
mod model;
mod node;

pub use check::SettingsError;
pub use model::*;
pub use node::{Bounds, Listen, NodeSettings, Policies, QuotaMode, Quotas};

#[cfg(test)]
mod tests;
