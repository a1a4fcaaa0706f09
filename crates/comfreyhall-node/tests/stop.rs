//! Planned stops.

mod engines;
mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_domain::{AdapterRef, ClientRequest, Route, RouteKind};
use comfreyhall_node::{Node, Reply, drain, ports::EndCause};
use engines::{Fleet, Plan, start_fleet_on};
use support::*;

/// Seconds from a stop signal until the platform kills the process.
const GRACE_S: f64 = 4.0;

/// A route whose requests may wait and run for longer than a stop lasts.
fn long_route(kind: RouteKind) -> Route {
    Route {
        timeout_ms: 30_000,
        objective_ms: 4_000,
        ..route(kind, 1, false)
    }
}

fn long_ask(id: &str) -> ClientRequest {
    ClientRequest {
        remaining_ms: Some(30_000),
        ..ask(id)
    }
}

/// A request for `adapter` of the model of all engines.
fn adapter_ask(adapter: &str) -> ClientRequest {
    ClientRequest {
        adapter: Some(AdapterRef {
            model: "m".into(),
            adapter: Some(adapter.into()),
        }),
        ..long_ask(adapter)
    }
}

fn set_grace(node: &Node) {
    let mut settings = (*node.settings()).clone();
    settings.bounds.grace_s = GRACE_S;
    node.set_settings(settings);
}

/// Time after the signal within which a request that waits unsent learns that it has not
/// run: its caller still has most of its time.
const REJECTED_WITHIN: Duration = Duration::from_millis(2_900);

/// What a caller got whose request came shortly before a planned stop.
#[derive(Debug)]
struct StopResult {
    /// `None` if there was no answer when the stop ended.
    answer: Option<CallerResult>,
    /// Time from the signal to the answer.
    after: Duration,
}

impl StopResult {
    /// Whether it learned in time that its request has not run.
    fn is_rejected_early(&self) -> bool {
        self.answer == Some(CallerResult::NotRun) && self.after < REJECTED_WITHIN
    }
}

/// Sends `request`, which has to wait, to `node` shortly before a planned stop.
async fn result_of_stop(node: &Arc<Node>, request: ClientRequest) -> StopResult {
    set_grace(node);
    let serving = node.clone();
    let call = tokio::spawn(async move {
        let result = caller_result(serving.serve(request).await).await;
        (result, Instant::now())
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!call.is_finished(), "it waits");
    let signalled = Instant::now();
    drain(node, || {}).await;
    match call.is_finished() {
        true => {
            let (answer, at) = call.await.unwrap();
            StopResult {
                answer: Some(answer),
                after: at - signalled,
            }
        }
        false => StopResult {
            answer: None,
            after: signalled.elapsed(),
        },
    }
}

/// Guards against a connection that closes without an answer at the very end of
/// a planned stop: nothing is in progress and the process waits for its last
/// bytes to be sent, so a request accepted then would be lost when it exits.
#[tokio::test]
async fn leave_refuses_before_it_ends() {
    let (node, backend) = start_node(route(RouteKind::Idempotent, 1, false), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 400));
    let stopping = node.clone();
    let stop = tokio::spawn(async move {
        drain(&stopping, || {}).await;
        stopping.in_flight()
    });
    let mut refused = false;
    while !stop.is_finished() {
        let node = node.clone();
        let call = tokio::spawn(async move { caller_result(node.serve(ask("q")).await).await });
        tokio::time::sleep(Duration::from_millis(450)).await;
        refused |= call.await.unwrap() == CallerResult::NotRun;
    }
    assert_eq!(stop.await.unwrap(), 0);
    assert!(refused);
}

