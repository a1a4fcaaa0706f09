//! Streams that callers resume, and the software version that began them.

mod support;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, RouteKind, Target};
use comfreyhall_fakes::FakeTable;
use comfreyhall_node::Node;
use support::*;
use tokio::{net::TcpListener, time::Instant};

/// Longer than a daemon takes to store the versions that it knows.
const STORED_WITHIN: Duration = Duration::from_millis(1_500);

/// Longest time for which versions that are new together begin no streams: some 0.5 s until
/// they are stored, the bound of 2 s on new work at draining targets, 0.5 s until the next
/// listing, and 1 s of tolerance.
const BEGIN_WITHIN: Duration = Duration::from_millis(4_000);

/// A daemon of a fleet whose targets run the software `versions`.
struct Daemon {
    node: Arc<Node>,
    backend: Arc<ScriptedBackend>,
}

async fn start(table: &FakeTable, versions: &[Option<&str>], first_start: bool) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let mut source = scripted_source(route(RouteKind::Stream, 2, true), None);
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    let target = |(i, version): (usize, &Option<&str>)| Target {
        software: version.map(Into::into),
        ..target(&format!("t{i}"))
    };
    only.targets = versions.iter().enumerate().map(target).collect();
    let backend = Arc::new(ScriptedBackend::default());
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1, 2, 3], true));
    let mut settings = settings_of(&addr, &addr, &[], 0.25);
    settings.first_start = first_start;
    let node = Node::new(settings, source, backend.clone());
    comfreyhall_node::spawn(&node, table.clone());
    tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
    while !node.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Daemon { node, backend }
}

impl Daemon {
    async fn serve(&self, request: ClientRequest) -> CallerResult {
        caller_result(self.node.serve(request).await).await
    }

    fn sends(&self) -> usize {
        self.backend.sent.lock().unwrap().len()
    }
}

/// A request that resumes the stream `first` after its first event.
fn resumption(id: &str, first: &str) -> ClientRequest {
    ClientRequest {
        last_event_id: Some(1),
        resumes: Some(first.into()),
        ..ask(id)
    }
}

/// Guards against rejected resumptions of a service with one version after the whole
/// fleet was killed.
#[tokio::test]
async fn serve_resumption_after_fleet_kill() {
    let table = FakeTable::default();
    let before = start(&table, &[Some("v1")], true).await;
    tokio::time::sleep(STORED_WITHIN).await;
    let after = start(&table, &[Some("v1")], false).await;
    drop(before);
    let result = after.serve(resumption("r2", "r1")).await;
    assert_eq!(result, CallerResult::Stream(vec![2, 3], true));
}

/// Guards against a guess by a daemon that has just started: nobody has stored which
/// versions have served.
#[tokio::test]
async fn serve_resumption_of_unknown_past_is_rejected() {
    let daemon = start(&FakeTable::default(), &[Some("v1")], false).await;
    let result = daemon.serve(resumption("r2", "r1")).await;
    assert_eq!((result, daemon.sends()), (CallerResult::NotRun, 0));
}

/// Guards against a guess after a version that served before the kill of the whole
/// fleet has left.
#[tokio::test]
async fn serve_resumption_after_fleet_kill_in_rollout() {
    let table = FakeTable::default();
    let before = start(&table, &[Some("v1"), Some("v2")], true).await;
    tokio::time::sleep(STORED_WITHIN).await;
    let after = start(&table, &[Some("v2")], false).await;
    drop(before);
    let result = after.serve(resumption("r2", "r1")).await;
    assert_eq!((result, after.sends()), (CallerResult::NotRun, 0));
}

