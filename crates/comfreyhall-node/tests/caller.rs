//! Callers: keys, their revocation, quotas, and the workspace passed to
//! targets.

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

/// The same; keys expire `revoke_ms` after the last answer of the store.
async fn daemon_with(
    route: Route,
    workspaces: Workspaces,
    revoke_ms: Option<u64>,
) -> (Arc<Node>, Arc<ScriptedBackend>, Arc<ScriptedSource>) {
    let mut source = scripted_source(route, None);
    let plain = Arc::get_mut(&mut source).unwrap();
    plain.config = with(&plain.config, 1, workspaces);
    let backend = Arc::new(ScriptedBackend::default());
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 0));
    let mut settings = settings_of("n", "127.0.0.1:1", &[], 0.25);
    settings.bounds.revoke_ms = revoke_ms;
    let node = Node::new(settings, source.clone(), backend.clone());
    comfreyhall_node::spawn(&node, FakeTable::default());
    while !node.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (node, backend, source)
}

async fn serve(node: &Arc<Node>, ask: ClientRequest) -> CallerResult {
    caller_result(node.serve(ask).await).await
}

/// Waits until `version` is active.
async fn until_active(node: &Node, version: u64) {
    while node.config().is_none_or(|c| c.version < version) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against targets that do not receive the workspace of the caller's
/// key.
#[tokio::test]
async fn serve_passes_workspace_of_key() {
    let (node, backend, _) = daemon(
        route(RouteKind::Idempotent, 1, false),
        workspaces(&["a", "b"]),
    )
    .await;
    assert_eq!(
        serve(&node, keyed("r1", "key of b")).await,
        CallerResult::Complete(200)
    );
    let seen = backend.sent.lock().unwrap()[0].clone();
    assert_eq!(seen.options.workspace.as_deref(), Some("b"));
}

/// Guards against callers that are served without a key, or with an unknown
/// one.
#[tokio::test]
async fn serve_unknown_key_is_final() {
    let (node, backend, _) =
        daemon(route(RouteKind::Idempotent, 1, false), workspaces(&["a"])).await;
    assert_eq!(
        serve(&node, keyed("r1", "guess")).await,
        CallerResult::UnknownKey
    );
    assert_eq!(serve(&node, ask("r2")).await, CallerResult::UnknownKey);
    assert!(backend.sent.lock().unwrap().is_empty());
}

#[tokio::test]
async fn serve_public_route_needs_no_key() {
    let open = Route {
        public: true,
        ..route(RouteKind::Idempotent, 1, false)
    };
    let (node, backend, _) = daemon(open, workspaces(&["a"])).await;
    assert_eq!(serve(&node, ask("r1")).await, CallerResult::Complete(200));
    assert_eq!(
        serve(&node, keyed("r2", "guess")).await,
        CallerResult::Complete(200)
    );
    let seen = backend.sent.lock().unwrap().clone();
    assert!(seen.iter().all(|s| s.options.workspace.is_none()));
}

/// Guards against keys that go on working after their revocation.
#[tokio::test]
async fn serve_revoked_key_is_refused() {
    let (node, _, source) = daemon(
        route(RouteKind::Idempotent, 1, false),
        workspaces(&["a", "b"]),
    )
    .await;
    assert_eq!(
        serve(&node, keyed("r1", "key of b")).await,
        CallerResult::Complete(200)
    );
    source.publish(with(&source.config, 2, workspaces(&["a"])));
    until_active(&node, 2).await;
    assert_eq!(
        serve(&node, keyed("r2", "key of b")).await,
        CallerResult::UnknownKey
    );
    assert_eq!(
        serve(&node, keyed("r3", "key of a")).await,
        CallerResult::Complete(200)
    );
}

/// Guards against a request that is sent once more although its key was revoked
/// while it waited.
#[tokio::test]
async fn serve_key_revoked_while_waiting() {
    let (node, backend, source) = daemon(
        route(RouteKind::Idempotent, 2, false),
        workspaces(&["a", "b"]),
    )
    .await;
    let full = Behavior::Refuse(comfreyhall_domain::Refusal::Full);
    *backend.default_behavior.lock().unwrap() = Some(full);
    let waits = tokio::spawn({
        let node = node.clone();
        async move { serve(&node, keyed("r1", "key of b")).await }
    });
    while backend.sent.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    source.publish(with(&source.config, 2, workspaces(&["a"])));
    until_active(&node, 2).await;
    let sends = backend.sent.lock().unwrap().len();
    assert_eq!(waits.await.unwrap(), CallerResult::UnknownKey);
    assert!(backend.sent.lock().unwrap().len() <= sends + 1);
}

/// Guards against a final refusal of a key that was issued a moment ago: a
/// daemon that cannot read the settings does not know it yet.
#[tokio::test]
async fn serve_unknown_key_with_stale_settings_may_retry() {
    let (node, _, source) =
        daemon(route(RouteKind::Idempotent, 1, false), workspaces(&["a"])).await;
    source.unavailable.store(true, Ordering::SeqCst);
    let mut result = serve(&node, keyed("r0", "key of new")).await;
    for round in 1..200 {
        if result == CallerResult::NotRun {
            break;
        }
        assert_eq!(result, CallerResult::UnknownKey);
        tokio::time::sleep(Duration::from_millis(50)).await;
        result = serve(&node, keyed(&format!("r{round}"), "key of new")).await;
    }
    assert_eq!(result, CallerResult::NotRun);
    // Known keys still work.
    assert_eq!(
        serve(&node, keyed("last", "key of a")).await,
        CallerResult::Complete(200)
    );
}

/// Guards against keys that stay valid permanently at a daemon that cannot learn
/// of their revocation, if the deployment sets a limit.
#[tokio::test]
async fn serve_keys_expire_without_store() {
    let route = route(RouteKind::Idempotent, 1, false);
    let (node, backend, source) = daemon_with(route, workspaces(&["a"]), Some(300)).await;
    source.unavailable.store(true, Ordering::SeqCst);
    let mut result = CallerResult::Complete(200);
    for round in 0..200 {
        result = serve(&node, keyed(&format!("r{round}"), "key of a")).await;
        if result == CallerResult::NotRun {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(result, CallerResult::NotRun);
    let sends = backend.sent.lock().unwrap().len();
    assert_eq!(
        serve(&node, keyed("last", "key of a")).await,
        CallerResult::NotRun
    );
    assert_eq!(backend.sent.lock().unwrap().len(), sends);
}

/// A workspace with a quota of `rate` requests a second and a burst of as many.
fn with_quota(rate: f64) -> Workspaces {
    let a = WorkspaceEntry {
        unit: RawUnit::Requests,
        rate: RawNumber::Number(rate),
        burst: RawNumber::Number(rate),
        ..entry("a")
    };
    read_entries(hasher(), vec![a, entry("b")]).0
}

/// Guards against a workspace that exceeds its quota, and against one over its
/// quota that costs the others.
#[tokio::test]
async fn serve_over_quota_is_refused() {
    let (node, backend, _) = daemon(route(RouteKind::Idempotent, 1, false), with_quota(5.0)).await;
    // The burst is available one second after the daemon knows its peers.
    let mut answered = 0;
    while answered == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let result = serve(&node, keyed("first", "key of a")).await;
        answered = usize::from(result == CallerResult::Complete(200));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let began = tokio::time::Instant::now();
    let mut results = Vec::new();
    for round in 0..60 {
        results.push(serve(&node, keyed(&format!("r{round}"), "key of a")).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let ran = results
        .iter()
        .filter(|t| **t == CallerResult::Complete(200))
        .count();
    let refused = results
        .iter()
        .filter(|t| **t == CallerResult::OverCap)
        .count();
    assert_eq!(ran + refused, results.len(), "{results:?}");
    let elapsed = began.elapsed().as_secs_f64();
    // Credit that may lie unused: the burst, and half of the tolerated overshoot.
    let max_runs = 5.0 + 5.0 * elapsed + 0.5 * 0.1 * 45.0;
    assert!(ran as f64 <= max_runs + 1.0, "{ran} in {elapsed} s");
    assert!(refused > 0);
    assert_eq!(
        serve(&node, keyed("other", "key of b")).await,
        CallerResult::Complete(200)
    );
    assert!(backend.sent.lock().unwrap().len() < results.len());
}

/// Guards against credit that is lost with requests that did not run.
#[tokio::test]
async fn serve_refused_by_targets_returns_credit() {
    let (node, backend, _) = daemon(route(RouteKind::Idempotent, 1, false), with_quota(3.0)).await;
    while serve(&node, keyed("first", "key of a")).await != CallerResult::Complete(200) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    *backend.default_behavior.lock().unwrap() =
        Some(Behavior::Refuse(comfreyhall_domain::Refusal::Other));
    for round in 0..40 {
        let result = serve(&node, keyed(&format!("r{round}"), "key of a")).await;
        assert_eq!(result, CallerResult::NotRun, "round {round}");
    }
}
