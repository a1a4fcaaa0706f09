//! The load and experiment tool.
//!
//! It drives a running deployment the way callers would: a fixed number of
//! callers send completion requests for adapters drawn from a Zipf
//! popularity, and halfway through, a rarely used adapter suddenly becomes
//! the busiest. It checks every answer (its own request id, the adapter and
//! version asked for, the whole text) and reports load stalls (time requests
//! waited for an adapter load) and batch efficiency (the used share of the
//! engines' batch steps). The run is bounded in time and seeded.

use std::time::{Duration, Instant};

use comfreyhall_protocol::{
    StatusQuery,
    api::{Completion, CompletionRequest, ErrorBody, Outcome},
    engine_client::EngineClient,
};
use comfreyhall_settings::Settings;
use comfreyhall_standins::expected_text;
use eyre::{bail, eyre};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rand_distr::{Distribution, Zipf};
use serde::Serialize;

use crate::{
    args::BenchCmd,
    catalog::seed_adapter,
    http::{self, HttpClient},
    output::render,
};

/// Share of requests that go to the suddenly popular adapter after the shift.
const SHIFT_SHARE: f64 = 0.3;

/// Largest stall the histogram records, in ms.
const STALL_MAX_MS: u64 = 600_000;

/// What one run measured.
#[derive(Debug, Serialize, PartialEq)]
pub(crate) struct Report {
    pub(crate) label: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    /// Refused and reported as not run.
    pub(crate) not_run: u64,
    /// Failed with an unknown outcome.
    pub(crate) unknown: u64,
    /// Answered with another id, adapter, version or text.
    pub(crate) wrong: u64,
    pub(crate) stall_p50_ms: u64,
    pub(crate) stall_p95_ms: u64,
    pub(crate) stall_p99_ms: u64,
    pub(crate) stall_max_ms: u64,
    /// Seconds of load stall summed over requests.
    pub(crate) stall_total_s: f64,
    /// Share of answered requests that waited for a load.
    pub(crate) stalled_share: f64,
    /// Used share of engine batch steps.
    pub(crate) batch_efficiency: f64,
}

struct Tally {
    stalls: Histogram<u64>,
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    stalled: u64,
}

impl Tally {
    fn new() -> Self {
        Self {
            stalls: Histogram::new_with_max(STALL_MAX_MS, 3).expect("valid histogram bounds"),
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            stalled: 0,
        }
    }

    fn merge(&mut self, other: Tally) {
        self.stalls.add(&other.stalls).expect("same bounds");
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.stalled += other.stalled;
    }
}

/// Summed (used, offered) sequence slots over all engine steps so far.
async fn batch_totals(s: &Settings) -> (u64, u64) {
    let mut used = 0;
    let mut offered = 0;
    for e in &s.engines {
        let Ok(mut c) = EngineClient::connect(format!("http://{}", e.listen)).await else {
            continue;
        };
        if let Ok(st) = c.status(StatusQuery {}).await {
            let st = st.into_inner();
            used += st.used;
            offered += st.steps * u64::from(st.width);
        }
    }
    (used, offered)
}

struct Caller {
    id: usize,
    addresses: Vec<String>,
    order: Vec<u32>,
    zipf: f64,
    max_tokens: u32,
    seed: u64,
    start: Instant,
    shift: Duration,
    end: Duration,
}

impl Caller {
    async fn run(self, client: HttpClient) -> eyre::Result<Tally> {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (self.id as u64) << 32);
        let zipf = Zipf::new(self.order.len() as f64, self.zipf).map_err(|e| eyre!("{e}"))?;
        let mut tally = Tally::new();
        let mut k = 0u64;
        while self.start.elapsed() < self.end {
            let shifted = self.start.elapsed() >= self.shift && rng.random_bool(SHIFT_SHARE);
            let rank = if shifted {
                self.order.len() - 1
            } else {
                zipf.sample(&mut rng) as usize - 1
            };
            let adapter = seed_adapter(self.order[rank]);
            let prompt = format!("caller {} request {k}", self.id);
            let id = format!("bench-{}-{k}", self.id);
            let addr = &self.addresses[(self.id + k as usize) % self.addresses.len()];
            k += 1;
            self.one(&client, addr, &adapter, &prompt, &id, &mut tally)
                .await;
        }
        Ok(tally)
    }

    async fn one(
        &self,
        client: &HttpClient,
        addr: &str,
        adapter: &str,
        prompt: &str,
        id: &str,
        tally: &mut Tally,
    ) {
        tally.requests += 1;
        let req = CompletionRequest {
            model: format!("{adapter}@v1"),
            prompt: prompt.to_string(),
            max_tokens: self.max_tokens,
            stream: false,
            priority: 0,
            deadline_ms: None,
            non_idempotent: false,
        };
        let body = serde_json::to_vec(&req).expect("requests serialise");
        let url = format!("http://{addr}/v1/completions");
        let reply = match http::call(client, &url, Some(body), Some(id)).await {
            Ok(r) => r,
            Err(_) => {
                tally.unknown += 1;
                return;
            }
        };
        if reply.status != 200 {
            match serde_json::from_slice::<ErrorBody>(&reply.body) {
                Ok(e) if e.error.outcome == Outcome::NotRun => tally.not_run += 1,
                _ => tally.unknown += 1,
            }
            return;
        }
        let Ok(done) = serde_json::from_slice::<Completion>(&reply.body) else {
            tally.wrong += 1;
            return;
        };
        let text = expected_text(adapter, "v1", prompt, self.max_tokens);
        let right = done.id == id && done.model == req.model && done.choices[0].text == text;
        if !right {
            tally.wrong += 1;
            return;
        }
        tally.answered += 1;
        let stall = reply.stall_ms.unwrap_or(0);
        if stall > 0 {
            tally.stalled += 1;
        }
        let _ = tally.stalls.record(stall.min(STALL_MAX_MS));
    }
}

