//! How long a daemon leaves a target alone that fails if it rejects too much.

use crate::Rate;

/// Part of the rejections that daemons may cause: their messages bunch up.
const REJECTION_PART: f64 = 0.5;

/// How long each of `daemons` sends nothing to a target after a rejection for want
/// of room, in ms, so that all of them together cause fewer rejections than it
/// tolerates. Those that it did not reject use its room meanwhile.
pub fn rejection_pause_ms(max_rejections: Rate, daemons: usize) -> u64 {
    let per_daemon = REJECTION_PART * max_rejections.per_s() / daemons.max(1) as f64;
    (1_000.0 / per_daemon) as u64
}
