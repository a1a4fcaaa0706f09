//! Whose share of the slots a request uses.

use std::{fmt, sync::Arc};

/// A share of the adapter slots: a workspace, or a route priority where callers
/// need no key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotShare(Arc<str>);

impl SlotShare {
    /// The share of `workspace`.
    pub fn workspace(workspace: &str) -> Self {
        Self(workspace.into())
    }

    /// The share of all routes with `priority`. A workspace with the same text as
    /// its name would count together with it.
    pub fn priority(priority: u8) -> Self {
        Self(format!("/{priority}").into())
    }

    /// The share with the text `name`, as received from another daemon.
    pub fn from_wire(name: &str) -> Self {
        Self(name.into())
    }

    /// Whether it is the share of a priority.
    pub(crate) fn is_priority(&self) -> bool {
        self.0.starts_with('/')
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SlotShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
