//! One request served end to end by separate processes on loopback.

mod support;

use comfreyhall_protocol::api::Completion;
use comfreyhall_standins::expected_text;
use support::{Deployment, http};

fn catalog(d: &Deployment) {
    d.cli_ok(&["customer", "create", "oduya", "--label", "region=lagos"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    d.cli_ok(&["version", "add", "narrator", "v2"]);
    d.cli_ok(&["adapter", "create", "summary", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "summary", "v1"]);
}

#[test]
fn completion_whole_on_asked_version() {
    let d = Deployment::start("whole", 2, 2, 2);
    catalog(&d);
    for (i, addr) in d.instances.iter().enumerate() {
        for model in ["narrator@v1", "narrator@v2", "summary@v1"] {
            let id = format!("req-{i}-{model}");
            let body = format!(r#"{{"model":"{model}","prompt":"dawn {i}","max_tokens":12}}"#);
            let (status, text) = http(
                addr,
                "POST",
                "/v1/completions",
                &body,
                &[("x-request-id", &id)],
            )
            .unwrap();
            assert_eq!(status, 200, "{text}");
            let done: Completion = serde_json::from_str(&text).unwrap();
            let (adapter, version) = model.split_once('@').unwrap();
            assert_eq!(done.id, id);
            assert_eq!(done.model, model);
            assert_eq!(
                done.choices[0].text,
                expected_text(adapter, version, &format!("dawn {i}"), 12)
            );
            assert_eq!(done.choices[0].finish_reason.as_deref(), Some("length"));
        }
    }
}

#[test]
fn completion_streams_tagged_chunks() {
    let d = Deployment::start("stream", 1, 1, 2);
    catalog(&d);
    let body = r#"{"model":"narrator@v2","prompt":"before sleep","max_tokens":9,"stream":true}"#;
    let (status, raw) = http(
        &d.instances[0],
        "POST",
        "/v1/completions",
        body,
        &[("x-request-id", "s-1")],
    )
    .unwrap();
    assert_eq!(status, 200, "{raw}");
    let events: Vec<&str> = raw
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let chunks: Vec<Completion> = events[..events.len() - 1]
        .iter()
        .map(|e| serde_json::from_str(e).unwrap())
        .collect();
    assert_eq!(chunks.len(), 9);
    assert!(
        chunks
            .iter()
            .all(|c| c.id == "s-1" && c.model == "narrator@v2")
    );
    let text: String = chunks.iter().map(|c| c.choices[0].text.as_str()).collect();
    assert_eq!(text, expected_text("narrator", "v2", "before sleep", 9));
}

#[test]
fn chat_whole_and_streamed() {
    let d = Deployment::start("chat", 1, 1, 2);
    catalog(&d);
    let ask = |stream: bool| {
        let body = format!(
            r#"{{"model":"narrator@v1","messages":[{{"role":"user","content":"dawn"}}],"max_tokens":6,"stream":{stream}}}"#
        );
        let headers = [("x-request-id", "c-1")];
        let path = "/v1/chat/completions";
        http(&d.instances[0], "POST", path, &body, &headers).unwrap()
    };
    let text = expected_text("narrator", "v1", "user: dawn\n", 6);
    let (status, whole) = ask(false);
    assert_eq!(status, 200, "{whole}");
    let v: serde_json::Value = serde_json::from_str(&whole).unwrap();
    assert_eq!(v["object"], "chat.completion");
    assert_eq!(v["choices"][0]["message"]["content"], text);
    let (_, raw) = ask(true);
    let events = raw.lines().filter_map(|l| l.strip_prefix("data: "));
    let deltas = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
    let joined: String = deltas
        .map(|v| {
            v["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap()
                .to_string()
        })
        .collect();
    assert_eq!(joined, text);
}

#[test]
fn plain_call_answers() {
    let d = Deployment::start("plain-call", 1, 1, 2);
    let (status, text) = http(
        &d.instances[0],
        "POST",
        "/v1/call/search",
        "utes in Hobart",
        &[],
    )
    .unwrap();
    assert_eq!((status, text.as_str()), (200, "utes in Hobart"));
}

#[test]
fn metrics_count_stalls() {
    let d = Deployment::start("metrics", 1, 1, 2);
    catalog(&d);
    let body = r#"{"model":"narrator@v1","prompt":"x","max_tokens":2}"#;
    let (status, _) = http(&d.instances[0], "POST", "/v1/completions", body, &[]).unwrap();
    assert_eq!(status, 200);
    let text = d.cli_ok(&["metrics"]);
    assert!(text.contains("load_stall_seconds_count"), "{text}");
    assert!(text.contains("requests_total{how=\"answered\""), "{text}");
}

#[test]
fn completion_unknown_version_not_run() {
    let d = Deployment::start("unknown", 1, 1, 2);
    catalog(&d);
    let body = r#"{"model":"narrator@v7","prompt":"x"}"#;
    let (status, text) = http(
        &d.instances[0],
        "POST",
        "/v1/completions",
        body,
        &[("x-request-id", "u-1")],
    )
    .unwrap();
    assert_eq!(status, 404);
    let v: serde_json::Value = serde_json::from_str(&text).unwrap();
    insta::assert_json_snapshot!(v);
}

#[test]
fn addresses_lists_live_instances() {
    let d = Deployment::start("addresses", 3, 1, 2);
    let mut want = d.instances.clone();
    want.sort();
    support::wait_for("all three instances to be listed", || {
        let out = d.cli_ok(&["--json", "addresses"]);
        let v: serde_json::Value = serde_json::from_str(&out).unwrap();
        let listed = v["addresses"].as_array().unwrap().iter();
        let mut got: Vec<&str> = listed.map(|a| a.as_str().unwrap()).collect();
        got.sort_unstable();
        got == want
    });
}
