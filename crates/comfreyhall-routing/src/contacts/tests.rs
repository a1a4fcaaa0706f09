use super::*;

/// Guards against a target that is left out after one lost connection, or because a probe
/// for another purpose failed.
#[test]
fn is_lost_two_failures_in_a_row() {
    let target: Name = "t".into();
    let mut contacts = Contacts::default();
    contacts.record_failure(&target, 1_000);
    contacts.record_answer(&target);
    contacts.record_failed_probe(&target);
    contacts.record_failure(&target, 1_100);
    assert!(!contacts.is_lost(&target));
    contacts.record_failed_probe(&target);
    assert!(contacts.is_lost(&target));
    contacts.record_answer(&target);
    assert!(contacts.reaches_all());
}

/// Guards against a target that stays lost because nobody looks, and against one that is
/// probed at every turn.
#[test]
fn take_due_probes_pauses_grow() {
    let target: Name = "t".into();
    let mut contacts = Contacts::default();
    contacts.record_lost(&target, 0);
    // Its controller asks it for reports.
    assert!(contacts.take_due_probes(0).is_empty());
    contacts.end_watch(&target);
    let due = (0..4_000).filter(|now| !contacts.take_due_probes(*now).is_empty());
    let due: Vec<u64> = due.collect();
    assert_eq!(due, [0, 250, 750, 1_750, 2_750, 3_750]);
    contacts.retain(|_| false);
    assert!(contacts.reaches_all());
}
