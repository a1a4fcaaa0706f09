//! Requests of a daemon that reaches no target.

mod support;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, Route, RouteKind, Target};
use comfreyhall_node::{Node, Reply, ports::EndCause};
use futures::StreamExt;
use support::*;
use tokio::net::TcpListener;

/// Two daemons of one fleet, each with scripted answers of the targets.
struct Pair {
    cut: Arc<Node>,
    cut_backend: Arc<ScriptedBackend>,
    peer: Arc<Node>,
    peer_backend: Arc<ScriptedBackend>,
}

async fn start(
    source: &Arc<ScriptedSource>,
    table: &comfreyhall_fakes::FakeTable,
    id: &str,
    listener: TcpListener,
    seeds: &[String],
    behavior: Behavior,
) -> (Arc<Node>, Arc<ScriptedBackend>) {
    let addr = listener.local_addr().unwrap().to_string();
    let backend = Arc::new(ScriptedBackend::default());
    *backend.default_behavior.lock().unwrap() = Some(behavior);
    let node = Node::new(
        settings_of(id, &addr, seeds, 0.25),
        source.clone(),
        backend.clone(),
    );
    comfreyhall_node::spawn(&node, table.clone());
    tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
    (node, backend)
}

async fn start_pair(route: Route, cut: Behavior, peer: Behavior) -> Pair {
    start_pair_before(route, cut, peer, target("c")).await
}

/// The same, with `other` besides the targets `a` and `b`.
async fn start_pair_before(route: Route, cut: Behavior, peer: Behavior, other: Target) -> Pair {
    let mut source = scripted_source(route, None);
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets.push(other);
    let table = comfreyhall_fakes::FakeTable::default();
    let first = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let second = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seeds = [&first, &second].map(|l| l.local_addr().unwrap().to_string());
    let (cut, cut_backend) = start(&source, &table, "n1", first, &seeds, cut).await;
    let (peer, peer_backend) = start(&source, &table, "n2", second, &seeds, peer).await;
    while cut.addresses().0.len() < 2 || peer.addresses().0.len() < 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Pair {
        cut,
        cut_backend,
        peer,
        peer_backend,
    }
}

