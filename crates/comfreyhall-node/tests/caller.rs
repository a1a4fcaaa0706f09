//! Who calls: keys, their withdrawal, and what targets are told.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use comfreyhall_domain::{
    ClientRequest, Config, RawNumber, RawUnit, Route, RouteKind, WorkspaceEntry, Workspaces,
    read_entries,
};
use comfreyhall_fakes::FakeTable;
use comfreyhall_node::Node;
use support::*;

fn with(config: &Config, version: u64, workspaces: Workspaces) -> Config {
    Config {
        version,
        workspaces: Some(workspaces),
        ..config.clone()
    }
}

/// A daemon that serves `route` for `workspaces`.
async fn daemon(
    route: Route,
    workspaces: Workspaces,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    daemon_with(route, workspaces, None).await
}

/// The same; keys lapse after `revoke_ms` without a word of the store.
async fn daemon_with(
    route: Route,
    workspaces: Workspaces,
    revoke_ms: Option<u64>,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    let mut world = scripted_source(route, None);
    let plain = Arc::get_mut(&mut world).unwrap();
    plain.config = with(&plain.config, 1, workspaces);
    let script = Arc::new(ScriptedBackend::default());
    *script.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 0));
    let mut settings = settings_of("n", "127.0.0.1:1", &[], 0.25);
    settings.bounds.revoke_ms = revoke_ms;
    let node = Node::new(settings, world.clone(), script.clone());
    comfreyhall_node::spawn(&node, FakeTable::default());
    while !node.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (node, script, world)
}

async fn serve(node: &Arc<Node>, ask: ClientRequest) -> CallerResult {
    caller_result(node.serve(ask).await).await
}

