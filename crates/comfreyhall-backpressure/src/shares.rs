//! A daemon's own share of rate limits, where no coordinator grants shares.
//!
//! Each daemon takes an equal share and keeps at most one request of it in
//! reserve, so the daemons together stay within the limit plus one request
//! each.

use comfreyhall_domain::{Map, Name};

use crate::Rate;

/// Token bucket of one target's limit.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    available: f64,
    updated_ms: u64,
}

/// This daemon's shares of the limits of targets.
#[derive(Debug, Default)]
pub struct LimitShares {
    buckets: Map<Name, Bucket>,
}

impl LimitShares {
    /// Takes one request of `target`, whose `limit` is shared by `daemons`.
    /// Returns the ms to wait if there is none.
    pub fn try_take(
        &mut self,
        target: &Name,
        limit: Rate,
        daemons: usize,
        now: u64,
    ) -> Result<(), u64> {
        let rate = limit.per_s() / daemons.max(1) as f64;
        let empty = Bucket {
            available: 0.0,
            updated_ms: now,
        };
        let bucket = self.buckets.entry(target.clone()).or_insert(empty);
        let elapsed_s = now.saturating_sub(bucket.updated_ms) as f64 / 1_000.0;
        bucket.available = (bucket.available + elapsed_s * rate).min(1.0);
        bucket.updated_ms = now;
        if bucket.available >= 1.0 {
            bucket.available = 0.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.available) / rate * 1_000.0;
        Err(missing.ceil() as u64)
    }

    /// Ms until a request of `target` is available, without taking it.
    pub fn wait_ms(&self, target: &str, limit: Rate, daemons: usize, now: u64) -> u64 {
        let rate = limit.per_s() / daemons.max(1) as f64;
        let available = self.buckets.get(target).map_or(0.0, |b| {
            b.available + now.saturating_sub(b.updated_ms) as f64 / 1_000.0 * rate
        });
        ((1.0 - available).max(0.0) / rate * 1_000.0).ceil() as u64
    }

    /// Drops targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.buckets.retain(|target, _| keep(target));
    }
}
