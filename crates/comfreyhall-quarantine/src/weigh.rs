//! Who is to blame for the targets that ended.
//!
//! A target that ends takes everything along that runs there, so each end
//! speaks against all requests that were there. Three things tell the one that
//! is to blame from the others. It ends its targets as it begins to run: who had
//! been answered for a while is less suspect. What a request under which more
//! targets ended explains is no evidence against the rest: the strongest
//! suspects are looked at first, and each is held back for what those before it
//! leave unexplained. And it explains most of what ended in its time: when
//! targets are killed in a row, an ordinary request that is sent on and on loses
//! some of them, while others end without it.

use comfreyhall_domain::{Map, Name, Set};

use crate::{Fingerprint, case::Case};

/// Targets that must have ended as they began a request for it to be held back.
/// Each more than needed costs an engine and all that runs there.
pub(crate) const ENDS: usize = 3;

/// Weight of the end of a target that had just begun the request, and of one
/// that had answered it for a while.
pub(crate) const EARLY: u32 = 2;
pub(crate) const LATE: u32 = 1;

/// Weight of unexplained ends that holds a request back.
const ENOUGH: u32 = EARLY * ENDS as u32;

/// The same while targets end without it, and nothing explains them.
const ENOUGH_AMONG_MANY: u32 = ENOUGH + EARLY;

/// Weight that holds a request back whatever else explains its ends.
///
/// What goes wrong without it: a bystander that was there each time and once
/// more elsewhere explains all ends of the request that is to blame, which then
/// needs three more to be held back.
const CERTAIN: u32 = ENOUGH + 2 * EARLY;

/// How long before its first and after its last end others count as ended in a
/// request's time, in ms: the pause between two crashes of a series.
const MARGIN_MS: u64 = 1_000;

/// The requests to be held back.
pub(crate) fn held(cases: &Map<Fingerprint, Case>) -> Set<Fingerprint> {
    let enough = cases.iter().filter(|(_, c)| c.weight() >= ENOUGH);
    let mut suspects: Vec<(&Fingerprint, &Case)> = enough.collect();
    // Requests of the same weight do not explain each other, so their order
    // decides nothing; the fingerprint makes it the same everywhere.
    suspects.sort_by_key(|(fingerprint, case)| (std::cmp::Reverse(case.weight()), **fingerprint));
    let ended = match suspects.is_empty() {
        true => Map::default(),
        false => ended(cases),
    };
    let mut held: Vec<(&Fingerprint, &Case)> = Vec::new();
    for (fingerprint, case) in suspects {
        let enough = match among_many(case, &held, &ended) {
            true => ENOUGH_AMONG_MANY,
            false => ENOUGH,
        };
        if unexplained(case, &held) >= enough || case.weight() >= CERTAIN {
            held.push((fingerprint, case));
        }
    }
    held.into_iter()
        .map(|(fingerprint, _)| *fingerprint)
        .collect()
}

/// When each target ended.
fn ended(cases: &Map<Fingerprint, Case>) -> Map<&Name, u64> {
    let all = cases.values().flat_map(|c| &c.ends);
    all.map(|e| (&e.target, e.at_ms)).collect()
}

/// Weight of the ends of `case` that no stronger one of `held` explains.
fn unexplained(case: &Case, held: &[(&Fingerprint, &Case)]) -> u32 {
    let stronger = || held.iter().filter(|(_, h)| h.weight() > case.weight());
    let explained = |target| stronger().any(|(_, h)| h.has(target));
    let open = case.ends.iter().filter(|e| !explained(&e.target));
    open.map(|e| e.weight()).sum()
}

/// Whether other targets ended in the time of `case`, and nothing explains them.
fn among_many(case: &Case, held: &[(&Fingerprint, &Case)], ended: &Map<&Name, u64>) -> bool {
    let times = || case.ends.iter().map(|e| e.at_ms);
    let first = times().min().unwrap_or(0).saturating_sub(MARGIN_MS);
    let last = times().max().unwrap_or(0) + MARGIN_MS;
    let others = ended.iter().filter(|(target, at)| {
        let explained = || held.iter().any(|(_, h)| h.has(target));
        (first..=last).contains(*at) && !case.has(target) && !explained()
    });
    others.count() > 0
}
