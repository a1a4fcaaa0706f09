//! Requests that wait for an adapter.

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
    let acts = vec![Behavior::Stream(vec![1], true)];
    let (node, script, _) = start_node_with(route, Some(engine()), acts).await;
    script.finish_loads.store(true, Ordering::SeqCst);
    let got = caller_result(node.serve(adapter_ask("q")).await).await;
    assert_eq!(got, CallerResult::Stream(vec![1], true));
    let orders = script.commands.lock().unwrap();
    assert!(
        orders
            .iter()
            .all(|o| o.expected_sequence == 0 || o.expected_sequence == 1)
    );
    assert_eq!(orders[0].adapter.adapter.as_deref(), Some("a1"));
}

/// Symptom: a target got new work 2.2 s after it had said that it leaves.
/// Events: a request waits seconds for its adapter; its target says that it
/// leaves; the load ends; the request is sent there. Cause: the target was
/// not looked at again after the wait.
#[tokio::test]
async fn serve_target_left_while_waiting() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    let (node, script, world) = start_node_with(long, Some(engine()), Vec::new()).await;
    *script.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let call = tokio::spawn(async move { caller_result(node.serve(adapter_ask("q")).await).await });
    while script.commands.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Both say that they leave: the request must go to neither.
    *world.draining.lock().unwrap() = vec!["a".into(), "b".into()];
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    script.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::NotRun);
    assert!(script.sent.lock().unwrap().is_empty());
}

/// Symptom: for ten seconds the engines of a fleet of 60 loaded 12 adapters a
/// second in place of 110. Events: engines leave some orders unanswered and
/// carry them out seconds later. Cause: after each the engine was asked for a
/// report, which is waited for a quarter of a second, before the next order.
#[tokio::test]
async fn serve_unanswered_order_given_again() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let acts = vec![Behavior::Stream(vec![1], true)];
    let (node, script, _) = start_node_with(long, Some(engine()), acts).await;
    script.finish_loads.store(true, Ordering::SeqCst);
    // Their first reports are no part of this.
    while script.report_count.load(Ordering::SeqCst) < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    script.unanswered_commands.store(2, Ordering::SeqCst);
    let got = caller_result(node.serve(adapter_ask("q")).await).await;
    assert_eq!(got, CallerResult::Stream(vec![1], true));
    let orders = script.commands.lock().unwrap();
    let expected: Vec<u64> = orders.iter().map(|o| o.expected_sequence).collect();
    // The third is accepted; the one after it looks whether the load is done.
    assert_eq!(expected[..4], [0, 0, 0, 1], "{orders:?}");
    assert_eq!(script.report_count.load(Ordering::SeqCst), 2);
}

/// Targets that were ordered to load `adapter`.
fn loaders(script: &ScriptedBackend, adapter: &str) -> Vec<comfreyhall_domain::Name> {
    let orders = script.commands.lock().unwrap();
    let ordered = script.command_targets.lock().unwrap();
    let of =
        |o: &Command| o.action == Action::Load && o.adapter.adapter.as_deref() == Some(adapter);
    let both = orders.iter().zip(ordered.iter());
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

/// Symptom: engines loaded half as many adapters again as were used, and
/// places stood idle meanwhile. Events: a load begins late, its request stops
/// waiting for a place, and asks another engine for the same adapter. Cause:
/// the wait for a place and the wait for a load had one limit.
#[tokio::test]
async fn serve_load_outlasts_wait_for_place() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 4_000;
    let (node, script, _) = start_node_with(long, Some(engine()), Vec::new()).await;
    *script.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let call =
        tokio::spawn(async move { caller_result(node.serve(ask_for("q", "a1")).await).await });
    while script.commands.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    script.finish_loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), CallerResult::Stream(vec![1], true));
    assert_eq!(loaders(&script, "a1").len(), 1);
}

/// Symptom: requests waited 200 ms at an engine whose places were all in use,
/// were turned away, and waited at the next, while places fell free elsewhere.
/// Events: both engines have one place, in use; the run at one of them ends.
/// Cause: a request waited at the engine it had chosen.
#[tokio::test]
async fn serve_takes_place_that_falls_free() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 8_000;
    long.objective_ms = 8_000;
    let acts = vec![
        Behavior::Hang,
        Behavior::Hang,
        Behavior::Stream(vec![1], true),
    ];
    let (node, script, _) = start_node_with(long, Some(engine()), acts).await;
    script.finish_loads.store(true, Ordering::SeqCst);
    let mut held = Vec::new();
    for (i, adapter) in ["x", "y"].into_iter().enumerate() {
        let node = node.clone();
        held.push(tokio::spawn(async move {
            caller_result(node.serve(ask_for(adapter, adapter)).await).await
        }));
        while script.sent.lock().unwrap().len() <= i {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let free = script.sent.lock().unwrap()[1].target.clone();
    let waiting = {
        let node = node.clone();
        tokio::spawn(async move { caller_result(node.serve(ask_for("z", "z")).await).await })
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    held[1].abort();
    assert_eq!(waiting.await.unwrap(), CallerResult::Stream(vec![1], true));
    assert_eq!(loaders(&script, "z"), [free]);
    held[0].abort();
}
