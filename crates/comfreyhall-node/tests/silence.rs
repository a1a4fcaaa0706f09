//! Sound targets that send nothing for a while and then go on.

mod support;

use std::sync::atomic::Ordering;

use comfreyhall_domain::{ClientRequest, Config, Refusal, Route, RouteKind};
use support::*;

/// Longer than any gap between events or wait for an answer after which other targets
/// are considered.
const SILENCE_MS: u64 = 1_800;

/// A request with time for such a silence.
fn patient(id: &str) -> ClientRequest {
    ClientRequest {
        remaining_ms: Some(4_000),
        ..ask(id)
    }
}

fn route_with_time(kind: RouteKind) -> Route {
    Route {
        timeout_ms: 4_000,
        ..route(kind, 3, kind == RouteKind::Stream)
    }
}

/// What a caller gets whose first send is answered as `first`, all others as `other`.
async fn result_of(kind: RouteKind, first: Behavior, other: Behavior) -> CallerResult {
    let (node, backend) = start_node(route_with_time(kind), vec![first]).await;
    *backend.default_behavior.lock().unwrap() = Some(other);
    caller_result(node.serve(patient("r")).await).await
}

fn pausing() -> Behavior {
    Behavior::PausingStream(vec![1, 2], SILENCE_MS, vec![3, 4])
}

/// Guards against a stream that is given up since its target is silent and no other
/// target takes the rest.
#[tokio::test]
async fn serve_stream_outlasts_silence_without_other_target() {
    let other = Behavior::Refuse(Refusal::Full);
    let result = result_of(RouteKind::Stream, pausing(), other).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4], true));
}

/// Guards against a stream that is given up since the target that takes the rest is
/// silent as well.
#[tokio::test]
async fn serve_stream_outlasts_silence_of_all() {
    let result = result_of(RouteKind::Stream, pausing(), Behavior::Hang).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4], true));
}

/// Guards against a run that goes on at a silent target after another one has answered,
/// and against events of both in one stream.
#[tokio::test]
async fn serve_superseded_run_is_cancelled() {
    let endless = Behavior::PausingStream(vec![1, 2], 60_000, vec![3]);
    for (first, rest) in [(endless, vec![3, 4]), (Behavior::Hang, vec![1, 2, 3, 4])] {
        let (node, backend) = start_node(route_with_time(RouteKind::Stream), vec![first]).await;
        *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(rest, true));
        let result = caller_result(node.serve(patient("r")).await).await;
        assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4], true));
        assert_eq!(backend.sent.lock().unwrap().len(), 2);
        assert_eq!(backend.silent_runs.load(Ordering::SeqCst), 0);
    }
}

/// Guards against a request that is sent again to the target that is silent, beside its
/// open answer.
#[tokio::test]
async fn serve_silent_target_is_asked_once() {
    for (kind, first) in [
        (RouteKind::Stream, pausing()),
        (RouteKind::Idempotent, Behavior::Answer(200, SILENCE_MS)),
    ] {
        let (node, backend) = start_node(route_with_time(kind), vec![first]).await;
        *backend.default_behavior.lock().unwrap() = Some(Behavior::Refuse(Refusal::Full));
        caller_result(node.serve(patient("r")).await).await;
        let sent = backend.sent.lock().unwrap();
        let again = sent.iter().filter(|s| s.target == sent[0].target);
        assert_eq!(again.count(), 1, "{kind:?}");
    }
}

/// Guards against a silence that is taken for one of the target while the caller does not
/// read.
#[tokio::test]
async fn serve_slow_caller_is_no_silence() {
    let stream = Behavior::Stream(vec![1, 2, 3], true);
    let (node, backend) = start_node(route_with_time(RouteKind::Stream), vec![stream]).await;
    let reply = node.serve(patient("r")).await;
    tokio::time::sleep(std::time::Duration::from_millis(SILENCE_MS)).await;
    let result = caller_result(reply).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
    assert_eq!(backend.sent.lock().unwrap().len(), 1);
    let metrics = node.metrics_text();
    let mut samples = metrics.lines().filter(|l| !l.starts_with('#'));
    assert!(!samples.any(|l| l.contains("silences")), "{metrics}");
}

/// Guards against a stream that is given up before its first event, which comes late.
#[tokio::test]
async fn serve_late_first_event_is_awaited() {
    let first = Behavior::PausingStream(Vec::new(), SILENCE_MS, vec![1, 2]);
    let other = Behavior::Refuse(Refusal::Full);
    let result = result_of(RouteKind::Stream, first, other).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2], true));
}

