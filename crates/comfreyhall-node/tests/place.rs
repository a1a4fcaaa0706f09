//! Requests that wait for an adapter to be loaded.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_domain::{AdapterRef, RouteKind};
use comfreyhall_node::ports::{Action, Command};
use support::*;

fn adapter_ask(id: &str) -> comfreyhall_domain::ClientRequest {
    let mut ask = ask(id);
    ask.adapter = Some(AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    });
    ask.remaining_ms = Some(8_000);
    ask
}

#[tokio::test]
async fn serve_loads_adapter_first() {
    let route = route(RouteKind::Stream, 1, false);
    let behaviors = vec![Behavior::Stream(vec![1], true)];
    let (node, backend, _) = start_node_with(route, Some(engine()), behaviors).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    let result = caller_result(node.serve(adapter_ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1], true));
    let commands = backend.commands.lock().unwrap();
    assert!(
        commands
            .iter()
            .all(|o| o.expected_sequence == 0 || o.expected_sequence == 1)
    );
    assert_eq!(commands[0].adapter.adapter.as_deref(), Some("a1"));
}

/// Guards against a target that gets new work 2.2 s after it began to drain: it
/// announces that while a request waits seconds for its adapter, so the target
/// has to be checked again after the load.
#[tokio::test]
async fn serve_target_drains_while_waiting() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    let (node, backend, source) = start_node_with(long, Some(engine()), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let call = tokio::spawn(async move { caller_result(node.serve(adapter_ask("q")).await).await });
    while backend.commands.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Both are draining: the request must go to neither.
    *source.draining.lock().unwrap() = vec!["a".into(), "b".into()];
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::NotRun);
    assert!(backend.sent.lock().unwrap().is_empty());
}

/// A configuration whose route leads to the service `t`.
fn moved(config: &comfreyhall_domain::Config) -> comfreyhall_domain::Config {
    let mut moved = config.clone();
    moved.version = 2;
    moved.routes[0].shares[0].service = "t".into();
    let mut service = moved.services["s"].clone();
    service.name = "t".into();
    service.engine = None;
    moved.services.insert("t".into(), service);
    moved
}

/// A daemon with the plain target `c` of service `t`, on which a request waits for
/// its adapter at the engines of service `s`.
async fn start_with_waiting_request() -> (
    tokio::task::JoinHandle<CallerResult>,
    std::sync::Arc<ScriptedBackend>,
    std::sync::Arc<ScriptedSource>,
) {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let other = comfreyhall_domain::Target {
        service: "t".into(),
        ..target("c")
    };
    let targets = vec![other];
    let (node, backend, source) = start_node_among(long, Some(engine()), Vec::new(), targets).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let waiting = node.clone();
    let call =
        tokio::spawn(async move { caller_result(waiting.serve(adapter_ask("q")).await).await });
    while backend.commands.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (call, backend, source)
}

/// Guards against a request that waits for its adapter and then runs by the
/// configuration in which it came, though a newer one has moved its route.
#[tokio::test]
async fn serve_waiting_request_follows_moved_route() {
    let (call, backend, source) = start_with_waiting_request().await;
    source.publish(moved(&source.config));
    tokio::time::sleep(Duration::from_millis(100)).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::Stream(vec![1], true));
    let sent = backend.sent.lock().unwrap();
    let targets: Vec<&str> = sent.iter().map(|s| &*s.target).collect();
    assert_eq!(targets, ["c"]);
}

/// Guards against a request that runs on a route that was dropped while it waited.
#[tokio::test]
async fn serve_waiting_request_of_dropped_route() {
    let (call, backend, source) = start_with_waiting_request().await;
    let mut dropped = source.config.clone();
    dropped.version = 2;
    dropped.routes.clear();
    source.publish(dropped);
    tokio::time::sleep(Duration::from_millis(100)).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::Other);
    assert!(backend.sent.lock().unwrap().is_empty());
}

/// Guards against a drop from 110 to 12 adapter loads a second, seen for ten
/// seconds in a fleet of 60 engines: engines leave some commands unanswered and
/// carry them out seconds later. Asking for a report after each one, with a
/// timeout of a quarter of a second, delayed the next command.
#[tokio::test]
async fn serve_unanswered_command_is_repeated() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let behaviors = vec![Behavior::Stream(vec![1], true)];
    let (node, backend, _) = start_node_with(long, Some(engine()), behaviors).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    // Their first reports do not count here.
    while backend.report_count.load(Ordering::SeqCst) < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    backend.unanswered_commands.store(2, Ordering::SeqCst);
    let result = caller_result(node.serve(adapter_ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1], true));
    let commands = backend.commands.lock().unwrap();
    let expected: Vec<u64> = commands.iter().map(|o| o.expected_sequence).collect();
    // The third is accepted; the one after it checks whether the load is done.
    assert_eq!(expected[..4], [0, 0, 0, 1], "{commands:?}");
    assert_eq!(backend.report_count.load(Ordering::SeqCst), 2);
}

