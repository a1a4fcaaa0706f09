use std::time::Duration;

use comfreyhall_domain::AdapterRef;
use comfreyhall_slots::{SlotShare, SlotWaiter};
use tokio::sync::mpsc;

use super::{super::candidate::EngineCandidate, PlacementRequest, place_adapter};
use crate::test_node::node;

/// Guards against requests that keep asking for an engine that has ended. Its
/// controller finds that it takes no commands and drops the request; if the
/// record of that is lost with the request, the caller never learns which
/// engine has ended.
#[tokio::test]
async fn place_adapter_reports_gone_engine() {
    let node = node();
    let (send, mut jobs) = mpsc::channel(1);
    node.controllers.jobs().insert("e".into(), send);
    tokio::spawn(async move {
        let job = jobs.recv().await.unwrap();
        let waiter = job.claim();
        job.ticket.as_ref().unwrap().record_refusal(&"e".into());
        job.yield_to_others(waiter);
    });
    let request = PlacementRequest {
        adapter: AdapterRef {
            model: "m".into(),
            adapter: Some("a".into()),
        },
        candidates: vec![EngineCandidate {
            target: "e".into(),
            extra_ms: 0,
        }],
        version: 0,
        waiter: SlotWaiter {
            share: SlotShare::priority(0),
            adapter: "m/a".into(),
            priority: 0,
            arrived_ms: node.now(),
            start_by_ms: node.now() + 1_000,
            returned: false,
        },
        start_timeout: Duration::from_secs(5),
        total_timeout: Duration::from_secs(5),
    };
    let unplaced = place_adapter(&node, request, None).await.unwrap_err();
    assert_eq!(unplaced.refusing, ["e".into()]);
}
