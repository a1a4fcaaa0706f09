//! The JSON types of the HTTP API for callers.
//!
//! Requests and streamed chunks follow the OpenAI completions API so that
//! existing client libraries work unchanged. The `model` field names the
//! adapter and its version as `adapter@version`. comfreyhall's own fields
//! (priority, deadline and the non-idempotent mark) are extension fields, which
//! those libraries pass through unchanged.

use serde::{Deserialize, Serialize};

/// A completion request, as posted to `/v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct CompletionRequest {
    /// `adapter@version`; an adapter name without a version is rejected.
    pub model: String,
    /// The prompt text.
    pub prompt: String,
    /// Tokens to generate, 1 to 4096; 16 when absent.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Requests with a higher priority run first; 0 when absent.
    #[serde(default)]
    pub priority: i32,
    /// Longest total time that the caller waits, in ms; when absent, the default from
    /// the settings.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the request must run at most once, such as a billed session.
    #[serde(default)]
    pub non_idempotent: bool,
}

fn default_max_tokens() -> u32 {
    16
}

/// One message of a chat.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A chat completion request, as posted to `/v1/chat/completions`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ChatRequest {
    /// `adapter@version`.
    pub model: String,
    /// The chat so far, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Tokens to generate, 1 to 4096; 16 when absent.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// As in [`CompletionRequest`].
    #[serde(default)]
    pub priority: i32,
    /// As in [`CompletionRequest`].
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// As in [`CompletionRequest`].
    #[serde(default)]
    pub non_idempotent: bool,
}

impl From<ChatRequest> for CompletionRequest {
    fn from(chat: ChatRequest) -> Self {
        let lines = chat.messages.iter();
        let prompt = lines.map(|m| format!("{}: {}\n", m.role, m.content));
        Self {
            prompt: prompt.collect(),
            model: chat.model,
            max_tokens: chat.max_tokens,
            stream: chat.stream,
            priority: chat.priority,
            deadline_ms: chat.deadline_ms,
            non_idempotent: chat.non_idempotent,
        }
    }
}

/// Asks an instance to cancel a request that it runs.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct CancelRequest {
    /// The request's id.
    pub request_id: String,
}

/// One choice inside a completion chunk.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Choice {
    /// Always 0: one choice per request.
    pub index: u32,
    /// The text of this chunk.
    pub text: String,
    /// `length` or `stop` on the last chunk, absent before.
    pub finish_reason: Option<String>,
}

/// A complete completion or one streamed chunk of it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Completion {
    /// The caller's request id.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// `adapter@version` of the slot that produced the text.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
}

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run; it is safe to retry after `retry_after_ms`.
    NotRun,
    /// It may have run; check before retrying a non-idempotent request.
    Unknown,
}

/// The body of every error response.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// Describes the error and what the caller should do.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ErrorDetail {
    /// Stable name of the kind of error, such as `unknown_adapter` or `overloaded`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Message for people, which says how to resolve the error.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Delay before a retry, in ms, for transient errors.
    pub retry_after_ms: Option<u64>,
    /// The caller's request id.
    pub request_id: String,
}

/// The answer to `/v1/addresses`: which entry instances to use.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Addresses {
    /// Socket addresses of live entry instances, nearest domain first.
    pub addresses: Vec<String>,
    /// How long the caller may cache this answer, in ms.
    pub ttl_ms: u64,
}
