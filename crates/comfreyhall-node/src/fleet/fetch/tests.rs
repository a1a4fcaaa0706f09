use comfreyhall_protocol::{SettingsAsk, SettingsPart};
use futures::StreamExt;

use super::{join, send_settings};
use crate::fleet::sender::MAX_TRANSFERS;
use crate::{
    node::Node,
    ports::{Record, RecordBatch, Topic},
    records,
    rows::Provenance,
    test_node::{node, rev},
};

fn request(port: u16) -> SettingsAsk {
    SettingsAsk {
        since: 0,
        peer: format!("127.0.0.1:{port}"),
        kept: false,
    }
}

fn put(node: &Node, bytes: usize) {
    let rows = vec![Record {
        key: "config".into(),
        value: Some(vec![b' '; bytes].into()),
        version: rev(9),
    }];
    let origin = Provenance::store(node.now());
    records::apply(
        node,
        Topic::Settings,
        RecordBatch {
            rows,
            version: rev(9),
        },
        &origin,
    );
}

async fn all(node: &Node, port: u16) -> Vec<SettingsPart> {
    let pieces = send_settings(node, &request(port)).ok().unwrap();
    pieces.map(|p| p.unwrap()).collect().await
}

/// Guards against a daemon whose link carries a copy for each daemon of the
/// fleet.
#[tokio::test]
async fn send_settings_limits_transfers() {
    let node = node();
    put(&node, 300_000);
    let received = all(&node, 1).await;
    let bytes: usize = received.iter().map(|p| p.piece.len()).sum();
    assert!((300_000..301_000).contains(&bytes), "{bytes}");
    let open: Vec<_> = (0..MAX_TRANSFERS)
        .map(|i| send_settings(&node, &request(2 + i as u16)).ok().unwrap())
        .collect();
    let refused = all(&node, 9).await;
    assert_eq!(refused.len(), 1);
    assert!(refused[0].piece.is_empty());
    assert_eq!(refused[0].others, ["127.0.0.1:1"]);
    // An aborted transfer makes room.
    drop(open);
    assert!(all(&node, 9).await.len() > 1);
}

#[tokio::test]
async fn send_settings_nothing_newer() {
    let node = node();
    put(&node, 100);
    let complete = SettingsAsk {
        since: 9,
        ..request(1)
    };
    assert!(send_settings(&node, &complete).is_err());
}

/// Guards against a daemon that sends settings without end, which are collected for the
/// whole time of a transfer.
#[tokio::test]
async fn join_endless() {
    let mut read = 0;
    let piece = || {
        read += 1;
        (read < 200).then(|| {
            Ok(SettingsPart {
                piece: vec![0; 1 << 20],
                others: Vec::new(),
            })
        })
    };
    let joined = join(futures::stream::iter(std::iter::from_fn(piece))).await;
    assert!(joined.is_err());
    assert!(read < 50, "{read} MB");
}
