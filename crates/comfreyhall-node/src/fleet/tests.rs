mod daemons;
mod large;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::Revision;
use comfreyhall_protocol::{Daemon, EngineRun, Holding, News};

use super::rows::{ReportedVersions, add_rows};
use crate::{
    node::Node,
    ports::{Record, RecordBatch, Topic},
    records,
    rows::Provenance,
    test_node::{node, rev},
};

fn daemon(port: u16) -> Daemon {
    Daemon {
        id: format!("n{port}"),
        boot: 1,
        peer: format!("127.0.0.1:{port}"),
        front: format!("127.0.0.1:{port}"),
        domain: "d".into(),
        ready: true,
        millicores: 500,
        isolated: false,
        ..Daemon::default()
    }
}

/// A gossip message of the holder at port 100 with its roster, or with the
/// version of the roster it has from this daemon.
fn gossip(roster_version: u64, roster: Vec<Daemon>) -> News {
    News {
        from: Some(daemon(100)),
        holdings: vec![Holding {
            group: "d".into(),
            token: 1,
        }],
        roster_version,
        roster,
        ..News::default()
    }
}

/// Guards against sending callers to a daemon that had been down for seven
/// seconds, in a fleet of 89. A holder reports to another that the daemon is
/// alive; the daemon loses power, and from then on the first holder only makes
/// calls. The roster version in a call is the callee's, and must not renew the
/// caller's last roster.
#[tokio::test]
async fn apply_gossip_call_renews_no_roster() {
    let node = node();
    for port in 200..220 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let off = daemon(200);
    let named = |node: &Node| node.addresses().0.iter().any(|a| **a == *off.front);
    let roster = vec![daemon(100), off.clone()];
    node.fleet
        .apply_gossip(&node, gossip(5, roster), super::Origin::Answer);
    assert!(named(&node));
    let limit = super::Fleet::alive_ms(21);
    let mut waited = 0;
    while waited <= limit {
        tokio::time::sleep(Duration::from_millis(100)).await;
        waited += 100;
        node.fleet
            .apply_gossip(&node, gossip(7, Vec::new()), super::Origin::Call);
    }
    assert!(!named(&node));
}

/// Guards against sending callers to a daemon that is down for one report
/// longer than necessary. A holder has the roster of another one, which calls
/// it and still regards its fleet as small. The answer must not carry the
/// caller's own roster version as if the holder had just made it.
#[tokio::test]
async fn gossip_for_answer_without_known_roster() {
    let node = node();
    let peer = daemon(100).peer;
    node.fleet.add_peer(&peer, false);
    for port in 200..220 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let roster = vec![daemon(100)];
    node.fleet
        .apply_gossip(&node, gossip(5, roster), super::Origin::Answer);
    let mut reported = node.fleet.gossip_for(&node, &peer);
    assert_eq!(reported.roster_version, 0);
    node.fleet.add_known_roster(&peer, &mut reported);
    assert_ne!(reported.roster_version, 0);
}

/// Guards against reports that carry a whole configuration again and again,
/// whether the receiver is cut off or not.
#[test]
fn add_rows_omits_large_settings() {
    let node = node();
    let row = |key: &str, bytes: usize, version| Record {
        key: key.into(),
        value: Some(vec![b' '; bytes].into()),
        version,
    };
    let put = |record: Record| {
        let version = record.version;
        let rows = vec![record];
        let origin = Provenance::store(node.now());
        records::apply(
            &node,
            Topic::Settings,
            RecordBatch { rows, version },
            &origin,
        );
    };
    let reported = |settings_version, cut_off| {
        let ask = News {
            settings_version,
            cut_off,
            ..News::default()
        };
        let mut answer = News::default();
        add_rows(&node, ReportedVersions::from(&ask), &mut answer);
        answer.settings.len()
    };
    put(row("version/m.a1", 60, rev(1)));
    assert_eq!((reported(0, false), reported(0, true)), (1, 1));
    put(row("config", 300_000, rev(2)));
    put(row("version/m.a2", 60, rev(3)));
    // A part of them would pass for all.
    assert_eq!((reported(1, false), reported(1, true)), (0, 0));
    assert_eq!((reported(2, false), reported(2, true)), (1, 1));
}

