//! What one daemon knows of requests that end targets.

use comfreyhall_domain::{Map, Name, Set};

use crate::{
    Fingerprint,
    case::{Case, Cleared, Evidence, Observation, TargetEnd},
    weigh::{self, ENDS},
};

/// How long evidence is kept after the last that was seen of a request, in
/// ms: such a request may come again after minutes, and each time it were
/// forgotten it would end three more targets.
const FORGET_MS: u64 = 3_600_000;

/// Ends kept over all requests. A crash leaves one for each request that was
/// there, some dozens; this many take less than a megabyte.
const MOST_ENDS: usize = 4_096;

/// How long after the last end under it a request that is held back is tried
/// again, in ms: engines take seconds to come back, and one that is held back
/// wrongly is not to wait for minutes.
const TRIAL_MS: u64 = 30_000;

/// How much later each next daemon may make the trial, in ms.
///
/// What goes wrong without it: all daemons let the request go at the same
/// moment, several copies are on their way before the first has ended its
/// target, and each costs one.
const STAGGER_MS: u64 = 5_000;

/// Least time after which the caller of a request that is held back is told
/// to come back, in ms.
const LEAST_RETRY_MS: u64 = 5_000;

/// Findings told in one message.
const MOST_TOLD: usize = 512;

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It may be sent like any other.
    Allowed,
    /// It may be sent once, to see whether it is to blame; not by two at once.
    Trial,
    /// It is not sent.
    Quarantined {
        /// When its caller may come back, in ms.
        retry_ms: u64,
    },
}

/// What evidence changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A target ended under it that was not known of.
    Suspected(Fingerprint),
    /// It is held back from now on.
    Quarantined(Fingerprint),
    /// It is held back no longer.
    Released(Fingerprint),
}

/// How far a daemon has heard what another knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SyncPosition {
    /// Which process of the other; what another process of it told is gone.
    pub boot: u64,
    /// Number of the last finding heard.
    pub serial: u64,
}

/// Under which requests targets ended, as far as one daemon knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: Map<Fingerprint, Case>,
    held: Set<Fingerprint>,
    /// Number of the newest finding.
    serial: u64,
}

