use comfreyhall_protocol::{SettingsAsk, SettingsPart};
use futures::StreamExt;

use super::{GIVEN_AT_ONCE, give};
use crate::{
    facts::{self, Provenance},
    node::Node,
    ports::{Record, RecordBatch, Topic},
    test_node::node,
};

fn ask(port: u16) -> SettingsAsk {
    SettingsAsk {
        since: 0,
        peer: format!("127.0.0.1:{port}"),
    }
}

fn put(node: &Node, bytes: usize) {
    let rows = vec![Record {
        key: "config".into(),
        value: Some(vec![b' '; bytes].into()),
        version: 9,
    }];
    let origin = Provenance::store(node.now());
    facts::apply(
        node,
        Topic::Settings,
        RecordBatch { rows, version: 9 },
        &origin,
    );
}

async fn all(node: &Node, port: u16) -> Vec<SettingsPart> {
    let pieces = give(node, &ask(port)).ok().unwrap();
    pieces.map(|p| p.unwrap()).collect().await
}

/// Guards against a daemon whose link carries a copy for each daemon of the fleet.
#[tokio::test]
async fn give_few_at_once_and_names_others() {
    let node = node();
    put(&node, 300_000);
    let given = all(&node, 1).await;
    let bytes: usize = given.iter().map(|p| p.piece.len()).sum();
    assert!((300_000..301_000).contains(&bytes), "{bytes}");
    let open: Vec<_> = (0..GIVEN_AT_ONCE)
        .map(|i| give(&node, &ask(2 + i as u16)).ok().unwrap())
        .collect();
    let refused = all(&node, 9).await;
    assert_eq!(refused.len(), 1);
    assert!(refused[0].piece.is_empty());
    assert_eq!(refused[0].others, ["127.0.0.1:1"]);
    // One that leaves in the middle makes room.
    drop(open);
    assert!(all(&node, 9).await.len() > 1);
}

#[tokio::test]
async fn give_nothing_to_one_that_has_all() {
    let node = node();
    put(&node, 100);
    let has = SettingsAsk { since: 9, ..ask(1) };
    assert!(give(&node, &has).is_err());
}
