//! The rows of the platform's store that this daemon knows.

use std::hash::{DefaultHasher, Hash, Hasher};

use comfreyhall_domain::{Map, Name, Revision, Set};
use comfreyhall_inforce::{SettingsTracker, Source};

use crate::ports::{Record, Topic};

/// Least advance of the time of a complete list of targets by gossip, in ms.
const MIN_PROOF_STEP_MS: u64 = 250;

/// Rows of one topic by key.
#[derive(Debug, Default)]
pub(crate) struct TopicRows {
    pub(crate) rows: Map<Name, Record>,
    /// Version at which each row last changed in a way that is relevant to
    /// peers.
    pub(crate) changed_versions: Map<Name, Revision>,
    /// Newest version covered.
    pub(crate) version: Revision,
    /// Keys of rows of which this daemon has newer content than the store, which came
    /// back from a copy.
    pub(crate) kept: Set<Name>,
    /// When the store confirmed the rows, to this daemon or to a peer; for
    /// settings [`SettingsTracker`] keeps it.
    pub(crate) as_of_ms: u64,
    /// Version up to which no relevant row is missing.
    pub(crate) complete_to: Revision,
    /// The newest time at which the rows were certainly complete; 0 for never.
    proven_ms: u64,
}

impl TopicRows {
    /// Time in ms since the store confirmed the rows; the maximum if it never
    /// did.
    pub(crate) fn age(&self, now: u64) -> u64 {
        match self.as_of_ms {
            0 => u64::MAX,
            as_of => now.saturating_sub(as_of),
        }
    }

    /// Records that no relevant row up to `version` was missing at `at`.
    pub(crate) fn prove(&mut self, version: Revision, at: u64) {
        self.complete_to = self.complete_to.max(version);
        self.proven_ms = self.proven_ms.max(at);
    }

    /// Whether a proof that the rows were complete at `at` is new enough to process: a
    /// lease holder of a large fleet gets hundreds of such messages a second.
    pub(crate) fn is_newer_proof(&self, at: u64) -> bool {
        at >= self.proven_ms + MIN_PROOF_STEP_MS
    }

    /// Time in ms since the rows were certainly complete.
    pub(crate) fn proven_age(&self, now: u64) -> Option<u64> {
        (self.proven_ms > 0).then(|| now.saturating_sub(self.proven_ms))
    }

    /// Records that the store confirmed the rows as complete at `at`.
    pub(crate) fn confirm(&mut self, at: u64) {
        self.as_of_ms = self.as_of_ms.max(at);
    }
}

/// What the store has lost, and a daemon still knows.
#[derive(Debug, Default)]
pub(crate) struct KeptRows {
    pub(crate) settings: Vec<Record>,
    /// Boots that have said that they leave.
    pub(crate) leaving: Vec<Name>,
}

fn digest(value: &impl Hash) -> u32 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish() as u32
}

/// The rows of all topics.
#[derive(Debug, Default)]
pub(crate) struct RecordStore {
    pub(crate) settings: TopicRows,
    pub(crate) targets: TopicRows,
    /// Synchronization state of the settings.
    pub(crate) settings_sync: SettingsTracker,
}

impl RecordStore {
    /// Number of rows with newer content than the store has.
    #[cfg(test)]
    pub(crate) fn kept(&self) -> usize {
        self.settings.kept.len() + self.targets.kept.len()
    }

    /// Digest of the rows with newer content than the store has; 0 if there are none.
    ///
    /// Two daemons may keep as many rows and not the same ones.
    pub(crate) fn kept_digest(&self) -> u32 {
        let settings = self.settings.kept.iter().map(|key| {
            let row = self.settings.rows.get(key);
            digest(&(key, row.map(|r| r.version.to_wire())))
        });
        // A target's row may have been written again without what is kept of it.
        let targets = self
            .targets
            .kept
            .iter()
            .map(|key| digest(&(key, "leaving")));
        settings.chain(targets).fold(0, |all, one| all ^ one)
    }

    pub(crate) fn topic_rows(&mut self, topic: Topic) -> &mut TopicRows {
        match topic {
            Topic::Settings => &mut self.settings,
            Topic::Targets => &mut self.targets,
        }
    }
}

/// Source of rows, and when they were requested.
#[derive(Debug)]
pub(crate) struct Provenance {
    pub(crate) source: Source,
    pub(crate) requested_at_ms: u64,
}

impl Provenance {
    /// The store's answer to a call that began at `requested_at_ms`.
    pub(crate) fn store(requested_at_ms: u64) -> Self {
        let source = Source::Store;
        Self {
            source,
            requested_at_ms,
        }
    }
}
