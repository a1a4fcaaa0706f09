//! Giving a lease back.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_catalog::{Rows, put};
use comfreyhall_fakes::{CallOutcome, FakeTable};
use comfreyhall_lease::{Lease, leases_held_by};

const TERM: Duration = Duration::from_millis(1_000);

fn lease(table: &FakeTable, owner: &str) -> Lease<FakeTable> {
    Lease::new(table.clone(), "g", Arc::from(owner), TERM)
}

/// Symptom: in a row of planned stops no adapter was loaded in a failure
/// domain for five to eight seconds at a time. Events: a holder is told to
/// stop, gives its lease back, and serves on until its streams end. Cause: it
/// went on telling the others that it holds the lease, as one that lapsed
/// would, so nobody took it until the process had ended.
#[tokio::test]
async fn release_leaves_no_lapsed_token() {
    let table = FakeTable::default();
    let (old, next) = (lease(&table, "old"), lease(&table, "next"));
    old.step(Instant::now, true).await.unwrap();
    let token = old.token(Instant::now()).unwrap();
    old.release().await.unwrap();
    assert_eq!(old.lapsed_token(), None);
    next.step(Instant::now, true).await.unwrap();
    assert!(next.token(Instant::now()).unwrap() > token);
}

/// A lease that could not be given back is handed on under its token.
#[tokio::test]
async fn release_unheard_keeps_lapsed_token() {
    let table = FakeTable::default();
    let old = lease(&table, "old");
    old.step(Instant::now, true).await.unwrap();
    let token = old.token(Instant::now());
    table.script([CallOutcome::Unsent]);
    assert!(old.release().await.is_err());
    assert_eq!(old.lapsed_token(), token);
}

/// Symptom: the loads of a failure domain stood still for good. Events:
/// another writer puts a row that is no lease in the place of one. Cause: every
/// step ended at the row that it could not read. Whoever takes it must not
/// begin at a token that engines have seen.
#[tokio::test]
async fn step_foreign_row_taken_after_term() {
    let table = FakeTable::default();
    let (old, next) = (lease(&table, "old"), lease(&table, "next"));
    old.step(Instant::now, true).await.unwrap();
    let token = old.token(Instant::now()).unwrap();
    let foreign = put("lease/g", b"not a lease".to_vec());
    table.commit(Vec::new(), vec![foreign]).await.unwrap();
    let began = Instant::now();
    next.step(|| began, true).await.unwrap();
    assert_eq!(next.token(began), None, "its holder may not know yet");
    let later = began + TERM;
    next.step(|| later, true).await.unwrap();
    assert!(next.token(later).unwrap() > token);
}

/// Symptom: no adapter was loaded in a failure domain for 3.4 s after all
/// instances had lost power. Events: the holder starts again beside an
/// instance that is better placed, leaves the lease to it, and that one waits
/// for a term, as the holder might still live. Cause: only a process that wanted
/// any free lease looked whose it had been.
#[tokio::test]
async fn reclaim_only_own_former_lease() {
    let table = FakeTable::default();
    let old = lease(&table, "a");
    old.step(Instant::now, true).await.unwrap();
    let token = old.token(Instant::now()).unwrap();
    let (again, other) = (lease(&table, "a"), lease(&table, "b"));
    other.reclaim(Instant::now).await.unwrap();
    assert_eq!(other.token(Instant::now()), None);
    again.reclaim(Instant::now).await.unwrap();
    assert!(again.token(Instant::now()).unwrap() > token);
}

/// Symptom: the starts of 195 instances cost the table 975 calls for five
/// leases. Events: each looks whether one of them was its own. Cause: it asked
/// for them one by one.
#[tokio::test]
async fn held_by_names_own_leases() {
    let table = FakeTable::default();
    for (name, owner) in [("a", "old"), ("b", "other"), ("c", "old")] {
        let lease = Lease::new(table.clone(), name, Arc::from(owner), TERM);
        lease.step(Instant::now, true).await.unwrap();
    }
    assert_eq!(leases_held_by(&table, "old").await.unwrap(), ["a", "c"]);
    assert!(leases_held_by(&table, "new").await.unwrap().is_empty());
}
