//! What speaks against a request, and what its caller is told.

mod support;

use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use comfreyhall_domain::{ClientRequest, Name, RouteKind};
use comfreyhall_node::Node;
use support::*;

/// Time limit of a request, in ms: what it is told must not depend on how fast
/// this machine is.
const PATIENT_MS: u64 = 60_000;

/// A daemon before five targets.
async fn daemon(
    kind: RouteKind,
    attempts: u32,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    let mut route = route(kind, attempts, kind == RouteKind::Stream);
    route.timeout_ms = PATIENT_MS;
    let mut world = scripted_source(route, None);
    let plain = Arc::get_mut(&mut world).unwrap();
    plain.targets.extend(["c", "d", "e"].map(target));
    plain.config.workspaces = Some(workspaces(&["a", "b"]));
    let script = Arc::new(ScriptedBackend::default());
    let node = Node::new(
        settings_of("n", "127.0.0.1:1", &[], 0.25),
        world.clone(),
        script.clone(),
    );
    comfreyhall_node::spawn(&node, comfreyhall_fakes::FakeTable::default());
    while !node.ready() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    (node, script, world)
}

fn always(script: &ScriptedBackend, act: Behavior) {
    *script.default_behavior.lock().unwrap() = Some(act);
}

/// The same request with an id of its own.
fn deadly(id: &str) -> ClientRequest {
    let mut ask = keyed(id, "key of a");
    ask.remaining_ms = Some(PATIENT_MS);
    ask.forwarded.body = Bytes::from_static(b"deadly");
    ask
}

async fn serve(node: &Arc<Node>, ask: ClientRequest) -> CallerResult {
    caller_result(node.serve(ask).await).await
}

/// What the daemon has counted in the series that begins with `series`.
fn counted(node: &Node, series: &str) -> usize {
    let text = node.metrics_text();
    let line = text.lines().find(|l| l.starts_with(series));
    let count = line.and_then(|l| l.rsplit(' ').next());
    count.map_or(0, |n| n.parse().unwrap())
}

/// Waits until the daemon knows of all targets that have ended.
async fn until_known(node: &Node, script: &ScriptedBackend) {
    loop {
        let ended: HashSet<Name> = script
            .exited_targets
            .lock()
            .unwrap()
            .iter()
            .cloned()
            .collect();
        if counted(node, r#"quarantine_total{change="suspect""#) >= ended.len() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Sends the deadly request until it is held back; the targets it took.
async fn until_held(node: &Arc<Node>, script: &ScriptedBackend) -> usize {
    let before = script.sent.lock().unwrap().len();
    for i in 0..10 {
        let got = serve(node, deadly(&format!("q{i}"))).await;
        until_known(node, script).await;
        if got == CallerResult::Quarantined(false) {
            let seen = script.sent.lock().unwrap();
            let targets: HashSet<&str> = seen[before..].iter().map(|s| &*s.target).collect();
            return targets.len();
        }
    }
    panic!("it is never held back");
}

#[tokio::test]
async fn serve_deadly_held_after_three_targets() {
    for (kind, attempts) in [
        (RouteKind::Idempotent, 2),
        (RouteKind::NonIdempotent, 1),
        (RouteKind::Stream, 2),
    ] {
        let (node, script, _) = daemon(kind, attempts).await;
        always(&script, Behavior::Exit);
        assert_eq!(until_held(&node, &script).await, 3, "{kind:?}");
        // At once, and whatever id it bears.
        let sends = script.sent.lock().unwrap().len();
        assert_eq!(
            serve(&node, deadly("again")).await,
            CallerResult::Quarantined(false)
        );
        assert_eq!(script.sent.lock().unwrap().len(), sends);
    }
}

/// An attempt that ended a target itself is not told that it has not run.
#[tokio::test]
async fn serve_deadly_attempt_may_have_run() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 4).await;
    always(&script, Behavior::Exit);
    assert_eq!(
        serve(&node, deadly("q")).await,
        CallerResult::Quarantined(true)
    );
    assert_eq!(script.sent.lock().unwrap().len(), 3);
}

/// Guards against one workspace that cannot be served because another's request
/// with the same body ends its targets, and against a caller that passes for
/// another by a header of its own.
#[tokio::test]
async fn serve_same_body_of_others_is_free() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 2).await;
    always(&script, Behavior::Exit);
    until_held(&node, &script).await;
    always(&script, Behavior::Answer(200, 0));
    let mut other = deadly("q");
    other.key = keyed("q", "key of b").key;
    let mut path = deadly("q");
    path.forwarded.path = "/y".into();
    let mut body = deadly("q");
    body.forwarded.body = Bytes::from_static(b"another");
    for ask in [other, path, body] {
        assert_eq!(serve(&node, ask).await, CallerResult::Complete(200));
    }
    assert_eq!(
        serve(&node, deadly("q")).await,
        CallerResult::Quarantined(false)
    );
    let mut header = deadly("q");
    let headers = &mut header.forwarded.headers;
    headers.insert(http::header::AUTHORIZATION, "Bearer other".parse().unwrap());
    assert_eq!(serve(&node, header).await, CallerResult::Quarantined(false));
}

