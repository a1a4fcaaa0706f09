//! The account of one boot of an engine.

use std::hash::Hash;

use comfreyhall_domain::Map;

use crate::order::{Action, Order, Outcome};

/// Longest time in ms between the making of a report and its arrival; most take
/// some hundred.
const MAX_REPORT_AGE_MS: u64 = 1_000;

/// An adapter that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Its version.
    pub version: u64,
    /// When it was loaded; 0 if that was not observed.
    pub since_ms: u64,
}

/// An engine's state as it reported it.
#[derive(Debug, Clone)]
pub struct Snapshot<K> {
    /// Number of commands accepted.
    pub sequence: u64,
    /// Adapters that it holds, with their versions.
    pub held: Vec<(K, u64)>,
    /// Adapters that it is loading, with their versions.
    pub loading: Vec<(K, u64)>,
}

/// Why there is no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// The account has to be confirmed by a report first.
    Unconfirmed,
    /// All slots are in use.
    Full,
}

/// What one boot of an engine holds, loads and has been ordered to do.
#[derive(Debug)]
pub struct SlotAccount<K> {
    /// Number of commands that the engine has accepted.
    sequence: u64,
    /// Whether the rest was right when the engine had accepted that many.
    confirmed: bool,
    held: Map<K, HeldAdapter>,
    /// Versions of the adapters that are being loaded.
    loading: Map<K, u64>,
    /// When the engine last accepted a command; 0 for never.
    accepted_ms: u64,
    /// Whether the engine counts commands and carries out none that does not carry the
    /// number.
    sequenced: bool,
    /// Loads sent to an engine that does not, whose outcome is unknown, with the time of
    /// sending: each of them may take a slot.
    sent: Map<K, u64>,
}

