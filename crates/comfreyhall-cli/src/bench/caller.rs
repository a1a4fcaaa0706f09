//! A simulated caller: looks up addresses, sends requests, checks the answers and
//! retries after the delay that it is given.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_protocol::api::{Addresses, CompletionRequest, ErrorBody, Outcome};
use comfreyhall_standins::expected_text;
use eyre::eyre;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rand_distr::{Distribution, Zipf};
use serde_json::Value;

use super::report::{Attempt, AttemptResult, RequestRecord, Tally};
use crate::{
    catalog::seed_adapter,
    client::{self, HttpCall, HttpClient, Reply},
};

/// Share of requests for the newly popular adapter after the shift.
const SHIFT_SHARE: f64 = 0.3;

/// Timeout of one attempt; the caller then tries another address.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a caller stops retrying a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: usize = 200;

/// Unknown outcomes after which a caller stops retrying a request that must run
/// at most once.
const MAX_UNKNOWN: usize = 8;

/// Delay before the attempt that follows an unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout of an address query.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// The workload of a run, which all its callers share.
pub(super) struct Plan {
    /// Entry instances that answer address queries.
    pub(super) entries: Vec<String>,
    /// Adapters, most popular first.
    pub(super) order: Vec<u32>,
    pub(super) zipf: f64,
    pub(super) max_tokens: u32,
    pub(super) seed: u64,
    /// Share of requests that must run at most once.
    pub(super) once_share: f64,
    /// Share of requests that are non-idempotent calls to plain services.
    pub(super) plain_share: f64,
    /// Share of completions that are streamed.
    pub(super) stream_share: f64,
    pub(super) start: Instant,
    /// Time after `start` during which nothing is counted, while the adapter slots fill.
    pub(super) warmup: Duration,
    /// Time after `start` at which the popularity of adapters changes.
    pub(super) shift: Duration,
    /// Time after `start` at which the callers stop.
    pub(super) end: Duration,
}

/// The payload of a request.
enum Payload {
    Completion {
        model: (String, &'static str),
        prompt: String,
        stream: bool,
    },
    Plain(String),
}

struct BenchRequest {
    key: String,
    at_most_once: bool,
    payload: Payload,
}

pub(super) struct Caller {
    id: usize,
    plan: Arc<Plan>,
    client: HttpClient,
    zipf: Zipf<f64>,
    rng: StdRng,
    addresses: Vec<String>,
    expires_at: Instant,
}

impl Caller {
    pub(super) fn new(id: usize, plan: Arc<Plan>, client: HttpClient) -> eyre::Result<Self> {
        Ok(Self {
            zipf: Zipf::new(plan.order.len() as f64, plan.zipf).map_err(|e| eyre!("{e}"))?,
            rng: StdRng::seed_from_u64(plan.seed ^ ((id as u64) << 32)),
            addresses: Vec::new(),
            expires_at: plan.start,
            id,
            plan,
            client,
        })
    }

    pub(super) async fn run(mut self) -> Tally {
        let plan = self.plan.clone();
        let mut tally = Tally::new();
        let mut measuring = false;
        let mut k = 0;
        while plan.start.elapsed() < plan.end {
            if !measuring && plan.start.elapsed() >= plan.warmup {
                measuring = true;
                tally = Tally::new();
            }
            let request = self.next_request(k);
            k += 1;
            let record = self.run_request(&request, &mut tally).await;
            tally.records.push(record);
        }
        tally
    }

    /// Draws the next request from the workload.
    fn next_request(&mut self, k: u64) -> BenchRequest {
        let plan = self.plan.clone();
        let key = format!("b{}-{}-{k}", plan.seed, self.id);
        let draw: f64 = self.rng.random();
        let stream = self.rng.random_bool(plan.stream_share);
        let shifted = plan.start.elapsed() >= plan.shift;
        let rank = if shifted && self.rng.random_bool(SHIFT_SHARE) {
            plan.order.len() - 1
        } else {
            self.zipf.sample(&mut self.rng) as usize - 1
        };
        let prompt = format!("caller {} request {k}", self.id);
        let payload = if draw < plan.plain_share {
            Payload::Plain(prompt)
        } else {
            Payload::Completion {
                model: (seed_adapter(plan.order[rank]), "v1"),
                prompt,
                stream,
            }
        };
        BenchRequest {
            key,
            at_most_once: draw < plan.plain_share + plan.once_share,
            payload,
        }
    }

