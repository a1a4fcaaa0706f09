//! Evidence against a request, and the answers to its caller.

mod support;

use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use comfreyhall_catalog::Rows;
use comfreyhall_domain::{ClientRequest, Name, PromptSegment, RouteKind};
use comfreyhall_fakes::{CallOutcome, FakeTable};
use comfreyhall_node::Node;
use support::*;

/// Time limit of a request, in ms: answers must not depend on the speed of this
/// machine.
const PATIENT_MS: u64 = 60_000;

/// Time in which evidence that the store has lost is in it again.
const STORED_AGAIN: std::time::Duration = std::time::Duration::from_secs(5);

/// Starts a daemon with five targets.
async fn daemon(
    kind: RouteKind,
    attempts: u32,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    daemon_on(kind, attempts, FakeTable::default()).await
}

/// The same with the rows of `table`.
async fn daemon_on(
    kind: RouteKind,
    attempts: u32,
    table: FakeTable,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    let world = five_targets(kind, attempts);
    let script = Arc::new(ScriptedBackend::default());
    let node = Node::new(
        settings_of("n", "127.0.0.1:1", &[], 0.25),
        world.clone(),
        script.clone(),
    );
    comfreyhall_node::spawn(&node, table);
    while !node.ready() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    (node, script, world)
}

/// Five targets behind a route of `kind`.
fn five_targets(kind: RouteKind, attempts: u32) -> Arc<ScriptedSource> {
    let mut route = route(kind, attempts, kind == RouteKind::Stream);
    route.timeout_ms = PATIENT_MS;
    let mut world = scripted_source(route, None);
    let plain = Arc::get_mut(&mut world).unwrap();
    plain.targets.extend(["c", "d", "e"].map(target));
    plain.config.workspaces = Some(workspaces(&["a", "b"]));
    world
}

/// Starts a daemon with five targets that is a peer of those at `seeds`.
async fn peer_daemon(
    seeds: &mut Vec<String>,
    script: Arc<ScriptedBackend>,
    table: FakeTable,
) -> Arc<Node> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let settings = settings_of(&format!("n{}", seeds.len()), &addr, seeds, 0.25);
    let node = Node::new(settings, five_targets(RouteKind::Idempotent, 1), script);
    comfreyhall_node::spawn(&node, table);
    tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
    seeds.push(addr);
    node
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

/// Value of the first metric series that begins with `series`.
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

/// Sends the deadly request until it is quarantined; returns the number of
/// targets it ended. Others are answered in between: a daemon that none answers would
/// take its paths for cut.
async fn until_held(node: &Arc<Node>, script: &ScriptedBackend) -> usize {
    let before = script.sent.lock().unwrap().len();
    for i in 0..10 {
        always(script, Behavior::Exit);
        let got = serve(node, deadly(&format!("q{i}"))).await;
        until_known(node, script).await;
        if got == CallerResult::Quarantined(false) {
            let seen = script.sent.lock().unwrap();
            let deadly = seen[before..].iter().filter(|s| s.request.starts_with('q'));
            let targets: HashSet<&str> = deadly.map(|s| &*s.target).collect();
            return targets.len();
        }
        always(script, Behavior::Answer(200, 0));
        serve(node, keyed(&format!("o{i}"), "key of a")).await;
    }
    panic!("it is never held back");
}

#[tokio::test]
async fn serve_deadly_quarantined_after_three_targets() {
    for (kind, attempts) in [
        (RouteKind::Idempotent, 2),
        (RouteKind::NonIdempotent, 1),
        (RouteKind::Stream, 2),
    ] {
        let (node, script, _) = daemon(kind, attempts).await;
        always(&script, Behavior::Exit);
        assert_eq!(until_held(&node, &script).await, 3, "{kind:?}");
        // At once, and whatever id it has.
        let sends = script.sent.lock().unwrap().len();
        assert_eq!(
            serve(&node, deadly("again")).await,
            CallerResult::Quarantined(false)
        );
        assert_eq!(script.sent.lock().unwrap().len(), sends);
    }
}

/// A request that ended a target itself must not be answered as not run.
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

