//! The last signals received from each target.

use comfreyhall_domain::{Map, Name};

use crate::{Notice, Rate};

/// How long a limit is kept after it was last reported. A daemon that gets no
/// answers from a target would otherwise apply permanently a limit that the target
/// may have lifted.
const LIMIT_TTL_MS: u64 = 60_000;

/// A target's limit as of one report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if the target has none any more.
    pub limit: Option<Rate>,
    /// When it was received, in ms of this daemon's clock.
    pub received_ms: u64,
    /// Whether the target reported it to this daemon itself.
    pub direct: bool,
}

/// How long a draining target is kept: it may go on for as long as the
/// store, in which its end is recorded, is unreachable.
const DRAINING_TTL_MS: u64 = 3_600_000;

/// A change in a target's signals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It reports a limit for the first time, or a different one.
    Limited {
        /// The new limit.
        limit: Rate,
        /// The previous limit, if there was one.
        previous: Option<Rate>,
    },
    /// It reports no limit any more.
    Unlimited {
        /// How long it had a limit.
        after_ms: u64,
    },
    /// It asked this daemon not to send for a while.
    CooldownStarted {
        /// For how long.
        cooldown_ms: u64,
    },
    /// Its cooldown is over.
    CooldownEnded,
    /// It is draining.
    Draining,
}

/// Signals of one boot of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Signals {
    /// Its last limit report.
    report: Option<LimitReport>,
    /// When it began to have a limit.
    limited_since_ms: u64,
    /// Until when it asked this daemon not to send; 0 for no cooldown.
    cooldown_end_ms: u64,
    /// When it was first known to be draining.
    draining_since: Option<u64>,
}

impl Signals {
    fn limit(&self, now: u64) -> Option<Rate> {
        self.current_report(now)?.limit
    }

    /// The last limit report, unless it has expired.
    fn current_report(&self, now: u64) -> Option<LimitReport> {
        let recent = |w: &LimitReport| now.saturating_sub(w.received_ms) < LIMIT_TTL_MS;
        self.report.filter(recent)
    }

    fn is_draining(&self, now: u64) -> bool {
        let recent = |since| now.saturating_sub(since) < DRAINING_TTL_MS;
        self.draining_since.is_some_and(recent)
    }

    /// Whether nothing is left to remember.
    fn is_expired(&self, now: u64) -> bool {
        self.current_report(now).is_none() && self.cooldown_end_ms == 0 && !self.is_draining(now)
    }
}

/// The signals of all targets, by the id of their boot.
#[derive(Debug, Default)]
pub struct TargetSignals {
    signals: Map<Name, Signals>,
}

