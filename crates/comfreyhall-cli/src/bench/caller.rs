//! One caller: asks where to connect, sends, checks, and comes back as told.

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

use super::report::{Attempt, Journal, Tally, Told};
use crate::{
    catalog::seed_adapter,
    client::{self, HttpClient, Reply, Send},
};

/// Share of requests that go to the suddenly popular adapter after the shift.
const SHIFT_SHARE: f64 = 0.3;

/// Longest one attempt may take before the caller tries elsewhere.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest a caller keeps trying one request.
const PATIENCE: Duration = Duration::from_secs(60);

/// Attempts of one request.
const ATTEMPTS: usize = 200;

/// Unknown outcomes after which a caller stops asking about a request that
/// must run at most once.
const DOUBTS: usize = 8;

/// Pause before an attempt after an unknown outcome.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);

/// Longest an address query may take.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// What every caller of a run shares.
pub(super) struct Plan {
    /// Entry instances that answer address queries.
    pub(super) entries: Vec<String>,
    /// Adapters, most popular first.
    pub(super) order: Vec<u32>,
    pub(super) zipf: f64,
    pub(super) max_tokens: u32,
    pub(super) seed: u64,
    /// Share of requests that must run at most once.
    pub(super) once: f64,
    /// Share of requests that are non-idempotent calls to plain services.
    pub(super) plain: f64,
    /// Share of completions that are streamed.
    pub(super) stream: f64,
    pub(super) start: Instant,
    /// Until then nothing is counted: slots fill from cold.
    pub(super) warmup: Duration,
    pub(super) shift: Duration,
    pub(super) end: Duration,
}

/// What a request asks for.
enum Work {
    Completion {
        model: (String, &'static str),
        prompt: String,
        stream: bool,
    },
    Plain(String),
}

struct Ask {
    key: String,
    once: bool,
    work: Work,
}

pub(super) struct Caller {
    id: usize,
    plan: Arc<Plan>,
    client: HttpClient,
    zipf: Zipf<f64>,
    rng: StdRng,
    addresses: Vec<String>,
    expires: Instant,
}

impl Caller {
    pub(super) fn new(id: usize, plan: Arc<Plan>, client: HttpClient) -> eyre::Result<Self> {
        Ok(Self {
            zipf: Zipf::new(plan.order.len() as f64, plan.zipf).map_err(|e| eyre!("{e}"))?,
            rng: StdRng::seed_from_u64(plan.seed ^ ((id as u64) << 32)),
            addresses: Vec::new(),
            expires: plan.start,
            id,
            plan,
            client,
        })
    }

    pub(super) async fn run(mut self) -> Tally {
        let plan = self.plan.clone();
        let mut tally = Tally::new();
        let mut warm = false;
        let mut k = 0;
        while plan.start.elapsed() < plan.end {
            if !warm && plan.start.elapsed() >= plan.warmup {
                warm = true;
                tally = Tally::new();
            }
            let ask = self.draw(k);
            k += 1;
            let journal = self.request(&ask, &mut tally).await;
            tally.journals.push(journal);
        }
        tally
    }

    /// Draws the caller's next request.
    fn draw(&mut self, k: u64) -> Ask {
        let plan = self.plan.clone();
        let key = format!("b{}-{}-{k}", plan.seed, self.id);
        let share: f64 = self.rng.random();
        let stream = self.rng.random_bool(plan.stream);
        let late = plan.start.elapsed() >= plan.shift;
        let rank = if late && self.rng.random_bool(SHIFT_SHARE) {
            plan.order.len() - 1
        } else {
            self.zipf.sample(&mut self.rng) as usize - 1
        };
        let prompt = format!("caller {} request {k}", self.id);
        let work = if share < plan.plain {
            Work::Plain(prompt)
        } else {
            Work::Completion {
                model: (seed_adapter(plan.order[rank]), "v1"),
                prompt,
                stream,
            }
        };
        Ask {
            key,
            once: share < plan.plain + plan.once,
            work,
        }
    }

    /// Sends a request until it is answered or the caller gives up.
    async fn request(&mut self, ask: &Ask, tally: &mut Tally) -> Journal {
        let began = Instant::now();
        let mut journal = Journal {
            once: ask.once,
            attempts: Vec::new(),
        };
        let mut avoid = None;
        while journal.attempts.len() < ATTEMPTS && began.elapsed() < PATIENCE {
            let Some(addr) = self.address(avoid.take()).await else {
                tokio::time::sleep(DOUBT_PAUSE).await;
                continue;
            };
            let id = format!("{}-{}", ask.key, journal.attempts.len());
            let (told, wait) = self.attempt(ask, &id, &addr, tally).await;
            journal.attempts.push(Attempt { id, told });
            if matches!(told, Told::Answered | Told::Wrong) || journal.hopeless(DOUBTS) {
                break;
            }
            if !comes_back(wait, began.elapsed()) {
                break;
            }
            tokio::time::sleep(wait).await;
            avoid = Some(addr);
        }
        journal
    }

    /// An address to use, asking again when the last answer ran out.
    async fn address(&mut self, avoid: Option<String>) -> Option<String> {
        if Instant::now() >= self.expires {
            self.refresh().await;
        }
        let others = self.addresses.iter().filter(|a| Some(*a) != avoid.as_ref());
        let others: Vec<&String> = others.collect();
        let pick = others.choose(&mut self.rng).copied();
        pick.or(self.addresses.first()).cloned()
    }

