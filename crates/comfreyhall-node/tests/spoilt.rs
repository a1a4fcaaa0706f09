//! Streams of which a target spoils an event.

mod support;

use comfreyhall_domain::RouteKind;
use comfreyhall_node::ports::EndCause;
use support::*;

/// Guards against an event that comes twice: one byte of it is spoilt, it goes on to the caller
/// all the same, and the stream is resumed before it.
#[tokio::test]
async fn serve_spoilt_event_comes_once() {
    let behaviors = vec![
        Behavior::SpoiltStream(vec![1, 2, 3, 4, 5], 2),
        Behavior::Stream(vec![3, 4, 5], true),
    ];
    let (node, backend) = start_node(route(RouteKind::Stream, 2, true), behaviors).await;
    let result = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4, 5], true));
    let sent = backend.sent.lock().unwrap();
    let resumed: Vec<Option<u64>> = sent.iter().map(|s| s.options.last_event).collect();
    assert_eq!(resumed, [None, Some(2)]);
    assert_eq!(answers_ended(&node, EndCause::Broken), 1);
}

/// Guards against a last event that is spoilt and ends a stream as if it were whole.
#[tokio::test]
async fn serve_spoilt_last_event_is_resumed() {
    let behaviors = vec![
        Behavior::SpoiltStream(vec![1, 2, 3], 2),
        Behavior::Stream(vec![3], true),
    ];
    let (node, _) = start_node(route(RouteKind::Stream, 2, true), behaviors).await;
    let result = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
}

/// Guards against a spoilt stream that looks complete where it may run only once: its caller
/// has to learn that it is not.
#[tokio::test]
async fn serve_spoilt_stream_that_runs_once_is_aborted() {
    let behaviors = vec![Behavior::SpoiltStream(vec![1, 2, 3], 1)];
    let (node, _) = start_node(route(RouteKind::Stream, 1, false), behaviors).await;
    let result = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1], false));
}

/// Guards against an event that comes again and goes on to the caller, or ends its stream.
#[tokio::test]
async fn serve_repeated_event_comes_once() {
    let behaviors = vec![Behavior::Stream(vec![1, 2, 2, 3], true)];
    let (node, _) = start_node(route(RouteKind::Stream, 1, false), behaviors).await;
    let result = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3], true));
}
