//! Compares targets for one request.
//!
//! Each target has one cost: the estimated time until the first token (or the
//! answer). Everything that has to happen first is added to the wait: a load if
//! the target lacks the adapter, a retry if it is likely to fail. So a copy of
//! a hot adapter is loaded exactly when waiting for the copy beats queueing at
//! the targets that hold it.

use std::hash::{Hash, Hasher};

use comfreyhall_domain::{Name, PromptSegment};
use rustc_hash::FxHasher;

/// Cost of a target in another failure domain. Traffic between domains is
/// expensive, so a local target wins among equals, and a few ms of network
/// latency are saved. A higher cost would let hot domains queue beside idle
/// ones.
const CROSS_DOMAIN_MS: f64 = 12.0;

/// Cost of evicting another adapter: some request will wait for it to be loaded
/// again, 25 ms if the engine still has it cached and 250 ms if not. Half of
/// the latter: a copy that saves its caller less is not worth the slot.
const EVICTION_MS: f64 = 120.0;

/// Cost of a load from the weight store besides its duration: other loads wait
/// for the same store, which serves a few at full speed. An engine that has the
/// adapter cached therefore wins even if its queue is longer by this much,
/// which is as long as a load itself takes.
const STORE_MS: f64 = 300.0;

/// Costs within this margin count as equal. It is below the error of estimates
/// that rest on reports from peers; without it, all daemons would send a burst
/// to the same least-loaded target.
const TIE_MARGIN_MS: f64 = 10.0;

/// One target as a candidate for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the target.
    pub id: Name,
    /// Whether it is in our failure domain.
    pub same_domain: bool,
    /// Estimated time to the first token once the request can start.
    pub wait_ms: f64,
    /// Duration of a load that has to come first; 0 if none.
    pub load_ms: f64,
    /// Whether the load comes from the weight store.
    pub from_store: bool,
    /// Whether the load evicts another adapter.
    pub evicts: bool,
    /// Cost to the streams that run there of processing this prompt.
    pub interference_ms: f64,
    /// Expected share of good answers.
    pub success_rate: f64,
    /// Whether it was already tried for this request.
    pub tried: bool,
}

impl Candidate {
    /// Expected total time, where a failed try costs `retry_cost_ms`.
    pub fn cost_ms(&self, retry_cost_ms: f64) -> f64 {
        let cross_domain = if self.same_domain {
            0.0
        } else {
            CROSS_DOMAIN_MS
        };
        let eviction = if self.evicts { EVICTION_MS } else { 0.0 };
        let store = if self.from_store { STORE_MS } else { 0.0 };
        let failure = (1.0 - self.success_rate) * retry_cost_ms;
        self.wait_ms
            + self.load_ms
            + self.interference_ms
            + cross_domain
            + eviction
            + store
            + failure
    }
}

/// How requests are spread over candidates that cost nearly as little as the
/// cheapest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// Reports from peers are about as old as a request takes: only candidates
    /// of equal cost share requests.
    Equal,
    /// Reports are older than that, and meanwhile every daemon sees the same
    /// cheapest candidate. Sending all requests there put 30 of them in a row
    /// on one of ten engines that could have shared them (89 daemons, reports
    /// half a second old). So a candidate that costs this many ms more gets 1/e
    /// of the requests that the cheapest gets.
    Stale(f64),
}

/// Selects the cheapest candidate, or one that shares its requests; `random`
/// decides which.
pub fn select(
    candidates: &[Candidate],
    retry_cost_ms: f64,
    spread: Spread,
    random: u64,
) -> Option<&Candidate> {
    let untried = candidates.iter().any(|c| !c.tried);
    let eligible = || candidates.iter().filter(|c| !c.tried || !untried);
    let cheapest = eligible().min_by(|a, b| {
        a.cost_ms(retry_cost_ms)
            .total_cmp(&b.cost_ms(retry_cost_ms))
    })?;
    let cheapest_ms = cheapest.cost_ms(retry_cost_ms);
    match spread {
        Spread::Equal => {
            let mut equal =
                eligible().filter(|c| c.cost_ms(retry_cost_ms) <= cheapest_ms + TIE_MARGIN_MS);
            let count = equal.clone().count() as u64;
            equal.nth((random % count.max(1)) as usize)
        }
        Spread::Stale(scale_ms) => {
            // A load is never better than a candidate that needs none and costs
            // about the same.
            let comparable =
                || eligible().filter(|c| (c.load_ms > 0.0) == (cheapest.load_ms > 0.0));
            let weight =
                |c: &Candidate| (-(c.cost_ms(retry_cost_ms) - cheapest_ms) / scale_ms).exp();
            let sum: f64 = comparable().map(weight).sum();
            let mut remaining = sum * (random as f64 / u64::MAX as f64);
            let chosen = comparable().find(|c| {
                remaining -= weight(c);
                remaining <= 0.0
            });
            chosen.or(Some(cheapest))
        }
    }
}

/// Selects the engine of `holders` that processes a shared prompt of `adapter`.
/// Where several engines hold the adapter, all daemons send requests that share
/// a prompt to the same one, without coordination.
///
/// A daemon knows only which prompts it sent to which engine itself. Without
/// this rule each copy of a hot adapter would process each shared prompt anew,
/// which takes 160 ms of an engine's time for 6,300 tokens.
pub fn prefix_engine<'a>(
    adapter: &str,
    segments: &[PromptSegment],
    holders: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    // The last segment is unique to the request.
    let (_, shared) = segments.split_last()?;
    let last_shared = shared.last()?;
    let key = format!("{adapter}#{:x}", last_shared.id);
    holders.min_by_key(|t| rendezvous_rank(&key, t))
}

/// Rank of `target` for `key` where it has `weight` times the mean share of all
/// keys; the lowest rank is preferred.
pub fn weighted_rank(key: &str, target: &str, weight: f64) -> u64 {
    // The plain ranks of one key at two targets are correlated, so that equal
    // weights would get unequal shares of the keys.
    let rank = mixed(rendezvous_rank(key, target));
    // With an exponential distribution of rate `weight`, the minimum falls on
    // each target with a probability in proportion to its weight.
    let uniform = (rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let drawn = -(1.0 - uniform).ln() / weight.max(f64::MIN_POSITIVE);
    ((1.0 - (-drawn).exp()) * u64::MAX as f64) as u64
}

/// `value` with every bit spread over all others, by the finalizer of MurmurHash3.
fn mixed(mut value: u64) -> u64 {
    value = (value ^ (value >> 33)).wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    value = (value ^ (value >> 33)).wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    value ^ (value >> 33)
}

/// Rank of `target` for `key` by rendezvous hashing; the lowest rank is
/// preferred.
///
/// Every daemon computes the same ranks without coordination, and the loss of a
/// target moves only the keys that it ranked first for.
pub fn rendezvous_rank(key: &str, target: &str) -> u64 {
    let mut hash = FxHasher::default();
    key.hash(&mut hash);
    target.hash(&mut hash);
    // FxHasher mixes its high bits best, and ranks are compared from the top.
    hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
