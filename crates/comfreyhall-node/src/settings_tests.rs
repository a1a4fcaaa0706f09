//! Which settings a daemon starts with and serves by.

use std::{sync::Arc, time::Duration};

use comfreyhall_protocol::{Daemon, Fact, News};

use crate::{
    fleet::Origin,
    node::Node,
    ports::{Record, RecordBatch, Topic},
    records,
    rows::Provenance,
    serve::Reply,
    test_node::{node, request, rev},
};

fn peer() -> Daemon {
    Daemon {
        id: "peer".to_string(),
        boot: 1,
        peer: "127.0.0.1:100".to_string(),
        front: "127.0.0.1:100".to_string(),
        domain: "d".to_string(),
        ready: true,
        millicores: 500,
        isolated: false,
        ..Daemon::default()
    }
}

fn row(key: &str, value: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        value: Some(value.as_bytes().to_vec().into()),
        version: rev(version),
    }
}

fn fact(key: &str, value: &str, version: u64) -> Fact {
    Fact {
        key: key.to_string(),
        value: value.as_bytes().to_vec(),
        version,
        deleted: false,
    }
}

/// Gossip of a peer whose newest settings row is `version`.
fn reports(version: u64) -> News {
    News {
        from: Some(peer()),
        settings_version: version,
        settings_age: u64::MAX,
        targets_age: u64::MAX,
        ..News::default()
    }
}

/// A daemon whose store confirmed configuration 5 and a target just now.
fn serving_node() -> Arc<Node> {
    let node = node();
    for (topic, record) in [
        (Topic::Targets, row("a", "1 ready", 4)),
        (Topic::Settings, row("config", "", 5)),
    ] {
        let batch = RecordBatch {
            rows: vec![record],
            version: rev(5),
        };
        records::apply(&node, topic, batch, &Provenance::store(node.now()));
    }
    let now = node.now();
    node.view()
        .records
        .settings_sync
        .store_confirmed(rev(5), now);
    crate::follow::start_if_synced(&node);
    node
}

/// Whether the request is rejected at once.
async fn is_rejected(node: &Arc<Node>) -> bool {
    let reply = tokio::time::timeout(Duration::from_millis(1_500), node.serve(request("r")));
    matches!(reply.await, Ok(Reply::NotReady { .. }))
}

/// Time in which an accepted version has to become active, and a margin.
async fn pass_apply_bound(node: &Node) {
    let bound_ms = node.settings().bounds.apply_ms;
    tokio::time::sleep(Duration::from_millis(bound_ms + 50)).await;
}

/// Guards against a start that serves by the settings in the first gossip message,
/// which nobody has confirmed.
#[tokio::test]
async fn start_unconfirmed_peer_settings_wait() {
    let node = node();
    let gossip = News {
        settings: vec![fact("config", "", 5)],
        targets: vec![fact("a", "1 ready", 4)],
        ..reports(5)
    };
    node.fleet.apply_gossip(&node, gossip, Origin::Call);
    assert!(!node.ready());
    assert!(is_rejected(&node).await);
    let now = node.now();
    node.view()
        .records
        .settings_sync
        .store_confirmed(rev(5), now);
    crate::follow::start_if_synced(&node);
    assert!(node.ready());
}

/// Guards against a start by a version that is known to be outdated.
#[tokio::test]
async fn start_newer_version_reported_waits() {
    let node = node();
    let gossip = News {
        settings: vec![fact("config", "", 5)],
        targets: vec![fact("a", "1 ready", 4)],
        ..reports(9)
    };
    node.fleet.apply_gossip(&node, gossip, Origin::Call);
    node.view().records.settings_sync.store_failed(node.now());
    crate::follow::start_if_synced(&node);
    assert!(!node.ready());
}

/// Guards against requests that run by an old version for as long as a newer one,
/// which is known of, takes to arrive.
#[tokio::test]
async fn serve_overdue_settings_reject() {
    let node = serving_node();
    assert!(node.ready());
    node.fleet.apply_gossip(&node, reports(9), Origin::Call);
    assert!(
        node.ready(),
        "the newer version may have just been accepted"
    );
    pass_apply_bound(&node).await;
    assert!(!node.ready());
    assert!(is_rejected(&node).await);
}

/// Guards against a fleet that rejects everything while its store is down.
#[tokio::test]
async fn serve_unconfirmed_settings_in_outage() {
    let node = serving_node();
    node.view().records.settings_sync.store_failed(node.now());
    pass_apply_bound(&node).await;
    assert!(node.ready());
    assert!(!is_rejected(&node).await);
}
