use bytes::Bytes;
use comfreyhall_domain::{AdapterRef, Name, Revision, Stage};
use comfreyhall_routing::Presence;

use super::apply;
use crate::{
    node::Node,
    ports::{Record, RecordBatch, Topic},
    test_node::node,
};

fn put(node: &Node, key: &str, value: &'static str, version: u64) {
    let record = Record {
        key: key.into(),
        value: Some(Bytes::from_static(value.as_bytes())),
        version: Revision::from_wire(version),
    };
    let batch = RecordBatch {
        version: record.version,
        rows: vec![record],
    };
    let origin = super::Provenance::store(node.now());
    apply(node, Topic::Targets, batch, &origin);
}

fn ready(node: &Node) -> Vec<Name> {
    let now = node.now();
    let view = node.view();
    view.ready_targets("s", now)
        .iter()
        .map(|t| t.id.clone())
        .collect()
}

/// Guards against requests for adapters that an engine does not hold, and
/// commands to it that are rejected as out of sequence. The engine crashes and
/// restarts under its name before its entry expires; the state of the previous
/// boot must not be assumed for the new one.
#[test]
fn apply_new_boot_has_no_earlier_state() {
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

/// Guards against sending a restarted engine the requests of its previous boot.
/// The last entry of that boot is written after the first one of the new boot,
/// so the newer row does not belong to the newer boot.
#[test]
fn apply_late_entry_of_earlier_boot_ignored() {
    let node = node();
    put(&node, "t", "9 ready", 1);
    let new = ready(&node);
    put(&node, "t", "5 ready", 2);
    assert_eq!(ready(&node), new);
}

/// Guards against a single foreign row that hides all targets: another writer
/// stores a row that is not a target's.
#[test]
fn apply_foreign_row_is_no_target() {
    let node = node();
    put(&node, "t", "5 ready", 1);
    put(&node, "odd", "nonsense", 2);
    assert_eq!(ready(&node).len(), 1);
    // In place of a target's own row it excludes only that target, until the
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

/// Guards against a target that keeps its id with other software and passes for the
/// same target.
#[test]
fn apply_other_software_is_another_target() {
    let node = node();
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a".into()),
    };
    put(&node, "t", "5 ready v1", 1);
    let id = ready(&node).remove(0);
    node.view()
        .residency
        .record(&adapter, &id, Presence::Held(1), node.now());
    put(&node, "t", "5 ready v2", 2);
    let view = node.view();
    assert_eq!(view.targets[&id].software.as_deref(), Some("v2"));
    assert!(view.residency.held_version(&adapter, &id).is_none());
    assert!(view.versions["s"].is_mixed());
}

/// The wire form of transaction `number` of `era`.
fn at(era: u32, number: u64) -> u64 {
    Revision::new(era, number).to_wire()
}

fn put_config(node: &Node, era: u32, number: u64) {
    let version = Revision::new(era, number);
    let record = Record {
        key: "config".into(),
        value: Some(Bytes::new()),
        version,
    };
    let batch = RecordBatch {
        rows: vec![record],
        version,
    };
    let origin = super::Provenance::store(node.now());
    apply(node, Topic::Settings, batch, &origin);
}

fn config_version(node: &Node) -> u64 {
    node.config().map_or(0, |c| c.version)
}

/// Guards against a configuration of the store's copy that replaces a newer one, and against
/// one of the new history that is ignored for its lower number.
#[test]
fn apply_copy_keeps_newer_config() {
    let node = node();
    put_config(&node, 1, 306);
    put_config(&node, 2, 257);
    assert_eq!(config_version(&node), 306);
    put_config(&node, 2, 310);
    assert_eq!(config_version(&node), 310);
}

/// Guards against an adapter version of the store's copy that replaces a newer one, here or
/// at a daemon that starts on the copy.
#[test]
fn apply_copy_keeps_newer_adapter_version() {
    let put_version = |node: &Node, value: &'static str, version: Revision| {
        let record = Record {
            key: "adapter/a".into(),
            value: Some(Bytes::from_static(value.as_bytes())),
            version,
        };
        let batch = RecordBatch {
            rows: vec![record],
            version,
        };
        let origin = super::Provenance::store(node.now());
        apply(node, Topic::Settings, batch, &origin);
    };
    let named = |node: &Node| {
        let view = node.view();
        view.named_versions.values().map(|n| n.version).max()
    };
    let (old, new) = (node(), node());
    put_version(&old, "3", Revision::new(1, 306));
    for daemon in [&old, &new] {
        put_version(daemon, "2", Revision::new(2, 257));
    }
    assert_eq!((named(&old), named(&new)), (Some(3), Some(2)));
    let kept = super::kept_rows(&old);
    super::apply_kept(&new, kept, &super::Provenance::store(new.now()));
    assert_eq!(named(&new), Some(3));
    put_version(&old, "4", Revision::new(2, 258));
    assert_eq!(named(&old), Some(4));
}

