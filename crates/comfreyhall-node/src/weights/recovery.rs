//! Which adapters to load again after engines were lost.

use comfreyhall_domain::AdapterRef;

/// Demand score from which a lost adapter is loaded before a request asks for
/// it: one request within the last half-life or so. Rarer ones are more often
/// loaded without being used than not.
const MIN_RECOVERY_SCORE: f64 = 0.5;

/// Those of the lost adapters, with their demand scores, that are worth loading
/// again, the most used first.
pub(crate) fn recovery_order(mut lost: Vec<(AdapterRef, f64)>) -> Vec<AdapterRef> {
    lost.retain(|(_, score)| *score >= MIN_RECOVERY_SCORE);
    lost.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    lost.into_iter().map(|(a, _)| a).collect()
}
