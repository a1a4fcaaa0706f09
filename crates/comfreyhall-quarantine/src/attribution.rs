//! Attributes the ends of targets to requests.
//!
//! A target that ends takes down everything that runs there, so each end is
//! evidence against all requests that were there. Three rules distinguish
//! the cause from the others:
//!
//! - The cause ends its targets as it starts to run: a request that had been
//!   answered for a while is less suspect.
//! - Ends explained by a request under which more targets ended are no evidence
//!   against the others. The strongest suspects are examined first, and each is
//!   quarantined for what those before it leave unexplained.
//! - The cause explains most ends in its time span. When targets are killed in
//!   a row, an ordinary request that is retried again and again loses some of
//!   them, while others end without it.

use comfreyhall_domain::{Map, Name, Set};

use crate::{Fingerprint, case::Case};

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

/// The requests to be quarantined.
pub(crate) fn quarantined(cases: &Map<Fingerprint, Case>) -> Set<Fingerprint> {
    let candidates = cases
        .iter()
        .filter(|(_, c)| c.weight() >= QUARANTINE_WEIGHT);
    let mut suspects: Vec<(&Fingerprint, &Case)> = candidates.collect();
    // Requests of the same weight do not explain each other, so their order
    // decides nothing; the fingerprint makes it the same at every daemon.
    suspects.sort_by_key(|(fingerprint, case)| (std::cmp::Reverse(case.weight()), **fingerprint));
    let end_times = match suspects.is_empty() {
        true => Map::default(),
        false => end_times(cases),
    };
    let mut quarantined: Vec<(&Fingerprint, &Case)> = Vec::new();
    for (fingerprint, case) in suspects {
        let needed_weight = match others_unexplained(case, &quarantined, &end_times) {
            true => AMID_OTHERS_WEIGHT,
            false => QUARANTINE_WEIGHT,
        };
        if unexplained(case, &quarantined) >= needed_weight || case.weight() >= CERTAIN_WEIGHT {
            quarantined.push((fingerprint, case));
        }
    }
    quarantined
        .into_iter()
        .map(|(fingerprint, _)| *fingerprint)
        .collect()
}

/// When each target ended.
fn end_times(cases: &Map<Fingerprint, Case>) -> Map<&Name, u64> {
    let all = cases.values().flat_map(|c| &c.ends);
    all.map(|e| (&e.target, e.at_ms)).collect()
}

/// Weight of the ends of `case` that no stronger one of `quarantined` explains.
fn unexplained(case: &Case, quarantined: &[(&Fingerprint, &Case)]) -> u32 {
    let stronger = || {
        quarantined
            .iter()
            .filter(|(_, q)| q.weight() > case.weight())
    };
    let explained = |target| stronger().any(|(_, q)| q.ended_target(target));
    let unexplained_ends = case.ends.iter().filter(|e| !explained(&e.target));
    unexplained_ends.map(|e| e.weight()).sum()
}

/// Whether other targets ended in the time span of `case`, and nothing explains
/// them.
fn others_unexplained(
    case: &Case,
    quarantined: &[(&Fingerprint, &Case)],
    end_times: &Map<&Name, u64>,
) -> bool {
    let times = || case.ends.iter().map(|e| e.at_ms);
    let first = times().min().unwrap_or(0).saturating_sub(TIME_MARGIN_MS);
    let last = times().max().unwrap_or(0) + TIME_MARGIN_MS;
    let others = end_times.iter().filter(|(target, at)| {
        let explained = || quarantined.iter().any(|(_, q)| q.ended_target(target));
        (first..=last).contains(*at) && !case.ended_target(target) && !explained()
    });
    others.count() > 0
}