impl TargetSignals {
    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.signals.is_empty()
    }

    /// Records `notice` of `target`, read at `now` in the answer to a request
    /// that was sent at `sent`. `sent` is `None` for answers to commands,
    /// reports and probes, which need not carry all signals.
    pub fn record_notice(
        &mut self,
        target: &Name,
        notice: &Notice,
        sent: Option<u64>,
        now: u64,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.record_limit(target, notice.limit, sent, now));
        changes.extend(
            notice
                .cooldown_ms
                .and_then(|ms| self.start_cooldown(target, ms, now)),
        );
        if notice.draining {
            changes.extend(self.start_draining(target, now));
        }
        changes
    }

    /// Answers arrive in any order. One whose request was sent after the last
    /// report was received is newer than it; the order of others is unknown,
    /// and the lower limit applies.
    fn record_limit(
        &mut self,
        target: &Name,
        reported: Option<Rate>,
        sent: Option<u64>,
        now: u64,
    ) -> Option<Change> {
        let known = self.signals.get(target).and_then(|g| g.report);
        let limit = match (known.and_then(|w| w.limit), reported) {
            (None, None) => return None,
            (Some(previous), reported) if known.is_some_and(|w| sent < Some(w.received_ms)) => {
                match reported {
                    Some(limit) if limit < previous => Some(limit),
                    _ => return None,
                }
            }
            (_, reported) => reported,
        };
        let report = LimitReport {
            limit,
            received_ms: now,
            direct: true,
        };
        self.set_report(target, report, now)
    }

    /// A cooldown that was requested earlier and lasts longer remains.
    fn start_cooldown(&mut self, target: &Name, cooldown_ms: u64, now: u64) -> Option<Change> {
        let signal = self.signals.entry(target.clone()).or_default();
        let started = signal.cooldown_end_ms == 0;
        signal.cooldown_end_ms = signal.cooldown_end_ms.max(now + cooldown_ms);
        started.then_some(Change::CooldownStarted { cooldown_ms })
    }

    /// A boot of a target that drains does not come back.
    fn start_draining(&mut self, target: &Name, since: u64) -> Option<Change> {
        let signal = self.signals.entry(target.clone()).or_default();
        let started = signal.draining_since.is_none();
        signal.draining_since.get_or_insert(since);
        started.then_some(Change::Draining)
    }

    /// Records a limit that `target` reported to another daemon, if it is newer
    /// than what is known here.
    pub fn record_reported_limit(
        &mut self,
        target: &Name,
        report: LimitReport,
        now: u64,
    ) -> Option<Change> {
        let known = self.signals.get(target).and_then(|g| g.report);
        let newer = known.is_none_or(|w| report.received_ms > w.received_ms);
        let expired = now.saturating_sub(report.received_ms) >= LIMIT_TTL_MS;
        // The end of an unknown limit changes nothing.
        let relevant = report.limit.is_some() || known.is_some();
        (newer && relevant && !expired).then(|| self.set_report(target, report, now))?
    }

    /// Records that `target` reported to another daemon `age_ms` ago that it is
    /// draining.
    pub fn record_reported_drain(
        &mut self,
        target: &Name,
        age_ms: u64,
        now: u64,
    ) -> Option<Change> {
        let since = now.saturating_sub(age_ms);
        (age_ms < DRAINING_TTL_MS).then(|| self.start_draining(target, since))?
    }

    /// Replaces the last limit report of `target`.
    fn set_report(&mut self, target: &Name, report: LimitReport, now: u64) -> Option<Change> {
        let signal = self.signals.entry(target.clone()).or_default();
        let previous = signal.limit(now);
        if previous.is_none() {
            signal.limited_since_ms = now;
        }
        signal.report = Some(report);
        let after_ms = now.saturating_sub(signal.limited_since_ms);
        match (previous, report.limit) {
            (previous, Some(limit)) if previous != Some(limit) => {
                Some(Change::Limited { limit, previous })
            }
            (Some(_), None) => Some(Change::Unlimited { after_ms }),
            _ => None,
        }
    }

    /// Drops expired signals and returns what ended with them.
    pub fn expire(&mut self, now: u64) -> Vec<(Name, Change)> {
        let mut ended = Vec::new();
        for (target, signal) in &mut self.signals {
            if signal.cooldown_end_ms > 0 && now >= signal.cooldown_end_ms {
                signal.cooldown_end_ms = 0;
                ended.push((target.clone(), Change::CooldownEnded));
            }
            let expired_report = signal
                .report
                .filter(|_| signal.current_report(now).is_none());
            if expired_report.is_some_and(|w| w.limit.is_some()) {
                let after_ms = now.saturating_sub(signal.limited_since_ms);
                ended.push((target.clone(), Change::Unlimited { after_ms }));
            }
            signal.report = signal.current_report(now);
        }
        self.signals.retain(|_, g| !g.is_expired(now));
        ended
    }

    /// The limit of `target`.
    pub fn limit(&self, target: &str, now: u64) -> Option<Rate> {
        self.signals.get(target)?.limit(now)
    }

    /// Whether `target` is known to be draining.
    pub fn is_draining(&self, target: &str, now: u64) -> bool {
        self.signals.get(target).is_some_and(|g| g.is_draining(now))
    }

    /// How long `target` asked this daemon not to send.
    pub fn cooldown_ms(&self, target: &str, now: u64) -> u64 {
        let signal = self.signals.get(target);
        signal.map_or(0, |g| g.cooldown_end_ms.saturating_sub(now))
    }

    /// The last limit report of every target.
    pub fn limit_reports(&self, now: u64) -> impl Iterator<Item = (&Name, LimitReport)> {
        let all = self.signals.iter();
        all.filter_map(move |(target, g)| Some((target, g.current_report(now)?)))
    }

    /// Targets with a limit.
    pub fn limits(&self, now: u64) -> impl Iterator<Item = (&Name, Rate)> {
        let all = self.signals.iter();
        all.filter_map(move |(target, g)| Some((target, g.limit(now)?)))
    }

    /// Targets in cooldown, with the ms left.
    pub fn cooldowns(&self, now: u64) -> impl Iterator<Item = (&Name, u64)> {
        let all = self.signals.iter();
        let cooldowns = all.map(move |(target, g)| (target, g.cooldown_end_ms.saturating_sub(now)));
        cooldowns.filter(|(_, ms)| *ms > 0)
    }

    /// Targets known to be draining, with the ms since.
    pub fn draining(&self, now: u64) -> impl Iterator<Item = (&Name, u64)> {
        let draining = self.signals.iter().filter(move |(_, g)| g.is_draining(now));
        draining
            .filter_map(move |(target, g)| Some((target, now.saturating_sub(g.draining_since?))))
    }
}
