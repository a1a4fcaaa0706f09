use std::time::Duration;

use comfreyhall_backpressure::{FirstAnswer, Notice};
use futures::future::join_all;

use super::{super::observe, FirstSend};
use crate::test_node::{node, target};

/// Far longer than the tests take unless a wake-up is lost.
const PATIENCE: Duration = Duration::from_secs(60);

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against requests that wait on though the answers that they wait for are there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn begin_answers_wake_waiting() {
    let node = node();
    for answer in [FirstAnswer::Other, FirstAnswer::Accepted] {
        let send = |_| {
            let node = node.clone();
            tokio::spawn(async move {
                let send = FirstSend::begin(&node, &target("t"), PATIENCE).await;
                tokio::task::yield_now().await;
                send.unwrap().answered(answer);
            })
        };
        let all = join_all((0..500).map(send));
        let ended = tokio::time::timeout(LIMIT, all).await;
        assert!(ended.is_ok(), "{answer:?}");
    }
}

/// Guards against requests that wait for a target that takes nothing, while others might.
#[tokio::test]
async fn begin_cooldown_wakes_waiting() {
    let (node, target) = (node(), target("t"));
    let sends = join_all((0..4).map(|_| FirstSend::begin(&node, &target, PATIENCE))).await;
    let waiting = join_all((0..8).map(|_| FirstSend::begin(&node, &target, PATIENCE)));
    let cooldown = async {
        tokio::task::yield_now().await;
        let notice = Notice {
            cooldown_ms: Some(5_000),
            ..Notice::default()
        };
        observe(&node, &target, &notice, Some(node.now()));
    };
    let both = futures::future::join(waiting, cooldown);
    let (waited, ()) = tokio::time::timeout(LIMIT, both).await.unwrap();
    assert!(waited.iter().all(Result::is_err));
    drop(sends);
}

/// Guards against requests that fail because the ones before them have no answer.
#[tokio::test]
async fn begin_slow_target_gets_more_in_time() {
    let (node, target) = (node(), target("t"));
    let patience = Duration::from_millis(20);
    let sends = join_all((0..12).map(|_| FirstSend::begin(&node, &target, patience)));
    let sends = tokio::time::timeout(LIMIT, sends).await.unwrap();
    assert!(sends.iter().all(Result::is_ok));
}
