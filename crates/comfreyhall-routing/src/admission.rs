//! Admission control: when to reject a request on arrival, and when to ask its
//! caller to retry.
//!
//! In a burst, or after the loss of a quarter of the engines, the prompt
//! backlog grows faster than it is processed. A request whose first token would
//! come after its caller has left only delays the others, so it is rejected on
//! arrival. Requests of lower priority are rejected earlier, which keeps the
//! backlog short enough for those of higher priority.

/// Share of the caller's remaining time that the estimated wait may take, by
/// priority. The estimate is rough (reports from peers are up to a second old),
/// so even the first priority leaves a fifth for its error; each lower one is
/// rejected sooner.
const MAX_WAIT_SHARE: [f64; 4] = [0.8, 0.7, 0.55, 0.45];

/// Bounds of the retry delay of a rejected caller. Earlier retries meet the
/// same backlog; callers wait at most a third of the time they have left.
const RETRY_BOUNDS_MS: (u64, u64) = (100, 3_000);

/// How many times its latency objective a request may wait. Beyond it even an
/// estimate that is half too high means a late answer, and engines that process
/// late prompts delay the next ones too.
const MAX_OBJECTIVE_RATIO: f64 = 1.5;

/// Whether a request that would wait `wait_ms` is rejected on arrival, given
/// its latency objective.
pub fn should_refuse(wait_ms: f64, remaining_ms: u64, objective_ms: u64, priority: u8) -> bool {
    let rank = usize::from(priority).min(MAX_WAIT_SHARE.len() - 1);
    let max_wait_ms =
        (remaining_ms as f64 * MAX_WAIT_SHARE[rank]).min(objective_ms as f64 * MAX_OBJECTIVE_RATIO);
    wait_ms > max_wait_ms
}

/// Shares of a caller's total time, and of its latency objective, that may pass
/// before a request is sent. An answer sent later is late; a caller rejected at
/// once still has time for another try, and the slot goes to a request that can
/// be in time.
const MAX_HOLD_SHARES: (f64, f64) = (0.4, 1.0);

/// Longest time that a request with `total_ms` in all is held before it is
/// sent.
pub fn max_hold_ms(total_ms: u64, objective_ms: u64) -> u64 {
    let (time_share, objective_share) = MAX_HOLD_SHARES;
    (total_ms as f64 * time_share).min(objective_ms as f64 * objective_share) as u64
}

/// When a rejected caller should retry, in ms.
///
/// `excess_ms` is how long until there is capacity again. `random` spreads
/// retries over half as long again, so that callers rejected together do not
/// retry together. Callers honour at most a third of the time they have left.
pub fn retry_ms(excess_ms: f64, remaining_ms: u64, random: u64) -> u64 {
    let base_ms = (excess_ms.max(0.0) as u64).clamp(RETRY_BOUNDS_MS.0, RETRY_BOUNDS_MS.1);
    let jittered_ms = base_ms + random % (base_ms / 2 + 1);
    jittered_ms.min(remaining_ms / 3)
}
