//! Which adapter gives up its place on one engine.

/// One adapter on an engine, as a candidate to go.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionCandidate<K> {
    /// The adapter.
    pub key: K,
    /// How much it is wanted.
    pub score: f64,
    /// Other engines that hold it.
    pub other_copies: u32,
    /// Requests that use it now.
    pub pins: u32,
    /// Ms since its load ended.
    pub age_ms: u64,
}

/// An adapter that has just arrived stays this long, in ms: the request it
/// was loaded for is still on its way to it, and evicting it first made that
/// request pay for the load twice.
const SETTLE_MS: u64 = 400;

/// The adapter to evict: of those not in use the least wanted one.
///
/// The score counts only once over all copies, so the spare copy of a hot
/// adapter can go before the only copy of a warm one. Rather waiting some
/// 100 ms for a colder place to fall free than taking one that is far more
/// wanted than the newcomer brings nothing: half of all loads then wait for a
/// place, and their callers with them.
pub fn select_victim<K>(occupants: &[EvictionCandidate<K>]) -> Option<&EvictionCandidate<K>> {
    let share = |o: &EvictionCandidate<K>| o.score / f64::from(o.other_copies + 1);
    occupants
        .iter()
        .filter(|o| o.pins == 0 && o.age_ms >= SETTLE_MS)
        .min_by(|a, b| share(a).total_cmp(&share(b)))
}
