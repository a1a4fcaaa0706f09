//! Attributes the ends of targets to features of requests.
//!
//! A target that ends takes down everything that runs there, so each end is
//! evidence against all requests that were there and against all their segments.
//! These rules distinguish the cause from the others:
//!
//! - The cause ends its targets as it starts to run: a request that had been
//!   answered for a while is less suspect.
//! - Ends explained by a request under which more targets ended are no evidence
//!   against the others. The strongest suspects are examined first, and each is
//!   quarantined for what those before it leave unexplained.
//! - The cause explains most ends in its time span. When targets are killed in
//!   a row, an ordinary request that is retried again and again loses some of
//!   them, while others end without it. A segment does not need that: of many
//!   requests with it some go on.
//! - A segment is the cause only if no more specific feature is: a request whose
//!   retries end targets is on all the ends of its segments, and a segment that
//!   crashes targets is on all the ends of the one that many prompts begin with.
//!
//! A run that continues clears its features, so a segment that other requests share is
//! a suspect only until one of them answers. A segment needs an end more than a
//! request, because many requests are rejected with it.
//!
//! Ends that many targets share count less ([`moment`](crate::moment)); without
//! [`EndTimes`] all count in full.

use comfreyhall_domain::{Map, Name, Set};

use crate::{
    FeatureKind, Fingerprint,
    case::{Case, TargetEnd},
    end_times::EndTimes,
};

/// Targets that must have ended as they started a request for it to be
/// quarantined. Each more than needed costs an engine and all that runs there.
pub(crate) const REQUIRED_ENDS: usize = 3;

/// Weight of the end of a target that had just started the request, and of one
/// that had answered it for a while.
pub(crate) const EARLY_WEIGHT: u32 = 2;
pub(crate) const LATE_WEIGHT: u32 = 1;

/// Weight of unexplained ends from which a request is quarantined.
const QUARANTINE_WEIGHT: u32 = EARLY_WEIGHT * REQUIRED_ENDS as u32;

/// The same while other targets end without it, and nothing explains them.
const AMID_OTHERS_WEIGHT: u32 = QUARANTINE_WEIGHT + EARLY_WEIGHT;

/// Weight from which a request is quarantined whatever else explains its ends.
///
/// Without it, a bystander that was there each time and once more elsewhere
/// explains all ends of the actual cause, which then needs three more to be
/// quarantined.
const CERTAIN_WEIGHT: u32 = QUARANTINE_WEIGHT + 2 * EARLY_WEIGHT;

/// Ends this long before a request's first end and after its last count as in
/// its time span: the pause between two crashes of a series.
const TIME_MARGIN_MS: u64 = 1_000;

/// Weight from which a segment is quarantined, and how much of it must be of ends that
/// nothing else explains.
///
/// Of two segments that end targets at the same time, requests with either run on the
/// same target now and then: that end is evidence against both.
const SEGMENT_WEIGHT: u32 = QUARANTINE_WEIGHT + EARLY_WEIGHT;
const SEGMENT_OWN_WEIGHT: u32 = QUARANTINE_WEIGHT;

/// Weight from which a segment is quarantined although other features explain all but
/// one of its ends.
const CERTAIN_SEGMENT_WEIGHT: u32 = SEGMENT_WEIGHT + EARLY_WEIGHT;

/// The features to be quarantined; `times` shows which ends are shared.
pub(crate) fn quarantined(
    cases: &Map<Fingerprint, Case>,
    times: Option<&EndTimes>,
) -> Set<Fingerprint> {
    let candidates = cases
        .iter()
        .filter(|(_, c)| c.weight() >= least_weight(c.kind))
        .map(|(fingerprint, case)| Suspect {
            fingerprint: *fingerprint,
            case,
            weight: weight(case, times, |_| true),
        })
        .filter(|s| s.weight >= least_weight(s.case.kind));
    let mut suspects: Vec<Suspect<'_>> = candidates.collect();
    // Requests of the same weight do not explain each other, so their order
    // decides nothing; the fingerprint makes it the same at every daemon.
    suspects.sort_by_key(|s| {
        let specificity = s.case.kind.specificity();
        (std::cmp::Reverse((s.weight, specificity)), s.fingerprint)
    });
    let end_times = match suspects.iter().any(|s| s.case.kind.is_request()) {
        true => end_times(cases, times),
        false => Map::default(),
    };
    let mut quarantined: Vec<&Suspect<'_>> = Vec::new();
    for suspect in &suspects {
        let unexplained = unexplained(suspect, &quarantined, times);
        let is_cause = match suspect.case.kind {
            FeatureKind::Request => {
                let amid_others = others_unexplained(suspect.case, &quarantined, &end_times);
                request_is_cause(suspect.weight, unexplained, amid_others)
            }
            FeatureKind::Segment { .. } => segment_is_cause(suspect, unexplained, &suspects),
        };
        if is_cause {
            quarantined.push(suspect);
        }
    }
    quarantined.into_iter().map(|s| s.fingerprint).collect()
}