impl Quarantine {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Whether a target ended under `fingerprint`.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.cases
            .get(fingerprint)
            .is_some_and(|c| !c.ends.is_empty())
    }

    /// Whether `fingerprint` is held back, but for trials.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.held.contains(fingerprint)
    }

    /// The targets that ended under `fingerprint`.
    pub fn target_ends(&self, fingerprint: &Fingerprint) -> &[TargetEnd] {
        self.cases.get(fingerprint).map_or(&[], |c| &c.ends)
    }

    /// Number of the newest finding.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Takes in what this daemon or another has seen. Nothing happens if it is
    /// known, too old, or older than the last time the request ran whole.
    pub fn record(&mut self, evidence: Evidence, now: u64) -> Vec<Change> {
        if now.saturating_sub(evidence.at_ms) >= FORGET_MS {
            return Vec::new();
        }
        let fingerprint = evidence.fingerprint;
        let serial = self.serial + 1;
        let case = self.cases.entry(fingerprint).or_default();
        let (new, suspect) = match evidence.observation {
            Observation::TargetEnded { target, early } => {
                let new = case.end(TargetEnd {
                    target,
                    early,
                    at_ms: evidence.at_ms,
                    observer: evidence.observer,
                    serial,
                });
                (new, new)
            }
            Observation::Completed => {
                let cleared = Cleared {
                    at: evidence.at_ms,
                    witness: evidence.observer,
                    serial,
                };
                (case.clear(cleared), false)
            }
        };
        if !new {
            return Vec::new();
        }
        self.serial = serial;
        let mut changes = Vec::new();
        if suspect {
            changes.push(Change::Suspected(fingerprint));
        }
        self.bound();
        changes.extend(self.weigh());
        changes
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: u64) -> Vec<Change> {
        let before = self.cases.len();
        self.cases
            .retain(|_, c| now.saturating_sub(c.last()) < FORGET_MS);
        match self.cases.len() == before {
            true => Vec::new(),
            false => self.weigh(),
        }
    }

    /// What may be done with `fingerprint` at a daemon that is the `rank`th to try
    /// it again; 0 is first.
    pub fn status(&self, fingerprint: &Fingerprint, rank: usize, now: u64) -> Status {
        let Some(case) = self
            .cases
            .get(fingerprint)
            .filter(|_| self.is_quarantined(fingerprint))
        else {
            return Status::Allowed;
        };
        let Some(due) = trial_at(case, rank) else {
            let forgotten = case.last_end() + FORGET_MS;
            return held_for(forgotten.saturating_sub(now));
        };
        match due.saturating_sub(now) {
            0 => Status::Trial,
            ms => held_for(ms),
        }
    }

    /// What to tell a daemon that has heard all findings up to `serial`, with
    /// the number of the last one told.
    pub fn evidence_since(&self, serial: u64) -> (Vec<Evidence>, u64) {
        if serial >= self.serial {
            return (Vec::new(), self.serial);
        }
        let told = self
            .cases
            .iter()
            .flat_map(|(fingerprint, case)| findings(*fingerprint, case));
        let mut told: Vec<(u64, Evidence)> = told.filter(|(s, _)| *s > serial).collect();
        told.sort_by_key(|(s, _)| *s);
        let last = match told.get(MOST_TOLD.saturating_sub(1)) {
            Some((s, _)) if told.len() > MOST_TOLD => *s,
            _ => self.serial,
        };
        let told = told.into_iter().filter(|(s, _)| *s <= last);
        (told.map(|(_, e)| e).collect(), last)
    }

    /// Drops the oldest cases beyond the bound, those that are not held back
    /// first.
    fn bound(&mut self) {
        let mut ends: usize = self.cases.values().map(|c| c.ends.len()).sum();
        while ends > MOST_ENDS || self.cases.len() > MOST_ENDS {
            let oldest = self
                .cases
                .iter()
                .min_by_key(|(p, c)| (self.held.contains(*p), c.last(), **p));
            let Some(fingerprint) = oldest.map(|(p, _)| *p) else {
                return;
            };
            let gone = self.cases.remove(&fingerprint);
            ends -= gone.map_or(0, |c| c.ends.len());
        }
    }

    /// Decides anew who is held back.
    fn weigh(&mut self) -> Vec<Change> {
        let held = weigh::held(&self.cases);
        let begun = held.difference(&self.held).map(|p| Change::Quarantined(*p));
        let ended = self.held.difference(&held).map(|p| Change::Released(*p));
        let mut changes: Vec<Change> = begun.chain(ended).collect();
        changes.sort_by_key(|c| match c {
            Change::Suspected(p) | Change::Quarantined(p) | Change::Released(p) => *p,
        });
        self.held = held;
        changes
    }
}

fn held_for(ms: u64) -> Status {
    Status::Quarantined {
        retry_ms: ms.max(LEAST_RETRY_MS),
    }
}

/// When the daemon that is the `rank`th to try it may do so; `None` if nobody
/// may: a trial of the one that is to blame costs an engine and what runs there,
/// and whatever ended more targets than were needed has had its trial.
fn trial_at(case: &Case, rank: usize) -> Option<u64> {
    let may = case.ends.len() <= ENDS;
    may.then(|| case.last_end() + TRIAL_MS + rank as u64 * STAGGER_MS)
}

/// Everything that is known of a request, with the numbers of the findings.
fn findings(fingerprint: Fingerprint, case: &Case) -> impl Iterator<Item = (u64, Evidence)> + '_ {
    let evidence = move |finding, at, witness: &Name| Evidence {
        fingerprint,
        observation: finding,
        at_ms: at,
        observer: witness.clone(),
    };
    let ends = case.ends.iter().map(move |e| {
        let finding = Observation::TargetEnded {
            target: e.target.clone(),
            early: e.early,
        };
        (e.serial, evidence(finding, e.at_ms, &e.observer))
    });
    let cleared = case.cleared.iter();
    let cleared =
        cleared.map(move |c| (c.serial, evidence(Observation::Completed, c.at, &c.witness)));
    cleared.chain(ends)
}
