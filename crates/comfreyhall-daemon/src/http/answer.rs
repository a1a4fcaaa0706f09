//! Answers in the OpenAI formats, streamed or complete.

use std::convert::Infallible;

use axum::{
    Json,
    response::{IntoResponse, Response, sse::Event},
};
use comfreyhall_protocol::GenerateChunk;
use futures::{Stream, StreamExt};
use serde_json::{Value, json};

use crate::error::RouteError;

/// The OpenAI API that the caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiFormat {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct CompleteAnswer {
    pub(super) model: String,
    pub(super) text: String,
    pub(super) finish: String,
}

impl CompleteAnswer {
    pub(super) fn new() -> Self {
        Self {
            model: String::new(),
            text: String::new(),
            finish: String::new(),
        }
    }

    pub(super) fn push(&mut self, chunk: &GenerateChunk) {
        self.text.push_str(&chunk.text);
        if chunk.done {
            self.model = format!("{}@{}", chunk.adapter, chunk.version);
            self.finish.clone_from(&chunk.finish);
        }
    }

    /// The answer as a single final chunk, for a replayed stream.
    pub(super) fn into_chunk(self, id: &str) -> GenerateChunk {
        let (adapter, version) = self.model.split_once('@').unwrap_or((&self.model, ""));
        GenerateChunk {
            request_id: id.to_string(),
            adapter: adapter.to_string(),
            version: version.to_string(),
            text: self.text,
            index: 0,
            done: true,
            finish: self.finish,
        }
    }
}

impl ApiFormat {
    /// A streamed chunk as JSON.
    fn chunk(self, id: &str, chunk: &GenerateChunk) -> Value {
        let finish = chunk.done.then_some(&chunk.finish);
        let model = format!("{}@{}", chunk.adapter, chunk.version);
        match self {
            Self::Text => json!({
                "id": id, "object": "text_completion", "model": model,
                "choices": [{ "index": 0, "text": chunk.text, "finish_reason": finish }],
            }),
            Self::Chat => json!({
                "id": id, "object": "chat.completion.chunk", "model": model,
                "choices": [{
                    "index": 0,
                    "delta": { "role": "assistant", "content": chunk.text },
                    "finish_reason": finish,
                }],
            }),
        }
    }

    /// A complete answer as JSON.
    pub(super) fn complete(self, id: &str, answer: &CompleteAnswer) -> Value {
        match self {
            Self::Text => json!({
                "id": id, "object": "text_completion", "model": answer.model,
                "choices": [{ "index": 0, "text": answer.text, "finish_reason": answer.finish }],
            }),
            Self::Chat => json!({
                "id": id, "object": "chat.completion", "model": answer.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": answer.text },
                    "finish_reason": answer.finish,
                }],
            }),
        }
    }
}

/// Server-sent events of an answer; only a complete one ends with `[DONE]`.
///
/// A client that reads `[DONE]` takes the answer as complete, so a broken
/// answer must end with its error event and nothing after it.
pub(super) fn sse(
    format: ApiFormat,
    id: String,
    chunks: impl Stream<Item = Result<GenerateChunk, RouteError>> + Send + 'static,
) -> impl Stream<Item = Result<Event, Infallible>> + Send + 'static {
    chunks.flat_map(move |chunk| {
        let json = |e: Event, body: &Value| e.json_data(body).expect("JSON values serialise");
        let events = match chunk {
            Ok(chunk) => {
                let event = json(Event::default(), &format.chunk(&id, &chunk));
                let done = chunk.done.then(|| Event::default().data("[DONE]"));
                [Some(event), done]
            }
            Err(e) => {
                let body = serde_json::to_value(e.body(&id)).expect("error bodies serialise");
                [Some(json(Event::default().event("error"), &body)), None]
            }
        };
        futures::stream::iter(events.into_iter().flatten().map(Ok))
    })
}

/// Collects a complete answer into one response.
pub(super) async fn collect(
    format: ApiFormat,
    id: &str,
    chunks: impl Stream<Item = Result<GenerateChunk, RouteError>>,
) -> Response {
    let mut chunks = std::pin::pin!(chunks);
    let mut answer = CompleteAnswer::new();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => answer.push(&chunk),
            Err(e) => return e.response(id),
        }
    }
    Json(format.complete(id, &answer)).into_response()
}