/// Guards against a repeatable request that is given up while its target is silent.
#[tokio::test]
async fn serve_late_plain_answer_is_awaited() {
    let other = Behavior::Refuse(Refusal::Full);
    let first = Behavior::Answer(200, SILENCE_MS);
    let result = result_of(RouteKind::Idempotent, first, other).await;
    assert_eq!(result, CallerResult::Complete(200));
}

/// Guards against a request that waits for two silent targets while a third one could
/// answer, before its first event and after it.
#[tokio::test]
async fn serve_third_target_is_asked_beside_two() {
    use RouteKind::{Idempotent, Stream};
    let (all, rest) = (vec![1, 2, 3, 4], vec![3, 4]);
    let begun = Behavior::PausingStream(vec![1, 2], 60_000, vec![3]);
    let stream = |ids| Behavior::Stream(ids, true);
    for (kind, first, third) in [
        (Stream, begun, stream(rest)),
        (Stream, Behavior::Hang, stream(all.clone())),
        (Idempotent, Behavior::Hang, Behavior::Answer(200, 0)),
    ] {
        let behaviors = vec![first, Behavior::Hang, third];
        let others = vec![target("c")];
        let route = route_with_time(kind);
        let (node, backend, _) = start_node_among(route, None, behaviors, others).await;
        let result = caller_result(node.serve(patient("r")).await).await;
        let expected = match kind {
            Stream => CallerResult::Stream(all.clone(), true),
            _ => CallerResult::Complete(200),
        };
        assert_eq!(result, expected);
        let mut asked: Vec<_> = backend
            .sent
            .lock()
            .unwrap()
            .iter()
            .map(|s| s.target.clone())
            .collect();
        asked.sort();
        asked.dedup();
        assert_eq!(asked.len(), 3);
        assert_eq!(backend.silent_runs.load(Ordering::SeqCst), 0);
    }
}

/// Guards against newer settings to which a search for another target has bound a request:
/// if it finds none, the first answer goes on by those under which it was sent.
#[tokio::test]
async fn serve_seek_in_vain_keeps_settings() {
    let first = Behavior::PausingStream(Vec::new(), SILENCE_MS, vec![1, 2]);
    let route = route_with_time(RouteKind::Stream);
    let (node, _, source) = start_node_with(route, None, vec![first]).await;
    let shorter = Config {
        version: 2,
        routes: vec![Route {
            timeout_ms: 1_000,
            ..source.config.routes[0].clone()
        }],
        ..source.config.clone()
    };
    let publish = async {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        source.publish(shorter);
    };
    let (reply, ()) = tokio::join!(node.serve(patient("r")), publish);
    let result = caller_result(reply).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2], true));
}

/// Guards against a request that waits for a silent target of the service which its route
/// has left.
#[tokio::test]
async fn serve_silent_request_follows_moved_route() {
    let other = comfreyhall_domain::Target {
        service: "t".into(),
        ..target("c")
    };
    let route = route_with_time(RouteKind::Idempotent);
    let (node, backend, source) =
        start_node_among(route, None, vec![Behavior::Hang], vec![other]).await;
    let mut moved = source.config.clone();
    moved.version = 2;
    moved.routes[0].shares[0].service = "t".into();
    let mut service = moved.services["s"].clone();
    service.name = "t".into();
    moved.services.insert("t".into(), service);
    let publish = async {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        source.publish(moved);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        // The retry budget of a service begins with its first request.
        let other = node.serve(patient("other")).await;
        assert_eq!(caller_result(other).await, CallerResult::Complete(200));
    };
    let (reply, ()) = tokio::join!(node.serve(patient("r")), publish);
    assert_eq!(caller_result(reply).await, CallerResult::Complete(200));
    let sent = backend.sent.lock().unwrap();
    assert_eq!(sent.len(), 3);
    assert!(sent[1..].iter().all(|s| &*s.target == "c"));
}

/// Guards against a stream that is not resumed since its attempts are spent: another target
/// was asked beside a silence that passed, and its run was cancelled. That target may have
/// the request again; no third one may.
#[tokio::test]
async fn serve_cancelled_target_takes_rest() {
    let route = Route {
        max_attempts: 2,
        ..route_with_time(RouteKind::Stream)
    };
    let first = Behavior::PausingBreak(vec![1, 2], SILENCE_MS, vec![3]);
    let behaviors = vec![first, Behavior::Hang, Behavior::Stream(vec![4, 5], true)];
    let others = vec![target("c")];
    let (node, backend, _) = start_node_among(route, None, behaviors, others).await;
    let result = caller_result(node.serve(patient("r")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4, 5], true));
    let sent = backend.sent.lock().unwrap();
    assert_eq!(sent.len(), 3);
    assert_eq!(sent[2].target, sent[1].target);
    assert_ne!(sent[1].target, sent[0].target);
}
