//! Sends a deadly request, one that crashes each engine that starts it.
//!
//! Its caller never stops retrying and uses every daemon in turn. The run shows
//! how often engines started the request before all daemons quarantined it.

use std::time::{Duration, Instant};

use comfreyhall_protocol::api::{CompletionRequest, ErrorBody};
use comfreyhall_settings::Settings;
use serde::Serialize;

use super::oracle;
use crate::{
    catalog::seed_adapter,
    client::{self, HttpCall, HttpClient},
};

/// Pause between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Prefix of the request ids of all attempts.
const ID_PREFIX: &str = "deadly-";

/// What happened to the deadly request.
#[derive(Debug, Default, Serialize, PartialEq, Eq)]
pub(crate) struct DeadlyReport {
    /// Number of attempts that the caller sent.
    pub(crate) attempts: u64,
    /// Number of answers that reported the request as quarantined.
    #[serde(rename = "held")]
    pub(crate) quarantined: u64,
    /// Number of times that an engine started it, and crashed.
    #[serde(rename = "begun")]
    pub(crate) started: u64,
}

/// Sends the request until `until`; `None` if the settings name no deadly prompt.
pub(super) async fn send_repeatedly(
    s: Settings,
    client: HttpClient,
    adapter: u32,
    until: Instant,
) -> Option<DeadlyReport> {
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
    let mut report = DeadlyReport::default();
    for instance in s.instances.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{ID_PREFIX}{}", report.attempts);
        let http_call = HttpCall {
            url: &format!("http://{}/v1/completions", instance.listen),
            body: Some(body.clone()),
            id: Some(&id),
            key: None,
            time_limit: ATTEMPT_TIMEOUT,
        };
        report.attempts += 1;
        // The caller retries after any other answer.
        if let Ok(reply) = client::call(&client, http_call).await {
            report.quarantined += u64::from(is_quarantined(&reply.body));
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    report.started = oracle::count_starts(&s, ID_PREFIX).await;
    Some(report)
}

fn is_quarantined(body: &[u8]) -> bool {
    let error = serde_json::from_slice::<ErrorBody>(body);
    error.is_ok_and(|e| e.error.kind == "quarantined")
}
