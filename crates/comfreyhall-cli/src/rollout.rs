//! Waits until accepted rules are active on every instance.

use std::time::{Duration, Instant};

use comfreyhall_settings::{Instance, Settings};
use eyre::bail;
use futures::future::join_all;

use crate::{
    client::{self, HttpCall, HttpClient},
    output::render,
};

/// Longest wait for an instance.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of one query to an instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between queries to one instance.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The version that is active on `instance`; `None` if it does not answer.
async fn active_version(client: &HttpClient, instance: &Instance) -> Option<u64> {
    let url = format!("http://{}/v1/config", instance.listen);
    let reply = client::call(client, HttpCall::get(&url, QUERY_TIMEOUT))
        .await
        .ok()?;
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    answer["version"].as_u64()
}

/// Waits for `version` to become active on `instance`. Returns the time it
/// took, or `None` if the instance does not answer the first query.
async fn wait_for_version(
    client: &HttpClient,
    instance: &Instance,
    version: u64,
) -> Option<Duration> {
    let started = Instant::now();
    let mut answered = false;
    while started.elapsed() < ACTIVATION_TIMEOUT {
        match active_version(client, instance).await {
            Some(v) if v >= version => return Some(started.elapsed()),
            Some(_) => answered = true,
            // The instance is not running.
            None if !answered => return None,
            None => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(ACTIVATION_TIMEOUT)
}

/// Waits until `version` is active on every instance that answers.
pub(crate) async fn wait_for_all(settings: &str, version: u64, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let client = client::client();
    let waits = s
        .instances
        .iter()
        .map(|i| wait_for_version(&client, i, version));
    let times: Vec<Duration> = join_all(waits).await.into_iter().flatten().collect();
    let Some(slowest) = times.iter().max() else {
        bail!("rules accepted as version {version}, but no instance answers; start the daemons");
    };
    if *slowest >= ACTIVATION_TIMEOUT {
        bail!(
            "version {version} is accepted, but not in force everywhere after {ACTIVATION_TIMEOUT:?}; see the follow: log lines of the instances that lag"
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
