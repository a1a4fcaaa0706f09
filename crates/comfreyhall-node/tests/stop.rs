//! Planned stops.

mod support;

use std::time::Duration;

use comfreyhall_domain::RouteKind;
use comfreyhall_node::{drain, ports::EndCause};
use support::*;

/// Guards against a connection that closes without an answer at the very end of
/// a planned stop: nothing is in progress and the process waits for its last
/// bytes to be sent, so a request accepted then would be lost when it exits.
#[tokio::test]
async fn leave_refuses_before_it_ends() {
    let (node, backend) = start_node(route(RouteKind::Idempotent, 1, false), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Answer(200, 400));
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

/// Guards against a stream that a planned stop cuts off although it began
/// seconds after the signal: a caller with an outdated address list sends a
/// stream that may outlast the stop, and it must be refused.
#[tokio::test]
async fn leave_refuses_late_stream() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 15_000;
    let (node, backend) = start_node(long, Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
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

/// Guards against an answer that the end of a planned stop cuts off and that is counted as
/// one whose caller left.
#[tokio::test]
async fn drain_end_is_no_caller_that_left() {
    let mut long = route(RouteKind::Stream, 1, false);
    long.timeout_ms = 15_000;
    let stream = Behavior::PausingStream(vec![1], 60_000, vec![2]);
    let (node, _) = start_node(long, vec![stream]).await;
    let mut settings = (*node.settings()).clone();
    settings.bounds.grace_s = 3.0;
    node.set_settings(settings);
    let mut long = ask("r");
    long.remaining_ms = Some(15_000);
    let reply = node.serve(long).await;
    drain(&node, || {}).await;
    drop(reply);
    assert_eq!(answers_ended(&node, EndCause::CallerLeft), 0);
    let metrics = node.metrics_text();
    assert!(metrics.contains("grace_ended"), "{metrics}");
}
