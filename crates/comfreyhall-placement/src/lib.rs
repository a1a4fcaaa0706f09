//! Placement: which engine serves a request and which adapter is evicted for
//! it.
//!
//! A daemon keeps a view of every engine (its slots, their pins, its queue)
//! from status polls, and asks a [`Policy`] for a [`Decision`] per request.
//! Policies are pure: they read the view and their own history of requests and
//! never call an engine, so they can be tested and measured in isolation.
//!
//! Two policies exist. [`FrequencyPolicy`] keeps a decayed request rate per
//! adapter version: a hot adapter keeps its slot against a burst of rare ones,
//! and a hot adapter whose engines are saturated gets a second copy.
//! [`LruPolicy`] is the plain baseline that loads on demand and evicts the
//! least recently used. Neither ever names a pinned or loading slot as a
//! victim; the engine rejects such an eviction anyway, so a stale view cannot
//! evict an adapter in use.

mod copies;
mod demand;
mod eviction;
mod frequency;
mod load_rate;
mod load_window;
mod lru;
mod slot_time;
mod view;

pub use copies::engines_needed;
pub use demand::Demand;
pub use eviction::{EvictionCandidate, select_victim};
pub use frequency::FrequencyPolicy;
pub use load_rate::LoadRateLimit;
pub use lru::LruPolicy;
pub use slot_time::{HoldTime, SlotTimePrice};
pub use view::{Decision, EngineView, SlotView};

pub use load_window::LoadWindow;

use comfreyhall_settings::PolicyKind;

/// A placement policy.
pub trait Policy: Send {
    /// Chooses where the request for `key` (`adapter@version`) runs.
    ///
    /// `now_ms` is a monotonic clock in milliseconds.
    fn route(&mut self, key: &str, engines: &[EngineView], now_ms: u64) -> Decision;

    /// Records `requests` for `key` that another daemon placed.
    fn record_requests(&mut self, key: &str, requests: u32, now_ms: u64);
}

/// Builds the policy that the settings name.
pub fn build_policy(kind: PolicyKind, half_life_ms: u64) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Frequency => Box::new(FrequencyPolicy::new(half_life_ms)),
        PolicyKind::Lru => Box::new(LruPolicy::default()),
    }
}

#[cfg(test)]
mod tests;
