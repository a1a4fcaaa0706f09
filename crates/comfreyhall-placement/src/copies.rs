//! How many engines should hold a hot adapter.

/// Share of an engine's prompt processing time that one adapter may take before
/// it gets another engine: the other adapters there need the rest, and a queue
/// near full load grows without bound.
const MAX_SHARE: f64 = 0.4;

/// Number of engines for an adapter with `rate` requests a second, when one
/// request keeps an engine busy for `cost_ms`.
///
/// Without this, copies are made too late: an adapter becomes hot within a
/// second, each request chooses between a queue and a load, and copies are
/// loaded one after the other while the queues at the engines that hold it grow
/// past every latency objective.
pub fn engines_needed(rate: f64, cost_ms: f64) -> u32 {
    (rate * cost_ms / 1_000.0 / MAX_SHARE).ceil() as u32
}
