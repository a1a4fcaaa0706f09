//! Following the catalog: cases with a slow or a disconnected daemon.

use comfreyhall_catalog::{Catalog, Customer, Follower, Version};
use comfreyhall_fakes::FakeTable;

fn version(name: &str) -> Version {
    Version {
        name: name.into(),
        labels: Default::default(),
    }
}

async fn catalog(table: &FakeTable) -> Catalog<FakeTable> {
    let catalog = Catalog::new(table.clone(), "test");
    let customer = Customer {
        name: "oduya".into(),
        labels: Default::default(),
        terms: Default::default(),
    };
    catalog.create_customer(&customer).await.unwrap();
    let labels = Default::default();
    catalog
        .create_adapter("narrator", "oduya", labels)
        .await
        .unwrap();
    catalog
}

#[tokio::test]
async fn apply_sync_ignores_stale_reply() {
    // Guards against a stale record that stays in the cache, so that a daemon
    // reports "no such version" permanently although its polls succeed. It lost
    // the table and asked a peer, whose reply was slow; meanwhile the table came
    // back and a poll read that v2 had been added. The old reply then arrived and
    // its record was cached without comparing epochs.
    let table = FakeTable::default();
    let catalog = catalog(&table).await;
    let daemon = Follower::new(Catalog::new(table.client(), "daemon"));
    let peer = Follower::new(Catalog::new(table.client(), "peer"));
    daemon.poll().await.unwrap();
    peer.poll().await.unwrap();
    catalog
        .add_version("narrator", version("v1"))
        .await
        .unwrap();
    peer.poll().await.unwrap();
    let reply = peer.changes_since(daemon.epoch()).await;
    catalog
        .add_version("narrator", version("v2"))
        .await
        .unwrap();
    daemon.poll().await.unwrap();
    daemon.apply_sync(&reply).unwrap();
    daemon.poll().await.unwrap();
    let record = daemon.adapter("narrator").await.unwrap();
    assert!(record.has_version("v2"), "{record:?}");
}

#[tokio::test]
async fn apply_sync_brings_peer_changes() {
    let table = FakeTable::default();
    let catalog = catalog(&table).await;
    let disconnected = table.client();
    let daemon = Follower::new(Catalog::new(disconnected.clone(), "daemon"));
    let peer = Follower::new(Catalog::new(table.client(), "peer"));
    daemon.poll().await.unwrap();
    daemon.adapter("narrator").await.unwrap();
    peer.poll().await.unwrap();
    catalog
        .add_version("narrator", version("v1"))
        .await
        .unwrap();
    peer.poll().await.unwrap();
    disconnected.script([comfreyhall_fakes::CallOutcome::Unsent; 4]);
    assert!(daemon.poll().await.is_err());
    daemon
        .apply_sync(&peer.changes_since(daemon.epoch()).await)
        .unwrap();
    let record = daemon.adapter("narrator").await.unwrap();
    assert!(record.has_version("v1"), "{record:?}");
}