/// Guards against a guess after the store came back from a copy and the whole fleet was lost:
/// the stored versions are those of an earlier time, and the old version has left.
#[tokio::test]
async fn serve_resumption_after_store_copy_is_rejected() {
    let table = FakeTable::default();
    let before = start(&table, &[Some("v1")], true).await;
    tokio::time::sleep(STORED_WITHIN).await;
    let copy = table.copy();
    drop(before);
    // In between another version has begun streams and left.
    table.restore(&copy);
    let after = start(&table, &[Some("v1")], false).await;
    let result = after.serve(resumption("r2", "r1")).await;
    assert_eq!((result, after.sends()), (CallerResult::NotRun, 0));
}

/// Guards against a guess by the second daemon that starts after the rows of all were lost: the
/// first one does not know which versions have served.
#[tokio::test]
async fn serve_resumption_by_second_starter_is_rejected() {
    let table = FakeTable::default();
    let first = start(&table, &[Some("v1")], false).await;
    tokio::time::sleep(STORED_WITHIN).await;
    drop(first);
    let second = start(&table, &[Some("v1")], false).await;
    let result = second.serve(resumption("r2", "r1")).await;
    assert_eq!((result, second.sends()), (CallerResult::NotRun, 0));
}

/// Guards against a stream that goes on at another version on a day on which all instances are
/// lost during a rollout: before and after the old version has left.
#[tokio::test]
async fn serve_resumptions_after_loss_in_rollout() {
    for left in [false, true] {
        let table = FakeTable::default();
        let before = start(&table, &[Some("v1"), Some("v2")], true).await;
        let began = Instant::now();
        while before.serve(ask("r1")).await != CallerResult::Stream(vec![1, 2, 3], true) {
            assert!(began.elapsed() < BEGIN_WITHIN);
        }
        tokio::time::sleep(STORED_WITHIN).await;
        drop(before);
        let versions = [Some("v1"), Some("v2")];
        let after = start(&table, &versions[usize::from(left)..], false).await;
        for resumed in 0..8 {
            let result = after.serve(resumption(&format!("r{resumed}x"), "r1")).await;
            assert_eq!(
                (result, after.sends()),
                (CallerResult::NotRun, 0),
                "left: {left}"
            );
        }
    }
}

/// Guards against a stream that is resumed at a target of unknown version, inside one
/// answer or by its caller.
#[tokio::test]
async fn serve_unknown_version_resumes_nothing() {
    let daemon = start(&FakeTable::default(), &[None, None], true).await;
    let broken = Behavior::Stream(vec![1], false);
    daemon.backend.behaviors.lock().unwrap().push(broken);
    let result = daemon.serve(ask("r1")).await;
    assert_eq!(result, CallerResult::Stream(vec![1], false));
    assert_eq!(daemon.sends(), 1);
    let result = daemon.serve(resumption("r2", "r1")).await;
    assert_eq!((result, daemon.sends()), (CallerResult::NotRun, 1));
}

/// Guards against a resumption that names no attempt and continues at any version.
#[tokio::test]
async fn serve_resumption_of_nothing_is_rejected() {
    let daemon = start(&FakeTable::default(), &[Some("v1"), Some("v2")], true).await;
    let request = ClientRequest {
        last_event_id: Some(1),
        ..ask("r1")
    };
    let result = daemon.serve(request).await;
    assert_eq!((result, daemon.sends()), (CallerResult::NotRun, 0));
}

/// Guards against a stream without any event that is bound to the version of a target
/// which failed.
#[tokio::test]
async fn serve_stream_without_event_is_bound_to_nothing() {
    let daemon = start(&FakeTable::default(), &[Some("v1"), Some("v2")], true).await;
    let began = Instant::now();
    while daemon.serve(ask("w")).await != CallerResult::Stream(vec![1, 2, 3], true) {
        assert!(began.elapsed() < BEGIN_WITHIN);
    }
    for i in 0..4 {
        let refusal = Behavior::Refuse(comfreyhall_domain::Refusal::Full);
        daemon.backend.behaviors.lock().unwrap().push(refusal);
        let result = daemon.serve(ask(&format!("r{i}"))).await;
        assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
    }
}
