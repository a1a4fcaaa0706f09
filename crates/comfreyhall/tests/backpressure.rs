//! Engines of the own protocol that name a limit, ask for a cooldown, or drain.

mod support;

use std::{thread, time::Duration};

use serde_json::Value;
use support::{Deployment, http, wait_for};

const DAEMONS: usize = 2;
const ENGINES: usize = 3;

fn deployment(name: &str) -> Deployment {
    let d = Deployment::start(name, DAEMONS, ENGINES, 4);
    d.cli_ok(&["customer", "create", "oduya"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    for addr in &d.instances {
        wait_for("the adapter to be served", || {
            generate(addr, "first").0 == 200
        });
    }
    d
}

/// Sends one request; status and body.
fn generate(addr: &str, id: &str) -> (u16, Value) {
    let body = r#"{"model":"narrator@v1","prompt":"dawn","max_tokens":5}"#;
    let answer = http(
        addr,
        "POST",
        "/v1/completions",
        body,
        &[("x-request-id", id)],
    );
    let (status, text) = answer.unwrap_or_default();
    (status, serde_json::from_str(&text).unwrap_or_default())
}

/// Sends `count` requests by turns to all daemons; how many were answered, and
/// the bodies of the others.
fn many(d: &Deployment, count: usize) -> (usize, Vec<Value>) {
    let (mut answered, mut others) = (0, Vec::new());
    for i in 0..count {
        match generate(&d.instances[i % DAEMONS], &format!("r{i}")) {
            (200, _) => answered += 1,
            (_, body) => others.push(body),
        }
        thread::sleep(Duration::from_millis(10));
    }
    (answered, others)
}

/// Whether the answer says that it has not run, and when to come back. Of
/// engines that the daemon has not asked for anything, it knows from another that
/// they have no place.
fn told(body: &Value) -> bool {
    let error = &body["error"];
    let why = error["type"] == "shut" || error["type"] == "busy";
    why && error["outcome"] == "not_run" && error["retry_after_ms"].is_u64()
}

/// Guards against repeats and first sends to engines that asked for a cooldown.
#[test]
fn resting_engines_are_left_alone() {
    let d = deployment("resting");
    for engine in ["e0", "e1"] {
        d.cli_ok(&["fault", engine, "--rest-s", "60"]);
    }
    let (answered, others) = many(&d, 40);
    assert!(answered >= 36, "{answered} answered: {others:?}");
    for engine in 0..2 {
        let (_, turned) = d.reached(engine);
        assert!(turned <= 2 * DAEMONS as u64, "engine {engine}: {turned}");
    }
}

/// Guards against callers that wait without result where every engine has a cooldown.
#[test]
fn resting_engines_all_is_told() {
    let d = deployment("resting-all");
    for engine in ["e0", "e1", "e2"] {
        d.cli_ok(&["fault", engine, "--rest-s", "60"]);
    }
    let (answered, others) = many(&d, 40);
    assert_eq!(answered, 0);
    let told = others.iter().filter(|b| told(b)).count();
    assert!(told >= 28, "{told} of 40 told: {others:?}");
}

/// Guards against engines that leave and are sent to.
#[test]
fn leaving_engines_get_nothing() {
    let d = deployment("leaving");
    for engine in ["e0", "e1"] {
        d.cli_ok(&["fault", engine, "--leaving"]);
    }
    // Every daemon has polled them, or had an answer.
    many(&d, 20);
    let before: u32 = (0..2).map(|e| d.reached(e).0).sum();
    let (answered, others) = many(&d, 20);
    assert_eq!(answered, 20, "{others:?}");
    let after: u32 = (0..2).map(|e| d.reached(e).0).sum();
    assert_eq!(after, before);
}

/// Guards against engines that name a limit and get more.
#[test]
fn limited_engines_get_their_limit() {
    let d = deployment("limited");
    for engine in ["e0", "e1", "e2"] {
        d.cli_ok(&["fault", engine, "--limit", "0.2"]);
    }
    many(&d, 20);
    let before: u32 = (0..ENGINES).map(|e| d.reached(e).0).sum();
    let (_, others) = many(&d, 40);
    let after: u32 = (0..ENGINES).map(|e| d.reached(e).0).sum();
    // One request of each daemon may have gathered at each engine.
    let most = (ENGINES * DAEMONS) as u32 + 2;
    assert!(after - before <= most, "{} got through", after - before);
    let told = others.iter().filter(|b| told(b)).count();
    assert!(told >= 20, "{told} of 40 told: {others:?}");
}
