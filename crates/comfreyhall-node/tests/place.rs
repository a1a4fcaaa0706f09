//! Requests that wait for an adapter.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_domain::{AdapterRef, Kind};
use support::*;

fn adapter_ask(id: &str) -> comfreyhall_domain::Ask {
    let mut ask = ask(id);
    ask.adapter = Some(AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    });
    ask.left_ms = Some(8_000);
    ask
}

#[tokio::test]
async fn serve_loads_adapter_first() {
    let route = route(Kind::Stream, 1, false);
    let acts = vec![Act::Stream(vec![1], true)];
    let (node, script, _) = world(route, Some(engine()), acts).await;
    script.loads.store(true, Ordering::SeqCst);
    let got = got(node.serve(adapter_ask("q")).await).await;
    assert_eq!(got, Got::Stream(vec![1], true));
    let orders = script.orders.lock().unwrap();
    assert!(orders.iter().all(|o| o.expected == 0 || o.expected == 1));
    assert_eq!(orders[0].adapter.adapter.as_deref(), Some("a1"));
}

/// Symptom: a target got new work 2.2 s after it had said that it leaves.
/// Events: a request waits seconds for its adapter; its target says that it
/// leaves; the load ends; the request is sent there. Cause: the target was
/// not looked at again after the wait.
#[tokio::test]
async fn serve_target_left_while_waiting() {
    let mut long = route(Kind::Stream, 1, false);
    long.timeout_ms = 8_000;
    let (node, script, world) = world(long, Some(engine()), Vec::new()).await;
    *script.always.lock().unwrap() = Some(Act::Stream(vec![1], true));
    let call = tokio::spawn(async move { got(node.serve(adapter_ask("q")).await).await });
    while script.orders.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Both say that they leave: the request must go to neither.
    *world.leaving.lock().unwrap() = vec!["a".into(), "b".into()];
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    script.loads.store(true, Ordering::SeqCst);
    assert_eq!(call.await.unwrap(), Got::NotRun);
    assert!(script.seen.lock().unwrap().is_empty());
}