/// Guards against a target that leaves and is listed as ready by the store's copy.
#[test]
fn apply_copy_keeps_leaving_target() {
    let node = node();
    put(&node, "t", "5 ready", at(1, 300));
    put(&node, "t", "5 draining", at(1, 305));
    put(&node, "t", "5 ready", at(2, 250));
    assert!(ready(&node).is_empty());
    // The next boot under the name is not bound by that.
    put(&node, "t", "9 ready", at(2, 260));
    assert_eq!(ready(&node).len(), 1);
}

/// Guards against a daemon that starts on the store's copy and never learns what its peers
/// still know.
#[test]
fn apply_kept_brings_what_the_copy_lacks() {
    let old = node();
    put_config(&old, 1, 306);
    put(&old, "t", "5 draining", at(1, 305));
    put(&old, "u", "5 draining", at(1, 307));
    let new = node();
    for daemon in [&old, &new] {
        put_config(daemon, 2, 257);
        put(daemon, "t", "5 ready", at(2, 250));
        // The next boot is not bound by what the former one said.
        put(daemon, "u", "9 ready", at(2, 260));
    }
    assert_eq!((ready(&new).len(), config_version(&new)), (2, 257));
    assert_eq!(old.view().records.kept(), 2);
    let kept = super::kept_rows(&old);
    super::apply_kept(&new, kept, &super::Provenance::store(new.now()));
    assert_eq!((ready(&new), config_version(&new)), (ready(&old), 306));
    assert_eq!(new.view().records.kept(), 2);
    // The operator writes it again.
    put_config(&new, 2, 310);
    put(&new, "t", "5 draining", at(2, 311));
    assert_eq!(new.view().records.kept(), 0);
    assert_eq!(config_version(&new), 310);
}

/// Guards against a change of the new history that is ignored for its lower number.
#[test]
fn apply_lower_number_of_later_era() {
    let node = node();
    put(&node, "t", "5 ready", at(1, 300));
    put(&node, "t", "5 draining", at(2, 250));
    assert!(ready(&node).is_empty());
}

/// Guards against an answer from before the copy that arrives late and replaces what the
/// new history says.
#[test]
fn apply_late_answer_of_earlier_era_ignored() {
    let node = node();
    put(&node, "t", "5 draining", at(2, 250));
    put(&node, "t", "5 ready", at(1, 300));
    assert!(ready(&node).is_empty());
}

/// Guards against a target that has ended and is listed by the store's copy: only its own
/// next entry shows that it runs.
#[test]
fn apply_copy_lists_gone_target() {
    let node = node();
    put(&node, "t", "5 ready", at(1, 300));
    let unlisted = RecordBatch {
        rows: vec![Record {
            key: "t".into(),
            value: None,
            version: Revision::new(1, 305),
        }],
        version: Revision::new(1, 305),
    };
    let origin = super::Provenance::store(node.now());
    apply(&node, Topic::Targets, unlisted, &origin);
    put(&node, "t", "5 ready", at(2, 250));
    assert!(ready(&node).is_empty());
    put(&node, "t", "5 ready", at(2, 260));
    assert_eq!(ready(&node).len(), 1);
}

/// Guards against a target that came after the copy was made and is dropped because a late
/// listing of an earlier era lacks it.
#[test]
fn remove_unlisted_of_earlier_era_ignored() {
    let node = node();
    put(&node, "t", "5 ready", at(2, 260));
    let listed = RecordBatch {
        rows: Vec::new(),
        version: Revision::new(1, 300),
    };
    super::remove_unlisted(&node, &listed);
    assert_eq!(ready(&node).len(), 1);
}
