//! Release, takeover and reclaim of a lease.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_catalog::{Rows, put};
use comfreyhall_fakes::{CallOutcome, FakeTable};
use comfreyhall_lease::{FormerLease, Lease, former_leases};

const TERM: Duration = Duration::from_millis(1_000);

fn lease(table: &FakeTable, owner: &str) -> Lease<FakeTable> {
    Lease::new(table.clone(), "g", Arc::from(owner), TERM)
}

/// Guards against a holder that continues announcing a lease after it released
/// it: it serves on until its streams end, and announced the lease like one
/// that had expired, so no other process acquired it until it had ended. In a
/// series of planned stops no adapter was loaded in a failure domain for five
/// to eight seconds at a time.
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

/// A lease that could not be released is passed on under its token.
#[tokio::test]
async fn release_failed_keeps_lapsed_token() {
    let table = FakeTable::default();
    let old = lease(&table, "old");
    old.step(Instant::now, true).await.unwrap();
    let token = old.token(Instant::now());
    table.script([CallOutcome::Unsent]);
    assert!(old.release().await.is_err());
    assert_eq!(old.lapsed_token(), token);
}

/// Guards against a foreign row in place of a lease, which stopped the loads of
/// a failure domain permanently: every step failed on the row that it could not
/// decode. The next holder must not start at a token that engines have seen.
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

/// Guards against two holders when the term gets shorter: a daemon with the new one takes
/// the lease of one that trusts it for longer.
#[tokio::test]
async fn step_waits_for_longer_term_of_holder() {
    let table = FakeTable::default();
    let old = Lease::new(table.clone(), "g", Arc::from("old"), 2 * TERM);
    let next = lease(&table, "next");
    let began = Instant::now();
    old.step(|| began, true).await.unwrap();
    next.step(|| began, true).await.unwrap();
    let later = began + TERM;
    assert!(old.token(later).is_some());
    next.step(|| later, true).await.unwrap();
    assert_eq!(next.token(later), None);
    let lapsed = began + 2 * TERM;
    next.step(|| lapsed, true).await.unwrap();
    assert!(next.token(lapsed).is_some());
}

/// Guards against a gap after a power loss: the holder starts again beside an
/// instance that is better suited, leaves the lease to it, and that one waits
/// for a term because the holder might still be alive. No adapter was loaded in
/// a failure domain for 3.4 s after all instances had lost power.
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

/// Guards against one read per lease at start: the starts of 195 instances,
/// each of which checked whether a lease was its own, cost the table 975 calls
/// for five leases.
#[tokio::test]
async fn former_leases_returns_own() {
    let table = FakeTable::default();
    for (name, owner) in [("a", "old"), ("b", "other"), ("c", "old")] {
        let lease = Lease::new(table.clone(), name, Arc::from(owner), TERM);
        lease.step(Instant::now, true).await.unwrap();
    }
    let held = |name: &str| FormerLease {
        name: name.into(),
        held: true,
    };
    assert_eq!(
        former_leases(&table, "old").await.unwrap(),
        [held("a"), held("c")]
    );
    assert!(former_leases(&table, "new").await.unwrap().is_empty());
}

/// Guards against a restarted holder that finds its lease with another instance, or
/// without a holder, and does not know that commands of its former process may follow.
#[tokio::test]
async fn former_leases_names_former_holder() {
    let table = FakeTable::default();
    let (old, next) = (lease(&table, "old"), lease(&table, "next"));
    let named = [FormerLease {
        name: "g".into(),
        held: false,
    }];
    old.step(Instant::now, true).await.unwrap();
    assert!(!old.is_return());
    old.release().await.unwrap();
    assert_eq!(former_leases(&table, "old").await.unwrap(), named);
    next.step(Instant::now, true).await.unwrap();
    assert!(!next.is_return());
    next.release().await.unwrap();
    assert_eq!(former_leases(&table, "old").await.unwrap(), named);
    let back = lease(&table, "old");
    back.step(Instant::now, true).await.unwrap();
    assert!(back.is_return());
    back.release_settled().await.unwrap();
    assert!(former_leases(&table, "next").await.unwrap().is_empty());
    let third = lease(&table, "next");
    third.step(Instant::now, true).await.unwrap();
    assert!(!third.is_return());
}