/// Guards against a workspace that cannot be served because another's request
/// with the same body ends its targets, and against a caller that impersonates
/// another one by a header of its own.
#[tokio::test]
async fn serve_same_body_of_others_is_allowed() {
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

/// Guards against quarantining every request of a failure domain: a switch
/// resets all connections again and again, and a closed connection must not
/// count as the end of a target.
#[tokio::test]
async fn serve_closed_by_live_target_is_allowed() {
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

/// A rack without power answers nothing; its targets have ended, but a request
/// that waited there until its timeout did not end them.
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

/// Guards against quarantining requests that ran while a service was replaced:
/// a draining target ends together with its remaining runs, which did not cause
/// its end.
#[tokio::test]
async fn serve_draining_target_is_no_evidence() {
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
    // Nothing is sent to draining targets, and their runs were no evidence.
    assert_eq!(serve(&node, deadly("q")).await, CallerResult::NotRun);
}

#[tokio::test]
async fn serve_completed_run_clears() {
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
    // Three more are needed; the two before the completed run do not count.
    assert_eq!(until_held(&node, &script).await, 3);
}

/// Guards against a stream that ends its engine and is then resumed on the next
/// one, which it ends as well: resumed streams must be checked like new
/// attempts.
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

const FIRST_SEGMENT: u64 = 0x5a;
const POISON_SEGMENT: u64 = 0xbad;

/// A request with a body of its own and these prompt segments before one of its own.
fn with_segments(id: &str, segments: &[u64]) -> ClientRequest {
    let mut ask = keyed(id, "key of a");
    ask.remaining_ms = Some(PATIENT_MS);
    ask.forwarded.body = Bytes::copy_from_slice(id.as_bytes());
    let all = segments.iter().chain([&0xffff]);
    let all = all.map(|id| PromptSegment {
        id: *id,
        tokens: 10,
    });
    ask.prompt_segments = all.collect();
    ask
}

/// Targets that have ended.
fn ended(script: &ScriptedBackend) -> usize {
    script.exited_targets.lock().unwrap().len()
}

/// Sends `count` requests with the poison segment, no two alike; returns the last
/// outcome. Others are answered in between: a daemon that none answers would take its
/// paths for cut.
async fn send_poison_segments(
    node: &Arc<Node>,
    script: &ScriptedBackend,
    count: usize,
) -> CallerResult {
    let mut last = CallerResult::NotRun;
    for i in 0..count {
        let ask = with_segments(&format!("p{i}"), &[FIRST_SEGMENT, POISON_SEGMENT]);
        always(script, Behavior::Exit);
        last = serve(node, ask).await;
        until_known(node, script).await;
        always(script, Behavior::Answer(200, 0));
        let other = keyed(&format!("o{i}"), "key of a");
        assert_eq!(serve(node, other).await, CallerResult::Complete(200));
    }
    always(script, Behavior::Exit);
    last
}

#[tokio::test]
async fn serve_poison_segment_quarantined_after_four_targets() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 1).await;
    let last = send_poison_segments(&node, &script, 6).await;
    assert_eq!(last, CallerResult::Quarantined(false));
    assert_eq!(ended(&script), 4);
    // Neither the other segment nor the caller is the cause.
    always(&script, Behavior::Answer(200, 0));
    let sound = with_segments("s", &[FIRST_SEGMENT, 7]);
    assert_eq!(serve(&node, sound).await, CallerResult::Complete(200));
}

/// Guards against requests with a segment that ends targets of which many are sent at
/// once before it is quarantined.
#[tokio::test]
async fn serve_poison_segment_at_once_ends_four_targets() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 1).await;
    send_poison_segments(&node, &script, 2).await;
    // Those that come now wait for no other evidence.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let asks = (0..6).map(|i| {
        let ask = with_segments(&format!("v{i}"), &[FIRST_SEGMENT, POISON_SEGMENT]);
        let node = node.clone();
        tokio::spawn(async move { serve(&node, ask).await })
    });
    for ask in asks.collect::<Vec<_>>() {
        ask.await.unwrap();
    }
    assert_eq!(ended(&script), 4);
}

/// Guards against sound requests that wait longer than until a run clears the segments
/// that they share with a suspect one.
#[tokio::test]
async fn serve_sound_segment_waits_until_cleared() {
    let (node, script, _) = daemon(RouteKind::Idempotent, 1).await;
    send_poison_segments(&node, &script, 3).await;
    always(&script, Behavior::Answer(200, 0));
    let began = std::time::Instant::now();
    let asks = (0..6).map(|i| {
        let ask = with_segments(&format!("s{i}"), &[FIRST_SEGMENT, 7]);
        let node = node.clone();
        tokio::spawn(async move { serve(&node, ask).await })
    });
    for ask in asks.collect::<Vec<_>>() {
        assert_eq!(ask.await.unwrap(), CallerResult::Complete(200));
    }
    // One waits for its turn, its answer clears the segment for the others.
    assert!(began.elapsed().as_millis() < 900, "{:?}", began.elapsed());
}

