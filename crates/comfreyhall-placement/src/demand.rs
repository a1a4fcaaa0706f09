//! Decayed request counts by adapter: how much each is wanted.

use std::sync::Arc;

use comfreyhall_protocol::Map;

/// Silences, in mean gaps between requests, after which an adapter's score is
/// what its silence allows. Popularity moves on without notice: an adapter
/// asked for ten times a second keeps a decayed count above that of any rare
/// one for seven half-lives after its last request, and held several places
/// all that time. Three mean gaps without a request happen by chance once in
/// twenty times, and then cost one reload.
const SILENT_GAPS: f64 = 3.0;

/// A request count that halves every half-life.
#[derive(Debug, Clone, Copy)]
struct Rate {
    value: f64,
    at_ms: u64,
}

/// Request counts that forget.
#[derive(Debug)]
pub struct Demand {
    half_life_ms: f64,
    rates: Map<Arc<str>, Rate>,
}

impl Demand {
    /// Counts that halve every `half_life_ms`.
    pub fn new(half_life_ms: u64) -> Self {
        Self {
            half_life_ms: half_life_ms.max(1) as f64,
            rates: Map::default(),
        }
    }

    /// How much `key` is wanted at `now_ms`: its decayed request count, or
    /// less if it has been silent for longer than that count lets expect.
    pub fn score(&self, key: &str, now_ms: u64) -> f64 {
        let Some(rate) = self.rates.get(key) else {
            return 0.0;
        };
        let idle = now_ms.saturating_sub(rate.at_ms) as f64;
        let silence = SILENT_GAPS * self.half_life_ms / std::f64::consts::LN_2 / idle.max(1.0);
        self.count(key, now_ms).min(silence)
    }

    /// What is left at `now_ms` of the requests for `key`.
    fn count(&self, key: &str, now_ms: u64) -> f64 {
        self.rates.get(key).map_or(0.0, |r| {
            let age = now_ms.saturating_sub(r.at_ms) as f64;
            r.value * (-age / self.half_life_ms).exp2()
        })
    }

    /// Requests a second for `key`, over about a half-life.
    pub fn rate(&self, key: &str, now_ms: u64) -> f64 {
        self.count(key, now_ms) * self.per_s()
    }

    /// Requests a second for each request that is counted.
    fn per_s(&self) -> f64 {
        1_000.0 * std::f64::consts::LN_2 / self.half_life_ms
    }

    /// Counts `requests` more for `key`; returns its score.
    pub fn record(&mut self, key: &str, requests: u32, now_ms: u64) -> f64 {
        let value = self.count(key, now_ms) + f64::from(requests);
        let rate = Rate {
            value,
            at_ms: now_ms,
        };
        self.rates.insert(key.into(), rate);
        value
    }

    /// Requests a second for each key, over about a half-life.
    pub fn rates(&self, now_ms: u64) -> impl Iterator<Item = (Arc<str>, f64)> {
        let per_s = self.per_s();
        let keys = self.rates.keys();
        keys.map(move |key| (key.clone(), self.count(key, now_ms) * per_s))
    }

    /// Forgets keys whose score fell below `least`, to bound memory.
    pub fn prune(&mut self, least: f64, now_ms: u64) {
        let half_life = self.half_life_ms;
        self.rates.retain(|_, r| {
            let age = now_ms.saturating_sub(r.at_ms) as f64;
            r.value * (-age / half_life).exp2() >= least
        });
    }
}
