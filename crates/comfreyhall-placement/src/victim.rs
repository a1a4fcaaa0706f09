//! Which adapter gives up its place on one engine.

/// One adapter on an engine, as a candidate to go.
#[derive(Debug, Clone, PartialEq)]
pub struct Occupant<K> {
    /// The adapter.
    pub key: K,
    /// How much it is wanted.
    pub score: f64,
    /// Other engines that hold it.
    pub copies: u32,
    /// Requests that use it now.
    pub pins: u32,
    /// Ms since its load ended.
    pub age_ms: u64,
}

/// An adapter that has just arrived stays this long, in ms: the request it
/// was loaded for is still on its way to it, and evicting it first made that
/// request pay for the load twice.
const SETTLE_MS: u64 = 400;

/// How much more wanted than the newcomer an adapter may be and still go.
/// Places are scarce when many requests each hold one; the hot adapter that
/// happens to be idle for an instant is then the only one free, and giving
/// its place to a rare one makes its next dozen requests wait for a load.
const OUTRANKED: f64 = 2.0;

/// The adapter to evict for a newcomer that is wanted `score` much: of those
/// not in use the least wanted one.
///
/// The score counts only once over all copies, so the spare copy of a hot
/// adapter can go before the only copy of a warm one. `patient`: rather none
/// than one that is far more wanted than the newcomer, as places fall free
/// all the time.
pub fn victim<K>(occupants: &[Occupant<K>], score: f64, patient: bool) -> Option<&Occupant<K>> {
    let share = |o: &Occupant<K>| o.score / f64::from(o.copies + 1);
    occupants
        .iter()
        .filter(|o| o.pins == 0 && o.age_ms >= SETTLE_MS)
        .filter(|o| !patient || share(o) <= OUTRANKED * score)
        .min_by(|a, b| share(a).total_cmp(&share(b)))
}
