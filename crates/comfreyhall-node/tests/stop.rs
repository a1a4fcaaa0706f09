//! Planned stops.

mod support;

use std::time::Duration;

use comfreyhall_domain::RouteKind;
use comfreyhall_node::drain;
use support::*;

/// Symptom: a caller's connection closed without an answer in the last
/// instant of a planned stop. Events: nothing is in progress, the process
/// waits for its last bytes to leave, a request comes in and is passed on,
/// the process ends. Cause: requests were taken until the very end.
#[tokio::test]
async fn leave_refuses_before_it_ends() {
    let (node, script) = start_node(route(RouteKind::Idempotent, 1, false), Vec::new()).await;
    *script.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 400));
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

/// Symptom: a stream was cut by a planned stop though it began seconds after
/// the signal. Events: a caller with an old address answer sends a stream
/// that may last longer than the stop. Cause: it was taken.
#[tokio::test]
async fn leave_takes_no_late_stream() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 15_000;
    let (node, script) = start_node(long, Vec::new()).await;
    *script.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
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
