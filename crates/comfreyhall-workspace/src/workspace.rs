//! The workspaces of one configuration.

use std::sync::Arc;

use comfreyhall_protocol::Map;

use crate::{KeyHash, KeyHasher, Name, PresentedKey, Quota};

/// How much a workspace may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Allowance {
    /// No quota.
    Unlimited,
    /// Limited by a quota.
    Limited(Quota),
    /// Nothing, because its quota is invalid.
    Denied,
}

/// A customer's share of the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, as sent to targets.
    pub name: Name,
    /// Rank, 0 is first; `None` to use the priority of the route.
    pub rank: Option<u8>,
    /// How much it may use.
    pub allowance: Allowance,
}

/// All workspaces, with an index by API key.
#[derive(Debug, Clone)]
pub struct Workspaces {
    hasher: KeyHasher,
    by_key: Map<KeyHash, Arc<Workspace>>,
    all: Vec<Arc<Workspace>>,
}

impl Workspaces {
    pub(crate) fn new(
        hasher: KeyHasher,
        by_key: Map<KeyHash, Arc<Workspace>>,
        all: Vec<Arc<Workspace>>,
    ) -> Self {
        Self {
            hasher,
            by_key,
            all,
        }
    }

    /// The workspace that `key` belongs to.
    pub fn find_by_key(&self, key: &PresentedKey) -> Option<&Arc<Workspace>> {
        self.by_key.get(&self.hasher.hash(key.expose()))
    }

    /// All workspaces.
    pub fn all(&self) -> &[Arc<Workspace>] {
        &self.all
    }
}

impl PartialEq for Workspaces {
    fn eq(&self, other: &Self) -> bool {
        let same_salt = self.hasher.salt() == other.hasher.salt();
        same_salt && self.by_key == other.by_key && self.all == other.all
    }
}
