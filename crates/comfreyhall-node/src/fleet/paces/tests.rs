use comfreyhall_domain::Name;
use comfreyhall_protocol::{Daemon, EnginePace, Holding, News};
use comfreyhall_routing::Pace;

use crate::fleet::pace_log::{MAX_SENT, PaceLog, RENEW_MS};
use crate::test_node::{node, target};

fn slow(read: f64) -> Pace {
    Pace {
        read,
        long_read: read,
        ..Pace::default()
    }
}

fn engines(count: usize, pace: Pace) -> impl Iterator<Item = (Name, Pace)> {
    (0..count).map(move |i| (format!("i-0123456789@1772446956{i:03}").into(), pace))
}

/// Bytes of protobuf that the entries of one message take.
fn size(entries: &[EnginePace]) -> usize {
    let size = |e: &EnginePace| 2 + 2 + e.target.len() + 4 * 9;
    entries.iter().map(size).sum()
}

/// Guards against gossip that grows with the number of engines: each message has
/// a bounded size, and all engines are reported in turn.
#[test]
fn next_many_engines_bounded_messages() {
    let mut log = PaceLog::default();
    log.update(engines(740, slow(1.5)), 1);
    let (mut told, mut seen, mut messages) = (0, 0, 0);
    loop {
        let next = log.next(&mut told);
        if next.is_empty() {
            break;
        }
        // Two messages a second from each of three holders within 24 KB/s.
        assert!(next.len() <= MAX_SENT && size(&next) * 6 <= 24 * 1_024);
        seen += next.len();
        messages += 1;
    }
    assert_eq!((seen, messages), (740, 14));
}

/// Engines like the mean and those reported before are not reported again, except when they
/// change and now and then, in case a message was lost.
#[test]
fn update_tells_changes_and_renews() {
    let mut log = PaceLog::default();
    let mut told = 0;
    log.update(engines(5, Pace::default()), 1);
    assert!(log.next(&mut told).is_empty());
    log.update(engines(5, slow(1.7)), 2);
    assert_eq!(log.next(&mut told).len(), 5);
    log.update(engines(5, slow(1.72)), 5_000);
    assert!(log.next(&mut told).is_empty());
    log.update(engines(5, slow(1.2)), 6_000);
    assert_eq!(log.next(&mut told).len(), 5);
    log.update(engines(5, slow(1.2)), 6_000 + RENEW_MS);
    assert_eq!(log.next(&mut told).len(), 5);
    // An engine of a group that is no longer held is not reported.
    log.update(engines(2, slow(2.0)), 30_000);
    assert_eq!(log.next(&mut 0).len(), 2);
}

/// Only reports of the holder of an engine's group count.
#[tokio::test]
async fn learn_paces_only_from_holder() {
    let node = node();
    let engine = target("i-1");
    let group = engine.failure_domain.clone();
    node.view().targets.insert("i-1".into(), engine.into());
    let gossip = |holdings| News {
        from: Some(Daemon::default()),
        holdings,
        paces: vec![EnginePace {
            target: "i-1".into(),
            read: 1.9,
            long_read: 1.7,
            gap: 1.6,
            late_gaps: 0.1,
        }],
        event_wait_ms: 350.0,
        ..News::default()
    };
    let now = node.now();
    node.fleet.learn_paces(&node, &gossip(Vec::new()), now);
    assert_eq!(
        node.view().paces.current(&"i-1".into(), now),
        Pace::default()
    );
    let holding = Holding {
        group: group.to_string(),
        token: 3,
    };
    node.fleet.learn_paces(&node, &gossip(vec![holding]), now);
    let learned = node.view().paces.current(&"i-1".into(), now);
    assert!((learned.read - 1.9).abs() < 0.01 && (learned.long_read - 1.7).abs() < 0.01);
    assert_eq!(node.view().paces.event_wait_ms(), 350.0);
}