/// Guards against callers who are served by nobody though another daemon could: the
/// daemon they ask has lost its paths to all targets.
#[tokio::test]
async fn serve_isolated_daemon_passes_requests_on() {
    let route = route(RouteKind::NonIdempotent, 2, false);
    let pair = start_pair(route, Behavior::Unreachable, Behavior::Answer(200, 0)).await;
    let mut served = 0;
    for i in 0..20 {
        let result = caller_result(pair.cut.serve(ask(&format!("r{i}"))).await).await;
        served += u32::from(result == CallerResult::Complete(200));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(served >= 19, "{served} of 20");
    let ran = pair.peer_backend.sent.lock().unwrap();
    assert_eq!(ran.len(), served as usize, "each runs once");
}

/// Guards against a stream that is lost because its daemon reaches no target.
#[tokio::test]
async fn serve_isolated_daemon_passes_streams_on() {
    let stream = Behavior::Stream(vec![1, 2, 3], true);
    let route = route(RouteKind::Stream, 2, true);
    let pair = start_pair(route, Behavior::Unreachable, stream).await;
    let result = caller_result(pair.cut.serve(ask("r")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
}

/// Guards against a planned stop that cuts off a stream which was passed on: the stop waits
/// for requests in progress only.
#[tokio::test]
async fn serve_passed_on_stream_is_in_progress() {
    let stream = Behavior::Stream(vec![1, 2, 3], true);
    let route = route(RouteKind::Stream, 2, true);
    let pair = start_pair(route, Behavior::Unreachable, stream).await;
    for (node, what) in [(&pair.peer, "served"), (&pair.cut, "passed on")] {
        let reply = node.serve(ask("r")).await;
        assert!(matches!(reply, Reply::Stream { .. }));
        assert_eq!(node.in_flight(), 1, "{what}");
        let result = caller_result(reply).await;
        assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
        assert_eq!(node.in_flight(), 0);
    }
}

/// Guards against a caller who leaves a stream that was passed on and is counted by the
/// daemon alone that serves it.
#[tokio::test]
async fn serve_passed_on_stream_counts_caller_left() {
    let stream = Behavior::PausingStream(vec![1], 60_000, vec![2]);
    let route = route(RouteKind::Stream, 2, true);
    let pair = start_pair(route, Behavior::Unreachable, stream).await;
    let Reply::Stream { mut body, .. } = pair.cut.serve(ask("r")).await else {
        panic!("no stream");
    };
    assert!(body.next().await.unwrap().is_ok());
    drop(body);
    assert_eq!(answers_ended(&pair.cut, EndCause::CallerLeft), 1);
    let whole = caller_result(pair.cut.serve(ask("s")).await).await;
    assert!(matches!(whole, CallerResult::Stream(_, false)));
    assert_eq!(answers_ended(&pair.cut, EndCause::CallerLeft), 1);
}

/// Guards against requests that go back and forth while all daemons are isolated, and
/// against callers who wait for nothing then.
#[tokio::test]
async fn serve_all_isolated_rejects_at_once() {
    let route = route(RouteKind::Idempotent, 2, false);
    let pair = start_pair(route, Behavior::Unreachable, Behavior::Unreachable).await;
    for node in [&pair.cut, &pair.peer] {
        for i in 0..10 {
            caller_result(node.serve(ask(&format!("w{i}"))).await).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    // Gossip about it reaches the other daemon.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let sends = || {
        pair.cut_backend.sent.lock().unwrap().len() + pair.peer_backend.sent.lock().unwrap().len()
    };
    let before = sends();
    let began = std::time::Instant::now();
    let result = caller_result(pair.cut.serve(ask("r")).await).await;
    assert_eq!(result, CallerResult::NotRun);
    assert!(began.elapsed() < Duration::from_millis(300));
    assert_eq!(sends(), before, "no target is asked for it");
}

/// Guards against "not run" about a request that a peer may have run.
#[tokio::test]
async fn serve_passed_on_lost_answer_is_unknown() {
    let route = route(RouteKind::NonIdempotent, 2, false);
    let pair = start_pair(route, Behavior::Unreachable, Behavior::LoseAnswer).await;
    let result = caller_result(pair.cut.serve(ask("r")).await).await;
    assert_eq!(result, CallerResult::Unknown);
    assert_eq!(pair.peer_backend.sent.lock().unwrap().len(), 1);
}

/// Guards against passing on requests because one target does not answer.
#[tokio::test]
async fn serve_one_silent_target_keeps_requests() {
    let route = route(RouteKind::Idempotent, 3, false);
    let pair = start_pair(route, Behavior::Answer(200, 0), Behavior::Answer(200, 0)).await;
    pair.cut_backend
        .behaviors
        .lock()
        .unwrap()
        .push(Behavior::Unreachable);
    for i in 0..10 {
        let result = caller_result(pair.cut.serve(ask(&format!("r{i}"))).await).await;
        assert_eq!(result, CallerResult::Complete(200));
    }
    assert!(pair.peer_backend.sent.lock().unwrap().is_empty());
    assert!(!pair.peer.addresses().0.is_empty());
}

/// Guards against "not run" about a request that an unresponsive daemon may have run.
#[tokio::test]
async fn serve_passed_on_hung_daemon_is_unknown() {
    let route = route(RouteKind::Idempotent, 2, false);
    let pair = start_pair(route, Behavior::Unreachable, Behavior::Hang).await;
    let mut request = ask("r");
    request.remaining_ms = Some(600);
    let result = caller_result(pair.cut.serve(request).await).await;
    assert_ne!(result, CallerResult::NotRun);
    assert_eq!(pair.peer_backend.sent.lock().unwrap().len(), 1);
}

/// Guards against a resumption that continues at any version because it was passed on.
#[tokio::test]
async fn serve_passed_on_resumption_keeps_version() {
    let stream = Behavior::Stream(vec![1, 2, 3], true);
    let route = route(RouteKind::Stream, 2, true);
    let other = Target {
        software: Some("v2".into()),
        ..target("c")
    };
    let pair = start_pair_before(route, Behavior::Unreachable, stream, other).await;
    // A version that has just appeared begins no streams.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let resumption = |id: String, first: String| ClientRequest {
        last_event_id: Some(1),
        resumes: Some(first.as_str().into()),
        ..ask(&id)
    };
    for i in 0..10 {
        let first = format!("r{i}");
        let result = caller_result(pair.peer.serve(ask(&first)).await).await;
        assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
        let request = resumption(format!("r{i}b"), first);
        let result = caller_result(pair.cut.serve(request).await).await;
        assert_eq!(result, CallerResult::Stream(vec![2, 3], true));
        let sent = pair.peer_backend.sent.lock().unwrap();
        let [.., began, resumed] = &sent[..] else {
            panic!("two sends");
        };
        assert_eq!(*began.target == *"c", *resumed.target == *"c");
    }
    let unknown = resumption("u".into(), "never seen".into());
    let result = caller_result(pair.cut.serve(unknown).await).await;
    assert_eq!(result, CallerResult::NotRun);
}

/// Guards against an answer, or a request, that is lost on its way between daemons as it is
/// longer than one message may be.
#[tokio::test]
async fn serve_passes_long_bodies_on() {
    let text: &'static str = "x".repeat(6 << 20).leak();
    let route = route(RouteKind::NonIdempotent, 2, false);
    let pair = start_pair(route, Behavior::Unreachable, Behavior::Unframed(text)).await;
    let reply = pair.cut.serve(ask("answer")).await;
    let Reply::Complete { body, .. } = reply else {
        panic!("the answer is passed back");
    };
    assert_eq!(body.len(), text.len());
    let mut request = ask("request");
    request.forwarded.body = text.into();
    let result = caller_result(pair.cut.serve(request).await).await;
    assert_eq!(result, CallerResult::Complete(200));
}

/// Guards against a request that was passed on and whose caller gets no answer when a planned
/// stop ends, as the other daemon waits for a silent target.
#[tokio::test]
async fn drain_answers_passed_on_request() {
    let mut long = route(RouteKind::NonIdempotent, 2, false);
    long.timeout_ms = 15_000;
    let pair = start_pair(long, Behavior::Unreachable, Behavior::Hang).await;
    let mut settings = (*pair.cut.settings()).clone();
    settings.bounds.grace_s = 3.0;
    pair.cut.set_settings(settings);
    let mut request = ask("r");
    request.remaining_ms = Some(15_000);
    let serving = pair.cut.clone();
    let call = tokio::spawn(async move { caller_result(serving.serve(request).await).await });
    while pair.peer_backend.sent.lock().unwrap().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    comfreyhall_node::drain(&pair.cut, || {}).await;
    assert!(call.is_finished(), "no answer");
    assert_eq!(call.await.unwrap(), CallerResult::Unknown);
}
