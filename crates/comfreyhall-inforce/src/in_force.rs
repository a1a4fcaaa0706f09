//! The state, what changes it, and what is asked of it.

use std::fmt;

use comfreyhall_domain::Name;

/// How settings came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Read in the store.
    Store,
    /// Told by the daemon of this id.
    Peer(Name),
}

impl Source {
    /// A word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer(_) => "peer",
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Peer(id) => f.write_str(id),
        }
    }
}

/// A newer version that somebody has, and that is not known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerVersion {
    /// The version.
    pub version: u64,
    /// Who told of it first.
    pub reported_by: Name,
    /// Since when a newer version than the one here has been known of.
    pub since_ms: u64,
}

/// How the newest settings came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedVersion {
    /// The version of the newest row.
    pub version: u64,
    /// The one before it, in this start of the daemon; 0 for none.
    pub previous: u64,
    /// How it came.
    pub source: Source,
    /// When.
    pub applied_at_ms: u64,
    /// Ms since it was first heard of, or since it was asked for.
    pub waited_ms: u64,
}

/// What a request may be judged by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Every version accepted longer ago than the bound is known.
    Current,
    /// A newer version may have been accepted longer ago than the bound.
    Stale,
}

/// What to do about a newer version that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUp {
    /// None was heard of.
    Idle,
    /// The store is about to give it; look again after so many ms.
    Wait(u64),
    /// The store does not give it: a daemon that has it is asked.
    AskPeer,
}

/// What is known of the settings.
#[derive(Debug, Default)]
pub struct SettingsTracker {
    /// Version of the newest row.
    newest: u64,
    /// Every row up to this version is known.
    covers: u64,
    /// The store said at this moment, or later, that there was nothing beyond.
    as_of: Option<u64>,
    heard: Option<NewerVersion>,
    taken: Option<AppliedVersion>,
    /// Since when the store has not answered this daemon.
    away: Option<u64>,
    /// Whether an answer of the store is on its way.
    arriving: bool,
    /// Whether the newest configuration could not be read: those between it and the
    /// one in force are lost to this daemon.
    unread: bool,
}

impl SettingsTracker {
    /// Version of the newest row: what other daemons are told.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Every row up to this version is known.
    pub fn complete_to(&self) -> u64 {
        self.covers
    }

    /// How the newest settings came.
    pub fn last_applied(&self) -> Option<&AppliedVersion> {
        self.taken.as_ref()
    }

    /// The newest version heard of, if it is not known here.
    pub fn newer_version(&self) -> Option<&NewerVersion> {
        self.heard.as_ref()
    }

    /// Since when the store has not answered this daemon.
    pub fn store_down_since(&self) -> Option<u64> {
        self.away
    }

    /// Ms since the store said what is known here; the most there is if it never
    /// did.
    pub fn age_ms(&self, now: u64) -> u64 {
        self.as_of.map_or(u64::MAX, |at| now.saturating_sub(at))
    }

    /// For how long a newer version has been known of, in ms.
    pub fn lag_ms(&self, now: u64) -> u64 {
        let since = self.heard.as_ref().map(|h| h.since_ms);
        since.map_or(0, |since| now.saturating_sub(since))
    }

    /// An answer of the store has begun to come.
    pub fn store_read_started(&mut self) {
        self.arriving = true;
    }

    /// The store answered that every row up to `covers` is known now, and that at
    /// `as_of` there were no others.
    pub fn store_confirmed(&mut self, covers: u64, as_of: u64) {
        self.away = None;
        self.arriving = false;
        self.reach(covers);
        self.confirm(as_of);
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: u64) {
        self.arriving = false;
        self.away.get_or_insert(now);
    }

    /// Another daemon has `newest` as its newest row, and the store said at
    /// `as_of`, if it is known, that there was nothing beyond.
    pub fn peer_reported(&mut self, from: &Name, newest: u64, as_of: Option<u64>, now: u64) {
        if newest > self.covers {
            self.hear(from, newest, now);
            return;
        }
        // One that holds less than this daemon confirms nothing of what it lacks.
        if newest >= self.newest
            && let Some(as_of) = as_of
        {
            self.confirm(as_of);
        }
    }

    /// Whether rows that make up all changes after `since` fit what is known: with
    /// a gap before them they would pass for everything up to their newest.
    pub fn is_contiguous(&self, since: u64) -> bool {
        since <= self.covers
    }

    /// A row of this version is in force now. `asked`: when it was asked for.
    pub fn apply(&mut self, version: u64, way: &Source, asked: u64, now: u64) {
        if version <= self.newest {
            return;
        }
        let heard = self.heard.as_ref().filter(|h| h.version >= version);
        let begun = heard.map_or(asked, |h| h.since_ms.min(asked));
        self.taken = Some(AppliedVersion {
            version,
            previous: self.newest,
            source: way.clone(),
            applied_at_ms: now,
            waited_ms: now.saturating_sub(begun),
        });
        self.newest = version;
        self.reach(version);
    }

    /// Every row up to `newest` is known: another daemon gave them all.
    pub fn peer_completed(&mut self, newest: u64) {
        self.reach(newest);
    }

    /// What to do about a newer version; the store has `patience` ms for it.
    pub fn next_step(&self, now: u64, patience: u64) -> CatchUp {
        let left = patience.saturating_sub(self.lag_ms(now));
        match (&self.heard, self.away) {
            (None, _) => CatchUp::Idle,
            // A second transfer beside it would slow both down.
            (Some(_), _) if self.arriving => CatchUp::Wait(patience),
            (Some(_), None) if left > 0 => CatchUp::Wait(left),
            (Some(_), _) => CatchUp::AskPeer,
        }
    }

    /// Whether the newest configuration can be read.
    pub fn set_readable(&mut self, readable: bool) {
        self.unread = !readable;
    }

    /// What a request may be judged by; `bound`: Ms in which an accepted version
    /// has to be in force.
    pub fn freshness(&self, now: u64, bound: u64) -> Freshness {
        match self.unread || self.heard.is_some() || self.age_ms(now) > bound {
            true => Freshness::Stale,
            false => Freshness::Current,
        }
    }

    fn hear(&mut self, from: &Name, version: u64, now: u64) {
        match &mut self.heard {
            Some(heard) if heard.version >= version => {}
            Some(heard) => {
                heard.version = version;
                heard.reported_by = from.clone();
            }
            None => {
                self.heard = Some(NewerVersion {
                    version,
                    reported_by: from.clone(),
                    since_ms: now,
                });
            }
        }
    }

    fn reach(&mut self, covers: u64) {
        self.covers = self.covers.max(covers);
        if self
            .heard
            .as_ref()
            .is_some_and(|h| h.version <= self.covers)
        {
            self.heard = None;
        }
    }

    fn confirm(&mut self, as_of: u64) {
        self.as_of = self.as_of.max(Some(as_of));
    }
}