/// Guards against a stream that a planned stop cuts off although it began
/// seconds after the signal: a caller with an outdated address list sends a
/// stream that may outlast the stop, and it must be refused.
#[tokio::test]
async fn leave_refuses_late_stream() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 15_000;
    let (node, backend) = start_node(long, Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let stopping = node.clone();
    let stop = tokio::spawn(async move { drain(&stopping, || {}).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut long = ask("early");
    long.remaining_ms = Some(15_000);
    let early = caller_result(node.serve(long.clone()).await).await;
    assert_eq!(early, CallerResult::Stream(vec![1], true));
    stop.await.unwrap();
    assert_eq!(
        caller_result(node.serve(long).await).await,
        CallerResult::NotRun
    );
}

/// Guards against an answer that the end of a planned stop cuts off and that is counted as
/// one whose caller left.
#[tokio::test]
async fn drain_end_is_no_caller_that_left() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 15_000;
    let stream = Behavior::PausingStream(vec![1], 60_000, vec![2]);
    let (node, _) = start_node(long, vec![stream]).await;
    let mut settings = (*node.settings()).clone();
    settings.bounds.grace_s = 3.0;
    node.set_settings(settings);
    let mut long = ask("r");
    long.remaining_ms = Some(15_000);
    let reply = node.serve(long).await;
    drain(&node, || {}).await;
    drop(reply);
    assert_eq!(answers_ended(&node, EndCause::CallerLeft), 0);
    let metrics = node.metrics_text();
    assert!(metrics.contains("grace_ended"), "{metrics}");
}

/// Two daemons with one engine, whose requests may wait long for a slot.
async fn start_with_engine(kind: RouteKind, objective_ms: u64) -> Fleet {
    let route = Route {
        objective_ms,
        ..long_route(kind)
    };
    let plan = Plan {
        daemons: 2,
        engines: 1,
        fencing: true,
    };
    start_fleet_on(route, plan).await
}

/// Guards against a request that waits for a slot for its adapter in a planned stop and is
/// dropped without an answer when the process ends.
#[tokio::test]
async fn drain_rejects_request_that_waits_for_slot() {
    let fleet = start_with_engine(RouteKind::Stream, 1_000).await;
    // Short runs show how soon slots become free.
    for paths in &fleet.paths {
        let short = Behavior::PausingStream(vec![1], 300, vec![2]);
        *paths.scripted.default_behavior.lock().unwrap() = Some(short);
    }
    for run in 0..6 {
        let result = caller_result(
            fleet.nodes[0]
                .serve(adapter_ask(&format!("a{}", run % 2)))
                .await,
        )
        .await;
        assert_eq!(result, CallerResult::Stream(vec![1, 2], true));
    }
    let holder = fleet.holder().unwrap();
    let at = fleet
        .nodes
        .iter()
        .position(|n| n.settings().id == holder)
        .unwrap();
    let (node, scripted) = (&fleet.nodes[1 - at], &fleet.paths[1 - at].scripted);
    let endless = Behavior::PausingStream(vec![1], 60_000, vec![2]);
    *fleet.paths[at].scripted.default_behavior.lock().unwrap() = Some(endless);
    // All slots of the engine are in use.
    let mut running = Vec::new();
    for adapter in ["a0", "a1"] {
        let reply = fleet.nodes[at].serve(adapter_ask(adapter)).await;
        assert!(matches!(reply, Reply::Stream { .. }));
        running.push(reply);
    }
    let before = scripted.sent.lock().unwrap().len();
    let result = result_of_stop(node, adapter_ask("a3")).await;
    assert!(result.is_rejected_early(), "{result:?}");
    assert_eq!(scripted.sent.lock().unwrap().len(), before);
}

/// Guards against a request that waits for the load of its adapter in a planned stop and is
/// dropped; also for one that may not be repeated, which is served in a task of its own.
#[tokio::test]
async fn drain_rejects_request_that_waits_for_load() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        let fleet = start_with_engine(kind, 8_000).await;
        assert!(fleet.serve(0, "first".into(), "a0".into()).await);
        fleet.silence(true);
        let (node, scripted) = (&fleet.nodes[0], &fleet.paths[0].scripted);
        let result = result_of_stop(node, adapter_ask("a1")).await;
        assert!(result.is_rejected_early(), "{kind:?}: {result:?}");
        assert_eq!(scripted.sent.lock().unwrap().len(), 1);
        fleet.silence(false);
    }
}

/// Guards against a request that a silent target may run and whose caller gets no answer
/// when the process ends; for one that may not be repeated that must be "unknown".
#[tokio::test]
async fn drain_answers_request_at_silent_target() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        let (node, _) = start_node(long_route(kind), vec![Behavior::Hang]).await;
        let result = result_of_stop(&node, long_ask("q")).await;
        assert_eq!(result.answer, Some(CallerResult::Unknown), "{kind:?}");
    }
}

/// Guards against a run that a planned stop begins although it is expected to outlast the
/// process, so that its end is cut off.
#[tokio::test]
async fn drain_sends_nothing_that_outlasts_it() {
    let (node, backend) = start_node(long_route(RouteKind::Idempotent), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 3_800));
    // Their duration is learned.
    let calls = (0..4).map(|i| node.serve(long_ask(&format!("r{i}"))));
    for reply in futures::future::join_all(calls).await {
        assert_eq!(caller_result(reply).await, CallerResult::Complete(200));
    }
    set_grace(&node);
    let stopping = node.clone();
    let stop = tokio::spawn(async move { drain(&stopping, || {}).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = backend.sent.lock().unwrap().len();
    let result = caller_result(node.serve(long_ask("q")).await).await;
    assert_eq!(result, CallerResult::NotRun);
    assert_eq!(backend.sent.lock().unwrap().len(), before);
    stop.await.unwrap();
}

/// Guards against requests that come late in the grace of a planned stop and are cut without
/// an answer at its end, among them those that may not be repeated.
#[tokio::test]
async fn drain_answers_late_request_in_time() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent] {
        let (node, backend) = start_node(long_route(kind), Vec::new()).await;
        *backend.default_behavior.lock().unwrap() = Some(Behavior::Hang);
        set_grace(&node);
        let stopping = node.clone();
        let stop = tokio::spawn(async move { drain(&stopping, || {}).await });
        let mut calls = Vec::new();
        for i in 0..16 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let mut request = ask(&format!("r{i}"));
            request.remaining_ms = Some(1_000);
            let node = node.clone();
            calls.push(tokio::spawn(async move {
                caller_result(node.serve(request).await).await
            }));
        }
        stop.await.unwrap();
        for call in calls {
            assert!(call.is_finished(), "{kind:?}: no answer");
            let answer = call.await.unwrap();
            let is_true = [
                CallerResult::NotRun,
                CallerResult::TimedOut,
                CallerResult::Unknown,
            ];
            assert!(is_true.contains(&answer), "{answer:?}");
        }
    }
}