/// Runs the load tool against the deployment in `settings`.
pub(crate) async fn run(settings: &str, cmd: BenchCmd, json: bool) -> eyre::Result<String> {
    if !(1..=600).contains(&cmd.seconds) || !(1..=512).contains(&cmd.callers) {
        bail!("bench takes 1 to 600 --seconds and 1 to 512 --callers");
    }
    let s = Settings::load(settings)?;
    let client = http::client();
    let first = &s.instances[0].listen;
    let reply = http::call(&client, &format!("http://{first}/v1/addresses"), None, None).await?;
    let addresses: comfreyhall_protocol::api::Addresses = serde_json::from_slice(&reply.body)?;
    if addresses.addresses.is_empty() {
        bail!("no live instance answered; start the daemons first");
    }
    let mut order: Vec<u32> = (0..s.workload.adapters).collect();
    order.shuffle(&mut StdRng::seed_from_u64(cmd.seed));
    if let Some(n) = cmd.adapters {
        order.truncate(n.max(1) as usize);
    }
    let (used0, offered0) = batch_totals(&s).await;
    let start = Instant::now();
    let end = Duration::from_secs(cmd.seconds);
    let mut tasks = Vec::new();
    for id in 0..cmd.callers {
        let caller = Caller {
            id,
            addresses: addresses.addresses.clone(),
            order: order.clone(),
            zipf: s.workload.zipf,
            max_tokens: cmd.max_tokens,
            seed: cmd.seed,
            start,
            shift: end / 2,
            end,
        };
        tasks.push(tokio::spawn(caller.run(client.clone())));
    }
    let mut tally = Tally::new();
    for t in tasks {
        tally.merge(t.await??);
    }
    let seconds = start.elapsed().as_secs_f64();
    let (used1, offered1) = batch_totals(&s).await;
    let report = report(&cmd, seconds, &tally, used1 - used0, offered1 - offered0);
    Ok(render(json, &report, || text(&report)))
}

fn report(cmd: &BenchCmd, seconds: f64, t: &Tally, used: u64, offered: u64) -> Report {
    let q = |p: f64| t.stalls.value_at_quantile(p);
    Report {
        label: cmd.label.clone(),
        seed: cmd.seed,
        seconds: (seconds * 10.0).round() / 10.0,
        requests: t.requests,
        answered: t.answered,
        not_run: t.not_run,
        unknown: t.unknown,
        wrong: t.wrong,
        stall_p50_ms: q(0.5),
        stall_p95_ms: q(0.95),
        stall_p99_ms: q(0.99),
        stall_max_ms: t.stalls.max(),
        stall_total_s: (t.stalls.mean() * t.stalls.len() as f64 / 10.0).round() / 100.0,
        stalled_share: share(t.stalled, t.answered),
        batch_efficiency: share(used, offered),
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    (part as f64 / whole as f64 * 1000.0).round() / 1000.0
}

pub(crate) fn text(r: &Report) -> String {
    format!(
        "bench {label} (seed {seed}, {secs} s): {req} requests, {ok} answered, {nr} not run, {unk} unknown, {wrong} wrong\n\
         load stall ms: p50 {p50}  p95 {p95}  p99 {p99}  max {max}  total {tot} s, {stalled:.1}% of answers stalled\n\
         batch efficiency: {eff:.1}% of engine step slots used\n",
        label = r.label,
        seed = r.seed,
        secs = r.seconds,
        req = r.requests,
        ok = r.answered,
        nr = r.not_run,
        unk = r.unknown,
        wrong = r.wrong,
        p50 = r.stall_p50_ms,
        p95 = r.stall_p95_ms,
        p99 = r.stall_p99_ms,
        max = r.stall_max_ms,
        tot = r.stall_total_s,
        stalled = r.stalled_share * 100.0,
        eff = r.batch_efficiency * 100.0,
    )
}
