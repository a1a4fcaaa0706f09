//! The tracker's state, its transitions, and the queries on it.

use std::fmt;

use comfreyhall_domain::{Name, Revision};

/// Where settings were obtained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Read from the store.
    Store,
    /// Received from the daemon with this id.
    Peer(Name),
}

impl Source {
    /// Label value for metrics.
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

/// A newer version that another daemon has and that is not known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerVersion {
    /// The version.
    pub version: Revision,
    /// The daemon that reported it first.
    pub reported_by: Name,
    /// Since when any version newer than the local one has been known of.
    pub since_ms: u64,
}

/// How the newest settings were obtained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedVersion {
    /// Version of the newest row.
    pub version: Revision,
    /// The version before it since this daemon started; zero for none.
    pub previous: Revision,
    /// Where it was obtained.
    pub source: Source,
    /// When it was applied.
    pub applied_at_ms: u64,
    /// Time from the first report of the version, or from the request for it, until
    /// it was applied, in ms.
    pub waited_ms: u64,
}

/// Whether requests may be decided by the known settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Every version accepted longer ago than the bound is known.
    Current,
    /// A newer version may have been accepted longer ago than the bound.
    Stale,
}

/// What to do with requests that the known settings allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Serve them.
    Serve,
    /// Nobody has confirmed the settings for longer than the bound, and it is not
    /// known yet whether the store is down: hold them until it is.
    Hold,
    /// A newer version that is not known here may have been accepted longer ago
    /// than the bound: reject them.
    Reject,
}

/// What to do about a newer version that has been reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUp {
    /// No newer version has been reported.
    Idle,
    /// The store is expected to deliver it; check again after this many ms.
    Wait(u64),
    /// The store does not deliver it: ask a daemon that has it.
    AskPeer,
}

/// What a daemon knows about the versions of its settings.
#[derive(Debug, Default)]
pub struct SettingsTracker {
    /// Version of the newest row.
    newest: Revision,
    /// Every row up to this version is known.
    complete_to: Revision,
    /// The store confirmed at this time, or later, that there were no further rows.
    confirmed_at_ms: Option<u64>,
    newer: Option<NewerVersion>,
    last_applied: Option<AppliedVersion>,
    /// Since when the store has not answered this daemon.
    store_down_since: Option<u64>,
    /// Whether an answer of the store is being received.
    store_read_pending: bool,
    /// Whether the newest configuration could not be read: any versions between it
    /// and the active one are lost to this daemon.
    unreadable: bool,
}

impl SettingsTracker {
    /// Version of the newest row, as reported to other daemons.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Every row up to this version is known.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// How the newest settings were obtained.
    pub fn last_applied(&self) -> Option<&AppliedVersion> {
        self.last_applied.as_ref()
    }

    /// The newest reported version, if it is not known here.
    pub fn newer_version(&self) -> Option<&NewerVersion> {
        self.newer.as_ref()
    }

    /// Since when the store has not answered this daemon.
    pub fn store_down_since(&self) -> Option<u64> {
        self.store_down_since
    }

    /// Time since the store confirmed what is known here, in ms; `u64::MAX` if it
    /// never did.
    pub fn age_ms(&self, now: u64) -> u64 {
        self.confirmed_at_ms
            .map_or(u64::MAX, |at_ms| now.saturating_sub(at_ms))
    }

    /// For how long a newer version has been known of, in ms.
    pub fn lag_ms(&self, now: u64) -> u64 {
        let since_ms = self.newer.as_ref().map(|n| n.since_ms);
        since_ms.map_or(0, |since_ms| now.saturating_sub(since_ms))
    }

    /// The store has started to answer.
    pub fn store_read_started(&mut self) {
        self.store_read_pending = true;
    }

    /// The store answered: every row up to `complete_to` is known now, and there
    /// were no others at `confirmed_at_ms`. An answer that covers less than is known
    /// was made before, whenever it arrives, and confirms nothing.
    pub fn store_confirmed(&mut self, complete_to: Revision, confirmed_at_ms: u64) {
        self.store_down_since = None;
        self.store_read_pending = false;
        if complete_to < self.complete_to {
            return;
        }
        self.extend_to(complete_to);
        self.confirm_at(confirmed_at_ms);
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: u64) {
        self.store_read_pending = false;
        self.store_down_since.get_or_insert(now);
    }

