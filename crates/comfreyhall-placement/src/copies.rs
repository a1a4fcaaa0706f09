//! How many engines a hot adapter needs.

/// Part of an engine's reading time that one adapter may take before it is
/// worth another engine: the others in place want the rest, and a queue near
/// full load grows without bound.
const FILL: f64 = 0.4;

/// Engines for an adapter that is asked for `rate` times a second, when one
/// request keeps an engine reading for `cost_ms`.
///
/// What goes wrong without it: an adapter becomes hot within a second, each
/// request chooses between a queue and a load, and copies come one load after
/// the other while the queues at those that hold it grow past every objective.
pub fn engines_needed(rate: f64, cost_ms: f64) -> u32 {
    (rate * cost_ms / 1_000.0 / FILL).ceil() as u32
}
