//! Waiting for accepted rules to be in force on every instance.

use std::time::{Duration, Instant};

use comfreyhall_settings::{Instance, Settings};
use eyre::bail;
use futures::future::join_all;

use crate::{
    client::{self, HttpClient, Send},
    output::render,
};

/// Longest an instance is waited for.
const LIMIT: Duration = Duration::from_secs(30);

/// Longest one question to an instance may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between questions.
const PAUSE: Duration = Duration::from_millis(20);

/// The version in force at `instance`; `None` if it does not answer.
async fn version_at(client: &HttpClient, instance: &Instance) -> Option<u64> {
    let url = format!("http://{}/v1/config", instance.listen);
    let reply = client::call(client, Send::get(&url, ASK_TIMEOUT))
        .await
        .ok()?;
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    answer["version"].as_u64()
}

/// Waits for `version` at `instance`: the time it took, or `None` for an
/// instance that never answered.
async fn reached(client: &HttpClient, instance: &Instance, version: u64) -> Option<Duration> {
    let begun = Instant::now();
    let mut answered = false;
    while begun.elapsed() < LIMIT {
        match version_at(client, instance).await {
            Some(v) if v >= version => return Some(begun.elapsed()),
            Some(_) => answered = true,
            // Not one of the running instances.
            None if !answered => return None,
            None => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
    Some(LIMIT)
}

/// Waits until every instance that answers has `version` in force.
pub(crate) async fn wait(settings: &str, version: u64, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let client = client::client();
    let waits = s.instances.iter().map(|i| reached(&client, i, version));
    let times: Vec<Duration> = join_all(waits).await.into_iter().flatten().collect();
    let Some(slowest) = times.iter().max() else {
        bail!("rules accepted as version {version}, but no instance answers; start the daemons");
    };
    if *slowest >= LIMIT {
        bail!(
            "version {version} is accepted, but not in force everywhere after {LIMIT:?}; see the follow: log lines of the instances that lag"
        );
    }
    let done = serde_json::json!({
        "version": version,
        "instances": times.len(),
        "slowest_ms": slowest.as_millis() as u64,
    });
    Ok(render(json, &done, || {
        format!(
            "rules version {version} in force on {} instances after {:.2} s\n",
            times.len(),
            slowest.as_secs_f64()
        )
    }))
}