/// Targets that were commanded to load `adapter`.
fn loaders(backend: &ScriptedBackend, adapter: &str) -> Vec<comfreyhall_domain::Name> {
    let commands = backend.commands.lock().unwrap();
    let targets = backend.command_targets.lock().unwrap();
    let of =
        |o: &Command| o.action == Action::Load && o.adapter.adapter.as_deref() == Some(adapter);
    let both = commands.iter().zip(targets.iter());
    let mut out: Vec<_> = both
        .filter(|(o, _)| of(o))
        .map(|(_, t)| t.clone())
        .collect();
    out.dedup();
    out
}

fn ask_for(id: &str, adapter: &str) -> comfreyhall_domain::ClientRequest {
    let mut ask = adapter_ask(id);
    ask.adapter.as_mut().unwrap().adapter = Some(adapter.into());
    ask
}

/// Guards against engines that load half as many adapters again as are used,
/// with idle slots meanwhile: when a load begins late, its request must not
/// stop waiting and ask another engine for the same adapter. So the wait for a
/// slot and the wait for a load have separate limits.
#[tokio::test]
async fn serve_load_outlasts_wait_for_slot() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let (node, backend, _) = start_node_with(long, Some(engine()), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let call =
        tokio::spawn(async move { caller_result(node.serve(ask_for("q", "a1")).await).await });
    while backend.commands.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::Stream(vec![1], true));
    assert_eq!(loaders(&backend, "a1").len(), 1);
}

/// Guards against requests that wait 200 ms at an engine without a free slot,
/// are rejected and wait at the next one while slots become free elsewhere.
/// Both engines have one slot, in use, and the run at one of them ends: the
/// request must not be tied to the engine that it chose first.
#[tokio::test]
async fn serve_takes_freed_slot() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 8_000;
    let behaviors = vec![
        Behavior::Hang,
        Behavior::Hang,
        Behavior::Stream(vec![1], true),
    ];
    let (node, backend, _) = start_node_with(long, Some(engine()), behaviors).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    let mut held = Vec::new();
    for (i, adapter) in ["x", "y"].into_iter().enumerate() {
        let node = node.clone();
        held.push(tokio::spawn(async move {
            caller_result(node.serve(ask_for(adapter, adapter)).await).await
        }));
        while backend.sent.lock().unwrap().len() <= i {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let free = backend.sent.lock().unwrap()[1].target.clone();
    let waiting = {
        let node = node.clone();
        tokio::spawn(async move { caller_result(node.serve(ask_for("z", "z")).await).await })
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    held[1].abort();
    assert_eq!(waiting.await.unwrap(), CallerResult::Stream(vec![1], true));
    assert_eq!(loaders(&backend, "z"), [free]);
    held[0].abort();
}

/// Guards against callers that are held for 250 ms in each group and rejected
/// in the end: with all slots in use by runs that have just begun, the holder
/// knows at once that none is free in time.
#[tokio::test]
async fn serve_no_slot_in_time_is_answered_at_once() {
    let behaviors = vec![Behavior::Hang, Behavior::Hang];
    let mut route = route(RouteKind::Stream, 1, false);
    // It would be held for as long as this.
    route.objective_ms = 1_000;
    let (node, backend, _) = start_node_with(route, Some(engine()), behaviors).await;
    backend.finish_loads.store(true, Ordering::SeqCst);
    let mut held = Vec::new();
    for (i, adapter) in ["x", "y"].into_iter().enumerate() {
        let node = node.clone();
        held.push(tokio::spawn(async move {
            caller_result(node.serve(ask_for(adapter, adapter)).await).await
        }));
        while backend.sent.lock().unwrap().len() <= i {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let began = std::time::Instant::now();
    let result = caller_result(node.serve(ask_for("z", "z")).await).await;
    assert_eq!(result, CallerResult::NotRun);
    let held_ms = began.elapsed().as_millis();
    assert!(held_ms < 700, "{held_ms}");
    assert!(loaders(&backend, "z").is_empty());
    held.iter().for_each(|h| h.abort());
}

/// Guards against an engine that is ordered to hold more adapters than it has
/// slots: the first command of each request gets no answer, and each may still
/// be carried out.
#[tokio::test]
async fn serve_silent_commands_never_overfill() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let (node, backend, _) = start_node_with(long, Some(engine()), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    backend.finish_loads.store(true, Ordering::SeqCst);
    for (i, adapter) in ["x", "y", "z", "x", "z", "y", "x"].into_iter().enumerate() {
        let sent = backend.commands.lock().unwrap().len();
        backend
            .unanswered_commands
            .store(sent + 1, Ordering::SeqCst);
        let call = node.serve(ask_for(&i.to_string(), adapter));
        caller_result(call.await).await;
    }
    let commands = backend.commands.lock().unwrap();
    let targets = backend.command_targets.lock().unwrap();
    let mut held: std::collections::BTreeMap<_, Vec<AdapterRef>> = Default::default();
    for (command, target) in commands.iter().zip(targets.iter()) {
        let adapters = held.entry(target.clone()).or_default();
        adapters.retain(|a| *a != command.adapter);
        if command.action == Action::Load {
            adapters.push(command.adapter.clone());
        }
        assert!(adapters.len() <= 1, "{target} was to hold {adapters:?}");
    }
    assert!(commands.len() > 7, "{commands:?}");
}
