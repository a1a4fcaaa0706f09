//! Answers in the shapes OpenAI clients read, streamed or whole.

use std::convert::Infallible;

use axum::{
    Json,
    response::{IntoResponse, Response, sse::Event},
};
use comfreyhall_protocol::GenerateChunk;
use futures::{Stream, StreamExt};
use serde_json::{Value, json};

use crate::error::RouteError;

/// Which of the two APIs the caller speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A finished answer.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Whole {
    pub(super) model: String,
    pub(super) text: String,
    pub(super) finish: String,
}

impl Whole {
    pub(super) fn new() -> Self {
        Self {
            model: String::new(),
            text: String::new(),
            finish: String::new(),
        }
    }

    pub(super) fn push(&mut self, c: &GenerateChunk) {
        self.text.push_str(&c.text);
        if c.done {
            self.model = format!("{}@{}", c.adapter, c.version);
            self.finish.clone_from(&c.finish);
        }
    }

    /// The answer as one last chunk, for a replayed stream.
    pub(super) fn chunk(self, id: &str) -> GenerateChunk {
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

impl Shape {
    /// One streamed chunk.
    fn chunk(self, id: &str, c: &GenerateChunk) -> Value {
        let finish = c.done.then_some(&c.finish);
        let model = format!("{}@{}", c.adapter, c.version);
        match self {
            Self::Text => json!({
                "id": id, "object": "text_completion", "model": model,
                "choices": [{ "index": 0, "text": c.text, "finish_reason": finish }],
            }),
            Self::Chat => json!({
                "id": id, "object": "chat.completion.chunk", "model": model,
                "choices": [{
                    "index": 0,
                    "delta": { "role": "assistant", "content": c.text },
                    "finish_reason": finish,
                }],
            }),
        }
    }

    /// The whole answer.
    pub(super) fn whole(self, id: &str, w: &Whole) -> Value {
        match self {
            Self::Text => json!({
                "id": id, "object": "text_completion", "model": w.model,
                "choices": [{ "index": 0, "text": w.text, "finish_reason": w.finish }],
            }),
            Self::Chat => json!({
                "id": id, "object": "chat.completion", "model": w.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": w.text },
                    "finish_reason": w.finish,
                }],
            }),
        }
    }
}

/// Server-sent events of an answer; only a whole one ends with `[DONE]`.
///
/// A client that reads `[DONE]` takes the answer for complete, so a broken
/// one must end with its error event and nothing after it.
pub(super) fn sse(
    shape: Shape,
    id: String,
    chunks: impl Stream<Item = Result<GenerateChunk, RouteError>> + Send + 'static,
) -> impl Stream<Item = Result<Event, Infallible>> + Send + 'static {
    chunks.flat_map(move |c| {
        let json = |e: Event, body: &Value| e.json_data(body).expect("JSON values serialise");
        let events = match c {
            Ok(c) => {
                let event = json(Event::default(), &shape.chunk(&id, &c));
                let done = c.done.then(|| Event::default().data("[DONE]"));
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

/// Waits for the whole answer.
pub(super) async fn collect(
    shape: Shape,
    id: &str,
    chunks: impl Stream<Item = Result<GenerateChunk, RouteError>>,
) -> Response {
    let mut chunks = std::pin::pin!(chunks);
    let mut whole = Whole::new();
    while let Some(c) = chunks.next().await {
        match c {
            Ok(c) => whole.push(&c),
            Err(e) => return e.answer(id),
        }
    }
    Json(shape.whole(id, &whole)).into_response()
}
