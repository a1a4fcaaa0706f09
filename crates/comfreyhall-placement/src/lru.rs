//! The baseline policy: load on demand, evict the least recently used.

use std::sync::Arc;

use comfreyhall_protocol::Map;

use crate::{Decision, EngineView, Policy};

/// Loads on demand and evicts the least recently used slot; never copies.
#[derive(Default)]
pub struct LruPolicy {
    used: Map<Arc<str>, u64>,
}

impl LruPolicy {
    fn last(&self, key: &str) -> u64 {
        self.used.get(key).copied().unwrap_or(0)
    }
}

impl Policy for LruPolicy {
    fn record_requests(&mut self, key: &str, _: u32, now_ms: u64) {
        self.used.insert(key.into(), now_ms);
    }

    fn route(&mut self, key: &str, engines: &[EngineView], now_ms: u64) -> Decision {
        self.used.insert(key.into(), now_ms);
        let resident = engines
            .iter()
            .enumerate()
            .filter(|(_, e)| e.up && e.holds(key))
            .min_by_key(|(_, e)| e.requests);
        if let Some((engine, _)) = resident {
            return Decision::Run { engine };
        }
        let mut best: Option<(usize, u64, Vec<Arc<str>>)> = None;
        for (i, e) in engines.iter().enumerate().filter(|(_, e)| e.up) {
            let mut victims: Vec<Arc<str>> = e
                .slots
                .iter()
                .filter(|s| s.evictable())
                .map(|s| s.key.clone())
                .collect();
            victims.sort_by_key(|k| self.last(k));
            let age = if e.has_free() {
                0
            } else if let Some(v) = victims.first() {
                self.last(v).max(1)
            } else {
                continue;
            };
            if best.as_ref().is_none_or(|b| age < b.1) {
                best = Some((i, age, victims));
            }
        }
        match best {
            Some((engine, _, victims)) => Decision::Load { engine, victims },
            None => Decision::Busy,
        }
    }
}
