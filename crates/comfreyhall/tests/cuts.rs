//! Paths between one daemon and the engines that are cut, with real processes.

mod support;

use std::{thread, time::Duration};

use support::{Deployment, Wire, chunk_text, http, open, wait_for};

/// Tokens of an answer that takes a while: a step is 10 ms.
const LONG: u32 = 250;

/// How long paths are cut: a daemon has decided by then whether a target has ended.
const CUT: Duration = Duration::from_millis(1_500);

/// The addresses of the engines in the settings `text`.
fn engine_addrs(text: &str) -> Vec<String> {
    let rows = text.lines().filter(|l| l.contains("width:"));
    let addr = |row: &str| {
        row.split("listen: \"")
            .nth(1)?
            .split('"')
            .next()
            .map(String::from)
    };
    rows.filter_map(addr).collect()
}

/// Creates the adapter `narrator`.
fn catalog(d: &Deployment) {
    d.cli_ok(&["customer", "create", "oduya", "--label", "tier=premium"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
}

fn body(tokens: u32, extra: &str) -> String {
    format!(r#"{{"model":"narrator@v1","prompt":"dawn","max_tokens":{tokens}{extra}}}"#)
}

/// Guards against requests that are delayed because the paths to their engines were cut:
/// an engine that refuses connections from one daemon may be alive.
#[test]
fn cut_paths_make_no_suspects() {
    let mut wires = Vec::new();
    let d = Deployment::start_behind("cut-paths", 2, 2, 2, |i, mut text| {
        if i == 0 {
            for addr in engine_addrs(&text) {
                let wire = Wire::to(&addr);
                text = text.replace(&addr, &wire.addr);
                wires.push(wire);
            }
        }
        text
    });
    assert_eq!(wires.len(), 2);
    catalog(&d);
    wait_for("the adapter to be served", || {
        let answer = http(
            &d.instances[0],
            "POST",
            "/v1/completions",
            &body(1, ""),
            &[],
        );
        answer.is_ok_and(|a| a.0 == 200)
    });
    let streamed = body(LONG, r#","stream":true"#);
    let headers = [("x-request-id", "cut")];
    let mut answer = open(
        &d.instances[0],
        "POST",
        "/v1/completions",
        &streamed,
        &headers,
    )
    .unwrap();
    let first = answer.event().unwrap();
    assert!(!chunk_text(&first).is_empty());
    wires.iter().for_each(|w| w.refuse(true));
    thread::sleep(CUT);
    wires.iter().for_each(|w| w.refuse(false));
    let log = d.log_of("d0");
    assert!(log.contains("broke off"), "the cut hit no run");
    assert!(!log.contains("is suspect"), "{log}");
}

/// The same checks still find an engine that has ended.
#[test]
fn ended_engine_makes_suspect() {
    let mut d = Deployment::start("ended-engine", 2, 1, 2);
    catalog(&d);
    wait_for("the adapter to be served", || {
        let answer = http(
            &d.instances[0],
            "POST",
            "/v1/completions",
            &body(1, ""),
            &[],
        );
        answer.is_ok_and(|a| a.0 == 200)
    });
    let streamed = body(LONG, r#","stream":true"#);
    let headers = [("x-request-id", "end")];
    let mut answer = open(
        &d.instances[0],
        "POST",
        "/v1/completions",
        &streamed,
        &headers,
    )
    .unwrap();
    answer.event().unwrap();
    d.kill("e0");
    wait_for("the request to be a suspect", || {
        d.log_of("d0").contains("is suspect")
    });
}
