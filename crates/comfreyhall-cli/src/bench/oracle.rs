//! Compares the answers to callers with what the stand-ins ran.

use std::time::Duration;

use comfreyhall_protocol::{
    Map, RunsQuery, engine_client::EngineClient, plain_client::PlainClient,
};
use comfreyhall_settings::Settings;
use tonic::transport::Endpoint;

use super::report::{AttemptResult, Tally};

/// Time for runs whose answers were lost to finish.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Timeout of connecting to a stand-in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest list of runs that is accepted, in bytes.
const MAX_RUNS_BYTES: usize = 256 << 20;

/// Violated guarantees, according to the stand-ins' lists of runs.
pub(super) struct Violations {
    /// At-most-once requests that ran more than once.
    pub(super) doubled: u64,
    /// Attempts reported as "not run" that ran.
    pub(super) misreported: u64,
}

/// Number of starts of each request id, over all engines and services.
async fn starts(s: &Settings) -> Map<String, u32> {
    let mut out = Map::default();
    let engines = s.engines.iter().map(|e| (&e.listen, true));
    let services = s.services.iter().map(|v| (&v.listen, false));
    for (addr, is_engine) in engines.chain(services) {
        let Ok(endpoint) = Endpoint::from_shared(format!("http://{addr}")) else {
            continue;
        };
        let Ok(channel) = endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await else {
            continue;
        };
        let answer = if is_engine {
            let client = EngineClient::new(channel);
            let mut client = client.max_decoding_message_size(MAX_RUNS_BYTES);
            client.runs(RunsQuery {}).await
        } else {
            let client = PlainClient::new(channel);
            let mut client = client.max_decoding_message_size(MAX_RUNS_BYTES);
            client.runs(RunsQuery {}).await
        };
        let Ok(reply) = answer else { continue };
        for run in reply.into_inner().runs {
            *out.entry(run.request_id).or_default() += run.starts;
        }
    }
    out
}

/// Number of starts of all requests whose ids begin with `prefix`.
pub(super) async fn count_starts(s: &Settings, prefix: &str) -> u64 {
    let starts = starts(s).await;
    let matching = starts.iter().filter(|(id, _)| id.starts_with(prefix));
    matching.map(|(_, n)| u64::from(*n)).sum()
}

/// Counts the violated guarantees.
pub(super) async fn count_violations(s: &Settings, tally: &Tally) -> Violations {
    tokio::time::sleep(SETTLE_TIME).await;
    let starts = starts(s).await;
    let starts_of = |id: &str| starts.get(id).copied().unwrap_or(0);
    let mut violations = Violations {
        doubled: 0,
        misreported: 0,
    };
    for record in &tally.records {
        let runs: u32 = record.attempts.iter().map(|a| starts_of(&a.id)).sum();
        if record.at_most_once && runs > 1 {
            violations.doubled += 1;
        }
        let refused = record
            .attempts
            .iter()
            .filter(|a| a.result == AttemptResult::NotRun);
        violations.misreported += refused.filter(|a| starts_of(&a.id) > 0).count() as u64;
    }
    violations
}