/// Guards against routes that are denied 3 s after they were added. The store
/// stops answering in the middle of a feed call; it comes back, the others read a
/// larger configuration, and this daemon still waits for its call to fail. It
/// must count as cut off, or nobody sends it the settings.
#[tokio::test]
async fn own_gossip_behind_is_cut_off() {
    let node = node();
    let peer = daemon(100);
    node.fleet.add_peer(&peer.peer, false);
    let newer = News {
        settings_version: 9,
        ..gossip(0, Vec::new())
    };
    let now = node.now();
    let message = News {
        from: Some(peer),
        ..newer
    };
    node.fleet.apply_gossip(&node, message, super::Origin::Call);
    let cut_off = |at| node.fleet.own_gossip(&node, at).cut_off;
    assert!(!cut_off(now));
    let lag = node.settings().bounds.apply_ms / 3;
    // The daemon read its clock between `now` and here.
    assert!(cut_off(node.now() + lag + 1));
    let rows = vec![Record {
        key: "config".into(),
        value: Some(Vec::new().into()),
        version: rev(9),
    }];
    let origin = Provenance::store(node.now());
    records::apply(
        &node,
        Topic::Settings,
        RecordBatch {
            rows,
            version: rev(9),
        },
        &origin,
    );
    assert!(!cut_off(now + lag + 2));
}

/// Guards against gossip that fills the links: half a gigabyte between failure
/// domains in six seconds. In an outage of the store all 90 daemons count as
/// cut off, and have a configuration of 300 KB. A report to a holder that is
/// cut off must not carry settings that it has already.
#[tokio::test]
async fn push_rows_only_missing() {
    let node = node();
    let rows = vec![Record {
        key: "config".into(),
        value: Some(vec![b' '; 3_000].into()),
        version: rev(9),
    }];
    let origin = Provenance::store(node.now());
    records::apply(
        &node,
        Topic::Settings,
        RecordBatch {
            rows,
            version: rev(9),
        },
        &origin,
    );
    let reported = |settings_version| {
        let cut_off = News {
            cut_off: true,
            settings_version,
            ..gossip(0, Vec::new())
        };
        node.fleet.apply_gossip(&node, cut_off, super::Origin::Call);
        let mut call = News::default();
        node.fleet.push_rows(&node, &daemon(100).peer, &mut call);
        call.settings.len()
    };
    assert_eq!(reported(9), 0);
    assert_eq!(reported(8), 1);
}

/// Guards against a burst of lease attempts: 360 calls a second in an outage of
/// the store. Holders cannot renew, and each of 90 daemons tries to acquire
/// each lease, unless equally placed daemons take turns as well.
#[tokio::test]
async fn precedence_equals_take_turns() {
    let node = node();
    for port in 200..210 {
        let message = News {
            from: Some(Daemon {
                millicores: 100,
                ..daemon(port)
            }),
            ..News::default()
        };
        node.fleet.apply_gossip(&node, message, super::Origin::Call);
    }
    let now = node.now();
    let own = node.fleet.precedence("d", false, now);
    assert!(!own.better);
    assert!(own.equals <= 10);
    // The turn differs from group to group.
    let turns = ["d", "e", "f", "g"].map(|g| node.fleet.precedence(g, false, now).equals);
    assert!(turns.iter().any(|t| *t != turns[0]), "{turns:?}");
}

/// Guards against reported work that expires before the next report: holders of
/// a fleet of 195 knew half the work at their engines. Daemons report every 1.0
/// to 1.2 s, and a report counted for one second.
#[tokio::test]
async fn apply_gossip_work_counts_until_next_report() {
    let node = node();
    for port in 1_000..1_194 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let run = EngineRun {
        id: 7,
        target: "t".into(),
        adapter: "m/a".into(),
        unread: 500,
        ..EngineRun::default()
    };
    let reported = News {
        runs: vec![run],
        ..gossip(0, Vec::new())
    };
    node.fleet
        .apply_gossip(&node, reported, super::Origin::Call);
    let late =
        node.now() + super::periods::report_period_ms(194) + super::periods::GOSSIP_PERIOD_MS;
    assert_eq!(
        node.view()
            .board
            .total_work(&"t".into(), late)
            .prefill_tokens,
        500
    );
}

/// Guards against one daemon that keeps the leases of four domains out of five.
/// It was the first to be ready, and the better placed ones became ready later.
#[tokio::test]
async fn is_better_placed_in_group_domain() {
    let node = node();
    let receive_gossip = |port, domain: &str, millicores| {
        let message = News {
            from: Some(Daemon {
                domain: domain.into(),
                millicores,
                ..daemon(port)
            }),
            ..News::default()
        };
        node.fleet.apply_gossip(&node, message, super::Origin::Call);
    };
    receive_gossip(200, "e", 100);
    receive_gossip(201, "f", 100);
    let now = node.now();
    assert_eq!(
        node.fleet.successor("e", now).as_deref(),
        Some("127.0.0.1:200")
    );
    assert!(node.fleet.is_better_placed("e", "127.0.0.1:200"));
    assert!(!node.fleet.is_better_placed("e", "127.0.0.1:201"));
    // It gives up the lease of its own domain to nobody.
    receive_gossip(202, "d", 900);
    assert!(!node.fleet.is_better_placed("d", "127.0.0.1:202"));
    // In a large fleet a daemon with little processor is not better placed.
    for port in 300..320 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    assert!(
        node.fleet.is_better_placed("e", "127.0.0.1:200"),
        "both are weak"
    );
}