    /// Another daemon reported `newest` as its newest row. `confirmed_at_ms`, if
    /// known, is when the store confirmed to it that there was nothing newer.
    pub fn peer_reported(
        &mut self,
        peer: &Name,
        newest: Revision,
        confirmed_at_ms: Option<u64>,
        now: u64,
    ) {
        if newest > self.complete_to {
            self.note_newer(peer, newest, now);
            return;
        }
        // A peer that knows less than this daemon confirms nothing about what it
        // lacks.
        if newest >= self.newest
            && let Some(confirmed_at_ms) = confirmed_at_ms
        {
            self.confirm_at(confirmed_at_ms);
        }
    }

    /// Whether rows that contain all changes after `base` follow without a gap on
    /// what is known: behind a gap they would pass for everything up to their
    /// newest.
    pub fn is_contiguous(&self, base: Revision) -> bool {
        base <= self.complete_to
    }

    /// A row of this version is active now. `requested_ms`: when it was requested.
    pub fn apply(&mut self, version: Revision, source: &Source, requested_ms: u64, now: u64) {
        if version <= self.newest {
            return;
        }
        let newer = self.newer.as_ref().filter(|n| n.version >= version);
        let started_ms = newer.map_or(requested_ms, |n| n.since_ms.min(requested_ms));
        self.last_applied = Some(AppliedVersion {
            version,
            previous: self.newest,
            source: source.clone(),
            applied_at_ms: now,
            waited_ms: now.saturating_sub(started_ms),
        });
        self.newest = version;
        self.extend_to(version);
    }

    /// Every row up to `newest` is known: another daemon sent them all.
    pub fn peer_completed(&mut self, newest: Revision) {
        self.extend_to(newest);
    }

    /// What to do about a newer version; the store has `store_timeout_ms` to
    /// deliver it.
    pub fn next_step(&self, now: u64, store_timeout_ms: u64) -> CatchUp {
        let remaining_ms = store_timeout_ms.saturating_sub(self.lag_ms(now));
        match (&self.newer, self.store_down_since) {
            (None, _) => CatchUp::Idle,
            // A second transfer in parallel would slow both down.
            (Some(_), _) if self.store_read_pending => CatchUp::Wait(store_timeout_ms),
            (Some(_), None) if remaining_ms > 0 => CatchUp::Wait(remaining_ms),
            (Some(_), _) => CatchUp::AskPeer,
        }
    }

    /// Records whether the newest configuration can be read.
    pub fn set_readable(&mut self, readable: bool) {
        self.unreadable = !readable;
    }

    /// Whether requests may be decided by the known settings. `bound_ms`: time in
    /// which an accepted version has to become active.
    pub fn freshness(&self, now: u64, bound_ms: u64) -> Freshness {
        match self.unreadable || self.newer.is_some() || self.age_ms(now) > bound_ms {
            true => Freshness::Stale,
            false => Freshness::Current,
        }
    }

    /// What to do with requests that the known settings allow.
    ///
    /// While the store is down for this daemon and nobody reports a newer version,
    /// old settings serve: a fleet whose store is down must not stop.
    pub fn verdict(&self, now: u64, bound_ms: u64) -> Verdict {
        if self.age_ms(now) <= bound_ms {
            return Verdict::Serve;
        }
        match (&self.newer, self.store_down_since) {
            (Some(_), _) => Verdict::Reject,
            (None, Some(_)) => Verdict::Serve,
            (None, None) => Verdict::Hold,
        }
    }

    /// Whether a daemon that has just started may begin to serve. When the store is
    /// down, peers have `report_ms` from the first failed call on to report a newer
    /// version.
    pub fn may_start(&self, now: u64, bound_ms: u64, report_ms: u64) -> bool {
        let confirmed = self.age_ms(now) <= bound_ms;
        let outage_ms = self.store_down_since.map_or(0, |at| now.saturating_sub(at));
        self.verdict(now, bound_ms) == Verdict::Serve && (confirmed || outage_ms >= report_ms)
    }

    fn note_newer(&mut self, peer: &Name, version: Revision, now: u64) {
        match &mut self.newer {
            Some(newer) if newer.version >= version => {}
            Some(newer) => {
                newer.version = version;
                newer.reported_by = peer.clone();
            }
            None => {
                self.newer = Some(NewerVersion {
                    version,
                    reported_by: peer.clone(),
                    since_ms: now,
                });
            }
        }
    }

    fn extend_to(&mut self, complete_to: Revision) {
        self.complete_to = self.complete_to.max(complete_to);
        if self
            .newer
            .as_ref()
            .is_some_and(|n| n.version <= self.complete_to)
        {
            self.newer = None;
        }
    }

    fn confirm_at(&mut self, confirmed_at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(confirmed_at_ms));
    }
}
