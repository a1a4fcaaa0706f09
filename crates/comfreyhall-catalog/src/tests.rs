use std::net::{SocketAddr, TcpListener};

use super::*;

/// Starts a stand-in of the table service on a free loopback port.
async fn table() -> Table {
    let addr: SocketAddr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    tokio::spawn(comfreyhall_standins::serve_table(
        addr,
        std::future::pending(),
    ));
    let table = Table::new(&addr.to_string()).unwrap();
    for _ in 0..100 {
        if table.get("probe").await.is_ok() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    table
}

fn customer(name: &str) -> Customer {
    Customer {
        name: name.into(),
        labels: Default::default(),
        terms: Terms::default(),
    }
}

#[tokio::test]
async fn create_customer_twice_exists() {
    let catalog = Catalog::new(table().await, "test");
    catalog.create_customer(&customer("oduya")).await.unwrap();
    let err = catalog
        .create_customer(&customer("oduya"))
        .await
        .unwrap_err();
    assert_eq!(
        err,
        CatalogError::Exists {
            what: "customer",
            name: "oduya".into()
        }
    );
    assert_eq!(catalog.audit_trail(10).await.unwrap().len(), 1);
}

#[tokio::test]
async fn add_version_concurrent_no_lost_update() {
    // Guards against a lost update: two operators read the same adapter, each
    // appends a version, and the second commit overwrites the first. Each commit
    // checks the row version that was read, so only one succeeds and the other
    // fails with a conflict that asks the operator to read again.
    let table = table().await;
    let ada = Catalog::new(table.clone(), "ada");
    let bayo = Catalog::new(table.clone(), "bayo");
    ada.create_customer(&customer("oduya")).await.unwrap();
    ada.create_adapter("narrator", "oduya", Default::default())
        .await
        .unwrap();
    let v = |n: &str| Version {
        name: n.into(),
        labels: Default::default(),
    };
    let (a, b) = tokio::join!(
        ada.add_version("narrator", v("v1")),
        bayo.add_version("narrator", v("v2"))
    );
    let results = [a, b];
    let successes = results.iter().filter(|r| r.is_ok()).count();
    let record = ada.adapter("narrator").await.unwrap();
    // Either both succeeded one after the other, or one failed with a conflict.
    assert_eq!(record.versions.len(), successes);
    for r in &results {
        if let Err(e) = r {
            assert!(matches!(e, CatalogError::Conflict { .. }), "{e}");
        }
    }
    let trail = ada.audit_trail(10).await.unwrap();
    let adds = trail.iter().filter(|a| a.action == "version.add").count();
    assert_eq!(adds, successes);
}

#[tokio::test]
async fn seed_twice_creates_once() {
    let catalog = Catalog::new(table().await, "test");
    let adapters: Vec<Adapter> = (0..450)
        .map(|i| Adapter {
            name: format!("a{i}"),
            customer: "c".into(),
            labels: Default::default(),
            versions: Vec::new(),
        })
        .collect();
    let first = catalog.seed(&[customer("c")], &adapters).await.unwrap();
    let second = catalog.seed(&[customer("c")], &adapters).await.unwrap();
    assert_eq!((first, second), (451, 0));
    assert_eq!(catalog.adapters().await.unwrap().len(), 450);
}
