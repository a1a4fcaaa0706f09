//! Who is to blame for the targets that ended.
//!
//! A target that ends takes everything along that runs there, so each end
//! speaks against all requests that were there. Only one of them is the cause:
//! what a request under which more targets ended explains is no evidence
//! against the others. So the strongest suspects are looked at first, and each
//! is held back for what those before it leave unexplained.

use comfreyhall_domain::{Map, Set};

use crate::{Fingerprint, case::Case};

/// Targets that must have ended under a request, without another explanation,
/// for it to be held back. Callers' retries put an ordinary request under one
/// or two crashes, rarely under three; each more than needed costs an engine
/// and all that runs there.
pub(crate) const ENOUGH: usize = 3;

/// Ends under which a request is held back whatever else explains them.
///
/// What goes wrong without it: a bystander that was there each time and once
/// more elsewhere explains all ends of the request that is to blame, which then
/// needs three more to be held back.
pub(crate) const CERTAIN: usize = 5;

/// The requests to be held back.
pub(crate) fn held(cases: &Map<Fingerprint, Case>) -> Set<Fingerprint> {
    let enough = cases.iter().filter(|(_, c)| c.ends.len() >= ENOUGH);
    let mut suspects: Vec<(&Fingerprint, &Case)> = enough.collect();
    // Requests with as many ends do not explain each other, so their order
    // decides nothing; the print makes it the same everywhere.
    suspects.sort_by_key(|(print, case)| (std::cmp::Reverse(case.ends.len()), **print));
    let mut held: Vec<(&Fingerprint, &Case)> = Vec::new();
    for (print, case) in suspects {
        if case.ends.len() >= CERTAIN || unexplained(case, &held) >= ENOUGH {
            held.push((print, case));
        }
    }
    held.into_iter().map(|(print, _)| *print).collect()
}

/// Ends of `case` that no stronger one of `held` explains.
fn unexplained(case: &Case, held: &[(&Fingerprint, &Case)]) -> usize {
    let stronger = || held.iter().filter(|(_, h)| h.ends.len() > case.ends.len());
    let explained = |target| stronger().any(|(_, h)| h.has(target));
    let open = case.ends.iter().filter(|e| !explained(&e.target));
    open.count()
}
