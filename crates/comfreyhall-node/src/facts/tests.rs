use bytes::Bytes;
use comfreyhall_domain::{AdapterRef, Name, Stage};
use comfreyhall_routing::Presence;

use super::apply;
use crate::{
    node::Node,
    ports::{Record, RecordBatch, Topic},
    test_node::node,
};

fn put(node: &Node, key: &str, value: &'static str, version: u64) {
    let fact = Record {
        key: key.into(),
        value: Some(Bytes::from_static(value.as_bytes())),
        version,
    };
    let rows = vec![fact];
    let origin = super::Provenance::store(node.now());
    apply(node, Topic::Targets, RecordBatch { rows, version }, &origin);
}

fn ready(node: &Node) -> Vec<Name> {
    let now = node.now();
    let view = node.view();
    view.ready_targets("s", now)
        .iter()
        .map(|t| t.id.clone())
        .collect()
}

/// Symptom: requests went to an engine for adapters that it did not hold, and
/// orders to it were refused as out of sequence. Events: the engine crashes
/// and starts again under its name, before its entry lapses. Cause: what was
/// known of the boot before was taken for the new one's.
#[test]
fn apply_new_boot_knows_nothing_of_before() {
    let node = node();
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a".into()),
    };
    put(&node, "t", "5 ready", 1);
    let old = ready(&node).remove(0);
    node.view()
        .residency
        .record(&adapter, &old, Presence::Held(1), node.now());
    put(&node, "t", "9 ready", 2);
    let new = ready(&node);
    assert_eq!(new.len(), 1);
    assert_ne!(new[0], old);
    let view = node.view();
    assert!(view.residency.held_version(&adapter, &old).is_none());
    assert!(view.residency.held_version(&adapter, &new[0]).is_none());
}

/// Symptom: an engine that had started again was sent requests of its former
/// boot. Events: the last entry of that boot is written after the first one
/// of the new boot. Cause: the newer row was taken for the newer boot.
#[test]
fn apply_late_entry_of_earlier_boot_ignored() {
    let node = node();
    put(&node, "t", "9 ready", 1);
    let new = ready(&node);
    put(&node, "t", "5 ready", 2);
    assert_eq!(ready(&node), new);
}

/// Symptom: after one odd row no target was known any more. Events: another
/// writer puts a row that no target wrote. Cause: it was not told from one.
#[test]
fn apply_foreign_row_names_no_target() {
    let node = node();
    put(&node, "t", "5 ready", 1);
    put(&node, "odd", "nonsense", 2);
    assert_eq!(ready(&node).len(), 1);
    // In place of a target's own row it takes only that one out, until the
    // target writes again; what is known of it stays.
    put(&node, "t", "nonsense", 3);
    assert!(ready(&node).is_empty());
    assert_eq!(
        node.view().boot_of("t").map(|t| t.stage),
        Some(Stage::Draining)
    );
    put(&node, "t", "5 ready", 4);
    assert_eq!(ready(&node).len(), 1);
}
