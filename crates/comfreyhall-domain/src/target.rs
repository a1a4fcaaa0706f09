//! Targets (back ends) as discovered.

use crate::Name;

/// Where a target is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Takes work.
    Ready,
    /// Ends soon and takes no new work.
    Draining,
}

/// A model that an engine holds, with its adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: Name,
    /// Adapters held with it, each with its version.
    pub adapters: Vec<(Name, u64)>,
}

/// One boot of one target, as last published.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Id of this boot; a restart gets another. All that is known of a target
    /// is kept under it, so nothing learned from one boot is taken for
    /// another's: not what it holds, nor how many orders it accepted.
    pub id: Name,
    /// Name that it is listed under; a restart may keep it.
    pub name: Name,
    /// When this boot started, in Unix ms; 0 if it does not say.
    pub started_at_ms: u64,
    /// The service it serves.
    pub service: Name,
    /// `ip:port`.
    pub addr: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where it is in its life.
    pub stage: Stage,
    /// Requests it runs at once.
    pub max_running: u32,
    /// Models held; empty for plain services.
    pub loaded: Vec<LoadedModel>,
    /// Orders accepted since it booted.
    pub accepted_commands: u64,
    /// Version of the row that says so.
    pub row_version: u64,
}

impl Target {
    /// Whether it holds `model`.
    pub fn has_model(&self, model: &str) -> bool {
        self.loaded.iter().any(|h| &*h.model == model)
    }
}
