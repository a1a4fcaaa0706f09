//! Accounts of engines that count no commands.

use comfreyhall_capacity::{NoRoom, Outcome, SlotAccount, Snapshot};

/// Time by which a report is certainly made after a command at 0.
const LATER_MS: u64 = 1_000;

fn snapshot(held: &[&'static str], loading: &[&'static str]) -> Snapshot<&'static str> {
    let versions = |keys: &[&'static str]| keys.iter().map(|k| (*k, 0)).collect();
    Snapshot {
        sequence: 0,
        held: versions(held),
        loading: versions(loading),
    }
}

fn send(account: &mut SlotAccount<&'static str>, outcome: Outcome) {
    let order = account.load(&"a", 0, 1).unwrap();
    account.send(&order, 0);
    account.settle_sent(order, outcome, &"", 0);
}

/// Guards against a slot that counts as free while a load without an answer may take it.
#[test]
fn settle_unanswered_keeps_slot_until_later_report() {
    let mut account = SlotAccount::unsequenced();
    send(&mut account, Outcome::Unanswered);
    assert_eq!(account.load(&"b", 0, 1).err(), Some(NoRoom::Full));
    // It may have been made before the command arrived.
    account.apply(snapshot(&[], &[]), LATER_MS - 1);
    assert_eq!(account.load(&"b", 0, 1).err(), Some(NoRoom::Full));
    account.apply(snapshot(&[], &[]), LATER_MS);
    assert!(account.load(&"b", 0, 1).is_ok());
}

#[test]
fn settle_not_sent_frees_slot() {
    let mut account = SlotAccount::unsequenced();
    send(&mut account, Outcome::NotSent);
    assert!(account.load(&"b", 0, 1).is_ok());
}

/// Guards against a load that counts twice once the engine lists it.
#[test]
fn apply_listed_load_counts_once() {
    let mut account = SlotAccount::unsequenced();
    send(&mut account, Outcome::Unanswered);
    account.apply(snapshot(&[], &["a"]), 1);
    assert_eq!(account.occupied(), 1);
    assert_eq!(account.unknown().count(), 0);
}

#[test]
fn settle_done_replaces_evicted() {
    let mut account = SlotAccount::unsequenced();
    account.apply(snapshot(&["x"], &[]), 0);
    let order = account.load(&"a", 0, 2).unwrap();
    account.send(&order, 0);
    account.settle_sent(order, Outcome::AlreadyDone, &"x", 5);
    assert_eq!(account.occupied(), 1);
    assert_eq!(account.held_version(&"a"), Some(0));
}
