//! Requests that wait or run when a planned stop of their daemon ends.

mod support;

use std::thread;

use serde_json::Value;
use support::{Deployment, http, wait_for};

/// Longest time a planned stop waits for requests in progress.
const DRAIN: &str = "drain_ms: 2500, deadline_ms: 25000, ";

/// A daemon that is stopped soon, with the adapter `narrator@v1`.
fn start(name: &str) -> Deployment {
    let d = Deployment::start_behind(name, 1, 2, 2, |_, text| {
        text.replace("tuning: { ", &format!("tuning: {{ {DRAIN}"))
    });
    d.cli_ok(&["customer", "create", "oduya"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    wait_for("the adapter to be known", || {
        let ask = r#"{"model":"narrator@v1","prompt":"dawn","max_tokens":0}"#;
        let (_, text) = http(&d.instances[0], "POST", "/v1/completions", ask, &[]).unwrap();
        text.contains("max_tokens")
    });
    d
}

/// Sends a request to the daemon of `d`, and stops it once `began` says so; returns the
/// status and the outcome that the caller got, if any.
fn result_of_stop(
    d: &mut Deployment,
    path: &'static str,
    body: &str,
    began: impl Fn(&Deployment) -> bool,
) -> Option<(u16, Value)> {
    let (addr, body) = (d.instances[0].clone(), body.to_string());
    let caller = thread::spawn(move || http(&addr, "POST", path, &body, &[]));
    wait_for("the request to begin", || began(d));
    d.cli_ok(&["drain", "d0"]);
    let (status, text) = caller.join().unwrap().ok()?;
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    assert!(d.ended_well("d0"), "the daemon did not stop by itself");
    Some((status, answer["error"]["outcome"].clone()))
}

/// Guards against a request that waits for the load of its adapter and is dropped without an
/// answer when a planned stop ends.
#[test]
fn drain_rejects_request_that_waits_for_load() {
    let mut d = start("stop-load");
    d.cli_ok(&["fault", "weights", "--slow-ms", "60000"]);
    let body = r#"{"model":"narrator@v1","prompt":"dawn","max_tokens":8}"#;
    let result = result_of_stop(&mut d, "/v1/completions", body, |d| {
        d.cli_ok(&["metrics", "d0"]).contains("load_orders_total")
    });
    assert_eq!(result, Some((503, "not_run".into())));
}

/// Guards against a call that a silent service may have run and whose caller gets no answer
/// when a planned stop ends.
#[test]
fn drain_answers_call_at_silent_service() {
    let mut d = start("stop-call");
    for service in ["s0", "s1"] {
        d.cli_ok(&["fault", service, "--silent-ms", "60000"]);
    }
    let result = result_of_stop(&mut d, "/v1/call/session", "{}", |d| {
        let (_, text) = http(&d.instances[0], "GET", "/v1/health", "", &[]).unwrap();
        text.contains("\"in_flight\":1")
    });
    assert_eq!(result, Some((502, "unknown".into())));
}
