//! Holds what callers were told against what the stand-ins ran.

use std::time::Duration;

use comfreyhall_protocol::{
    Map, RunsQuery, engine_client::EngineClient, plain_client::PlainClient,
};
use comfreyhall_settings::Settings;
use tonic::transport::Endpoint;

use super::report::{Tally, Told};

/// Time given to runs whose answers were lost to come to their end.
const SETTLE: Duration = Duration::from_millis(500);

/// Longest connecting to a stand-in may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest list of runs read, in bytes.
const RUNS_LIMIT: usize = 256 << 20;

/// Promises broken in a run, as the stand-ins' record shows them.
pub(super) struct Verdict {
    pub(super) doubled: u64,
    pub(super) misreported: u64,
}

/// How often each request id was started, over all engines and services.
async fn starts(s: &Settings) -> Map<String, u32> {
    let mut out = Map::default();
    let engines = s.engines.iter().map(|e| (&e.listen, true));
    let services = s.services.iter().map(|v| (&v.listen, false));
    for (addr, engine) in engines.chain(services) {
        let Ok(endpoint) = Endpoint::from_shared(format!("http://{addr}")) else {
            continue;
        };
        let Ok(channel) = endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await else {
            continue;
        };
        let answer = if engine {
            let client = EngineClient::new(channel);
            let mut client = client.max_decoding_message_size(RUNS_LIMIT);
            client.runs(RunsQuery {}).await
        } else {
            let client = PlainClient::new(channel);
            let mut client = client.max_decoding_message_size(RUNS_LIMIT);
            client.runs(RunsQuery {}).await
        };
        let Ok(reply) = answer else { continue };
        for run in reply.into_inner().runs {
            *out.entry(run.request_id).or_default() += run.starts;
        }
    }
    out
}

/// How often requests whose ids begin with `prefix` were begun.
pub(super) async fn begun(s: &Settings, prefix: &str) -> u64 {
    let starts = starts(s).await;
    let ours = starts.iter().filter(|(id, _)| id.starts_with(prefix));
    ours.map(|(_, n)| u64::from(*n)).sum()
}

/// Counts the promises that were broken.
pub(super) async fn judge(s: &Settings, tally: &Tally) -> Verdict {
    tokio::time::sleep(SETTLE).await;
    let starts = starts(s).await;
    let ran = |id: &str| starts.get(id).copied().unwrap_or(0);
    let mut verdict = Verdict {
        doubled: 0,
        misreported: 0,
    };
    for journal in &tally.journals {
        let runs: u32 = journal.attempts.iter().map(|a| ran(&a.id)).sum();
        if journal.once && runs > 1 {
            verdict.doubled += 1;
        }
        let refused = journal.attempts.iter().filter(|a| a.told == Told::NotRun);
        verdict.misreported += refused.filter(|a| ran(&a.id) > 0).count() as u64;
    }
    verdict
}