impl<K> Default for SlotAccount<K> {
    fn default() -> Self {
        Self {
            sequence: 0,
            confirmed: false,
            held: Map::default(),
            loading: Map::default(),
            accepted_ms: 0,
            sequenced: true,
            sent: Map::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> SlotAccount<K> {
    /// The account of an engine that counts no commands, and refuses one for which it has
    /// no slot.
    pub fn unsequenced() -> Self {
        Self {
            confirmed: true,
            sequenced: false,
            ..Self::default()
        }
    }

    /// Records that `order` is sent at `now` to an engine that counts no commands: from now
    /// on it may take a slot.
    pub fn send(&mut self, order: &Order<K>, now: u64) {
        self.sent.insert(order.key.clone(), now);
    }

    /// Loads that were sent and whose outcome is unknown.
    pub fn unknown(&self) -> impl Iterator<Item = &K> {
        self.sent.keys()
    }

    /// Records what came of `order`, sent to an engine that counts no commands; `evicted`
    /// was dropped for it.
    pub fn settle_sent(&mut self, order: Order<K>, outcome: Outcome, evicted: &K, now: u64) {
        match outcome {
            Outcome::Accepted | Outcome::Unanswered => {}
            Outcome::AlreadyDone => {
                self.sent.remove(&order.key);
                self.held.remove(evicted);
                let (version, since_ms) = (order.version, now);
                self.held
                    .insert(order.key, HeldAdapter { version, since_ms });
            }
            Outcome::NotSent | Outcome::Rejected | Outcome::OutOfSequence => {
                self.sent.remove(&order.key);
            }
            Outcome::OtherBoot => *self = Self::unsequenced(),
        }
    }

    /// Whether orders can be made; otherwise a report is needed first.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Requires a report before the next order.
    pub fn require_report(&mut self) {
        self.confirmed = false;
    }

    /// Number of commands that the engine has accepted.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Adapters that the engine holds.
    pub fn held(&self) -> impl Iterator<Item = (&K, &HeldAdapter)> {
        self.held.iter()
    }

    /// Version of `key` that the engine holds.
    pub fn held_version(&self, key: &K) -> Option<u64> {
        self.held.get(key).map(|h| h.version)
    }

    /// Version of `key` that the engine is loading.
    pub fn loading_version(&self, key: &K) -> Option<u64> {
        self.loading.get(key).copied()
    }

    /// Number of adapters that it is loading.
    pub fn loading_count(&self) -> usize {
        self.loading.len()
    }

    /// Number of slots in use.
    pub fn occupied(&self) -> usize {
        self.held.len() + self.loading.len() + self.sent.len()
    }

    /// An order to load `version` of `key` on an engine with `slots` slots. One for what the
    /// engine holds or is loading asks for the outcome, and needs no further slot.
    pub fn load(&self, key: &K, version: u64, slots: usize) -> Result<Order<K>, NoRoom> {
        if !self.confirmed {
            return Err(NoRoom::Unconfirmed);
        }
        let held = self.held_version(key) == Some(version);
        let counted = held || self.loading.contains_key(key) || self.sent.contains_key(key);
        if !counted && self.occupied() >= slots {
            return Err(NoRoom::Full);
        }
        Ok(self.order(Action::Load, key, version))
    }

    /// An order to load the model `key`, which takes no adapter slot.
    pub fn load_model(&self, key: &K) -> Result<Order<K>, NoRoom> {
        match (self.confirmed, self.occupied()) {
            (false, _) => Err(NoRoom::Unconfirmed),
            (true, 0) => Ok(self.order(Action::Load, key, 0)),
            (true, _) => Err(NoRoom::Full),
        }
    }

    /// An order to unload `key`.
    pub fn unload(&self, key: &K) -> Result<Order<K>, NoRoom> {
        match self.confirmed {
            true => Ok(self.order(Action::Unload, key, 0)),
            false => Err(NoRoom::Unconfirmed),
        }
    }

    /// Whether the engine's number of accepted commands changes with `order`. A load of what
    /// it holds or is loading only asks for the outcome.
    pub fn advances(&self, order: &Order<K>) -> bool {
        let held = self.held.contains_key(&order.key);
        match order.action {
            Action::Load => !held && !self.loading.contains_key(&order.key),
            Action::Unload => held,
        }
    }

    fn order(&self, action: Action, key: &K, version: u64) -> Order<K> {
        Order {
            action,
            key: key.clone(),
            version,
            sequence: self.sequence,
        }
    }

    /// Records what came of `order` for an adapter at `now`.
    pub fn settle(&mut self, order: Order<K>, outcome: Outcome, now: u64) {
        let key = order.key;
        match (order.action, outcome) {
            // The engine still carries out earlier commands.
            (_, Outcome::NotSent) => {}
            (_, Outcome::OutOfSequence | Outcome::Unanswered | Outcome::Rejected) => {
                self.confirmed = false;
            }
            (_, Outcome::OtherBoot) => *self = Self::default(),
            (Action::Load, Outcome::Accepted) => {
                if self.loading.insert(key, order.version).is_none() {
                    self.count_accepted(now);
                }
            }
            (Action::Load, Outcome::AlreadyDone) => {
                let version = self.loading.remove(&key).unwrap_or(order.version);
                let since_ms = now;
                self.held.insert(key, HeldAdapter { version, since_ms });
            }
            (Action::Unload, Outcome::AlreadyDone) => {
                self.held.remove(&key);
                self.count_accepted(now);
            }
            // The adapter keeps its slot until its runs have ended.
            (Action::Unload, Outcome::Accepted) => {
                self.count_accepted(now);
                self.confirmed = false;
            }
        }
    }

    fn count_accepted(&mut self, now: u64) {
        self.sequence += 1;
        self.accepted_ms = now;
    }

    /// Records what came of `order` for a model.
    pub fn settle_model(&mut self, order: Order<K>, outcome: Outcome, now: u64) {
        match outcome {
            Outcome::Accepted => self.count_accepted(now),
            Outcome::OutOfSequence | Outcome::Unanswered | Outcome::Rejected => {
                self.confirmed = false;
            }
            Outcome::OtherBoot => *self = Self::default(),
            Outcome::NotSent | Outcome::AlreadyDone => {}
        }
        drop(order);
    }

    /// Replaces the account by a report that was asked for at `asked_ms`; false if the
    /// engine made it before it accepted commands that the account has.
    ///
    /// A report with the same number of accepted commands lists the same adapters,
    /// however old it is. One with fewer is old, or the engine has lost count.
    pub fn apply(&mut self, report: Snapshot<K>, asked_ms: u64) -> bool {
        let certainly_later = asked_ms >= self.accepted_ms + MAX_REPORT_AGE_MS;
        if self.sequenced && report.sequence < self.sequence && !certainly_later {
            return false;
        }
        self.sequence = report.sequence;
        self.confirmed = true;
        let held = report.held.into_iter().map(|(key, version)| {
            let since_ms = self.held.get(&key).map_or(0, |h| h.since_ms);
            (key, HeldAdapter { version, since_ms })
        });
        self.held = held.collect();
        self.loading = report.loading.into_iter().collect();
        let (held, loading) = (&self.held, &self.loading);
        self.sent.retain(|key, sent_ms| {
            let listed = held.contains_key(key) || loading.contains_key(key);
            !listed && asked_ms < *sent_ms + MAX_REPORT_AGE_MS
        });
        true
    }
}
