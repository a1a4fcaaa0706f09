//! Commands that talk to running instances.

use comfreyhall_protocol::{
    FaultOrder,
    api::{Addresses, CancelRequest, Completion, CompletionRequest},
};
use comfreyhall_settings::Settings;
use eyre::{WrapErr, bail, eyre};

use crate::{
    args::{AddressesCmd, CancelCmd, DrainCmd, FaultCmd, GenerateCmd, MetricsCmd},
    bench::StandIn,
    client::{CALL_TIMEOUT, HttpCall, HttpClient, Reply, call, client},
    output::render,
};

/// Sends a GET for `path` to the instances in the settings, in order, until one answers.
async fn get_from_any(client: &HttpClient, s: &Settings, path: &str) -> eyre::Result<Reply> {
    for instance in &s.instances {
        let url = format!("http://{}{path}", instance.listen);
        if let Ok(reply) = call(client, HttpCall::get(&url, CALL_TIMEOUT)).await {
            return Ok(reply);
        }
    }
    bail!("no instance in the settings answers; start the daemons first")
}

/// Fetches the entry addresses from the first instance that answers.
pub(crate) async fn fetch_addresses(client: &HttpClient, s: &Settings) -> eyre::Result<Addresses> {
    let reply = get_from_any(client, s, "/v1/addresses").await?;
    let answer: Addresses = serde_json::from_slice(&reply.body)?;
    if answer.addresses.is_empty() {
        bail!("no live instance is known yet; wait for a heartbeat and try again");
    }
    Ok(answer)
}

async fn post(addr: &str, path: &str, body: Vec<u8>, id: Option<&str>) -> eyre::Result<Reply> {
    let url = format!("http://{addr}{path}");
    let http_call = HttpCall {
        url: &url,
        body: Some(body),
        id,
        key: None,
        time_limit: CALL_TIMEOUT,
    };
    call(&client(), http_call)
        .await
        .wrap_err_with(|| url.clone())
}

pub(crate) async fn addresses(
    settings: &str,
    cmd: AddressesCmd,
    json: bool,
) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let query = cmd
        .domain
        .map(|d| format!("?domain={d}"))
        .unwrap_or_default();
    let reply = get_from_any(&client(), &s, &format!("/v1/addresses{query}")).await?;
    let answer: Addresses = serde_json::from_slice(&reply.body)?;
    Ok(render(json, &answer, || {
        let mut out = format!("use for {} ms:\n", answer.ttl_ms);
        for a in &answer.addresses {
            out.push_str(&format!("  {a}\n"));
        }
        out
    }))
}

pub(crate) async fn generate(settings: &str, cmd: GenerateCmd, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let to = match cmd.to {
        Some(to) => to,
        None => fetch_addresses(&client(), &s).await?.addresses[0].clone(),
    };
    let req = CompletionRequest {
        model: cmd.model,
        prompt: cmd.prompt,
        max_tokens: cmd.max_tokens,
        stream: false,
        priority: 0,
        deadline_ms: None,
        non_idempotent: false,
    };
    let body = serde_json::to_vec(&req)?;
    let reply = post(&to, "/v1/completions", body, cmd.id.as_deref()).await?;
    if reply.status != 200 {
        let text = String::from_utf8_lossy(&reply.body);
        bail!("the daemon answered {}: {text}", reply.status);
    }
    let done: Completion = serde_json::from_slice(&reply.body)?;
    Ok(render(json, &done, || {
        format!(
            "{} on {} (load stall {} ms):\n{}\n",
            done.id,
            done.model,
            reply.stall_ms.unwrap_or(0),
            done.choices[0].text
        )
    }))
}

pub(crate) async fn drain(settings: &str, cmd: DrainCmd, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let inst = s.instance(&cmd.instance).ok_or_else(|| {
        eyre!(
            "instance {} is not in the settings; use an id under \"instances\"",
            cmd.instance
        )
    })?;
    let reply = post(&inst.listen, "/v1/drain", b"{}".to_vec(), None).await?;
    let done = serde_json::json!({ "instance": cmd.instance, "status": reply.status });
    Ok(render(json, &done, || {
        format!("draining {}\n", cmd.instance)
    }))
}

/// Asks every instance to cancel a request, because only the one that runs it knows it.
pub(crate) async fn cancel(settings: &str, cmd: CancelCmd, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let cancel_request = CancelRequest {
        request_id: cmd.id.clone(),
    };
    let mut found = false;
    for instance in &s.instances {
        let body = serde_json::to_vec(&cancel_request)?;
        if let Ok(reply) = post(&instance.listen, "/v1/cancel", body, None).await {
            let answer: serde_json::Value = serde_json::from_slice(&reply.body)?;
            found |= answer["found"] == true;
        }
    }
    let done = serde_json::json!({ "request_id": cmd.id, "found": found });
    Ok(render(json, &done, || match found {
        true => format!("cancelled {}\n", cmd.id),
        false => format!("no instance runs {}\n", cmd.id),
    }))
}

/// Prints the metrics of one instance.
pub(crate) async fn metrics(settings: &str, cmd: MetricsCmd) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let reply = match cmd.instance {
        None => get_from_any(&client(), &s, "/v1/metrics").await?,
        Some(id) => {
            let inst = s.instance(&id).ok_or_else(|| {
                eyre!("instance {id} is not in the settings; use an id under \"instances\"")
            })?;
            let url = format!("http://{}/v1/metrics", inst.listen);
            call(&client(), HttpCall::get(&url, CALL_TIMEOUT)).await?
        }
    };
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Sets the fault switches of a stand-in.
pub(crate) async fn fault(settings: &str, cmd: FaultCmd, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let stand_in = StandIn::by_name(&s, &cmd.target).ok_or_else(|| {
        eyre!(
            "{} is not a stand-in; use table, weights, objects or an engine or service id",
            cmd.target
        )
    })?;
    let command = FaultOrder {
        down: cmd.down,
        delay_ms: cmd.slow_ms,
        lose_answers: cmd.lose > 0.0,
        lose_share: cmd.lose,
        fail_share: cmd.fail,
        restart: cmd.restart,
        limit: cmd.limit,
        rest_s: cmd.rest_s,
        leaving: cmd.leaving,
        silent_ms: cmd.silent_ms,
    };
    stand_in.set_faults(&s, command).await?;
    let done = serde_json::json!({ "target": cmd.target });
    Ok(render(json, &done, || {
        format!("set the faults of {}\n", cmd.target)
    }))
}
