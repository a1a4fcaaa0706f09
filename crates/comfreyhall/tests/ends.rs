//! Causes for which answers of the own daemon end early, with real processes.

mod support;

use support::{Answer, Deployment, chunk_text, http, open, wait_for};

/// Begins a stream of a hundred tokens, a step of 10 ms each; its first text and the rest.
fn begin(d: &Deployment, extra: &str) -> (String, Answer) {
    let body = format!(
        r#"{{"model":"narrator@v1","prompt":"dawn","max_tokens":100,"stream":true{extra}}}"#
    );
    let path = "/v1/completions";
    let mut answer = open(&d.instances[0], "POST", path, &body, &[]).unwrap();
    assert_eq!(answer.status, 200);
    let first = chunk_text(&answer.event().unwrap());
    (first, answer)
}

/// Guards against answers that end early without a cause in the log and the metrics.
#[test]
fn answers_ended_names_each_cause() {
    let mut d = Deployment::start("causes", 1, 2, 2);
    d.cli_ok(&["customer", "create", "oduya", "--label", "tier=premium"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    wait_for("the catalog to be followed", || {
        let body = r#"{"model":"narrator@v1","prompt":"noon","max_tokens":1}"#;
        let path = "/v1/completions";
        matches!(http(&d.instances[0], "POST", path, body, &[]), Ok((200, _)))
    });
    let (first, answer) = begin(&d, "");
    drop(answer);
    assert!(!first.is_empty());
    wait_for("the caller to be missed", || d.ended("caller_left") == 1);
    let (first, answer) = begin(&d, r#","deadline_ms":400"#);
    answer.finish(first);
    assert_eq!(d.ended("deadline_passed"), 1);
    let (first, answer) = begin(&d, "");
    let engine = answer.header("x-comfreyhall-engine").unwrap().to_string();
    d.kill(&engine);
    let (_, last) = answer.finish(first);
    assert_eq!(last, "[DONE]");
    // The rest may have been sent to the same engine once more before its end was known.
    let log = d.log_of("d0");
    let named = log.matches("ended early (connection_closed)").count() as u64;
    assert!((1..=2).contains(&named), "{log}");
    assert_eq!(d.ended("connection_closed"), named);
    assert_eq!((d.ended("broken"), d.ended("superseded")), (0, 0));
}
