//! One daemon's knowledge of the features of requests that end targets.

use comfreyhall_domain::{Map, Name};

use crate::{
    Feature, FeatureKind, Fingerprint,
    attribution::{self, REQUIRED_ENDS},
    case::{Case, Completion, Evidence, Observation, TargetEnd},
    end_times::EndTimes,
    probe::{EVIDENCE_DELAY_MS, Probes},
};

/// How long evidence is kept after the last observation of a request. Such a
/// request may come again after minutes, and each time it were forgotten it
/// would end three more targets.
const EVIDENCE_TTL_MS: u64 = 3_600_000;

/// The time for evidence on a clock that starts with the process, in ms: evidence from
/// before the start has a time too, which is not negative.
pub fn process_time(since_start_ms: u64) -> u64 {
    since_start_ms + EVIDENCE_TTL_MS
}

/// Ends kept over all requests. A crash leaves one for each request that was
/// there, some dozens; this many take less than a megabyte.
const MAX_ENDS: usize = 4_096;

/// How long after the last end under it a quarantined request is tried again:
/// engines take seconds to come back, and a request that is quarantined wrongly
/// should not wait for minutes.
const TRIAL_DELAY_MS: u64 = 30_000;

/// Additional delay of the trial for each further daemon.
///
/// Without it, all daemons release the request at the same moment, several
/// copies are on their way before the first has ended its target, and each
/// costs one.
const STAGGER_MS: u64 = 5_000;

/// Minimum retry delay for the caller of a quarantined request.
const MIN_RETRY_MS: u64 = 5_000;

/// Early ends of a feature that no more specific one can be the cause of, from which
/// its requests wait for what is unresolved, those with a segment are probes, and its
/// evidence is stored.
const DOUBTFUL_ENDS: usize = 2;

/// Maximum number of observations in one message.
const MAX_MESSAGE_LEN: usize = 512;

/// What may be done with a request that has a feature, as far as this one decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It may be sent like any other.
    Allowed,
    /// It waits for evidence that may be on its way.
    Pending {
        /// How long, in ms.
        wait_ms: u64,
    },
    /// Requests with it may be sent one by one, as it may turn out to be the cause.
    Probe {
        /// How long until the next one may be sent, in ms.
        wait_ms: u64,
    },
    /// It may be sent once, to test whether it is the cause; not by two daemons
    /// at once.
    Trial,
    /// It must not be sent.
    Quarantined {
        /// When its caller may retry, in ms.
        retry_ms: u64,
    },
}

/// A change caused by evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Another target ended under it.
    Suspected(Fingerprint),
    /// A run cleared a segment of the ends known until then.
    Cleared(Fingerprint),
    /// It is quarantined from now on.
    Quarantined(Fingerprint),
    /// It is quarantined no longer.
    Released(Fingerprint),
}

impl Change {
    /// What changed.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Change::Suspected(f)
            | Change::Cleared(f)
            | Change::Quarantined(f)
            | Change::Released(f) => *f,
        }
    }
}

/// How much of another daemon's evidence a daemon has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SyncPosition {
    /// Identifies the other process; evidence from an earlier process is lost.
    pub boot: u64,
    /// Sequence number of the last observation received.
    pub serial: u64,
}

/// One daemon's evidence and the features quarantined by it.
#[derive(Debug)]
pub struct Quarantine {
    cases: Map<Fingerprint, Case>,
    /// Since when each is quarantined.
    quarantined: Map<Fingerprint, u64>,
    /// Sequence number of the newest observation.
    serial: u64,
    /// `None` if ends that many targets share count in full.
    times: Option<EndTimes>,
    left_out: u64,
    probes: Probes,
}

impl Default for Quarantine {
    /// One in which ends that many targets share count less.
    fn default() -> Self {
        Self {
            times: Some(EndTimes::default()),
            ..Self::unbounded()
        }
    }
}

impl Quarantine {
    /// One in which each end counts in full, however many targets ended with it.
    pub fn unbounded() -> Self {
        Self {
            cases: Map::default(),
            quarantined: Map::default(),
            serial: 0,
            times: None,
            left_out: 0,
            probes: Probes::default(),
        }
    }

