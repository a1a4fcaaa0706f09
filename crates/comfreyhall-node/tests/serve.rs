//! What a caller gets, for every way a send can end.

mod support;

use comfreyhall_domain::{Refusal, RouteKind};
use support::*;

async fn serve(
    kind: RouteKind,
    attempts: u32,
    resumable: bool,
    acts: Vec<Behavior>,
) -> (CallerResult, usize) {
    let (node, script) = start_node(route(kind, attempts, resumable), acts).await;
    let reply = node.serve(ask("q")).await;
    let got = caller_result(reply).await;
    let sends = script.sent.lock().unwrap().len();
    (got, sends)
}

#[tokio::test]
async fn serve_answer_passes() {
    let acts = vec![Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, acts).await,
        (CallerResult::Complete(200), 1)
    );
}

/// Symptom: an enquiry reached its seller twice. Events: the answer to the
/// first send is lost. Cause: a request that runs at most once was sent
/// again, or its caller was told that it had not run.
#[tokio::test]
async fn serve_unsafe_in_doubt_is_unknown() {
    let acts = vec![Behavior::LoseAnswer, Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 2, false, acts).await,
        (CallerResult::Unknown, 1)
    );
}

#[tokio::test]
async fn serve_unsafe_unreached_goes_on() {
    let acts = vec![Behavior::Unreachable, Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, acts).await,
        (CallerResult::Complete(200), 2)
    );
}

#[tokio::test]
async fn serve_unsafe_refused_goes_on() {
    let acts = vec![Behavior::Refuse(Refusal::Full), Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 2, false, acts).await,
        (CallerResult::Complete(200), 2)
    );
}

/// Symptom: a fifth of the repeats that all share went to engines that were
/// full, and requests that a repeat would have saved got none. Events: an
/// adapter is being replaced and its engine refuses what comes meanwhile.
/// Cause: a request that may go nowhere else was sent there every 7 ms.
#[tokio::test]
async fn serve_full_target_not_hammered() {
    let acts = (0..20).map(|_| Behavior::Refuse(Refusal::Full)).collect();
    let (got, sends) = serve(RouteKind::NonIdempotent, 1, false, acts).await;
    assert_eq!(got, CallerResult::NotRun);
    assert!(sends <= 3, "{sends} sends");
}

#[tokio::test]
async fn serve_safe_error_tried_elsewhere() {
    let acts = vec![Behavior::Answer(500, 0), Behavior::Answer(200, 0)];
    assert_eq!(
        serve(RouteKind::Idempotent, 2, false, acts).await,
        (CallerResult::Complete(200), 2)
    );
}

#[tokio::test]
async fn serve_safe_last_error_passes() {
    let acts = vec![Behavior::Answer(500, 0), Behavior::Answer(500, 0)];
    assert_eq!(
        serve(RouteKind::Idempotent, 2, false, acts).await,
        (CallerResult::Complete(500), 2)
    );
}

/// Symptom: a request came back and ran twice although its caller had been
/// told that it had not run. Events: a target fails with a status that
/// promises "not run", without its proof. Cause: the status was passed on.
#[tokio::test]
async fn serve_unproved_promise_is_unknown() {
    for status in [429, 503, 408] {
        let acts = vec![Behavior::UnprovenFailure(status)];
        assert_eq!(
            serve(RouteKind::NonIdempotent, 1, false, acts).await,
            (CallerResult::Unknown, 1)
        );
    }
}

/// Symptom: a caller got bytes that no target had answered. Events: a faulty
/// target sends a success without its mark. Cause: it was passed on.
#[tokio::test]
async fn serve_forged_success_never_passes() {
    let acts = vec![Behavior::UnverifiedSuccess];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, acts).await,
        (CallerResult::Unknown, 1)
    );
}

#[tokio::test]
async fn serve_stream_passes() {
    let acts = vec![Behavior::Stream(vec![1, 2, 3], true)];
    let got = serve(RouteKind::Stream, 1, false, acts).await;
    assert_eq!(got, (CallerResult::Stream(vec![1, 2, 3], true), 1));
}

/// Symptom: a listener's session broke off midway. Events: a target stops in
/// the middle of an event. Cause: the rest was not fetched elsewhere.
#[tokio::test]
async fn serve_stream_resumed_elsewhere() {
    let acts = vec![
        Behavior::Stream(vec![1, 2], false),
        Behavior::Stream(vec![3, 4], true),
    ];
    let (node, script) = start_node(route(RouteKind::Stream, 2, true), acts).await;
    let got = caller_result(node.serve(ask("q")).await).await;
    assert_eq!(got, CallerResult::Stream(vec![1, 2, 3, 4], true));
    let seen = script.sent.lock().unwrap();
    assert_eq!(seen[1].options.last_event, Some(2));
    assert_ne!(seen[0].target, seen[1].target);
}

/// Symptom: a stream with two runs joined in it. Events: a stream that may
/// not be resumed breaks off. Cause: it was resumed all the same, or ended
/// as if it were complete.
#[tokio::test]
async fn serve_stream_not_resumable_breaks_off() {
    let acts = vec![Behavior::Stream(vec![1, 2], false)];
    let got = serve(RouteKind::Stream, 2, false, acts).await;
    assert_eq!(got, (CallerResult::Stream(vec![1, 2], false), 1));
}

/// Symptom: a caller missed a piece in the middle of its stream. Events: the
/// target that goes on begins one event too late. Cause: ids were not
/// checked.
#[tokio::test]
async fn serve_stream_gap_breaks_off() {
    let acts = vec![
        Behavior::Stream(vec![1, 2], false),
        Behavior::Stream(vec![4, 5], true),
    ];
    let got = serve(RouteKind::Stream, 2, true, acts).await;
    assert_eq!(got, (CallerResult::Stream(vec![1, 2], false), 2));
}

#[tokio::test]
async fn serve_mute_target_times_out() {
    let acts = vec![Behavior::Hang];
    assert_eq!(
        serve(RouteKind::NonIdempotent, 1, false, acts).await,
        (CallerResult::TimedOut, 1)
    );
}
