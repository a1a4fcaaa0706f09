use std::net::{SocketAddr, TcpListener};

use super::*;

/// Starts a table stand-in on a free loopback port.
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
async fn add_version_racing_operators_one_winner() {
    // Two operators add different versions to the same adapter at once.
    // Each reads the record, appends its version and commits on the version
    // it read; the table lets exactly one commit through, and the other gets
    // a conflict that tells it to reread, so no version is silently lost.
    let table = table().await;
    let one = Catalog::new(table.clone(), "ada");
    let two = Catalog::new(table.clone(), "bayo");
    one.create_customer(&customer("oduya")).await.unwrap();
    one.create_adapter("narrator", "oduya", Default::default())
        .await
        .unwrap();
    let v = |n: &str| Version {
        name: n.into(),
        labels: Default::default(),
    };
    let (a, b) = tokio::join!(
        one.add_version("narrator", v("v1")),
        two.add_version("narrator", v("v2"))
    );
    let results = [a, b];
    let wins = results.iter().filter(|r| r.is_ok()).count();
    let record = one.adapter("narrator").await.unwrap();
    // Either both went through one after the other, or one lost cleanly.
    assert_eq!(record.versions.len(), wins);
    for r in &results {
        if let Err(e) = r {
            assert!(matches!(e, CatalogError::Conflict { .. }), "{e}");
        }
    }
    let trail = one.audit_trail(10).await.unwrap();
    let adds = trail.iter().filter(|a| a.action == "version.add").count();
    assert_eq!(adds, wins);
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
