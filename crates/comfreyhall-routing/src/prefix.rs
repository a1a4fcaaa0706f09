//! Index of the prompt prefixes that each target has cached.
//!
//! A target keeps the prompt segments that it has processed, for the same model
//! and adapter, as long as all segments before them are kept, and need not
//! process them again. The index is derived from what this daemon sent there, which
//! costs no call. It is wrong only when the target has dropped a segment, which
//! makes one estimate too low by that segment.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
};

use comfreyhall_domain::{AdapterRef, Map, Name, PromptSegment};
use rustc_hash::FxHasher;

/// Entries kept before the oldest is dropped: targets of the deployments served
/// keep some hundred segments each.
const MAX_ENTRIES: usize = 8_192;

/// Tracks which target has processed which prompt prefix.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    processed: Map<(u64, Name), u64>,
    order: VecDeque<(u64, Name)>,
}

/// Hash of each prefix of `segments`, with the tokens of its last segment.
fn prefix_hashes(
    adapter: &AdapterRef,
    segments: &[PromptSegment],
) -> impl Iterator<Item = (u64, u32)> {
    let mut hash = FxHasher::default();
    adapter.hash(&mut hash);
    segments.iter().map(move |p| {
        p.id.hash(&mut hash);
        (hash.clone().finish(), p.tokens)
    })
}

impl PrefixIndex {
    /// Tokens of `segments` that `target` has cached.
    pub fn cached_tokens(
        &self,
        adapter: &AdapterRef,
        segments: &[PromptSegment],
        target: &Name,
    ) -> u64 {
        prefix_hashes(adapter, segments)
            .take_while(|(key, _)| self.processed.contains_key(&(*key, target.clone())))
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    }

    /// Records that `target` has processed `segments`.
    pub fn record(
        &mut self,
        adapter: &AdapterRef,
        segments: &[PromptSegment],
        target: &Name,
        now: u64,
    ) {
        for (key, _) in prefix_hashes(adapter, segments) {
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
