//! Decayed request counts by adapter.

use std::sync::Arc;

use comfreyhall_protocol::Map;

/// Idle time, in mean gaps between requests, after which the idle time bounds
/// an adapter's score. Popularity changes without notice: an adapter requested
/// ten times a second keeps a decayed count above that of any rare one for
/// seven half-lives after its last request, and held several slots all that
/// time. Three mean gaps without a request happen by chance once in twenty
/// times, and then cost one reload.
const MAX_IDLE_GAPS: f64 = 3.0;

/// A request count that halves every half-life.
#[derive(Debug, Clone, Copy)]
struct Rate {
    value: f64,
    at_ms: u64,
}

/// Exponentially decayed request counts by key.
#[derive(Debug)]
pub struct Demand {
    half_life_ms: f64,
    rates: Map<Arc<str>, Rate>,
}

impl Demand {
    /// Creates counts that halve every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> Self {
        Self {
            half_life_ms: half_life_ms.max(1) as f64,
            rates: Map::default(),
        }
    }

    /// The decayed request count of `key` at `now_ms`, or less if `key` has
    /// been idle for longer than that count makes likely.
    pub fn score(&self, key: &str, now_ms: u64) -> f64 {
        let Some(rate) = self.rates.get(key) else {
            return 0.0;
        };
        let idle = now_ms.saturating_sub(rate.at_ms) as f64;
        let idle_bound = MAX_IDLE_GAPS * self.half_life_ms / std::f64::consts::LN_2 / idle.max(1.0);
        self.count(key, now_ms).min(idle_bound)
    }

    /// The decayed request count of `key` at `now_ms`.
    fn count(&self, key: &str, now_ms: u64) -> f64 {
        self.rates.get(key).map_or(0.0, |r| {
            let age = now_ms.saturating_sub(r.at_ms) as f64;
            r.value * (-age / self.half_life_ms).exp2()
        })
    }

    /// Requests a second for `key`, averaged over about a half-life.
    pub fn rate(&self, key: &str, now_ms: u64) -> f64 {
        self.count(key, now_ms) * self.per_s()
    }

    /// Converts a decayed count into requests a second.
    fn per_s(&self) -> f64 {
        1_000.0 * std::f64::consts::LN_2 / self.half_life_ms
    }

    /// Adds `requests` for `key`; returns its decayed count.
    pub fn record(&mut self, key: &str, requests: u32, now_ms: u64) -> f64 {
        let value = self.count(key, now_ms) + f64::from(requests);
        let rate = Rate {
            value,
            at_ms: now_ms,
        };
        self.rates.insert(key.into(), rate);
        value
    }

    /// Requests a second for each key, averaged over about a half-life.
    pub fn rates(&self, now_ms: u64) -> impl Iterator<Item = (Arc<str>, f64)> {
        let per_s = self.per_s();
        let keys = self.rates.keys();
        keys.map(move |key| (key.clone(), self.count(key, now_ms) * per_s))
    }

    /// Drops keys whose decayed count fell below `min_count`, to bound memory.
    pub fn prune(&mut self, min_count: f64, now_ms: u64) {
        let half_life = self.half_life_ms;
        self.rates.retain(|_, r| {
            let age = now_ms.saturating_sub(r.at_ms) as f64;
            r.value * (-age / half_life).exp2() >= min_count
        });
    }
}
