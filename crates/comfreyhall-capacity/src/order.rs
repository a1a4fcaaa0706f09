//! Commands that an account allows, and what can come of them.

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Loads a model or adapter.
    Load,
    /// Unloads it.
    Unload,
}

/// A command that the account of its engine has room for.
#[derive(Debug)]
#[must_use = "its outcome belongs into the account"]
pub struct Order<K> {
    pub(crate) action: Action,
    pub(crate) key: K,
    pub(crate) version: u64,
    pub(crate) sequence: u64,
}

impl<K> Order<K> {
    /// What it does.
    pub fn action(&self) -> Action {
        self.action
    }

    /// The model or adapter.
    pub fn key(&self) -> &K {
        &self.key
    }

    /// Version to load; 0 for the newest.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of commands that the engine must have accepted before it.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }
}

/// What came of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached the engine.
    NotSent,
    /// No answer: it may be carried out, now or later.
    Unanswered,
    /// The engine carries it out.
    Accepted,
    /// The engine had done it already.
    AlreadyDone,
    /// The engine refused it and did nothing.
    Rejected,
    /// The engine refused it, as it is not in the state that the account assumes.
    OutOfSequence,
    /// Another boot answered: this one has ended.
    OtherBoot,
}
