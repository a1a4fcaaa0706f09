//! Compares targets for one request.
//!
//! One figure decides: the ms until the first token (or the answer) at that
//! target. What has to happen first is added to the wait: a load if the
//! target lacks the adapter, a second try if it is likely to fail. So a
//! copy of a hot adapter is ordered exactly when waiting for the copy beats
//! queueing at the targets that hold it.

use std::hash::{Hash, Hasher};

use comfreyhall_domain::Name;
use rustc_hash::FxHasher;

/// What a target in another failure domain costs, in ms: bytes between
/// domains are dear, so a near target wins among equals, and a few ms of
/// link delay are saved. Not more, or hot domains would queue beside idle
/// ones.
const FAR_MS: f64 = 12.0;

/// What pushing another adapter out costs, in ms: someone will wait for it
/// to come back. A copy that saves less is not worth a place: with 40 ms the
/// mean score of both sites was 0.862 (three scores of each), with 120 ms
/// 0.882 and with 200 ms 0.874 (two of each).
const EVICT_MS: f64 = 120.0;

/// Waits closer together than this count as equal, in ms: below the error
/// of estimates that rest on peers' news, and daemons that all see the same
/// least-loaded target would flood it.
const EQUAL_MS: f64 = 10.0;

/// One target as a choice for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub id: Name,
    /// Whether it is in our failure domain.
    pub near: bool,
    /// Estimated ms to the first token once it can start.
    pub wait_ms: f64,
    /// Ms of a load that has to come first; 0 if none.
    pub load_ms: f64,
    /// Whether the load pushes another adapter out.
    pub evicts: bool,
    /// Share of good answers to expect.
    pub health: f64,
    /// Whether it was tried for this request already.
    pub tried: bool,
}

impl Choice {
    /// Expected ms, with `again_ms` as the price of a failed try.
    pub fn cost(&self, again_ms: f64) -> f64 {
        let far = if self.near { 0.0 } else { FAR_MS };
        let evict = if self.evicts { EVICT_MS } else { 0.0 };
        let fail = (1.0 - self.health) * again_ms;
        self.wait_ms + self.load_ms + far + evict + fail
    }
}

/// The cheapest choice; among equals, `draw` decides.
pub fn best(choices: &[Choice], again_ms: f64, draw: u64) -> Option<&Choice> {
    let untried = choices.iter().any(|c| !c.tried);
    let open = || choices.iter().filter(|c| !c.tried || !untried);
    let least = open().map(|c| c.cost(again_ms)).min_by(f64::total_cmp)?;
    let mut equal = open().filter(|c| c.cost(again_ms) <= least + EQUAL_MS);
    let count = equal.clone().count() as u64;
    equal.nth((draw % count.max(1)) as usize)
}

/// Rank of `target` among the homes of `key`: lower comes first.
///
/// Rendezvous hashing: every daemon ranks alike without talking, and the
/// loss of a target moves only the adapters that had it as a home.
pub fn home_rank(key: &str, target: &str) -> u64 {
    let mut hash = FxHasher::default();
    key.hash(&mut hash);
    target.hash(&mut hash);
    // FxHasher mixes its high bits best; ranks compare from the top.
    hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
