use std::time::Duration;

use comfreyhall_protocol::{Daemon, EngineRun, Holding, News};

use super::news::{Lack, add_rows};
use crate::{
    facts::{self, Provenance},
    node::Node,
    ports::{Record, RecordBatch, Topic},
    test_node::node,
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
    }
}

/// News of the holder at port 100 with its roster, or the one it has of us.
fn news(roster_version: u64, roster: Vec<Daemon>) -> News {
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

/// Symptom: callers were sent to a daemon that had been off for seven seconds.
/// Events: in a fleet of 89 a holder tells another that the daemon is alive;
/// the daemon loses power; from then on the first holder only calls the second.
/// Cause: in a call the roster's version is the callee's, and the callee took
/// it for a sign that the caller's last roster still holds.
#[tokio::test]
async fn learn_call_renews_no_roster() {
    let node = node();
    for port in 200..220 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let off = daemon(200);
    let named = |node: &Node| node.addresses().0.iter().any(|a| **a == *off.front);
    let roster = vec![daemon(100), off.clone()];
    node.fleet
        .learn(&node, news(5, roster), super::Origin::Answer);
    assert!(named(&node));
    let limit = super::Fleet::alive_ms(21);
    let mut waited = 0;
    while waited <= limit {
        tokio::time::sleep(Duration::from_millis(100)).await;
        waited += 100;
        node.fleet
            .learn(&node, news(7, Vec::new()), super::Origin::Call);
    }
    assert!(!named(&node));
}

/// Symptom: one report later than the others, callers were still sent to a
/// daemon that was off. Events: a holder has the roster of another, which
/// calls it and takes its fleet for small yet. Cause: the answer bore the
/// caller's own roster, as if the holder had just made it.
#[tokio::test]
async fn news_for_answer_bears_no_known_roster() {
    let node = node();
    let peer = daemon(100).peer;
    node.fleet.add_peer(&peer, false);
    for port in 200..220 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let roster = vec![daemon(100)];
    node.fleet
        .learn(&node, news(5, roster), super::Origin::Answer);
    let mut told = node.fleet.news_for(&node, &peer);
    assert_eq!(told.roster_version, 0);
    node.fleet.tell_roster(&peer, &mut told);
    assert_ne!(told.roster_version, 0);
}

/// Guards against reports that bear a whole configuration again and again, to
/// daemons that are cut off as to others.
#[test]
fn settings_large_in_no_news() {
    let node = node();
    let row = |key: &str, bytes: usize, version| Record {
        key: key.into(),
        value: Some(vec![b' '; bytes].into()),
        version,
    };
    let put = |fact: Record| {
        let version = fact.version;
        let rows = vec![fact];
        let origin = Provenance::store(node.now());
        facts::apply(
            &node,
            Topic::Settings,
            RecordBatch { rows, version },
            &origin,
        );
    };
    let told = |settings_version, cut_off| {
        let ask = News {
            settings_version,
            cut_off,
            ..News::default()
        };
        let mut answer = News::default();
        add_rows(&node, Lack::from(&ask), &mut answer);
        answer.settings.len()
    };
    put(row("version/m.a1", 60, 1));
    assert_eq!((told(0, false), told(0, true)), (1, 1));
    put(row("config", 300_000, 2));
    put(row("version/m.a2", 60, 3));
    // A part of them would pass for all.
    assert_eq!((told(1, false), told(1, true)), (0, 0));
    assert_eq!((told(2, false), told(2, true)), (1, 1));
}

/// Symptom: routes were denied 3 s after they had been added. Events: the
/// store falls silent in the middle of a feed call; it comes back, the others
/// read a larger configuration, and this daemon still waits for its call to
/// fail. Cause: it did not count as cut off, so nobody sent it the settings.
#[tokio::test]
async fn own_news_behind_is_cut_off() {
    let node = node();
    let peer = daemon(100);
    node.fleet.add_peer(&peer.peer, false);
    let newer = News {
        settings_version: 9,
        ..news(0, Vec::new())
    };
    let now = node.now();
    let heard = News {
        from: Some(peer),
        ..newer
    };
    node.fleet.learn(&node, heard, super::Origin::Call);
    let cut_off = |at| node.fleet.own_news(&node, at).cut_off;
    assert!(!cut_off(now));
    let lag = node.settings().bounds.apply_ms / 3;
    assert!(cut_off(now + lag + 1));
    let rows = vec![Record {
        key: "config".into(),
        value: Some(Vec::new().into()),
        version: 9,
    }];
    let origin = Provenance::store(node.now());
    facts::apply(
        &node,
        Topic::Settings,
        RecordBatch { rows, version: 9 },
        &origin,
    );
    assert!(!cut_off(now + lag + 2));
}

/// Symptom: half a gigabyte went between failure domains in six seconds.
/// Events: the store is away, so all 90 daemons count as cut off; a
/// configuration of 300 KB is in force on all. Cause: each report to a holder
/// that was cut off bore all settings, whether it had them or not.
#[tokio::test]
async fn push_rows_only_what_is_lacked() {
    let node = node();
    let rows = vec![Record {
        key: "config".into(),
        value: Some(vec![b' '; 3_000].into()),
        version: 9,
    }];
    let origin = Provenance::store(node.now());
    facts::apply(
        &node,
        Topic::Settings,
        RecordBatch { rows, version: 9 },
        &origin,
    );
    let told = |settings_version| {
        let cut_off = News {
            cut_off: true,
            settings_version,
            ..news(0, Vec::new())
        };
        node.fleet.learn(&node, cut_off, super::Origin::Call);
        let mut call = News::default();
        node.fleet.push_rows(&node, &daemon(100).peer, &mut call);
        call.settings.len()
    };
    assert_eq!(told(9), 0);
    assert_eq!(told(8), 1);
}

/// Symptom: an outage of the store cost 360 calls a second for leases. Events:
/// holders cannot renew, and each of 90 daemons tries to take each lease. Cause:
/// only those better placed came first, not one of those as well placed.
#[tokio::test]
async fn ahead_equals_take_turns() {
    let node = node();
    for port in 200..210 {
        let heard = News {
            from: Some(Daemon {
                millicores: 100,
                ..daemon(port)
            }),
            ..News::default()
        };
        node.fleet.learn(&node, heard, super::Origin::Call);
    }
    let now = node.now();
    let own = node.fleet.ahead("d", now);
    assert!(!own.better);
    assert!(own.equals <= 10);
    // In another group's eyes the turn is another.
    let turns = ["d", "e", "f", "g"].map(|g| node.fleet.ahead(g, now).equals);
    assert!(turns.iter().any(|t| *t != turns[0]), "{turns:?}");
}

/// Symptom: holders of a fleet of 195 knew of half the work at their engines.
/// Events: daemons report every 1.0 to 1.2 s. Cause: what one had told counted
/// for a second.
#[tokio::test]
async fn learn_work_counts_until_next_report() {
    let node = node();
    for port in 1_000..1_194 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    let run = EngineRun {
        id: 7,
        target: "t".into(),
        adapter: "m/a".into(),
        unread: 500,
    };
    let told = News {
        runs: vec![run],
        ..news(0, Vec::new())
    };
    node.fleet.learn(&node, told, super::Origin::Call);
    let late = node.now() + super::hub::pace_ms(194) + super::PERIOD_MS;
    assert_eq!(
        node.view()
            .board
            .total_work(&"t".into(), late)
            .prefill_tokens,
        500
    );
}

/// Symptom: one daemon held the leases of four domains out of five. Events: it
/// was the first to be ready, and those better placed were ready later. Cause:
/// a lease once taken was kept.
#[tokio::test]
async fn better_in_the_group_s_domain() {
    let node = node();
    let hear = |port, domain: &str, millicores| {
        let heard = News {
            from: Some(Daemon {
                domain: domain.into(),
                millicores,
                ..daemon(port)
            }),
            ..News::default()
        };
        node.fleet.learn(&node, heard, super::Origin::Call);
    };
    hear(200, "e", 100);
    hear(201, "f", 100);
    let now = node.now();
    assert_eq!(
        node.fleet.successor("e", now).as_deref(),
        Some("127.0.0.1:200")
    );
    assert!(node.fleet.better("e", "127.0.0.1:200"));
    assert!(!node.fleet.better("e", "127.0.0.1:201"));
    // Its own domain's lease it leaves to nobody.
    hear(202, "d", 900);
    assert!(!node.fleet.better("d", "127.0.0.1:202"));
    // In a large fleet a daemon with little processor is no better place.
    for port in 300..320 {
        node.fleet.add_peer(&format!("127.0.0.1:{port}"), false);
    }
    assert!(node.fleet.better("e", "127.0.0.1:200"), "both are weak");
}

/// Guards against an old version that counts as confirmed by news that lay unread.
#[tokio::test]
async fn learn_age_counts_from_when_news_was_made() {
    let node = node();
    let told = |echoed_at, heard_boot| News {
        settings_age: 10,
        echoed_at,
        heard_boot,
        ..news(0, Vec::new())
    };
    let age = || node.view().records.settings_sync.age_ms(5_000);
    let boot = node.fleet.boot();
    // The last one says that the store told it before this start.
    for (echoed_at, heard_boot) in [(0, boot), (4_990, boot + 1), (9, boot)] {
        let odd = told(echoed_at, heard_boot);
        node.fleet.learn(&node, odd, super::Origin::Call);
        assert_eq!(age(), u64::MAX);
    }
    let late = told(1_000, boot);
    node.fleet.learn(&node, late, super::Origin::Call);
    assert_eq!(age(), 4_010);
}

/// Guards against a part of newer settings, sent to an earlier start of this daemon,
/// that passes for all of them.
#[tokio::test]
async fn learn_settings_after_gap_not_taken() {
    let node = node();
    let told = |settings_since| News {
        settings_version: 12,
        settings_since,
        settings: vec![comfreyhall_protocol::Fact {
            key: "version/m.a1".into(),
            value: b"x".to_vec(),
            version: 12,
            deleted: false,
        }],
        ..news(0, Vec::new())
    };
    let newest = || node.view().records.settings_sync.newest();
    node.fleet.learn(&node, told(9), super::Origin::Call);
    assert_eq!(newest(), 0);
    node.fleet.learn(&node, told(0), super::Origin::Answer);
    assert_eq!(newest(), 12);
}