    /// Observations that are not sent to other daemons, as many targets ended with
    /// theirs.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Whether nothing is known against any feature.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Whether a target ended under `fingerprint`.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.cases
            .get(fingerprint)
            .is_some_and(|c| c.sent_ends().next().is_some())
    }

    /// Whether `fingerprint` is quarantined, except for trials.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantined.contains_key(fingerprint)
    }

    /// The targets that ended under `fingerprint`.
    pub fn target_ends(&self, fingerprint: &Fingerprint) -> &[TargetEnd] {
        self.cases.get(fingerprint).map_or(&[], |c| &c.ends)
    }

    /// Which kind of feature `fingerprint` identifies, if anything is known of it.
    pub fn kind(&self, fingerprint: &Fingerprint) -> Option<FeatureKind> {
        self.cases.get(fingerprint).map(|c| c.kind)
    }

    /// Whether several targets ended under `fingerprint` and no run ever cleared it.
    pub fn is_doubtful(&self, fingerprint: &Fingerprint) -> bool {
        let doubtful = |c: &Case| c.completion.is_none() && self.lone_ends(c) >= DOUBTFUL_ENDS;
        self.cases.get(fingerprint).is_some_and(doubtful)
    }

    /// The evidence on `fingerprint` that a daemon which starts should know, if there
    /// is enough of it.
    pub fn evidence_to_store(&self, fingerprint: &Fingerprint) -> Option<Vec<Evidence>> {
        let case = self.cases.get(fingerprint)?;
        let stored = self.lone_ends(case) >= DOUBTFUL_ENDS;
        stored.then(|| {
            let all = observations(*fingerprint, case);
            all.map(|(_, evidence)| evidence).collect()
        })
    }

    /// All on which there is enough evidence for [`Self::evidence_to_store`].
    pub fn known_to_store(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let enough = |case: &Case| self.lone_ends(case) >= DOUBTFUL_ENDS;
        let cases = self.cases.iter();
        cases.filter(move |(_, case)| enough(case)).map(|(f, _)| *f)
    }

    /// Targets that ended early under a feature, not with many others.
    fn lone_ends(&self, case: &Case) -> usize {
        let is_shared = |e: &TargetEnd| {
            let times = self.times.as_ref();
            times.is_some_and(|t| t.is_shared(case, e))
        };
        let ends = case.ends.iter();
        ends.filter(|e| e.early && !is_shared(e)).count()
    }

    /// Sequence number of the newest observation.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Records an observation of this daemon or another. Does nothing if it is
    /// known, too old, or older than the last completion of the request.
    pub fn record(&mut self, evidence: Evidence, now: u64) -> Vec<Change> {
        if now.saturating_sub(evidence.at_ms) >= EVIDENCE_TTL_MS {
            return Vec::new();
        }
        let Feature { kind, fingerprint } = evidence.feature;
        let serial = self.serial + 1;
        let ended_target = match &evidence.observation {
            Observation::TargetEnded { target, .. } => Some(target.clone()),
            Observation::Completed => None,
        };
        let earlier = match (&mut self.times, &ended_target) {
            (Some(times), Some(target)) => times.record(target, evidence.at_ms),
            _ => false,
        };
        let replace = self.times.is_some();
        let case = self.cases.entry(fingerprint);
        let case = case.or_insert_with(|| Case::new(kind));
        if kind.specificity() > case.kind.specificity() {
            case.kind = kind;
        }
        let had_ends = !case.ends.is_empty();
        let (new, suspect) = match evidence.observation {
            Observation::TargetEnded { target, early } => {
                let end = TargetEnd {
                    target,
                    early,
                    at_ms: evidence.at_ms,
                    observer: evidence.observer,
                    serial,
                };
                let new = case.add_end(end, replace);
                (new, new)
            }
            Observation::Completed => {
                let completion = Completion {
                    at_ms: evidence.at_ms,
                    observer: evidence.observer,
                    serial,
                };
                (case.record_completion(completion), false)
            }
        };
        if !new {
            return match earlier {
                true => self.reevaluate(now),
                false => Vec::new(),
            };
        }
        let serial = case.send_all(serial);
        let left_out = ended_target.is_some_and(|t| self.leave_out(&t, fingerprint));
        let mut changes = Vec::new();
        if !left_out {
            self.serial = serial;
        }
        if suspect && !left_out {
            changes.push(Change::Suspected(fingerprint));
        }
        if !suspect && had_ends && !kind.is_request() {
            changes.push(Change::Cleared(fingerprint));
        }
        self.drop_excess();
        changes.extend(self.reevaluate(now));
        changes
    }

    /// Drops evidence that is too old.
    pub fn expire(&mut self, now: u64) -> Vec<Change> {
        let before = self.cases.len();
        self.cases
            .retain(|_, c| now.saturating_sub(c.last_ms()) < EVIDENCE_TTL_MS);
        if let Some(times) = &mut self.times {
            times.expire(now.saturating_sub(EVIDENCE_TTL_MS));
        }
        match self.cases.len() == before {
            true => Vec::new(),
            false => self.reevaluate(now),
        }
    }

    /// What may be done with `fingerprint` at the daemon that is the `rank`th
    /// to try it again; 0 is first.
    pub fn status(&self, fingerprint: &Fingerprint, rank: usize, now: u64) -> Status {
        let Some(case) = self.cases.get(fingerprint) else {
            return Status::Allowed;
        };
        if !self.is_quarantined(fingerprint) {
            let is_segment = !case.kind.is_request();
            return match is_segment && self.lone_ends(case) >= DOUBTFUL_ENDS {
                true => Status::Probe {
                    wait_ms: self.probes.wait_ms(fingerprint, case.last_end_ms(), now),
                },
                false => Status::Allowed,
            };
        }
        let since = self.quarantined.get(fingerprint).copied().unwrap_or(now);
        let decided_ms = since + EVIDENCE_DELAY_MS;
        if !case.kind.is_request() && now < decided_ms {
            return Status::Pending {
                wait_ms: decided_ms - now,
            };
        }
        let Some(due) = trial_time_ms(case, self.times.as_ref(), rank) else {
            let expires_at = case.last_end_ms() + EVIDENCE_TTL_MS;
            return quarantined_for(expires_at.saturating_sub(now));
        };
        match due.saturating_sub(now) {
            0 => Status::Trial,
            ms => quarantined_for(ms),
        }
    }

    /// Those of `features` of which a request with them is a probe, except `own`, and how
    /// long it has to wait for each, in ms.
    pub fn probes(
        &self,
        features: &[Feature],
        own: &[Fingerprint],
        now: u64,
    ) -> Vec<(Fingerprint, u64)> {
        let others = features.iter().map(|f| f.fingerprint);
        let others = others.filter(|f| !own.contains(f));
        let probes = others.filter_map(|f| match self.status(&f, 0, now) {
            Status::Probe { wait_ms } => Some((f, wait_ms)),
            _ => None,
        });
        probes.collect()
    }

    /// Records that this daemon sends a request with `fingerprint`, which is a probe.
    pub fn start_probe(&mut self, fingerprint: Fingerprint, now: u64) {
        self.probes.start(fingerprint, now);
    }

    /// Evidence for a daemon that has received all observations up to `serial`,
    /// with the number of the last one returned.
    pub fn evidence_since(&self, serial: u64) -> (Vec<Evidence>, u64) {
        if serial >= self.serial {
            return (Vec::new(), self.serial);
        }
        let evidence_list = self
            .cases
            .iter()
            .flat_map(|(fingerprint, case)| observations(*fingerprint, case));
        let mut evidence_list: Vec<(u64, Evidence)> =
            evidence_list.filter(|(s, _)| *s > serial).collect();
        evidence_list.sort_by_key(|(s, _)| *s);
        let last = match evidence_list.get(MAX_MESSAGE_LEN.saturating_sub(1)) {
            Some((s, _)) if evidence_list.len() > MAX_MESSAGE_LEN => *s,
            _ => self.serial,
        };
        let evidence_list = evidence_list.into_iter().filter(|(s, _)| *s <= last);
        (evidence_list.map(|(_, e)| e).collect(), last)
    }

    /// Keeps to itself what is beyond the bound for requests that `target` and many
    /// others ended with; returns whether `fingerprint` is one of them.
    fn leave_out(&mut self, target: &Name, fingerprint: Fingerprint) -> bool {
        let times = self.times.as_ref();
        let excess = times.map_or(Vec::new(), |t| t.excess(&self.cases, target));
        self.left_out += excess.len() as u64;
        for left_out in &excess {
            if let Some(case) = self.cases.get_mut(left_out) {
                case.ends.iter_mut().for_each(|e| e.serial = 0);
            }
        }
        excess.contains(&fingerprint)
    }

    /// Drops the oldest cases beyond the bound, starting with those that are
    /// not quarantined.
    fn drop_excess(&mut self) {
        let mut ends: usize = self.cases.values().map(|c| c.ends.len()).sum();
        while ends > MAX_ENDS || self.cases.len() > MAX_ENDS {
            let oldest = self
                .cases
                .iter()
                .min_by_key(|(f, c)| (self.quarantined.contains_key(*f), c.last_ms(), **f));
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else {
                return;
            };
            let removed = self.cases.remove(&fingerprint);
            ends -= removed.map_or(0, |c| c.ends.len());
        }
    }

    /// Reevaluates which features are quarantined.
    fn reevaluate(&mut self, now: u64) -> Vec<Change> {
        let quarantined = attribution::quarantined(&self.cases, self.times.as_ref());
        let started = quarantined
            .iter()
            .filter(|f| !self.quarantined.contains_key(*f))
            .map(|f| Change::Quarantined(*f));
        let released = self
            .quarantined
            .keys()
            .filter(|f| !quarantined.contains(*f))
            .map(|f| Change::Released(*f));
        let mut changes: Vec<Change> = started.chain(released).collect();
        changes.sort_by_key(Change::fingerprint);
        self.quarantined.retain(|f, _| quarantined.contains(f));
        for fingerprint in quarantined {
            self.quarantined.entry(fingerprint).or_insert(now);
        }
        changes
    }
}

