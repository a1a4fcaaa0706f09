//! Targets (back ends), as discovered.

use crate::{Name, Revision};

/// Lifecycle stage of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Accepts new requests.
    Ready,
    /// Is about to stop and accepts no new requests.
    Draining,
}

/// A model loaded in an engine, with its adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: Name,
    /// Loaded adapters, each with its version.
    pub adapters: Vec<(Name, u64)>,
}

/// One boot (one start of the process) of a target, as last published.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Id of this boot; a restart gets a new one. All state about a target is
    /// keyed by it, so nothing learned from one boot is attributed to another:
    /// neither what it has loaded nor how many commands it has accepted.
    pub id: Name,
    /// Name under which the target is registered; it may stay the same after a
    /// restart.
    pub name: Name,
    /// Start time of this boot, in Unix ms; 0 if unknown.
    pub started_at_ms: u64,
    /// The service that it provides.
    pub service: Name,
    /// Version of its software, without any order among versions; `None` if unknown.
    pub software: Option<Name>,
    /// Address, as `ip:port`.
    pub addr: Name,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Maximum number of requests that it runs concurrently.
    pub max_running: u32,
    /// Loaded models; empty for plain services.
    pub loaded: Vec<LoadedModel>,
    /// Number of commands accepted since it booted.
    pub accepted_commands: u64,
    /// Version of the stored row that this state was read from.
    pub row_version: Revision,
}

impl Target {
    /// Whether `model` is loaded.
    pub fn has_model(&self, model: &str) -> bool {
        self.loaded.iter().any(|loaded| &*loaded.model == model)
    }
}
