//! A daemon's own part of limits, where nobody grants them.
//!
//! Each daemon takes an equal part and at most one request of it at once, so the
//! daemons together stay within the limit and one request each.

use comfreyhall_domain::{Map, Name};

use crate::Rate;

/// What gathered of one target's limit, and up to when.
#[derive(Debug, Clone, Copy)]
struct Gathered {
    requests: f64,
    at: u64,
}

/// Own parts of the limits of targets.
#[derive(Debug, Default)]
pub struct LimitShares {
    gathered: Map<Name, Gathered>,
}

impl LimitShares {
    /// Takes one request of `target`, limited to `limit` over `daemons`; or ms
    /// until there is one.
    pub fn try_take(
        &mut self,
        target: &Name,
        limit: Rate,
        daemons: usize,
        now: u64,
    ) -> Result<(), u64> {
        let rate = limit.per_s() / daemons.max(1) as f64;
        let new = Gathered {
            requests: 0.0,
            at: now,
        };
        let gathered = self.gathered.entry(target.clone()).or_insert(new);
        let passed = now.saturating_sub(gathered.at) as f64 / 1_000.0;
        gathered.requests = (gathered.requests + passed * rate).min(1.0);
        gathered.at = now;
        if gathered.requests >= 1.0 {
            gathered.requests = 0.0;
            return Ok(());
        }
        let missing = (1.0 - gathered.requests) / rate * 1_000.0;
        Err(missing.ceil() as u64)
    }

    /// Ms until there is a request of `target`, without taking it.
    pub fn wait_ms(&self, target: &str, limit: Rate, daemons: usize, now: u64) -> u64 {
        let rate = limit.per_s() / daemons.max(1) as f64;
        let gathered = self.gathered.get(target).map_or(0.0, |g| {
            g.requests + now.saturating_sub(g.at) as f64 / 1_000.0 * rate
        });
        ((1.0 - gathered).max(0.0) / rate * 1_000.0).ceil() as u64
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.gathered.retain(|target, _| keep(target));
    }
}
