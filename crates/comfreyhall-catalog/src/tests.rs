use std::net::{SocketAddr, TcpListener};

use comfreyhall_protocol::{Check, Put, Row};

use super::*;

/// Starts a stand-in of the table service on a free loopback port.
async fn table() -> Table {
    table_of(comfreyhall_standins::TableStandin::default()).await
}

/// The same for the rows of `standin`.
async fn table_of(standin: comfreyhall_standins::TableStandin) -> Table {
    let addr: SocketAddr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    tokio::spawn(comfreyhall_standins::serve_table_of(
        standin,
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

/// Guards against rules that are acknowledged and never in force, after the table came back
/// from a copy and gave epochs out again: readers know a higher one.
#[tokio::test]
async fn poll_after_step_learns_changes() {
    let standin = comfreyhall_standins::TableStandin::default();
    let table = table_of(standin.clone()).await;
    let catalog = Catalog::new(table.clone(), "test");
    let daemon = Follower::new(Catalog::new(table, "daemon"));
    let rules = || Rules { rules: Vec::new() };
    catalog.apply(&rules(), None).await.unwrap();
    let copy = standin.copy();
    for _ in 0..3 {
        catalog.apply(&rules(), None).await.unwrap();
    }
    daemon.poll().await.unwrap();
    for step in 0..2 {
        let (before, config) = (daemon.epoch(), daemon.config());
        standin.restore(&copy);
        daemon.poll().await.unwrap();
        assert!(daemon.epoch() > before, "a higher era, step {step}");
        assert_eq!(daemon.config(), config, "the copy has an older one");
        let version = catalog.apply(&rules(), None).await.unwrap();
        assert!(daemon.poll().await.unwrap(), "{version} not in force");
        assert_eq!(daemon.config().version, version);
        assert!(daemon.epoch() >= version && version > before);
    }
}

/// A table that comes back from a copy, with all rows, whenever a commit reaches it.
#[derive(Clone)]
struct Stepping(Table, comfreyhall_standins::TableStandin);

impl Rows for Stepping {
    fn era(&self) -> u32 {
        self.0.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, CatalogError> {
        self.0.get(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, CatalogError> {
        self.0.scan(prefix, after, limit).await
    }

    async fn commit(&self, checks: Vec<Check>, puts: Vec<Put>) -> Result<Vec<u64>, CatalogError> {
        self.1.restore(&self.1.copy());
        self.0.commit(checks, puts).await
    }
}

/// Guards against a change that is reported as made under an epoch of the era before, which
/// readers pass over.
#[tokio::test]
async fn create_customer_across_step_is_unanswered() {
    let standin = comfreyhall_standins::TableStandin::default();
    let table = Stepping(table_of(standin.clone()).await, standin);
    let catalog = Catalog::new(table, "test");
    let made = catalog.create_customer(&customer("oduya")).await;
    let unanswered = matches!(made, Err(CatalogError::Unavailable { .. }));
    assert!(unanswered, "{made:?}");
}
