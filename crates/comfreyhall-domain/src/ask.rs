//! The facts of one request that decisions need.

use bytes::Bytes;
use comfreyhall_workspace::PresentedKey;
use http::{HeaderMap, Method};

use crate::Name;

/// A model, and the adapter of it that is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AdapterRef {
    /// The base model.
    pub model: Name,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<Name>,
}

/// Size of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u32,
    /// Most output tokens.
    pub max_output: u32,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What is forwarded as it came. Decisions never look inside.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The caller's id of this attempt.
    pub id: Name,
    /// Key that the caller sent; what is forwarded does not bear it.
    pub key: Option<PresentedKey>,
    /// Host it was sent to.
    pub host: Name,
    /// How long the caller waits, in ms, counted from its arrival.
    pub remaining_ms: Option<u64>,
    /// Model and adapter, for engines.
    pub adapter: Option<AdapterRef>,
    /// Size of the generation, for engines.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order, for engines.
    pub prompt_segments: Vec<PromptSegment>,
    /// The last event the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// What is forwarded.
    pub forwarded: ForwardedRequest,
}