/// A feature with enough evidence to be examined.
struct Suspect<'a> {
    fingerprint: Fingerprint,
    case: &'a Case,
    weight: u32,
}

/// Least weight with which a feature is examined.
fn least_weight(kind: FeatureKind) -> u32 {
    match kind {
        FeatureKind::Request => QUARANTINE_WEIGHT,
        FeatureKind::Segment { .. } => SEGMENT_WEIGHT,
    }
}

fn request_is_cause(weight: u32, unexplained: u32, amid_others: bool) -> bool {
    let needed_weight = match amid_others {
        true => AMID_OTHERS_WEIGHT,
        false => QUARANTINE_WEIGHT,
    };
    unexplained >= needed_weight || weight >= CERTAIN_WEIGHT
}

fn segment_is_cause(suspect: &Suspect<'_>, unexplained: u32, suspects: &[Suspect<'_>]) -> bool {
    let own_ends = fewest_own_ends(suspect, suspects);
    match suspect.weight >= CERTAIN_SEGMENT_WEIGHT {
        true => unexplained >= EARLY_WEIGHT && own_ends >= 1,
        false => unexplained >= SEGMENT_OWN_WEIGHT && own_ends >= 2,
    }
}

/// The ends of `segment` that the more specific suspect with most of them is not on.
fn fewest_own_ends(segment: &Suspect<'_>, suspects: &[Suspect<'_>]) -> usize {
    let specificity = segment.case.kind.specificity();
    let specific = suspects
        .iter()
        .filter(|s| s.case.kind.specificity() > specificity);
    let own_ends = specific.map(|s| {
        let ends = segment.case.ends.iter();
        ends.filter(|e| !s.case.ended_target(&e.target)).count()
    });
    own_ends.min().unwrap_or(segment.case.ends.len())
}

/// Weight of those of the ends of `case` that `counted` selects.
fn weight(case: &Case, times: Option<&EndTimes>, counted: impl Fn(&TargetEnd) -> bool) -> u32 {
    match times {
        Some(times) => times.weight(case, counted),
        None => {
            let counted = case.ends.iter().filter(|e| counted(e));
            counted.map(TargetEnd::weight).sum()
        }
    }
}

/// When each target ended; not of those that ended with many others, which no
/// request explains.
fn end_times<'a>(
    cases: &'a Map<Fingerprint, Case>,
    times: Option<&EndTimes>,
) -> Map<&'a Name, u64> {
    let all = cases.values().flat_map(|c| &c.ends);
    let all = all.map(|e| (&e.target, e.at_ms));
    let mut all: Map<&Name, u64> = all.collect();
    if let Some(times) = times {
        all.retain(|target, at| !times.is_mass(times.of(target).unwrap_or(*at)));
    }
    all
}

/// Weight of the ends of `suspect` that no stronger one of `quarantined` explains.
fn unexplained(
    suspect: &Suspect<'_>,
    quarantined: &[&Suspect<'_>],
    times: Option<&EndTimes>,
) -> u32 {
    let stronger = || quarantined.iter().filter(|q| q.weight > suspect.weight);
    let explained = |target: &Name| stronger().any(|q| q.case.ended_target(target));
    weight(suspect.case, times, |e| !explained(&e.target))
}

/// Whether other targets ended in the time span of `case`, and nothing explains
/// them.
fn others_unexplained(
    case: &Case,
    quarantined: &[&Suspect<'_>],
    end_times: &Map<&Name, u64>,
) -> bool {
    let times = || case.ends.iter().map(|e| e.at_ms);
    let first = times().min().unwrap_or(0).saturating_sub(TIME_MARGIN_MS);
    let last = times().max().unwrap_or(0) + TIME_MARGIN_MS;
    let others = end_times.iter().filter(|(target, at)| {
        let explained = || quarantined.iter().any(|q| q.case.ended_target(target));
        (first..=last).contains(*at) && !case.ended_target(target) && !explained()
    });
    others.count() > 0
}