fn quarantined_for(ms: u64) -> Status {
    Status::Quarantined {
        retry_ms: ms.max(MIN_RETRY_MS),
    }
}

/// When the daemon that is the `rank`th to try it may do so. `None` if no
/// daemon may: a trial of the cause costs an engine and what runs there, and one
/// that ended a target in a trial needs no other.
fn trial_time_ms(case: &Case, times: Option<&EndTimes>, rank: usize) -> Option<u64> {
    let is_shared = |end: &TargetEnd| times.is_some_and(|t| t.is_shared(case, end));
    let allowed = match case.kind {
        FeatureKind::Request => {
            let alone = case.ends.iter().filter(|e| !is_shared(e)).count();
            alone <= REQUIRED_ENDS
        }
        FeatureKind::Segment { .. } => !ended_in_trial(case),
    };
    allowed.then(|| case.last_end_ms() + TRIAL_DELAY_MS + rank as u64 * STAGGER_MS)
}

/// Whether the last end came so long after the one before that it was a trial's.
fn ended_in_trial(case: &Case) -> bool {
    let mut times: Vec<u64> = case.ends.iter().map(|e| e.at_ms).collect();
    times.sort_unstable();
    match times[..] {
        [.., before, last] => last.saturating_sub(before) >= TRIAL_DELAY_MS,
        _ => false,
    }
}

/// All observations of a feature that are sent to other daemons, with their sequence
/// numbers.
fn observations(
    fingerprint: Fingerprint,
    case: &Case,
) -> impl Iterator<Item = (u64, Evidence)> + '_ {
    let kind = case.kind;
    let evidence = move |observation, at_ms, observer: &Name| Evidence {
        feature: Feature { kind, fingerprint },
        observation,
        at_ms,
        observer: observer.clone(),
    };
    let ends = case.sent_ends().map(move |e| {
        let observation = Observation::TargetEnded {
            target: e.target.clone(),
            early: e.early,
        };
        (e.serial, evidence(observation, e.at_ms, &e.observer))
    });
    let completion = case.completion.iter();
    let completion = completion.map(move |c| {
        (
            c.serial,
            evidence(Observation::Completed, c.at_ms, &c.observer),
        )
    });
    completion.chain(ends)
}
