//! Single cases of following the catalog.

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
async fn learn_ignores_old_news() {
    // Symptom: a daemon answered "no such version" for good, though its
    // polls succeeded. Sequence: it lost the table and asked a peer; the
    // peer's answer was slow; meanwhile the table came back, v2 was added
    // and polled; then the old answer arrived and its record went into the
    // cache, where nothing dropped it any more. Cause: news were taken over
    // without comparing epochs.
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
    let news = peer.changes_since(daemon.epoch()).await;
    catalog
        .add_version("narrator", version("v2"))
        .await
        .unwrap();
    daemon.poll().await.unwrap();
    daemon.apply_sync(&news).unwrap();
    daemon.poll().await.unwrap();
    let record = daemon.adapter("narrator").await.unwrap();
    assert!(record.has_version("v2"), "{record:?}");
}

#[tokio::test]
async fn learn_brings_peer_changes() {
    let table = FakeTable::default();
    let catalog = catalog(&table).await;
    let cut_off = table.client();
    let daemon = Follower::new(Catalog::new(cut_off.clone(), "daemon"));
    let peer = Follower::new(Catalog::new(table.client(), "peer"));
    daemon.poll().await.unwrap();
    daemon.adapter("narrator").await.unwrap();
    peer.poll().await.unwrap();
    catalog
        .add_version("narrator", version("v1"))
        .await
        .unwrap();
    peer.poll().await.unwrap();
    cut_off.script([comfreyhall_fakes::Fate::Unsent; 4]);
    assert!(daemon.poll().await.is_err());
    daemon
        .apply_sync(&peer.changes_since(daemon.epoch()).await)
        .unwrap();
    let record = daemon.adapter("narrator").await.unwrap();
    assert!(record.has_version("v1"), "{record:?}");
}