    /// Sends a request repeatedly until it is answered or the caller gives up.
    async fn run_request(&mut self, request: &BenchRequest, tally: &mut Tally) -> RequestRecord {
        let started = Instant::now();
        let mut record = RequestRecord {
            at_most_once: request.at_most_once,
            attempts: Vec::new(),
        };
        let mut avoid = None;
        while record.attempts.len() < MAX_ATTEMPTS && started.elapsed() < REQUEST_TIMEOUT {
            let Some(addr) = self.pick_address(avoid.take()).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let id = format!("{}-{}", request.key, record.attempts.len());
            let (result, delay) = self.attempt(request, &id, &addr, tally).await;
            record.attempts.push(Attempt { id, result });
            if matches!(result, AttemptResult::Answered | AttemptResult::Wrong)
                || record.is_inconclusive(MAX_UNKNOWN)
            {
                break;
            }
            if !may_retry(delay, started.elapsed()) {
                break;
            }
            tokio::time::sleep(delay).await;
            avoid = Some(addr);
        }
        record
    }

    /// Picks an address other than `avoid` if possible; refreshes expired addresses first.
    async fn pick_address(&mut self, avoid: Option<String>) -> Option<String> {
        if Instant::now() >= self.expires_at {
            self.refresh_addresses().await;
        }
        let others = self.addresses.iter().filter(|a| Some(*a) != avoid.as_ref());
        let others: Vec<&String> = others.collect();
        let chosen = others.choose(&mut self.rng).copied();
        chosen.or(self.addresses.first()).cloned()
    }

    /// Queries the entry instances in random order until one answers; keeps the old
    /// addresses if none does.
    async fn refresh_addresses(&mut self) {
        let plan = self.plan.clone();
        let shuffled: Vec<String> = plan
            .entries
            .choose_multiple(&mut self.rng, plan.entries.len())
            .cloned()
            .collect();
        for entry in shuffled {
            let url = format!("http://{entry}/v1/addresses");
            let response = client::call(&self.client, HttpCall::get(&url, ADDRESS_TIMEOUT)).await;
            let Ok(reply) = response else { continue };
            let Ok(answer) = serde_json::from_slice::<Addresses>(&reply.body) else {
                continue;
            };
            if !answer.addresses.is_empty() {
                self.addresses = answer.addresses;
                self.expires_at = Instant::now() + Duration::from_millis(answer.ttl_ms);
                return;
            }
        }
    }

    /// Sends one attempt; returns its result and the delay before a retry.
    async fn attempt(
        &self,
        request: &BenchRequest,
        id: &str,
        addr: &str,
        tally: &mut Tally,
    ) -> (AttemptResult, Duration) {
        let (url, body) = match &request.payload {
            Payload::Completion {
                model,
                prompt,
                stream,
            } => {
                let req = CompletionRequest {
                    model: format!("{}@{}", model.0, model.1),
                    prompt: prompt.clone(),
                    max_tokens: self.plan.max_tokens,
                    stream: *stream,
                    priority: 0,
                    deadline_ms: Some(ATTEMPT_TIMEOUT.as_millis() as u64),
                    non_idempotent: request.at_most_once,
                };
                let body = serde_json::to_vec(&req).expect("requests serialise");
                (format!("http://{addr}/v1/completions"), body)
            }
            Payload::Plain(text) => (
                format!("http://{addr}/v1/call/enquire"),
                text.clone().into_bytes(),
            ),
        };
        let http_call = HttpCall {
            url: &url,
            body: Some(body),
            id: Some(id),
            key: request.at_most_once.then_some(request.key.as_str()),
            time_limit: ATTEMPT_TIMEOUT,
        };
        let reply = match client::call(&self.client, http_call).await {
            Ok(reply) => reply,
            Err(client::CallError::NotSent) => return (AttemptResult::NotRun, RETRY_DELAY / 5),
            Err(client::CallError::ConnectionLost) => {
                return (AttemptResult::Truncated, RETRY_DELAY);
            }
            Err(client::CallError::TimedOut) => return (AttemptResult::Unknown, RETRY_DELAY),
        };
        if reply.status != 200 {
            return parse_error(&reply.body);
        }
        let result = self.check_answer(request, id, &reply);
        if result.0 == AttemptResult::Answered {
            tally.record_stall(reply.stall_ms.unwrap_or(0));
        }
        result
    }

