//! `comfreyhall stats`: the resource use of each daemon over a window.
//!
//! Reads `/v1/stats` of every instance in the settings twice, `window` seconds
//! apart, and prints the differences as rates: share of a CPU core, control
//! traffic in bytes and calls per second, requests per second, and resident
//! memory. Instances that do not answer are omitted. The figures in
//! docs/CAPACITY.md come from this command.

use std::time::{Duration, Instant};

use comfreyhall_settings::Settings;
use eyre::bail;
use serde::{Deserialize, Serialize};

use crate::{
    args::StatsCmd,
    client::{self, HttpCall, HttpClient},
    output::{render, table},
};

/// Timeout of one sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Deserialize, Clone)]
struct Sample {
    instance: String,
    cpu_ms: u64,
    rss_kib: u64,
    requests: u64,
    control_calls: u64,
    control_bytes: u64,
    table_calls: u64,
    adapters_cached: u64,
}

/// The rates of one daemon over the window.
#[derive(Debug, Serialize)]
pub(crate) struct Rates {
    pub(crate) instance: String,
    /// Share of one core, in percent.
    pub(crate) cpu_pct: f64,
    pub(crate) rss_mib: f64,
    pub(crate) control_bytes_per_s: f64,
    pub(crate) control_calls_per_s: f64,
    pub(crate) table_calls_per_s: f64,
    pub(crate) requests_per_s: f64,
    /// CPU time per routed request, in ms; `None` without requests.
    pub(crate) cpu_ms_per_request: Option<f64>,
    pub(crate) adapters_cached: u64,
}

async fn fetch_sample(client: &HttpClient, addr: &str) -> Option<Sample> {
    let url = format!("http://{addr}/v1/stats");
    let reply = client::call(client, HttpCall::get(&url, SAMPLE_TIMEOUT))
        .await
        .ok()?;
    serde_json::from_slice(&reply.body).ok()
}

async fn fetch_samples(client: &HttpClient, s: &Settings) -> Vec<Sample> {
    let mut out = Vec::new();
    for i in &s.instances {
        if let Some(x) = fetch_sample(client, &i.listen).await {
            out.push(x);
        }
    }
    out
}

fn round(x: f64, places: i32) -> f64 {
    let factor = 10f64.powi(places);
    (x * factor).round() / factor
}

fn rates(a: &Sample, b: &Sample, secs: f64) -> Rates {
    let cpu = (b.cpu_ms - a.cpu_ms) as f64;
    let requests = b.requests - a.requests;
    Rates {
        instance: b.instance.clone(),
        cpu_pct: round(cpu / 10.0 / secs, 2),
        rss_mib: round(b.rss_kib as f64 / 1024.0, 1),
        control_bytes_per_s: round((b.control_bytes - a.control_bytes) as f64 / secs, 0),
        control_calls_per_s: round((b.control_calls - a.control_calls) as f64 / secs, 1),
        table_calls_per_s: round((b.table_calls - a.table_calls) as f64 / secs, 1),
        requests_per_s: round(requests as f64 / secs, 1),
        cpu_ms_per_request: (requests > 0).then(|| round(cpu / requests as f64, 3)),
        adapters_cached: b.adapters_cached,
    }
}

/// Samples every daemon twice and prints the rates.
pub(crate) async fn run(settings: &str, cmd: StatsCmd, json: bool) -> eyre::Result<String> {
    if !(1..=600).contains(&cmd.window) {
        bail!("stats takes a --window of 1 to 600 seconds");
    }
    let s = Settings::load(settings)?;
    let client = client::client();
    let before = fetch_samples(&client, &s).await;
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(cmd.window)).await;
    let after = fetch_samples(&client, &s).await;
    let secs = started.elapsed().as_secs_f64();
    let all: Vec<Rates> = after
        .iter()
        .filter_map(|b| {
            let a = before.iter().find(|a| a.instance == b.instance)?;
            Some(rates(a, b, secs))
        })
        .collect();
    if all.is_empty() {
        bail!("no daemon answered /v1/stats; start the daemons first");
    }
    Ok(render(json, &all, || {
        let rows: Vec<Vec<String>> = all
            .iter()
            .map(|r| {
                vec![
                    r.instance.clone(),
                    format!("{:.2}", r.cpu_pct),
                    format!("{:.1}", r.rss_mib),
                    format!("{:.0}", r.control_bytes_per_s),
                    format!("{:.1}", r.control_calls_per_s),
                    format!("{:.1}", r.requests_per_s),
                ]
            })
            .collect();
        let header = [
            "INSTANCE", "CPU_%", "RSS_MIB", "CTRL_B/S", "CALLS/S", "REQ/S",
        ];
        table(&header, &rows)
    }))
}
