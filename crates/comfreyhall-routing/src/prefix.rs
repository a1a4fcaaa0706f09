//! Index of the prompt prefixes that each target has cached.
//!
//! A target keeps the prompt parts that it has processed, for the same model
//! and adapter, as long as all parts before them are kept, and need not process
//! them again. The index is derived from what this daemon sent there, which
//! costs no call. It is wrong only when the target has dropped a part, which
//! makes one estimate too low by that part.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
};

use comfreyhall_domain::{AdapterRef, Map, Name, PromptSegment};
use rustc_hash::FxHasher;

/// Entries kept before the oldest is dropped: targets of the deployments served
/// keep some hundred parts each.
const MAX_ENTRIES: usize = 8_192;

/// Tracks which target has processed which prompt prefix.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    processed: Map<(u64, Name), u64>,
    order: VecDeque<(u64, Name)>,
}

/// Hash of each prefix of `parts`, with the tokens of its last part.
fn prefix_hashes(
    adapter: &AdapterRef,
    parts: &[PromptSegment],
) -> impl Iterator<Item = (u64, u32)> {
    let mut hash = FxHasher::default();
    adapter.hash(&mut hash);
    parts.iter().map(move |p| {
        p.id.hash(&mut hash);
        (hash.clone().finish(), p.tokens)
    })
}

impl PrefixIndex {
    /// Tokens of `parts` that `target` has cached.
    pub fn cached_tokens(
        &self,
        adapter: &AdapterRef,
        parts: &[PromptSegment],
        target: &Name,
    ) -> u64 {
        prefix_hashes(adapter, parts)
            .take_while(|(key, _)| self.processed.contains_key(&(*key, target.clone())))
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    }

    /// Records that `target` has processed `parts`.
    pub fn record(
        &mut self,
        adapter: &AdapterRef,
        parts: &[PromptSegment],
        target: &Name,
        now: u64,
    ) {
        for (key, _) in prefix_hashes(adapter, parts) {
            let key = (key, target.clone());
            if self.processed.insert(key.clone(), now).is_none() {
                self.order.push_back(key);
            }
        }
        while self.order.len() > MAX_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.processed.remove(&oldest);
            }
        }
    }
}