    /// Checks an answer against the expected one.
    fn check_answer(
        &self,
        request: &BenchRequest,
        id: &str,
        reply: &Reply,
    ) -> (AttemptResult, Duration) {
        let result_if = |correct| {
            if correct {
                AttemptResult::Answered
            } else {
                AttemptResult::Wrong
            }
        };
        match &request.payload {
            Payload::Plain(text) => (result_if(reply.body == text.as_bytes()), Duration::ZERO),
            Payload::Completion {
                model: (adapter, version),
                prompt,
                stream,
            } => {
                let text = expected_text(adapter, version, prompt, self.plan.max_tokens);
                let model = format!("{adapter}@{version}");
                let parsed = match stream {
                    false => {
                        serde_json::from_slice(&reply.body).map_err(|_| AttemptResult::Truncated)
                    }
                    true => join_stream(&reply.body),
                };
                match parsed {
                    Ok(v) => {
                        let v: Value = v;
                        let correct = v["id"] == id
                            && v["model"] == model
                            && v["choices"][0]["text"] == text
                            && v["choices"][0]["finish_reason"] == "length";
                        (result_if(correct), Duration::ZERO)
                    }
                    Err(result) => (result, RETRY_DELAY),
                }
            }
        }
    }
}

/// Whether a caller that has spent `elapsed` on a request may retry it after
/// `delay`, within the request timeout.
fn may_retry(delay: Duration, elapsed: Duration) -> bool {
    elapsed + delay < REQUEST_TIMEOUT
}

/// Parses an error body into the result and the delay before a retry.
fn parse_error(body: &[u8]) -> (AttemptResult, Duration) {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(e) => {
            let delay = e.error.retry_after_ms.map(Duration::from_millis);
            let result = match e.error.outcome {
                Outcome::NotRun => AttemptResult::NotRun,
                Outcome::Unknown => AttemptResult::Unknown,
            };
            (result, delay.unwrap_or(RETRY_DELAY))
        }
        Err(_) => (AttemptResult::Unknown, RETRY_DELAY),
    }
}

/// Joins the events of a stream into one answer.
///
/// A stream that ends without `[DONE]` was truncated, unless its last event is an
/// error.
fn join_stream(body: &[u8]) -> Result<Value, AttemptResult> {
    let raw = String::from_utf8_lossy(body);
    let events: Vec<&str> = raw
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    let Some((last, chunks)) = events.split_last() else {
        return Err(AttemptResult::Truncated);
    };
    if *last != "[DONE]" {
        return Err(match serde_json::from_str::<ErrorBody>(last) {
            Ok(_) => AttemptResult::Unknown,
            Err(_) => AttemptResult::Truncated,
        });
    }
    let mut text = String::new();
    let mut merged = Value::Null;
    for chunk in chunks {
        let v: Value = serde_json::from_str(chunk).map_err(|_| AttemptResult::Wrong)?;
        text.push_str(v["choices"][0]["text"].as_str().unwrap_or_default());
        merged = v;
    }
    merged["choices"][0]["text"] = text.into();
    Ok(merged)
}

#[cfg(test)]
#[path = "caller_tests.rs"]
mod tests;
