//! Selects the adapter to evict on one engine.

/// An adapter on an engine that may be evicted.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionCandidate<K> {
    /// The adapter.
    pub key: K,
    /// Its decayed request count.
    pub score: f64,
    /// Number of other engines that hold it.
    pub other_copies: u32,
    /// Requests that use it now.
    pub pins: u32,
    /// Time since its load ended.
    pub age_ms: u64,
}

/// Minimum age of an adapter before it may be evicted: the request it was
/// loaded for is still on its way to it, and an earlier eviction made that
/// request pay for the load twice.
const MIN_AGE_MS: u64 = 400;

/// The adapter to evict: of those not in use, the one with the lowest score per
/// copy.
///
/// A score is divided among all copies, so the spare copy of a hot adapter can
/// be evicted before the only copy of a warm one. Waiting some 100 ms for a
/// slot of a colder adapter, rather than evicting one with a far higher score
/// than the new one, brings nothing: half of all loads then wait for a slot,
/// and their callers with them.
pub fn select_victim<K>(candidates: &[EvictionCandidate<K>]) -> Option<&EvictionCandidate<K>> {
    let copy_score = |c: &EvictionCandidate<K>| c.score / f64::from(c.other_copies + 1);
    candidates
        .iter()
        .filter(|c| c.pins == 0 && c.age_ms >= MIN_AGE_MS)
        .min_by(|a, b| copy_score(a).total_cmp(&copy_score(b)))
}
