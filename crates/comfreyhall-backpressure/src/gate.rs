//! What each target last said.

use comfreyhall_domain::{Map, Name};

use crate::{Notice, Rate};

/// How long a target is remembered after it was last heard, in ms. A word older
/// than that counts no more: were it kept, a daemon that has no answers of a
/// target would obey for good what the target may have taken back.
const FORGET_MS: u64 = 60_000;

/// What a target says of its limit, and since when that is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Its limit; `None` if it has none any more.
    pub limit: Option<Rate>,
    /// When it was heard, in ms of this daemon's clock.
    pub received_ms: u64,
    /// Whether the target told this daemon itself.
    pub direct: bool,
}

/// How long a target that leaves is remembered, in ms: it may go on for as long
/// as the store, which has to take note of it, is away.
const LEAVING_MS: u64 = 3_600_000;

/// What has changed for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It begins to name a limit, or names another.
    Limited {
        /// The new limit.
        limit: Rate,
        /// The one before, if there was one.
        previous: Option<Rate>,
    },
    /// It names no limit any more.
    Unlimited {
        /// How long it had one, in ms.
        after_ms: u64,
    },
    /// It wants nothing from this daemon for a while.
    CooldownStarted {
        /// For how long, in ms.
        cooldown_ms: u64,
    },
    /// Its rest is over.
    CooldownEnded,
    /// It leaves.
    Draining,
}

/// One start of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Signals {
    /// What it last said of its limit.
    word: Option<LimitReport>,
    /// Since when it has a limit.
    since: u64,
    /// Until when it wants nothing from this daemon; 0 if it may be sent to.
    rest_until: u64,
    /// Since when it is known to leave.
    leaving: Option<u64>,
}

impl Signals {
    fn limit(&self, now: u64) -> Option<Rate> {
        self.recent(now)?.limit
    }

    /// What it said of its limit, if that counts still.
    fn recent(&self, now: u64) -> Option<LimitReport> {
        let recent = |w: &LimitReport| now.saturating_sub(w.received_ms) < FORGET_MS;
        self.word.filter(recent)
    }

    fn leaves(&self, now: u64) -> bool {
        let recent = |since| now.saturating_sub(since) < LEAVING_MS;
        self.leaving.is_some_and(recent)
    }

    /// Whether it says nothing any more.
    fn silent(&self, now: u64) -> bool {
        self.recent(now).is_none() && self.rest_until == 0 && !self.leaves(now)
    }
}

/// What targets have said, by the id of their start.
#[derive(Debug, Default)]
pub struct TargetSignals {
    gates: Map<Name, Signals>,
}

