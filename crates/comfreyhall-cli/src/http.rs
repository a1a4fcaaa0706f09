//! HTTP calls to daemons, as a caller makes them.

use std::time::Duration;

use comfreyhall_protocol::{
    REQUEST_ID_HEADER, STALL_HEADER,
    api::{Addresses, Completion, CompletionRequest},
};
use comfreyhall_settings::Settings;
use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{
    args::{AddressesCmd, DrainCmd, GenerateCmd},
    output::render,
};

/// Longest one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A pooled HTTP/1 client.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// An answer: status, selected headers, body.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) stall_ms: Option<u64>,
    pub(crate) body: Bytes,
}

/// A new pooled client.
pub(crate) fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends one request; `body` of `None` makes it a GET.
pub(crate) async fn call(
    client: &HttpClient,
    url: &str,
    body: Option<Vec<u8>>,
    id: Option<&str>,
) -> eyre::Result<Reply> {
    let mut req = Request::builder().uri(url);
    req = match &body {
        Some(_) => req
            .method("POST")
            .header("content-type", "application/json"),
        None => req.method("GET"),
    };
    if let Some(id) = id {
        req = req.header(REQUEST_ID_HEADER, id);
    }
    let req = req.body(Full::new(Bytes::from(body.unwrap_or_default())))?;
    let resp = tokio::time::timeout(CALL_TIMEOUT, client.request(req))
        .await
        .map_err(|_| eyre!("{url} did not answer within {CALL_TIMEOUT:?}"))?
        .wrap_err_with(|| format!("cannot reach {url}; is the daemon running?"))?;
    let status = resp.status().as_u16();
    let stall_ms = resp
        .headers()
        .get(STALL_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let body = resp.into_body().collect().await?.to_bytes();
    Ok(Reply {
        status,
        stall_ms,
        body,
    })
}

fn first_instance(settings: &Settings) -> String {
    settings.instances[0].listen.clone()
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
    let url = format!("http://{}/v1/addresses{query}", first_instance(&s));
    let reply = call(&client(), &url, None, None).await?;
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
    let to = cmd.to.unwrap_or_else(|| first_instance(&s));
    let req = CompletionRequest {
        model: cmd.model,
        prompt: cmd.prompt,
        max_tokens: cmd.max_tokens,
        stream: false,
        priority: 0,
        deadline_ms: None,
        non_idempotent: false,
    };
    let url = format!("http://{to}/v1/completions");
    let body = serde_json::to_vec(&req)?;
    let reply = call(&client(), &url, Some(body), cmd.id.as_deref()).await?;
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
    let url = format!("http://{}/v1/drain", inst.listen);
    let reply = call(&client(), &url, Some(b"{}".to_vec()), None).await?;
    let done = serde_json::json!({ "instance": cmd.instance, "status": reply.status });
    Ok(render(json, &done, || {
        format!("draining {}\n", cmd.instance)
    }))
}
