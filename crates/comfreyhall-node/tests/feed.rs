//! A store whose feed of changes does not wait.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_domain::RouteKind;
use support::*;

/// Guards against a store that is called without a pause: its feed answers at once, without
/// a change. A change that comes then is still known in time.
#[tokio::test]
async fn follow_hasty_feed_is_called_with_pauses() {
    let route = route(RouteKind::Idempotent, 1, false);
    let (node, _, source) = start_node_with(route, None, Vec::new()).await;
    source.hasty.store(true, Ordering::SeqCst);
    // Ends the call that waits.
    let mut second = source.config.clone();
    second.version = 2;
    source.publish(second);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = source.feed_calls.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = source.feed_calls.load(Ordering::SeqCst) - before;
    assert!(calls < 40, "{calls} calls in 4 s");
    let mut third = source.config.clone();
    third.version = 3;
    third.routes.clear();
    source.publish(third);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let result = caller_result(node.serve(ask("r")).await).await;
    assert_eq!(result, CallerResult::Other);
}
