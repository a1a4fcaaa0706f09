use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_slots::SlotShare;

use super::SlotLedgers;
use crate::fleet::Run;

fn run(share: &SlotShare) -> Run {
    Run {
        target: "t".into(),
        group: "d".into(),
        share: share.clone(),
        adapter: Some(AdapterRef {
            model: "m".into(),
            adapter: Some("a".into()),
        }),
        unread_tokens: 0,
        queued_tokens: 0,
        bound_at_ms: 0,
        began_at_ms: 0,
    }
}

/// Slot time of `share` in the group `d`.
fn used_ms(ledgers: &SlotLedgers, share: &SlotShare, now: u64) -> f64 {
    let state = ledgers.state();
    let group = state.groups.get("d");
    group.map_or(0.0, |g| g.ledger.used_ms(share, now))
}

/// Guards against shares that start anew when the holder is lost: its successor
/// adds what the daemons report of their own runs, and adds it once.
#[test]
fn add_reported_successor_takes_over() {
    let (rush, other) = (SlotShare::workspace("rush"), SlotShare::workspace("other"));
    let daemons = [SlotLedgers::default(), SlotLedgers::default()];
    for daemon in &daemons {
        (0..6).for_each(|_| daemon.record_own_end(&run(&rush), 1_000));
        daemon.record_own_end(&run(&other), 1_000);
    }
    let group: Name = "d".into();
    let successor = &daemons[0];
    let reported = daemons[1].own_use(&group, 1_000);
    // Before it holds the lease it counts nothing.
    successor.add_reported(|_| false, &"n1".into(), &reported, 1_000);
    assert_eq!(used_ms(successor, &rush, 1_000), 0.0);
    for _ in 0..3 {
        successor.add_reported(|_| true, &"n1".into(), &reported, 1_000);
    }
    let (rush_ms, other_ms) = (
        used_ms(successor, &rush, 1_000),
        used_ms(successor, &other, 1_000),
    );
    // Its own runs and the peer's; reports are in whole ms.
    assert!(
        (rush_ms / other_ms - 6.0).abs() < 0.05,
        "{rush_ms} {other_ms}"
    );
    let one = comfreyhall_slots::slot_time_ms(1_000);
    assert!((other_ms - 2.0 * one).abs() < 2.0, "{other_ms} {one}");
    // Once it has lost the lease, it drops them.
    successor.add_reported(|_| false, &"n1".into(), &[], 1_000);
    assert_eq!(used_ms(successor, &rush, 1_000), 0.0);
}
