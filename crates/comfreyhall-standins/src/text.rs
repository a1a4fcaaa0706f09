//! The text an engine stand-in generates.
//!
//! The text is a pure function of adapter, version, prompt and token index.
//! From the answer alone a test can therefore determine which adapter and version
//! produced it, and whether a token is missing, duplicated or belongs to
//! another request.

use std::hash::{Hash, Hasher};

const WORDS: [&str; 16] = [
    "breathe", "slowly", "the", "dawn", "listing", "ute", "quiet", "river", "seller", "light",
    "morning", "calm", "Hobart", "Lagos", "rest", "and",
];

/// Returns token `index` of the answer to `prompt` on `adapter@version`.
pub fn token(adapter: &str, version: &str, prompt: &str, index: u32) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    (adapter, version, prompt, index).hash(&mut hasher);
    let word = WORDS[(hasher.finish() % WORDS.len() as u64) as usize];
    if index == 0 {
        word.to_string()
    } else {
        format!(" {word}")
    }
}

/// Returns the whole answer of `n` tokens, as the stand-in streams it.
pub fn expected_text(adapter: &str, version: &str, prompt: &str, n: u32) -> String {
    (0..n).map(|i| token(adapter, version, prompt, i)).collect()
}
