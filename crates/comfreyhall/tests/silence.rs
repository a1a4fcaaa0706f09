//! Targets that are only silent for some seconds, with real processes.

mod support;

use std::{thread, time::Duration};

use comfreyhall_standins::expected_text;
use nix::sys::signal::Signal;
use support::{Answer, Deployment, Wire, chunk_text, http, open, wait_for};

/// How long targets are silent: longer than pings of short calls may be.
const SILENCE: Duration = Duration::from_secs(3);

/// Tokens of an answer that takes a while: a step is 10 ms.
const TOKENS: u32 = 100;

fn catalog(d: &Deployment) {
    d.cli_ok(&["customer", "create", "oduya", "--label", "tier=premium"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    wait_for("the catalog to be followed", || {
        let body = r#"{"model":"narrator@v1","prompt":"noon","max_tokens":1}"#;
        let path = "/v1/completions";
        matches!(http(&d.instances[0], "POST", path, body, &[]), Ok((200, _)))
    });
}

/// Begins a stream; its first text and the rest.
fn begin(d: &Deployment, id: &str, extra: &str) -> (String, Answer) {
    let body = format!(
        r#"{{"model":"narrator@v1","prompt":"dawn","max_tokens":{TOKENS},"stream":true{extra}}}"#
    );
    let headers = [("x-request-id", id), ("idempotency-key", id)];
    let path = "/v1/completions";
    let mut answer = open(&d.instances[0], "POST", path, &body, &headers).unwrap();
    assert_eq!(answer.status, 200);
    let first = chunk_text(&answer.event().unwrap());
    (first, answer)
}

/// Stops `engines` for a while under a stream, and reads it to its end.
fn finish_over_silence(d: &Deployment, engines: &[&str], id: &str, extra: &str) {
    let (first, answer) = begin(d, id, extra);
    for engine in engines {
        d.signal(engine, Signal::SIGSTOP);
    }
    let rest = thread::spawn(move || answer.finish(first));
    thread::sleep(SILENCE);
    for engine in engines {
        d.signal(engine, Signal::SIGCONT);
    }
    let (text, last) = rest.join().unwrap();
    assert_eq!(last, "[DONE]");
    assert_eq!(text, expected_text("narrator", "v1", "dawn", TOKENS));
}

/// Guards against an answer that may run only once and is given up as "unknown" because its
/// engine is silent for longer than pings may be.
#[test]
fn once_stream_survives_stopped_engine() {
    let d = Deployment::start("stopped-once", 1, 1, 2);
    catalog(&d);
    finish_over_silence(&d, &["e0"], "o1", r#","non_idempotent":true"#);
    assert_eq!(d.starts("o1"), 1);
}

/// Guards against a stream that is given up because no engine takes it over: all are silent
/// together; and against a run that is given up before another one has begun.
#[test]
fn stream_survives_stopped_engines() {
    let d = Deployment::start("stopped-all", 1, 2, 2);
    catalog(&d);
    finish_over_silence(&d, &["e0", "e1"], "s1", "");
    assert_eq!(d.resumes("s1"), 0);
    assert_eq!(d.ended("superseded"), 0);
}

/// Guards against a stream that waits for its silent engine while another one could go on, and
/// against a run that is left behind there.
#[test]
fn stream_goes_on_beside_stopped_engine() {
    let d = Deployment::start("stopped-one", 1, 2, 2);
    catalog(&d);
    let (first, answer) = begin(&d, "b1", "");
    let engine = answer.header("x-comfreyhall-engine").unwrap().to_string();
    d.signal(&engine, Signal::SIGSTOP);
    let (text, last) = answer.finish(first);
    d.signal(&engine, Signal::SIGCONT);
    assert_eq!(last, "[DONE]");
    assert_eq!(text, expected_text("narrator", "v1", "dawn", TOKENS));
    assert_eq!(d.ended("superseded"), 1);
}

/// Guards against a plain call whose answer is given up after two seconds of silence.
#[test]
fn call_survives_silent_services() {
    let mut wires = Vec::new();
    let d = Deployment::start_behind("silent-plain", 1, 1, 2, |_, mut text| {
        let settings = comfreyhall::settings::Settings::parse(&text, "test").unwrap();
        for service in &settings.services {
            let wire = Wire::to(&service.listen);
            text = text.replace(service.listen.as_str(), &wire.addr);
            wires.push(wire);
        }
        text
    });
    let call = |id: &'static str, once: bool| {
        let addr = d.instances[0].clone();
        thread::spawn(move || {
            let mark = ("x-comfreyhall-non-idempotent", "1");
            let mut headers = vec![("x-request-id", id)];
            headers.extend(once.then_some(mark));
            let answer = http(&addr, "POST", "/v1/call/enquire", "is it sold?", &headers);
            answer.unwrap().0
        })
    };
    // The connections are open before the paths fall silent.
    assert_eq!(call("w", false).join().unwrap(), 200);
    for wire in &wires {
        wire.one_way(true);
    }
    let (once, safe) = (call("p-once", true), call("p-safe", false));
    thread::sleep(SILENCE + Duration::from_secs(1));
    for wire in &wires {
        wire.one_way(false);
    }
    let answers = (once.join().unwrap(), safe.join().unwrap());
    assert_eq!(answers, (200, 200));
    assert_eq!(d.starts("p-once"), 1);
}

/// Guards against a stream that is given up as "unknown" because the engine that is to take it
/// over is silent.
#[test]
fn stream_survives_kill_beside_stopped_engine() {
    let mut d = Deployment::start("stopped-next", 1, 2, 2);
    catalog(&d);
    // Much demand has the adapter copied to the second engine.
    let callers: Vec<_> = (0..24)
        .map(|i| {
            let addr = d.instances[0].clone();
            thread::spawn(move || {
                for j in 0..2 {
                    let body =
                        format!(r#"{{"model":"narrator@v1","prompt":"n{i}-{j}","max_tokens":30}}"#);
                    let _ = http(&addr, "POST", "/v1/completions", &body, &[]);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    let (first, answer) = begin(&d, "k1", "");
    let engine = answer.header("x-comfreyhall-engine").unwrap().to_string();
    let other = if engine == "e0" { "e1" } else { "e0" };
    d.signal(other, Signal::SIGSTOP);
    d.kill(&engine);
    let rest = thread::spawn(move || answer.finish(first));
    thread::sleep(SILENCE + Duration::from_millis(500));
    d.signal(other, Signal::SIGCONT);
    let (text, last) = rest.join().unwrap();
    assert_eq!(last, "[DONE]");
    assert_eq!(text, expected_text("narrator", "v1", "dawn", TOKENS));
}