/// Guards against an old version that counts as confirmed because of a message
/// that stayed unread.
#[tokio::test]
async fn apply_gossip_age_counts_from_creation() {
    let node = node();
    let reported = |echoed_at, heard_boot| News {
        settings_age: 10,
        echoed_at,
        heard_boot,
        ..gossip(0, Vec::new())
    };
    let age = || node.view().records.settings_sync.age_ms(5_000);
    let boot = node.fleet.boot();
    // In the last case the store confirmed it before this start.
    for (echoed_at, heard_boot) in [(0, boot), (4_990, boot + 1), (9, boot)] {
        let odd = reported(echoed_at, heard_boot);
        node.fleet.apply_gossip(&node, odd, super::Origin::Call);
        assert_eq!(age(), u64::MAX);
    }
    let late = reported(1_000, boot);
    node.fleet.apply_gossip(&node, late, super::Origin::Call);
    assert_eq!(age(), 4_010);
}

/// Guards against a part of newer settings, sent to an earlier start of this
/// daemon, that passes for all of them.
#[tokio::test]
async fn apply_gossip_settings_after_gap_ignored() {
    let node = node();
    let reported = |settings_since| News {
        settings_version: 12,
        settings_since,
        settings: vec![comfreyhall_protocol::Fact {
            key: "version/m.a1".into(),
            value: b"x".to_vec(),
            version: 12,
            deleted: false,
        }],
        ..gossip(0, Vec::new())
    };
    let newest = || node.view().records.settings_sync.newest();
    node.fleet
        .apply_gossip(&node, reported(9), super::Origin::Call);
    assert_eq!(newest(), rev(0));
    node.fleet
        .apply_gossip(&node, reported(0), super::Origin::Answer);
    assert_eq!(newest(), rev(12));
}

/// Guards against daemons that never learn how recent their targets are: one had a row
/// by gossip that is newer than what it knows to be complete, and was sent only rows
/// after that one.
#[test]
fn add_rows_covers_what_is_not_complete() {
    let node = node();
    records::prove_targets(&node, rev(10), node.now());
    let ask = News {
        targets_version: 9,
        targets_complete: 5,
        targets_age: 1_000,
        ..News::default()
    };
    let mut answer = News::default();
    add_rows(&node, ReportedVersions::from(&ask), &mut answer);
    let proof = answer.targets_proof.expect("the rows are complete");
    assert_eq!((proof.since, proof.until), (5, 10));
}

/// Guards against a holder of a large fleet that looks through all targets for each of
/// hundreds of reports a second.
#[test]
fn is_newer_proof_needs_advance() {
    let node = node();
    assert!(node.view().records.targets.is_newer_proof(1_000));
    records::prove_targets(&node, rev(10), 1_000);
    let view = node.view();
    assert!(!view.records.targets.is_newer_proof(1_100));
    assert!(view.records.targets.is_newer_proof(1_250));
}

/// A daemon that knew `rows` of the targets' and settings' topics before the store came
/// back from a copy, which has `copy` in their place.
fn restored_node(
    rows: &[(Topic, &str, &'static str)],
    copy: &[(Topic, &str, &'static str)],
) -> Arc<Node> {
    let node = node();
    let eras = [(1, 300, rows), (2, 200, copy)];
    for (era, number, rows) in eras {
        for (i, (topic, key, value)) in rows.iter().enumerate() {
            let version = Revision::new(era, number + i as u64);
            let record = Record {
                key: (*key).into(),
                value: Some(value.as_bytes().into()),
                version,
            };
            let batch = RecordBatch {
                rows: vec![record],
                version,
            };
            records::apply(&node, *topic, batch, &Provenance::store(node.now()));
        }
    }
    node
}

/// Guards against a daemon that never learns what the store has lost, as a peer keeps other
/// rows, but no more than it does itself.
#[tokio::test]
async fn apply_gossip_fetches_other_kept_rows() {
    let (settings, targets) = (Topic::Settings, Topic::Targets);
    let versions = [(settings, "adapter/a", "3")];
    let own = restored_node(&versions, &[(settings, "adapter/a", "2")]);
    let leaving = [(targets, "t", "5 draining")];
    let peer = restored_node(&leaving, &[(targets, "t", "5 ready")]);
    let hear = |node: &Arc<Node>, from: &Arc<Node>| {
        let gossip = News {
            from: Some(daemon(100)),
            ..from.fleet.own_gossip(from, from.now())
        };
        node.fleet.apply_gossip(node, gossip, super::Origin::Answer);
        node.fleet.state().kept_fetch.is_running()
    };
    let equal = restored_node(&versions, &[(settings, "adapter/a", "2")]);
    assert!(!hear(&equal, &own), "it knows the same");
    assert!(hear(&own, &peer));
}