/// Symptom: every request of a failure domain was held back. Events: a switch
/// resets all connections again and again. Cause: a connection that closed was
/// taken for a target that ended.
#[tokio::test]
async fn serve_closed_by_living_target_is_free() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 2).await;
    always(&script, Behavior::CloseConnection);
    for i in 0..6 {
        assert_eq!(
            serve(&node, deadly(&format!("q{i}"))).await,
            CallerResult::Unknown
        );
    }
    always(&script, Behavior::Answer(200, 0));
    assert_eq!(serve(&node, deadly("q")).await, CallerResult::Complete(200));
}

/// A rack without power answers nothing; its targets are gone, but a request
/// that waited there until its time was up did not end them.
#[tokio::test]
async fn serve_silent_targets_are_no_evidence() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 2).await;
    always(&script, Behavior::LoseAnswer);
    for i in 0..6 {
        assert_eq!(
            serve(&node, deadly(&format!("q{i}"))).await,
            CallerResult::Unknown
        );
    }
    always(&script, Behavior::Answer(200, 0));
    assert_eq!(serve(&node, deadly("q")).await, CallerResult::Complete(200));
}

/// Symptom: requests that ran while a service was replaced were held back.
/// Events: a target says that it leaves, and ends with what it still runs.
/// Cause: its end was put down to them.
#[tokio::test]
async fn serve_leaving_target_is_no_evidence() {
    let (node, script, world) = daemon(RouteKind::Idempotent, 2).await;
    always(&script, Behavior::Answer(200, 400));
    let mut calls = Vec::new();
    for i in 0..6 {
        let node = node.clone();
        let call = async move { serve(&node, deadly(&format!("q{i}"))).await };
        calls.push(tokio::spawn(call));
    }
    while script.sent.lock().unwrap().len() < 6 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    for call in calls {
        assert_eq!(call.await.unwrap(), CallerResult::Complete(200));
    }
    let all = world.targets.iter().map(|t| t.id.clone());
    *world.draining.lock().unwrap() = all.collect();
    always(&script, Behavior::Exit);
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    // Nothing is sent to targets that leave; what they ran taught nothing.
    assert_eq!(serve(&node, deadly("q")).await, CallerResult::NotRun);
}

#[tokio::test]
async fn serve_ran_whole_clears() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 1).await;
    *script.behaviors.lock().unwrap() =
        vec![Behavior::Exit, Behavior::Exit, Behavior::Answer(200, 0)];
    for want in [
        CallerResult::Unknown,
        CallerResult::Unknown,
        CallerResult::Complete(200),
    ] {
        assert_eq!(serve(&node, deadly("q")).await, want);
        until_known(&node, &script).await;
    }
    always(&script, Behavior::Exit);
    // Three more are needed; the two before it ran whole do not count.
    assert_eq!(until_held(&node, &script).await, 3);
}

/// Symptom: a stream that ended its engines was resumed at the next one, and
/// ended that too. Cause: only new attempts were looked at.
#[tokio::test]
async fn serve_deadly_stream_not_resumed() {
    let (node, script, _) = daemon(RouteKind::Stream, 5).await;
    always(&script, Behavior::Stream(vec![1, 2], false));
    *script.exited_targets.lock().unwrap() = ["a", "b", "c", "d", "e"].map(Into::into).to_vec();
    let first = serve(&node, deadly("q")).await;
    assert!(matches!(first, CallerResult::Stream(_, false)), "{first:?}");
    assert_eq!(script.sent.lock().unwrap().len(), 3);
    assert_eq!(
        serve(&node, deadly("r")).await,
        CallerResult::Quarantined(false)
    );
    assert_eq!(script.report_count.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn serve_deadly_is_counted() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 1).await;
    always(&script, Behavior::Exit);
    until_held(&node, &script).await;
    assert_eq!(counted(&node, r#"quarantine_total{change="suspect""#), 3);
    assert_eq!(counted(&node, r#"quarantine_total{change="held_back""#), 1);
    assert_eq!(
        counted(&node, r#"refusals_total{why="targets ended under it""#),
        1
    );
    assert!(node.metrics_text().contains(r#"how="quarantined""#));
}