    /// Asks up to three instances; keeps the old answer if none replies.
    async fn refresh(&mut self) {
        let plan = self.plan.clone();
        let some: Vec<String> = plan
            .entries
            .choose_multiple(&mut self.rng, plan.entries.len())
            .cloned()
            .collect();
        for entry in some {
            let url = format!("http://{entry}/v1/addresses");
            let asked = client::call(&self.client, Send::get(&url, ADDRESS_TIMEOUT)).await;
            let Ok(reply) = asked else { continue };
            let Ok(answer) = serde_json::from_slice::<Addresses>(&reply.body) else {
                continue;
            };
            if !answer.addresses.is_empty() {
                self.addresses = answer.addresses;
                self.expires = Instant::now() + Duration::from_millis(answer.ttl_ms);
                return;
            }
        }
    }

    /// Sends one attempt; returns what it was told and when to come back.
    async fn attempt(
        &self,
        ask: &Ask,
        id: &str,
        addr: &str,
        tally: &mut Tally,
    ) -> (Told, Duration) {
        let (url, body) = match &ask.work {
            Work::Completion {
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
                    non_idempotent: ask.once,
                };
                let body = serde_json::to_vec(&req).expect("requests serialise");
                (format!("http://{addr}/v1/completions"), body)
            }
            Work::Plain(text) => (
                format!("http://{addr}/v1/call/enquire"),
                text.clone().into_bytes(),
            ),
        };
        let send = Send {
            url: &url,
            body: Some(body),
            id: Some(id),
            key: ask.once.then_some(ask.key.as_str()),
            limit: ATTEMPT_TIMEOUT,
        };
        let reply = match client::call(&self.client, send).await {
            Ok(reply) => reply,
            Err(client::CallError::NotSent) => return (Told::NotRun, DOUBT_PAUSE / 5),
            Err(client::CallError::CutOff) => return (Told::CutOff, DOUBT_PAUSE),
            Err(client::CallError::Late) => return (Told::Unknown, DOUBT_PAUSE),
        };
        if reply.status != 200 {
            return refused(&reply.body);
        }
        let told = self.check(ask, id, &reply);
        if told.0 == Told::Answered {
            tally.stall(reply.stall_ms.unwrap_or(0));
        }
        told
    }

    /// Checks an answer against what was asked.
    fn check(&self, ask: &Ask, id: &str, reply: &Reply) -> (Told, Duration) {
        let verdict = |right| if right { Told::Answered } else { Told::Wrong };
        match &ask.work {
            Work::Plain(text) => (verdict(reply.body == text.as_bytes()), Duration::ZERO),
            Work::Completion {
                model: (adapter, version),
                prompt,
                stream,
            } => {
                let text = expected_text(adapter, version, prompt, self.plan.max_tokens);
                let model = format!("{adapter}@{version}");
                let got = match stream {
                    false => serde_json::from_slice(&reply.body).map_err(|_| Told::CutOff),
                    true => joined(&reply.body),
                };
                match got {
                    Ok(v) => {
                        let v: Value = v;
                        let right = v["id"] == id
                            && v["model"] == model
                            && v["choices"][0]["text"] == text
                            && v["choices"][0]["finish_reason"] == "length";
                        (verdict(right), Duration::ZERO)
                    }
                    Err(told) => (told, DOUBT_PAUSE),
                }
            }
        }
    }
}

/// Whether a caller that has waited for `elapsed` comes back after `wait`: not
/// beyond its patience.
fn comes_back(wait: Duration, elapsed: Duration) -> bool {
    elapsed + wait < PATIENCE
}

/// What an error answer says, and when to come back.
fn refused(body: &[u8]) -> (Told, Duration) {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(e) => {
            let wait = e.error.retry_after_ms.map(Duration::from_millis);
            let told = match e.error.outcome {
                Outcome::NotRun => Told::NotRun,
                Outcome::Unknown => Told::Unknown,
            };
            (told, wait.unwrap_or(DOUBT_PAUSE))
        }
        Err(_) => (Told::Unknown, DOUBT_PAUSE),
    }
}

/// Joins the events of a stream into one answer.
///
/// A stream that ends without `[DONE]` was cut off, unless its last event
/// says why it ended.
fn joined(body: &[u8]) -> Result<Value, Told> {
    let raw = String::from_utf8_lossy(body);
    let events: Vec<&str> = raw
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    let Some((last, chunks)) = events.split_last() else {
        return Err(Told::CutOff);
    };
    if *last != "[DONE]" {
        return Err(match serde_json::from_str::<ErrorBody>(last) {
            Ok(_) => Told::Unknown,
            Err(_) => Told::CutOff,
        });
    }
    let mut text = String::new();
    let mut whole = Value::Null;
    for chunk in chunks {
        let v: Value = serde_json::from_str(chunk).map_err(|_| Told::Wrong)?;
        text.push_str(v["choices"][0]["text"].as_str().unwrap_or_default());
        whole = v;
    }
    whole["choices"][0]["text"] = text.into();
    Ok(whole)
}

#[cfg(test)]
#[path = "caller_tests.rs"]
mod tests;
