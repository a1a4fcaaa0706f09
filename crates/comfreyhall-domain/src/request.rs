//! The parts of a client's request that decisions need.

use bytes::Bytes;
use comfreyhall_workspace::PresentedKey;
use http::{HeaderMap, Method};

use crate::Name;

/// A base model and, optionally, one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AdapterRef {
    /// The base model.
    pub model: Name,
    /// The adapter; `None` requests the base model itself.
    pub adapter: Option<Name>,
}

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
}

/// A segment of a prompt that other requests may share, so that engines can
/// cache it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment across requests.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The HTTP request to forward unchanged. Decisions never inspect it.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Request path with the query string.
    pub path: Name,
    /// End-to-end headers; hop-by-hop headers are already removed.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// One request from a client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The client's id of this attempt.
    pub id: Name,
    /// API key sent by the client; it is not forwarded.
    pub key: Option<PresentedKey>,
    /// Host that the request is addressed to.
    pub host: Name,
    /// How long the client still waits, in ms, counted from the request's
    /// arrival.
    pub remaining_ms: Option<u64>,
    /// Requested model and adapter; only for engines.
    pub adapter: Option<AdapterRef>,
    /// Token counts; only for engines.
    pub tokens: Option<TokenCounts>,
    /// The client's estimate of the number of output tokens; only for engines.
    pub expected_output: Option<u32>,
    /// Segments of the prompt, in order; only for engines.
    pub prompt_segments: Vec<PromptSegment>,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the attempt that brought the first event, if it resumes a stream.
    pub resumes: Option<Name>,
    /// The request to forward.
    pub forwarded: ForwardedRequest,
}

impl ClientRequest {
    /// The segments of its prompt that other requests may share: all but the last,
    /// which belongs to the request or its session.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        let own = self.prompt_segments.len().saturating_sub(1);
        &self.prompt_segments[..own]
    }

    /// The ids of its shared segments, for the log.
    pub fn segment_ids(&self) -> String {
        let ids = self.shared_segments().iter();
        let ids: Vec<String> = ids.map(|s| format!("{:x}", s.id)).collect();
        ids.join(",")
    }
}
