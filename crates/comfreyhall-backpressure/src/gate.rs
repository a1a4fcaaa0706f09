//! What each target last said.

use comfreyhall_domain::{Map, Name};

use crate::{Notice, Rate};

/// How long a target is remembered after it was last heard, in ms. A word older
/// than that counts no more: were it kept, a daemon that has no answers of a
/// target would obey for good what the target may have taken back.
const FORGET_MS: u64 = 60_000;

/// What a target says of its limit, and since when that is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Its limit; `None` if it has none any more.
    pub limit: Option<Rate>,
    /// When it was heard, in ms of this daemon's clock.
    pub heard: u64,
    /// Whether the target told this daemon itself.
    pub own: bool,
}

/// What has changed for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It begins to name a limit, or names another.
    Limited {
        /// The new limit.
        limit: Rate,
        /// The one before, if there was one.
        before: Option<Rate>,
    },
    /// It names no limit any more.
    Unlimited {
        /// How long it had one, in ms.
        after_ms: u64,
    },
}

/// One start of a target.
#[derive(Debug, Clone, Copy)]
struct Gate {
    word: Word,
    /// Since when it has a limit.
    since: u64,
}

/// What targets have said, by the id of their start.
#[derive(Debug, Default)]
pub struct Gates {
    gates: Map<Name, Gate>,
}

impl Gates {
    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Takes in `notice` of `target`, read at `now` in the answer to a request
    /// that was sent at `sent`.
    ///
    /// Answers come in any order. One whose request was sent after the last word
    /// came is newer than it; of others it is not known, and the lower limit
    /// counts.
    pub fn hear(&mut self, target: &Name, notice: &Notice, sent: u64, now: u64) -> Option<Change> {
        let known = self.gates.get(target).map(|g| g.word);
        let limit = match (known.and_then(|w| w.limit), notice.limit) {
            (None, None) => return None,
            (Some(before), said) if known.is_some_and(|w| sent < w.heard) => match said {
                Some(limit) if limit < before => Some(limit),
                _ => return None,
            },
            (_, said) => said,
        };
        let word = Word {
            limit,
            heard: now,
            own: true,
        };
        self.put(target, word, now)
    }

    /// Takes in what `target` told another daemon, if it is newer than what is
    /// known here.
    pub fn told(&mut self, target: &Name, word: Word, now: u64) -> Option<Change> {
        let known = self.gates.get(target);
        let newer = known.is_none_or(|g| word.heard > g.word.heard);
        let old = now.saturating_sub(word.heard) >= FORGET_MS;
        // The end of a limit that was not known says nothing.
        let says = word.limit.is_some() || known.is_some();
        (newer && says && !old).then(|| self.put(target, word, now))?
    }

    /// Puts `word` in the place of what was known of `target`.
    fn put(&mut self, target: &Name, word: Word, now: u64) -> Option<Change> {
        self.forget(now);
        let known = self.gates.get(target).copied();
        let before = known.and_then(|g| g.word.limit);
        let since = match (before, known) {
            (Some(_), Some(gate)) => gate.since,
            _ => now,
        };
        self.gates.insert(target.clone(), Gate { word, since });
        match (before, word.limit) {
            (before, Some(limit)) if before != Some(limit) => {
                Some(Change::Limited { limit, before })
            }
            (Some(_), None) => Some(Change::Unlimited {
                after_ms: now.saturating_sub(since),
            }),
            _ => None,
        }
    }

    fn forget(&mut self, now: u64) {
        let recent = |g: &Gate| now.saturating_sub(g.word.heard) < FORGET_MS;
        self.gates.retain(|_, g| recent(g));
    }

    /// The limit of `target`.
    pub fn limit(&self, target: &str, now: u64) -> Option<Rate> {
        let gate = self.gates.get(target)?;
        let recent = now.saturating_sub(gate.word.heard) < FORGET_MS;
        gate.word.limit.filter(|_| recent)
    }

    /// What all targets have said.
    pub fn words(&self, now: u64) -> impl Iterator<Item = (&Name, Word)> {
        let recent = move |g: &&Gate| now.saturating_sub(g.word.heard) < FORGET_MS;
        let all = self.gates.iter();
        all.filter(move |(_, g)| recent(g))
            .map(|(target, g)| (target, g.word))
    }

    /// Targets with a limit.
    pub fn limited(&self, now: u64) -> impl Iterator<Item = (&Name, Rate)> {
        let all = self.gates.keys();
        all.filter_map(move |t| Some((t, self.limit(t, now)?)))
    }
}