/// Guards against engines that are ended again after all daemons were lost at once.
#[tokio::test]
async fn serve_poison_segment_known_after_loss_of_all() {
    for count in [2, 6] {
        let table = FakeTable::default();
        let (node, script, _) = daemon_on(RouteKind::Idempotent, 1, table.client()).await;
        send_poison_segments(&node, &script, count).await;
        let before = ended(&script);
        // The commit that stores the last end.
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        let (other, script, _) = daemon_on(RouteKind::Idempotent, 1, table.client()).await;
        let last = send_poison_segments(&other, &script, 6).await;
        assert_eq!(last, CallerResult::Quarantined(false));
        assert_eq!(before + ended(&script), 4);
    }
}

/// Guards against a request that is quarantined, and targets that no daemon uses, because the
/// paths from one daemon to its targets are cut with refused connections.
#[tokio::test]
async fn serve_cut_paths_quarantine_nothing() {
    let mut seeds = Vec::new();
    peer_daemon(&mut seeds, Arc::default(), FakeTable::default()).await;
    let script = Arc::new(ScriptedBackend::default());
    let node = peer_daemon(&mut seeds, script.clone(), FakeTable::default()).await;
    while !node.ready() || node.addresses().0.len() < 2 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    // Each send loses its connection, and the target refuses new ones from here.
    always(&script, Behavior::Exit);
    for i in 0..8 {
        let got = serve(&node, deadly(&format!("q{i}"))).await;
        assert!(!matches!(got, CallerResult::Quarantined(_)), "{got:?}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(counted(&node, r#"quarantine_total{change="suspect""#), 0);
}

/// Rows of stored evidence in `table`.
async fn evidence_rows(table: &FakeTable) -> usize {
    table.scan("quarantine/", "", 0).await.unwrap().len()
}

/// Waits until the table has rows of evidence.
async fn until_stored(table: &FakeTable) {
    while evidence_rows(table).await == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against evidence that the store has lost with its last seconds: after it came back
/// from a copy a daemon that starts would send what has ended three targets.
#[tokio::test]
async fn start_on_copy_knows_evidence() {
    let table = FakeTable::default();
    table.restore(&table.copy());
    let copy = table.copy();
    let (node, script, _) = daemon_on(RouteKind::Idempotent, 2, table.client()).await;
    always(&script, Behavior::Exit);
    until_held(&node, &script).await;
    until_stored(&table).await;
    table.restore(&copy);
    assert_eq!(evidence_rows(&table).await, 0);
    until_stored(&table).await;
    let (started, script, _) = daemon_on(RouteKind::Idempotent, 2, table.client()).await;
    let outcome = serve(&started, deadly("again")).await;
    assert_eq!(outcome, CallerResult::Quarantined(false));
    assert!(script.sent.lock().unwrap().is_empty());
}

/// Guards against evidence that is lost with the store's last seconds, as the only daemon that
/// had stored it does not reach the store any more: another one knows it from gossip.
#[tokio::test]
async fn evidence_lost_is_stored_by_peer() {
    let table = FakeTable::default();
    table.restore(&table.copy());
    let copy = table.copy();
    let (own, others) = (table.client(), table.client());
    let script = Arc::new(ScriptedBackend::default());
    let mut seeds = Vec::new();
    let observer = peer_daemon(&mut seeds, script.clone(), own.clone()).await;
    let other = peer_daemon(&mut seeds, script.clone(), others.clone()).await;
    for node in [&observer, &other] {
        while !node.ready() || node.addresses().0.len() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }
    always(&script, Behavior::Exit);
    let is_held = |node: &Node| counted(node, r#"quarantine_total{change="held_back""#) > 0;
    while !is_held(&observer) {
        serve(&observer, deadly("q")).await;
        until_known(&observer, &script).await;
    }
    while !is_held(&other) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    until_stored(&table).await;
    own.script(vec![CallOutcome::Unsent; 1_000]);
    table.restore(&copy);
    // Any answer of the store carries its era.
    others.get("any").await.unwrap();
    let stored = tokio::time::timeout(STORED_AGAIN, until_stored(&table)).await;
    assert!(stored.is_ok(), "no daemon stores the evidence again");
}