/// Waits until `version` is in force.
async fn until_in_force(node: &Node, version: u64) {
    while node.config().is_none_or(|c| c.version < version) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against targets that are not told the workspace of the caller's key.
#[tokio::test]
async fn serve_names_workspace_of_key() {
    let (node, script, _) = daemon(
        route(RouteKind::Idempotent, 1, false),
        workspaces(&["a", "b"]),
    )
    .await;
    assert_eq!(
        serve(&node, keyed("r1", "key of b")).await,
        CallerResult::Complete(200)
    );
    let seen = script.sent.lock().unwrap()[0].clone();
    assert_eq!(seen.options.workspace.as_deref(), Some("b"));
}

/// Guards against callers that are served without a key, or with one that
/// belongs to nobody.
#[tokio::test]
async fn serve_unknown_key_is_final() {
    let (node, script, _) =
        daemon(route(RouteKind::Idempotent, 1, false), workspaces(&["a"])).await;
    assert_eq!(
        serve(&node, keyed("r1", "guess")).await,
        CallerResult::UnknownKey
    );
    assert_eq!(serve(&node, ask("r2")).await, CallerResult::UnknownKey);
    assert!(script.sent.lock().unwrap().is_empty());
}

#[tokio::test]
async fn serve_public_route_asks_no_key() {
    let open = Route {
        public: true,
        ..route(RouteKind::Idempotent, 1, false)
    };
    let (node, script, _) = daemon(open, workspaces(&["a"])).await;
    assert_eq!(serve(&node, ask("r1")).await, CallerResult::Complete(200));
    assert_eq!(
        serve(&node, keyed("r2", "guess")).await,
        CallerResult::Complete(200)
    );
    let seen = script.sent.lock().unwrap().clone();
    assert!(seen.iter().all(|s| s.options.workspace.is_none()));
}

/// Guards against keys that go on working after they were taken back.
#[tokio::test]
async fn serve_key_taken_back() {
    let (node, _, world) = daemon(
        route(RouteKind::Idempotent, 1, false),
        workspaces(&["a", "b"]),
    )
    .await;
    assert_eq!(
        serve(&node, keyed("r1", "key of b")).await,
        CallerResult::Complete(200)
    );
    world.publish(with(&world.config, 2, workspaces(&["a"])));
    until_in_force(&node, 2).await;
    assert_eq!(
        serve(&node, keyed("r2", "key of b")).await,
        CallerResult::UnknownKey
    );
    assert_eq!(
        serve(&node, keyed("r3", "key of a")).await,
        CallerResult::Complete(200)
    );
}

/// Guards against a request that is sent once more after its key was taken back
/// while it waited.
#[tokio::test]
async fn serve_key_taken_back_while_it_waits() {
    let (node, script, world) = daemon(
        route(RouteKind::Idempotent, 2, false),
        workspaces(&["a", "b"]),
    )
    .await;
    let full = Behavior::Refuse(comfreyhall_domain::Refusal::Full);
    *script.default_behavior.lock().unwrap() = Some(full);
    let waits = tokio::spawn({
        let node = node.clone();
        async move { serve(&node, keyed("r1", "key of b")).await }
    });
    while script.sent.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    world.publish(with(&world.config, 2, workspaces(&["a"])));
    until_in_force(&node, 2).await;
    let sends = script.sent.lock().unwrap().len();
    assert_eq!(waits.await.unwrap(), CallerResult::UnknownKey);
    assert!(script.sent.lock().unwrap().len() <= sends + 1);
}

/// Guards against a final refusal of a key that was given out a moment ago: a
/// daemon that cannot read the settings does not know of it.
#[tokio::test]
async fn serve_unknown_key_of_lagging_daemon_may_return() {
    let (node, _, world) = daemon(route(RouteKind::Idempotent, 1, false), workspaces(&["a"])).await;
    world.unavailable.store(true, Ordering::SeqCst);
    let mut told = serve(&node, keyed("r0", "key of new")).await;
    for round in 1..200 {
        if told == CallerResult::NotRun {
            break;
        }
        assert_eq!(told, CallerResult::UnknownKey);
        tokio::time::sleep(Duration::from_millis(50)).await;
        told = serve(&node, keyed(&format!("r{round}"), "key of new")).await;
    }
    assert_eq!(told, CallerResult::NotRun);
    // What was known goes on.
    assert_eq!(
        serve(&node, keyed("last", "key of a")).await,
        CallerResult::Complete(200)
    );
}

/// Guards against keys that count for good at a daemon that nobody can tell of
/// their withdrawal, where the deployment says that they must not.
#[tokio::test]
async fn serve_keys_lapse_without_store() {
    let route = route(RouteKind::Idempotent, 1, false);
    let (node, script, world) = daemon_with(route, workspaces(&["a"]), Some(300)).await;
    world.unavailable.store(true, Ordering::SeqCst);
    let mut told = CallerResult::Complete(200);
    for round in 0..200 {
        told = serve(&node, keyed(&format!("r{round}"), "key of a")).await;
        if told == CallerResult::NotRun {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(told, CallerResult::NotRun);
    let sends = script.sent.lock().unwrap().len();
    assert_eq!(
        serve(&node, keyed("last", "key of a")).await,
        CallerResult::NotRun
    );
    assert_eq!(script.sent.lock().unwrap().len(), sends);
}

/// A workspace with a cap of `rate` requests a second and as many at once.
fn capped(rate: f64) -> Workspaces {
    let a = WorkspaceEntry {
        unit: RawUnit::Requests,
        rate: RawNumber::Number(rate),
        burst: RawNumber::Number(rate),
        ..entry("a")
    };
    read_entries(hasher(), vec![a, entry("b")]).0
}

/// Guards against a workspace that uses more than its cap, and against one over
/// its cap that costs the others.
#[tokio::test]
async fn serve_over_cap_is_refused() {
    let (node, script, _) = daemon(route(RouteKind::Idempotent, 1, false), capped(5.0)).await;
    // The burst is there one second after the daemon knows who there is.
    let mut answered = 0;
    while answered == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let got = serve(&node, keyed("first", "key of a")).await;
        answered = usize::from(got == CallerResult::Complete(200));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let began = tokio::time::Instant::now();
    let mut told = Vec::new();
    for round in 0..60 {
        told.push(serve(&node, keyed(&format!("r{round}"), "key of a")).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let ran = told
        .iter()
        .filter(|t| **t == CallerResult::Complete(200))
        .count();
    let refused = told.iter().filter(|t| **t == CallerResult::OverCap).count();
    assert_eq!(ran + refused, told.len(), "{told:?}");
    let passed = began.elapsed().as_secs_f64();
    // What may lie unused: the burst, and half of what is tolerated.
    let most = 5.0 + 5.0 * passed + 0.5 * 0.1 * 45.0;
    assert!(ran as f64 <= most + 1.0, "{ran} in {passed} s");
    assert!(refused > 0);
    assert_eq!(
        serve(&node, keyed("other", "key of b")).await,
        CallerResult::Complete(200)
    );
    assert!(script.sent.lock().unwrap().len() < told.len());
}

/// Guards against credit that is lost with requests that did not run.
#[tokio::test]
async fn serve_refused_by_targets_keeps_credit() {
    let (node, script, _) = daemon(route(RouteKind::Idempotent, 1, false), capped(3.0)).await;
    while serve(&node, keyed("first", "key of a")).await != CallerResult::Complete(200) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    *script.default_behavior.lock().unwrap() =
        Some(Behavior::Refuse(comfreyhall_domain::Refusal::Other));
    for round in 0..40 {
        let told = serve(&node, keyed(&format!("r{round}"), "key of a")).await;
        assert_eq!(told, CallerResult::NotRun, "round {round}");
    }
}
