//! What a caller gets, for each way in which a send can end.

mod support;

use comfreyhall_domain::{Refusal, RouteKind};
use support::*;

async fn serve(
    kind: RouteKind,
    attempts: u32,
    resumable: bool,
    behaviors: Vec<Behavior>,
) -> (CallerResult, usize) {
    let (node, backend) = start_node(route(kind, attempts, resumable), behaviors).await;
    let reply = node.serve(ask("q")).await;
    let result = caller_result(reply).await;
    let sends = backend.sent.lock().unwrap().len();
    (result, sends)
}

#[tokio::test]
async fn serve_answer_is_passed_on() {
    let behaviors = vec![Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, behaviors).await,
        (CallerResult::Complete(200), 1)
    );
}

/// Guards against an enquiry that reaches its seller twice: when the answer to
/// the first send is lost, a request that runs at most once must neither be
/// sent again nor be reported as not run.
#[tokio::test]
async fn serve_unsafe_lost_answer_is_unknown() {
    let behaviors = vec![Behavior::LoseAnswer, Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 2, false, behaviors).await,
        (CallerResult::Unknown, 1)
    );
}

#[tokio::test]
async fn serve_unsafe_unreachable_is_retried() {
    let behaviors = vec![Behavior::Unreachable, Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, behaviors).await,
        (CallerResult::Complete(200), 2)
    );
}

#[tokio::test]
async fn serve_unsafe_refused_is_retried() {
    let behaviors = vec![Behavior::Refuse(Refusal::Full), Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 2, false, behaviors).await,
        (CallerResult::Complete(200), 2)
    );
}

/// Guards against a fifth of the shared retry budget going to engines that are
/// full, so that requests which a retry would have saved get none: while an
/// adapter is being replaced its engine refuses requests, and one that may go
/// nowhere else was sent there every 7 ms.
#[tokio::test]
async fn serve_full_target_is_retried_slowly() {
    let behaviors = (0..20).map(|_| Behavior::Refuse(Refusal::Full)).collect();
    let (result, sends) = serve(RouteKind::NonIdempotent, 1, false, behaviors).await;
    assert_eq!(result, CallerResult::NotRun);
    assert!(sends <= 3, "{sends} sends");
}

#[tokio::test]
async fn serve_safe_error_is_retried_elsewhere() {
    let behaviors = vec![Behavior::Answer(500, 0), Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::Idempotent, 2, false, behaviors).await,
        (CallerResult::Complete(200), 2)
    );
}

#[tokio::test]
async fn serve_safe_last_error_is_passed_on() {
    let behaviors = vec![Behavior::Answer(500, 0), Behavior::Answer(500, 0)];
    assert_eq!(
        serve(RouteKind::Idempotent, 2, false, behaviors).await,
        (CallerResult::Complete(500), 2)
    );
}

/// Guards against a request that runs twice because its caller got the answer that it
/// had not run: a target fails with a status that promises "not run" but
/// without the proof, and the status must not be passed on.
#[tokio::test]
async fn serve_unproven_not_run_is_unknown() {
    for status in [429, 503, 408] {
        let behaviors = vec![Behavior::UnprovenFailure(status)];
        assert_eq!(
            serve(RouteKind::NonIdempotent, 1, false, behaviors).await,
            (CallerResult::Unknown, 1)
        );
    }
}

/// Guards against a caller that receives bytes which no target sent as an
/// answer: a faulty target returns a success without the marker.
#[tokio::test]
async fn serve_unverified_success_is_unknown() {
    let behaviors = vec![Behavior::UnverifiedSuccess];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, behaviors).await,
        (CallerResult::Unknown, 1)
    );
}

#[tokio::test]
async fn serve_stream_is_passed_on() {
    let behaviors = vec![Behavior::Stream(vec![1, 2, 3], true)];
    let result = serve(RouteKind::Stream, 1, false, behaviors).await;
    assert_eq!(result, (CallerResult::Stream(vec![1, 2, 3], true), 1));
}

/// Guards against a caller's session that is cut midway: a target stops in the
/// middle of an event, and the rest has to come from another one.
#[tokio::test]
async fn serve_stream_resumed_elsewhere() {
    let behaviors = vec![
        Behavior::Stream(vec![1, 2], false),
        Behavior::Stream(vec![3, 4], true),
    ];
    let (node, backend) = start_node(route(RouteKind::Stream, 2, true), behaviors).await;
    let result = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(result, CallerResult::Stream(vec![1, 2, 3, 4], true));
    let seen = backend.sent.lock().unwrap();
    assert_eq!(seen[1].options.last_event, Some(2));
    assert_ne!(seen[0].target, seen[1].target);
}

/// Guards against a stream in which two runs are joined, or which looks
/// complete although it is not: a stream that may not be resumed must be
/// aborted.
#[tokio::test]
async fn serve_stream_not_resumable_is_aborted() {
    let behaviors = vec![Behavior::Stream(vec![1, 2], false)];
    let result = serve(RouteKind::Stream, 2, false, behaviors).await;
    assert_eq!(result, (CallerResult::Stream(vec![1, 2], false), 1));
}

/// Guards against a gap in the middle of a caller's stream: the target that
/// resumes it begins one event too late, which the event ids show.
#[tokio::test]
async fn serve_stream_gap_is_aborted() {
    let behaviors = vec![
        Behavior::Stream(vec![1, 2], false),
        Behavior::Stream(vec![4, 5], true),
    ];
    let result = serve(RouteKind::Stream, 2, true, behaviors).await;
    assert_eq!(result, (CallerResult::Stream(vec![1, 2], false), 2));
}

#[tokio::test]
async fn serve_hung_target_times_out() {
    let behaviors = vec![Behavior::Hang];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, behaviors).await,
        (CallerResult::TimedOut, 1)
    );
}

/// Guards against a target that fails because it is sent requests as fast as it
/// rejects them, though it says how few rejections it tolerates.
#[tokio::test]
async fn serve_brittle_targets_get_few_rejections() {
    let (node, backend) = start_node(route(RouteKind::Idempotent, 2, false), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::RefuseBrittle(1.0));
    let began = std::time::Instant::now();
    let mut calls = 0;
    while began.elapsed() < std::time::Duration::from_secs(4) {
        let mut request = ask(&format!("r{calls}"));
        request.remaining_ms = Some(300);
        assert_eq!(
            caller_result(node.serve(request).await).await,
            CallerResult::NotRun
        );
        calls += 1;
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // Two targets that tolerate one rejection a second each.
    let sent = backend.sent.lock().unwrap().len();
    assert!((2..=8).contains(&sent), "{sent} sends of {calls} requests");
}

/// Guards against many rejections in the first moment: requests that are on their way
/// when a target first says how few it tolerates are not bounded.
#[tokio::test]
async fn serve_brittle_targets_first_moment() {
    let (node, backend) = start_node(route(RouteKind::Idempotent, 2, false), Vec::new()).await;
    *backend.default_behavior.lock().unwrap() = Some(Behavior::RefuseBrittle(5.0));
    let request = |i: usize| caller_result_of(node.clone(), ask(&format!("r{i}")));
    futures::future::join_all((0..60).map(request)).await;
    // Two targets that tolerate five rejections a second each.
    let sent = backend.sent.lock().unwrap().len();
    assert!(sent <= 10, "{sent} rejections at once");
}

async fn caller_result_of(
    node: std::sync::Arc<comfreyhall_node::Node>,
    request: comfreyhall_domain::ClientRequest,
) -> CallerResult {
    caller_result(node.serve(request).await).await
}
