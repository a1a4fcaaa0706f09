//! Compares targets for one request.
//!
//! One figure decides: the ms until the first token (or the answer) at that
//! target. What has to happen first is added to the wait: a load if the
//! target lacks the adapter, a second try if it is likely to fail. So a
//! copy of a hot adapter is ordered exactly when waiting for the copy beats
//! queueing at the targets that hold it.

use std::hash::{Hash, Hasher};

use comfreyhall_domain::{Name, PromptSegment};
use rustc_hash::FxHasher;

/// What a target in another failure domain costs, in ms: bytes between
/// domains are dear, so a near target wins among equals, and a few ms of
/// link delay are saved. Not more, or hot domains would queue beside idle
/// ones.
const FAR_MS: f64 = 12.0;

/// What pushing another adapter out costs, in ms: someone will wait for it
/// to come back, 25 ms if the engine still has it at hand and 250 if not. Half
/// of the latter: a copy that saves its caller less is not worth the place.
const EVICT_MS: f64 = 120.0;

/// What a load from the weight store costs besides its time, in ms: others
/// wait for the same store, which serves a few loads at full speed. So an
/// engine that has the adapter at hand wins though its queue is this much
/// longer, as long as a load of its own takes.
const STORE_MS: f64 = 300.0;

/// Waits closer together than this count as equal, in ms: below the error
/// of estimates that rest on peers' news, and daemons that all see the same
/// least-loaded target would flood it.
const EQUAL_MS: f64 = 10.0;

/// One target as a choice for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target.
    pub id: Name,
    /// Whether it is in our failure domain.
    pub same_domain: bool,
    /// Estimated ms to the first token once it can start.
    pub wait_ms: f64,
    /// Ms of a load that has to come first; 0 if none.
    pub load_ms: f64,
    /// Whether the load comes from the weight store.
    pub from_store: bool,
    /// Whether the load pushes another adapter out.
    pub evicts: bool,
    /// What its prompt costs the streams that run there, in ms.
    pub interference_ms: f64,
    /// Share of good answers to expect.
    pub success_rate: f64,
    /// Whether it was tried for this request already.
    pub tried: bool,
}

impl Candidate {
    /// Expected ms, with `again_ms` as the price of a failed try.
    pub fn cost_ms(&self, again_ms: f64) -> f64 {
        let far = if self.same_domain { 0.0 } else { FAR_MS };
        let evict = if self.evicts { EVICT_MS } else { 0.0 };
        let store = if self.from_store { STORE_MS } else { 0.0 };
        let fail = (1.0 - self.success_rate) * again_ms;
        self.wait_ms + self.load_ms + self.interference_ms + far + evict + store + fail
    }
}

/// How choices that are nearly as cheap as the cheapest share requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// News is about as old as a request takes: equals share, and only they.
    Equal,
    /// News is older than that, and meanwhile every daemon sees the same
    /// cheapest choice. Sending all requests there put 30 of them in a row
    /// on one of ten engines that could have shared them (89 daemons, news
    /// half a second old). So a choice that costs this many ms more gets
    /// 1/e of the requests that the cheapest gets.
    Stale(f64),
}

/// The cheapest choice, or one that shares its requests; `draw` decides.
pub fn select(
    choices: &[Candidate],
    again_ms: f64,
    spread: Spread,
    draw: u64,
) -> Option<&Candidate> {
    let untried = choices.iter().any(|c| !c.tried);
    let open = || choices.iter().filter(|c| !c.tried || !untried);
    let least = open().min_by(|a, b| a.cost_ms(again_ms).total_cmp(&b.cost_ms(again_ms)))?;
    let least_ms = least.cost_ms(again_ms);
    match spread {
        Spread::Equal => {
            let mut equal = open().filter(|c| c.cost_ms(again_ms) <= least_ms + EQUAL_MS);
            let count = equal.clone().count() as u64;
            equal.nth((draw % count.max(1)) as usize)
        }
        Spread::Stale(scale) => {
            // A load is never better than a choice that needs none and costs
            // about the same.
            let alike = || open().filter(|c| (c.load_ms > 0.0) == (least.load_ms > 0.0));
            let weight = |c: &Candidate| (-(c.cost_ms(again_ms) - least_ms) / scale).exp();
            let sum: f64 = alike().map(weight).sum();
            let mut left = sum * (draw as f64 / u64::MAX as f64);
            let drawn = alike().find(|c| {
                left -= weight(c);
                left <= 0.0
            });
            drawn.or(Some(least))
        }
    }
}

/// The engine of `holders` that is to read a shared prompt of `adapter`: where
/// several hold the adapter, all daemons send the requests that share a prompt
/// to the same one, without talking.
///
/// What goes wrong without it: a daemon knows only which prompts it sent to
/// which engine itself, so each copy of a hot adapter reads each shared prompt
/// anew, which takes 160 ms of an engine's time for 6,300 tokens.
pub fn prefix_engine<'a>(
    adapter: &str,
    parts: &[PromptSegment],
    holders: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    // The last part is the request's own.
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    let key = format!("{adapter}#{:x}", last.id);
    holders.min_by_key(|t| rendezvous_rank(&key, t))
}

/// Rank of `target` among the homes of `key`: lower comes first.
///
/// Rendezvous hashing: every daemon ranks alike without talking, and the
/// loss of a target moves only the adapters that had it as a home.
pub fn rendezvous_rank(key: &str, target: &str) -> u64 {
    let mut hash = FxHasher::default();
    key.hash(&mut hash);
    target.hash(&mut hash);
    // FxHasher mixes its high bits best; ranks compare from the top.
    hash.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
