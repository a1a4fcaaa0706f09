//! When to refuse a request at once, and when to tell its caller to return.
//!
//! The load answered here is a burst, or the loss of a quarter of the
//! engines: the prompt backlog then grows faster than it is read. A request
//! whose first token would come after its caller has left only delays the
//! others, so it is refused on arrival; the less urgent are refused earlier,
//! which keeps the backlog short enough for the more urgent ones.

/// Part of the caller's time that the estimated wait may take, by rank.
/// The estimate is rough (peers' news is up to a second old), so even the
/// first rank leaves a fifth for its error; each rank below gives up sooner.
const WAIT_SHARE: [f64; 4] = [0.8, 0.7, 0.55, 0.45];

/// Least and most ms that a refused caller is told to stay away. Shorter
/// returns meet the same backlog; callers wait no longer than a third of the
/// time they have left.
const RETRY_BOUNDS: (u64, u64) = (100, 3_000);

/// How many times its objective a request may wait. Beyond it even an
/// estimate that is half too high means a late answer, and engines that read
/// late prompts make the next ones late too.
const AIM_TIMES: f64 = 1.5;

/// Whether a request that would wait `wait_ms` is refused on arrival;
/// `aim_ms`: its latency objective.
pub fn should_refuse(wait_ms: f64, left_ms: u64, aim_ms: u64, priority: u8) -> bool {
    let rank = usize::from(priority).min(WAIT_SHARE.len() - 1);
    let most = (left_ms as f64 * WAIT_SHARE[rank]).min(aim_ms as f64 * AIM_TIMES);
    wait_ms > most
}

/// Parts of a caller's time, and of its objective, that may go by without a
/// send: an answer after that is late, a caller that is told so at once still
/// has time for another try, and the place it waits for goes to one in time.
const HOLD_PARTS: (f64, f64) = (0.4, 1.0);

/// Longest that a request with `total_ms` in all is held without a send.
pub fn max_hold_ms(total_ms: u64, aim_ms: u64) -> u64 {
    let (of_time, of_aim) = HOLD_PARTS;
    (total_ms as f64 * of_time).min(aim_ms as f64 * of_aim) as u64
}

/// When a refused caller should come back, in ms.
///
/// `excess_ms`: how long until there is room again. `draw` spreads returns
/// over half as long again, so that callers refused together do not return
/// together. Callers honour at most a third of the time they have left.
pub fn retry_ms(excess_ms: f64, left_ms: u64, draw: u64) -> u64 {
    let base = (excess_ms.max(0.0) as u64).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
    let spread = base + draw % (base / 2 + 1);
    spread.min(left_ms / 3)
}
