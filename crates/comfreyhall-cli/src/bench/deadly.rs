//! One request that ends the engine that begins it, sent again and again.
//!
//! Its caller never gives up and uses every daemon in turn. The run shows how
//! often engines began it until all daemons held it back.

use std::time::{Duration, Instant};

use comfreyhall_protocol::api::{CompletionRequest, ErrorBody};
use comfreyhall_settings::Settings;
use serde::Serialize;

use super::oracle;
use crate::{
    catalog::seed_adapter,
    client::{self, HttpClient, Send},
};

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(150);

/// Longest one attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// What the request ids of all attempts begin with.
const ID: &str = "deadly-";

/// What became of the deadly request.
#[derive(Debug, Default, Serialize, PartialEq, Eq)]
pub(crate) struct Deadly {
    /// Times its caller sent it.
    pub(crate) attempts: u64,
    /// Times it was answered that it is held back.
    pub(crate) held: u64,
    /// Times an engine began it, and ended.
    pub(crate) begun: u64,
}

/// Sends it until `until`; `None` if no stand-in is ended by a prompt.
pub(super) async fn repeat(
    s: Settings,
    client: HttpClient,
    adapter: u32,
    until: Instant,
) -> Option<Deadly> {
    let prompt = s.platform.deadly_prompt.to_string();
    if prompt.is_empty() {
        return None;
    }
    let request = CompletionRequest {
        model: format!("{}@v1", seed_adapter(adapter)),
        prompt,
        max_tokens: 16,
        stream: false,
        priority: 0,
        deadline_ms: Some(ATTEMPT_TIMEOUT.as_millis() as u64),
        non_idempotent: false,
    };
    let body = serde_json::to_vec(&request).expect("requests serialise");
    let mut seen = Deadly::default();
    for instance in s.instances.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{ID}{}", seen.attempts);
        let send = Send {
            url: &format!("http://{}/v1/completions", instance.listen),
            body: Some(body.clone()),
            id: Some(&id),
            key: None,
            limit: ATTEMPT_TIMEOUT,
        };
        seen.attempts += 1;
        // Whatever else it is told, its caller comes again.
        if let Ok(reply) = client::call(&client, send).await {
            seen.held += u64::from(is_held(&reply.body));
        }
        tokio::time::sleep(PAUSE).await;
    }
    seen.begun = oracle::begun(&s, ID).await;
    Some(seen)
}

fn is_held(body: &[u8]) -> bool {
    let error = serde_json::from_slice::<ErrorBody>(body);
    error.is_ok_and(|e| e.error.kind == "quarantined")
}
