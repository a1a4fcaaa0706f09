//! The token bucket that a coordinator grants credit out of.

use crate::Quota;

/// Capacity of the bucket besides the burst, in units and in seconds of the
/// rate: with room for a single request only, requests that arrive a moment
/// apart would leave part of the rate unused.
const BASE_CAPACITY: f64 = 2.0;
const CAPACITY_S: f64 = 0.5;

/// Spacing of retry times, as a fraction of the time between two requests at
/// the quota's rate: some refused clients use another service by then.
const RETRY_SPACING: f64 = 0.7;

/// Maximum delay asked of a refused request, in ms.
const MAX_RETRY_MS: f64 = 5_000.0;

/// The token bucket of one quota, at its coordinator.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    pub(super) balance: f64,
    /// Time up to which the bucket has been filled.
    pub(super) filled_at_ms: u64,
    /// Latest retry time given to a refused request.
    last_retry_ms: u64,
}

impl Bucket {
    pub(super) fn new(now: u64) -> Self {
        Self {
            balance: 0.0,
            filled_at_ms: now,
            last_retry_ms: now,
        }
    }

    /// Units in the bucket at `now`.
    pub(super) fn level(&self, quota: &Quota, now: u64) -> f64 {
        let elapsed_s = now.saturating_sub(self.filled_at_ms) as f64 / 1_000.0;
        (self.balance + elapsed_s * quota.rate).min(capacity(quota))
    }

    /// Grants `need` units, or as many whole requests of `min_need` as the
    /// bucket covers.
    pub(super) fn grant(&mut self, quota: &Quota, need: f64, min_need: f64, now: u64) -> f64 {
        self.balance = self.level(quota, now);
        self.filled_at_ms = now;
        let min_need = min_need.max(f64::MIN_POSITIVE);
        let grant = match self.balance >= need {
            true => need,
            false => (self.balance / min_need).floor() * min_need,
        };
        self.balance -= grant;
        grant
    }

    /// Delay until a refused request should be retried, in ms. Each refusal
    /// gets a retry time of its own, so that the retries do not arrive
    /// together.
    pub(super) fn retry_delay_ms(&mut self, quota: &Quota, size: f64, now: u64) -> u64 {
        let ms = |units: f64| units / quota.rate.max(f64::MIN_POSITIVE) * 1_000.0;
        let available_at = now as f64 + ms(size - self.level(quota, now));
        let after_previous = self.last_retry_ms as f64 + ms(size) * RETRY_SPACING;
        let latest = now as f64 + MAX_RETRY_MS;
        let retry_at = available_at.max(after_previous);
        if retry_at > latest {
            // Too many requests wait: the excess ones share the second half of
            // the interval.
            let excess = (retry_at - latest) % (MAX_RETRY_MS / 2.0);
            return (MAX_RETRY_MS - excess) as u64;
        }
        self.last_retry_ms = retry_at as u64;
        self.last_retry_ms.saturating_sub(now).max(1)
    }
}

/// Capacity of a bucket.
pub(super) fn capacity(quota: &Quota) -> f64 {
    BASE_CAPACITY + quota.burst + quota.rate * CAPACITY_S
}
