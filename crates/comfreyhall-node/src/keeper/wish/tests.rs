use std::time::Duration;

use comfreyhall_domain::AdapterRef;
use tokio::sync::mpsc;

use super::{EngineCandidate, PlacementRequest, place_adapter};
use crate::test_node::node;

/// Symptom: an engine that was gone was asked again by every request. Events:
/// its keeper finds that it takes no orders and lets the wish go, and no other
/// engine could have it. Cause: what the keeper had noted went with the wish,
/// so the asker did not learn which engine is gone.
#[tokio::test]
async fn ensure_gone_engine_is_named() {
    let node = node();
    let (send, mut jobs) = mpsc::channel(1);
    node.controllers.jobs().insert("e".into(), send);
    tokio::spawn(async move {
        let job = jobs.recv().await.unwrap();
        let done = job.claim();
        job.ticket.as_ref().unwrap().note_gone(&"e".into());
        job.yield_to_others(done);
    });
    let wish = PlacementRequest {
        adapter: AdapterRef {
            model: "m".into(),
            adapter: Some("a".into()),
        },
        candidates: vec![EngineCandidate {
            target: "e".into(),
            extra_ms: 0,
        }],
        version: 0,
        priority: 0,
        objective_ms: 1_000,
        start_timeout: Duration::from_secs(5),
        total_timeout: Duration::from_secs(5),
    };
    let unplaced = place_adapter(&node, wish).await.unwrap_err();
    assert_eq!(unplaced.gone, ["e".into()]);
}