impl TargetSignals {
    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Takes in `notice` of `target`, read at `now` in the answer to a request
    /// that was sent at `sent`; `None` for answers to orders, reports and probes,
    /// which need not bear all that a target says.
    pub fn record_notice(
        &mut self,
        target: &Name,
        notice: &Notice,
        sent: Option<u64>,
        now: u64,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.hear_limit(target, notice.limit, sent, now));
        changes.extend(notice.cooldown_ms.and_then(|ms| self.rest(target, ms, now)));
        if notice.draining {
            changes.extend(self.leave(target, now));
        }
        changes
    }

    /// Answers come in any order. One whose request was sent after the last word
    /// came is newer than it; of others it is not known, and the lower limit
    /// counts.
    fn hear_limit(
        &mut self,
        target: &Name,
        said: Option<Rate>,
        sent: Option<u64>,
        now: u64,
    ) -> Option<Change> {
        let known = self.gates.get(target).and_then(|g| g.word);
        let limit = match (known.and_then(|w| w.limit), said) {
            (None, None) => return None,
            (Some(before), said) if known.is_some_and(|w| sent < Some(w.received_ms)) => match said
            {
                Some(limit) if limit < before => Some(limit),
                _ => return None,
            },
            (_, said) => said,
        };
        let word = LimitReport {
            limit,
            received_ms: now,
            direct: true,
        };
        self.put(target, word, now)
    }

    /// A rest that was asked for earlier and lasts longer stands.
    fn rest(&mut self, target: &Name, rest_ms: u64, now: u64) -> Option<Change> {
        let gate = self.gates.entry(target.clone()).or_default();
        let began = gate.rest_until == 0;
        gate.rest_until = gate.rest_until.max(now + rest_ms);
        began.then_some(Change::CooldownStarted {
            cooldown_ms: rest_ms,
        })
    }

    /// A start of a target that leaves does not come back.
    fn leave(&mut self, target: &Name, since: u64) -> Option<Change> {
        let gate = self.gates.entry(target.clone()).or_default();
        let began = gate.leaving.is_none();
        gate.leaving.get_or_insert(since);
        began.then_some(Change::Draining)
    }

    /// Takes in what `target` told another daemon, if it is newer than what is
    /// known here.
    pub fn record_reported_limit(
        &mut self,
        target: &Name,
        word: LimitReport,
        now: u64,
    ) -> Option<Change> {
        let known = self.gates.get(target).and_then(|g| g.word);
        let newer = known.is_none_or(|w| word.received_ms > w.received_ms);
        let old = now.saturating_sub(word.received_ms) >= FORGET_MS;
        // The end of a limit that was not known says nothing.
        let says = word.limit.is_some() || known.is_some();
        (newer && says && !old).then(|| self.put(target, word, now))?
    }

    /// Takes in that `target` told another daemon `age_ms` ago that it leaves.
    pub fn record_reported_drain(
        &mut self,
        target: &Name,
        age_ms: u64,
        now: u64,
    ) -> Option<Change> {
        let since = now.saturating_sub(age_ms);
        (age_ms < LEAVING_MS).then(|| self.leave(target, since))?
    }

    /// Puts `word` in the place of what was known of `target`.
    fn put(&mut self, target: &Name, word: LimitReport, now: u64) -> Option<Change> {
        let gate = self.gates.entry(target.clone()).or_default();
        let before = gate.limit(now);
        if before.is_none() {
            gate.since = now;
        }
        gate.word = Some(word);
        let after_ms = now.saturating_sub(gate.since);
        match (before, word.limit) {
            (before, Some(limit)) if before != Some(limit) => Some(Change::Limited {
                limit,
                previous: before,
            }),
            (Some(_), None) => Some(Change::Unlimited { after_ms }),
            _ => None,
        }
    }

    /// Forgets what counts no more, and names what has ended with it.
    pub fn expire(&mut self, now: u64) -> Vec<(Name, Change)> {
        let mut ended = Vec::new();
        for (target, gate) in &mut self.gates {
            if gate.rest_until > 0 && now >= gate.rest_until {
                gate.rest_until = 0;
                ended.push((target.clone(), Change::CooldownEnded));
            }
            let lapsed = gate.word.filter(|_| gate.recent(now).is_none());
            if lapsed.is_some_and(|w| w.limit.is_some()) {
                let after_ms = now.saturating_sub(gate.since);
                ended.push((target.clone(), Change::Unlimited { after_ms }));
            }
            gate.word = gate.recent(now);
        }
        self.gates.retain(|_, g| !g.silent(now));
        ended
    }

    /// The limit of `target`.
    pub fn limit(&self, target: &str, now: u64) -> Option<Rate> {
        self.gates.get(target)?.limit(now)
    }

    /// Whether `target` is known to leave.
    pub fn is_draining(&self, target: &str, now: u64) -> bool {
        self.gates.get(target).is_some_and(|g| g.leaves(now))
    }

    /// Ms for which `target` wants nothing from this daemon.
    pub fn cooldown_ms(&self, target: &str, now: u64) -> u64 {
        let gate = self.gates.get(target);
        gate.map_or(0, |g| g.rest_until.saturating_sub(now))
    }

    /// What all targets have said of their limits.
    pub fn limit_reports(&self, now: u64) -> impl Iterator<Item = (&Name, LimitReport)> {
        let all = self.gates.iter();
        all.filter_map(move |(target, g)| Some((target, g.recent(now)?)))
    }

    /// Targets with a limit.
    pub fn limits(&self, now: u64) -> impl Iterator<Item = (&Name, Rate)> {
        let all = self.gates.iter();
        all.filter_map(move |(target, g)| Some((target, g.limit(now)?)))
    }

    /// Targets that are at rest, and for how many ms more.
    pub fn cooldowns(&self, now: u64) -> impl Iterator<Item = (&Name, u64)> {
        let all = self.gates.iter();
        let rest = all.map(move |(target, g)| (target, g.rest_until.saturating_sub(now)));
        rest.filter(|(_, ms)| *ms > 0)
    }

    /// Targets that are known to leave, and for how many ms.
    pub fn draining(&self, now: u64) -> impl Iterator<Item = (&Name, u64)> {
        let leaving = self.gates.iter().filter(move |(_, g)| g.leaves(now));
        leaving.filter_map(move |(target, g)| Some((target, now.saturating_sub(g.leaving?))))
    }
}
