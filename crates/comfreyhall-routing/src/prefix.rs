//! Which prompt parts which target has read lately.
//!
//! A target keeps the parts of prompts it read, for the same model and
//! adapter, as long as all parts before them are kept; it need not read them
//! again. What this daemon sent there is the cheapest evidence of that: it
//! costs no call and is wrong only when the target dropped the part, which
//! makes an estimate too low by that part once.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
};

use comfreyhall_domain::{AdapterRef, Map, Name, PromptSegment};
use rustc_hash::FxHasher;

/// Parts remembered. Beyond it the oldest goes: targets of the deployments
/// served keep some hundred parts each.
const MOST: usize = 8_192;

/// Remembers which target read which chain of parts.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    read: Map<(u64, Name), u64>,
    order: VecDeque<(u64, Name)>,
}

/// Keys of each chain of first parts, with their tokens.
fn chains(adapter: &AdapterRef, parts: &[PromptSegment]) -> impl Iterator<Item = (u64, u32)> {
    let mut hash = FxHasher::default();
    adapter.hash(&mut hash);
    parts.iter().map(move |p| {
        p.id.hash(&mut hash);
        (hash.clone().finish(), p.tokens)
    })
}

impl PrefixIndex {
    /// Tokens of `parts` that `target` need not read again.
    pub fn cached_tokens(
        &self,
        adapter: &AdapterRef,
        parts: &[PromptSegment],
        target: &Name,
    ) -> u64 {
        chains(adapter, parts)
            .take_while(|(key, _)| self.read.contains_key(&(*key, target.clone())))
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    }

    /// `target` has read `parts`.
    pub fn record(
        &mut self,
        adapter: &AdapterRef,
        parts: &[PromptSegment],
        target: &Name,
        now: u64,
    ) {
        for (key, _) in chains(adapter, parts) {
            let key = (key, target.clone());
            if self.read.insert(key.clone(), now).is_none() {
                self.order.push_back(key);
            }
        }
        while self.order.len() > MOST {
            if let Some(oldest) = self.order.pop_front() {
                self.read.remove(&oldest);
            }
        }
    }
}
