//! When adapter slots of a group become free.
//!
//! With all slots in use, a request that waits at one group for a fixed time
//! and then continues to the next holds its caller for the sum of these waits and
//! is rejected in the end. The holder of the group knows when its runs began and
//! how long runs last, so it can say at once when a slot is due.

/// Weight of one interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Pace of grants after which nothing is known of it any more, in ms.
const PACE_VALID_MS: u64 = 3_000;

/// Expected times at which slots become free.
#[derive(Debug, Clone, Default)]
pub struct SlotSchedule {
    free: usize,
    /// When each slot in use is expected to become free, in order.
    ends_ms: Vec<u64>,
    /// Mean ms between two slots that become free.
    interval_ms: f64,
}

impl SlotSchedule {
    /// The schedule of `slots` slots. `used` gives the start of the latest run
    /// of each slot in use, and runs last `hold_ms`; those that have lasted
    /// longer end evenly spread over the same time again.
    pub fn new(slots: usize, used: impl Iterator<Item = u64>, hold_ms: f64, now: u64) -> Self {
        let hold = hold_ms.max(1.0) as u64;
        let (overdue, due): (Vec<u64>, Vec<u64>) =
            used.map(|b| b + hold).partition(|end| *end <= now);
        let spread = hold_ms / (overdue.len() + 1) as f64;
        let in_use = overdue.len() + due.len();
        let mut ends_ms = due;
        ends_ms.extend((1..=overdue.len()).map(|i| now + (spread * i as f64) as u64));
        ends_ms.sort_unstable();
        Self {
            free: slots.saturating_sub(in_use),
            ends_ms,
            interval_ms: hold_ms / slots.max(1) as f64,
        }
    }

    /// Slots that are free.
    pub fn free(&self) -> usize {
        self.free
    }

    /// Slots in use.
    pub fn in_use(&self) -> usize {
        self.ends_ms.len()
    }

    /// Mean ms between two slots that become free.
    pub fn interval_ms(&self) -> f64 {
        self.interval_ms
    }

    /// Ms until a request gets a slot, after `before` others have got one.
    /// `pace` is what has been seen lately: resident adapters take slots without
    /// waiting, so that fewer are left than runs end.
    pub fn wait_ms(&self, before: usize, pace: &GrantPace, now: u64) -> u64 {
        let Some(nth) = before.checked_sub(self.free) else {
            return 0;
        };
        let known = self.ends_ms.get(nth).copied();
        let end = known.unwrap_or_else(|| {
            let beyond = (nth + 1 - self.ends_ms.len()) as f64 * self.interval_ms;
            self.ends_ms.last().copied().unwrap_or(now) + beyond as u64
        });
        let planned = end.saturating_sub(now);
        let seen = pace
            .interval_ms(now)
            .map_or(0.0, |interval| interval * (nth + 1) as f64);
        planned.max(seen as u64)
    }
}

/// How fast waiting requests have been given slots lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct GrantPace {
    interval_ms: f64,
    /// When the last grant was made, or the waiting began.
    last_ms: u64,
    /// When the average was last updated; 0 if never.
    known_ms: u64,
}

impl GrantPace {
    /// Records that requests begin to wait.
    pub fn begin(&mut self, now: u64) {
        self.last_ms = now;
    }

    /// Records that a waiting request was given a slot.
    pub fn grant(&mut self, now: u64) {
        let interval = now.saturating_sub(self.last_ms) as f64;
        self.last_ms = now;
        let known = self.interval_ms(now).is_some();
        match known {
            true => self.interval_ms += INTERVAL_WEIGHT * (interval - self.interval_ms),
            false => self.interval_ms = interval,
        }
        self.known_ms = now;
    }

    /// Mean ms between two grants while requests waited, if seen lately.
    pub fn interval_ms(&self, now: u64) -> Option<f64> {
        let valid = self.known_ms > 0 && now.saturating_sub(self.known_ms) <= PACE_VALID_MS;
        valid.then_some(self.interval_ms)
    }
}
