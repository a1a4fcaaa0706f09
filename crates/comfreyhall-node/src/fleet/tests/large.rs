//! What a change of one daemon costs a large fleet.

use comfreyhall_domain::{EngineConfig, Name};
use comfreyhall_protocol::Daemon;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::daemons::Daemons;
use crate::{
    node::Node,
    test_node::{config, target},
};

const HOLDERS: usize = 3;

/// Mean bytes of a target's total, names included.
const TOTAL_BYTES: usize = 8;

/// A change of a daemon, with its name.
type Change = (&'static str, fn(&Node));

/// Bytes that a row costs in a message beyond its own: its tag, its length, and the
/// versions that it leads from and to.
const ROW_BYTES: usize = 24;

/// Makes the engines of `node` known to it.
fn set_engines(node: &Node) {
    let mut config = config(1);
    let engine = EngineConfig {
        max_running: 4,
        cache_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 1,
        load_rate: 1.0,
        event_tokens: 1,
        models: Vec::new(),
    };
    if let Some(service) = config.services.get_mut("s") {
        service.engine = Some(engine);
    }
    let mut view = node.view();
    view.config = Some(config.into());
    for id in engines() {
        view.targets.insert(id.clone(), target(&id).into());
    }
}

fn engines() -> [Name; 5] {
    ["t0", "t1", "t2", "t3", "t4"].map(Into::into)
}

fn lose(node: &Node, targets: usize) {
    let now = node.now();
    for id in &engines()[..targets] {
        node.view().contacts.record_lost(id, now);
    }
}

fn isolate(node: &Node) {
    for id in engines() {
        node.record_unreached(&id);
    }
}

fn make_ready(node: &Node) {
    node.life.handle(comfreyhall_life::Event::Synced);
}

/// Guards against gossip that grows with the square of the fleet: 71 MB/s at the busiest
/// of 301 daemons. Each change of one daemon made each holder send each daemon the list
/// of all.
#[tokio::test]
async fn exchange_change_costs_one_row() {
    let changes: [Change; 4] = [
        ("lost_percent", |node| lose(node, 1)),
        ("lost_groups", |node| lose(node, 4)),
        ("isolated", isolate),
        ("ready", make_ready),
    ];
    let mut failures = Vec::new();
    for count in [30, 60] {
        let mut fleet = Daemons::new(count, HOLDERS);
        let changed = count - 1;
        set_engines(&fleet.nodes[changed]);
        for _ in 0..3 {
            fleet.round(&[]);
        }
        fleet.take_sent();
        fleet.round(&[]);
        assert_eq!(fleet.take_sent()["roster"], 0, "nothing has changed");
        for (what, change) in changes {
            let before = fleet.own(changed);
            change(&fleet.nodes[changed]);
            let after = fleet.own(changed);
            assert_ne!(after, before, "{what}");
            // Holders learn of it in the first round, in which some daemons have called
            // already.
            fleet.round(&[]);
            fleet.round(&[]);
            let known = |i: &usize| fleet.known(*i, changed).as_ref() == Some(&after);
            assert_eq!((0..changed).filter(known).count(), changed, "{what}");
            let sent = fleet.take_sent()["roster"];
            let bound = HOLDERS * count * (row_bytes(&after) + ROW_BYTES);
            if sent > bound {
                failures.push(format!(
                    "{what} at {count} daemons: {sent} bytes, {bound} allowed"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

fn row_bytes(daemon: &Daemon) -> usize {
    prost::Message::encoded_len(daemon)
}

/// Guards against a daemon that misses changes: one that was away while another lost its
/// targets, a holder that starts again, and holders that a daemon calls in turn.
#[tokio::test]
async fn exchange_daemons_know_missed_changes() {
    let mut fleet = Daemons::new(20, 2);
    let (away, changed, stopped) = (19, 18, 17);
    set_engines(&fleet.nodes[changed]);
    for _ in 0..3 {
        fleet.round(&[]);
    }
    for lost in 1..4 {
        lose(&fleet.nodes[changed], lost);
        fleet.round(&[away]);
        fleet.round(&[away]);
    }
    let after = fleet.own(changed);
    assert_ne!(fleet.known(away, changed).as_ref(), Some(&after));
    fleet.take_sent();
    fleet.round(&[]);
    assert_eq!(fleet.known(away, changed), Some(after));
    let list_bytes = 20 * row_bytes(&fleet.own(0));
    assert!(fleet.take_sent()["roster"] < list_bytes);
    // The first holder starts again: it knows nobody, and is the only one to learn of a
    // change.
    fleet.restart(0);
    let versions = |fleet: &Daemons| fleet.roster_versions(away);
    let before = versions(&fleet);
    fleet.round(&[1]);
    lose(&fleet.nodes[changed], 5);
    fleet.round(&[1]);
    fleet.round(&[1]);
    assert_eq!(fleet.known(away, changed), Some(fleet.own(changed)));
    assert_ne!(versions(&fleet)[0], before[0]);
    assert_eq!(versions(&fleet)[1], before[1]);
    // Both holders again, and a daemon that stops.
    fleet.round(&[]);
    assert!(fleet.sees(away, stopped));
    for _ in 0..8 {
        fleet.round(&[stopped]);
    }
    assert!(!fleet.sees(away, stopped));
    assert!((0..stopped).all(|i| fleet.sees(away, i)));
    fleet.round(&[]);
    fleet.round(&[]);
    assert!(fleet.sees(away, stopped));
}

/// Guards against a daemon of an older build that takes a few changed rows for all
/// daemons, and forgets the rest.
#[tokio::test]
async fn exchange_older_caller_gets_full_lists() {
    let mut fleet = Daemons::new(20, 1);
    for _ in 0..3 {
        fleet.round(&[]);
    }
    set_engines(&fleet.nodes[18]);
    for lost in 1..4 {
        lose(&fleet.nodes[18], lost);
        fleet.round(&[19]);
        fleet.advance(300);
        let answer = fleet.exchange(19, 0, |call| call.roster_boot = 0);
        assert_eq!((answer.roster_since, answer.roster.len()), (0, 20));
        // It has this list now.
        let answer = fleet.exchange(19, 0, |call| call.roster_boot = 0);
        assert_eq!(answer.roster.len(), 0);
        // Without a version as well.
        let answer = fleet.exchange(19, 0, |call| {
            (call.roster_boot, call.roster_version) = (0, 0);
        });
        assert_eq!((answer.roster_since, answer.roster.len()), (0, 20));
    }
}

/// Daemons of [`exchange_bytes_follow_changes`], unless the environment names another
/// number for a measurement.
fn fleet_size() -> usize {
    let size = std::env::var("FLEET_DAEMONS").ok();
    size.and_then(|n| n.parse().ok()).unwrap_or(24)
}

/// Guards against rosters whose bytes grow with daemons times daemons, and against totals
/// that name their targets again, under churn: daemons that lose targets and reach them again, are silent for a
/// while, or start again. Prints bytes by kind of content.
#[tokio::test]
async fn exchange_bytes_follow_changes() {
    const ROUNDS: usize = 40;
    let count = fleet_size();
    let mut fleet = Daemons::new(count, HOLDERS);
    let engines = 5 * count / HOLDERS;
    fleet.start_runs(engines, 10);
    for node in &fleet.nodes {
        set_engines(node);
    }
    for _ in 0..3 {
        fleet.round(&[]);
    }
    fleet.take_sent();
    let (mut changes, mut restarts) = (0, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut silent = Vec::new();
    for round in 0..ROUNDS {
        let index = rng.random_range(HOLDERS..count);
        let node = &fleet.nodes[index];
        match round % 4 {
            0 | 1 => {
                lose(node, rng.random_range(1..5));
                changes += 1;
            }
            2 if silent.is_empty() => {
                silent.push(index);
                // It goes and comes back.
                changes += 2;
            }
            2 => silent.clear(),
            _ => {
                fleet.restart(index);
                set_engines(&fleet.nodes[index]);
                restarts += 1;
            }
        }
        fleet.round(&silent);
    }
    let sent = fleet.take_sent();
    let mut table: Vec<_> = sent.iter().collect();
    table.sort();
    println!("{count} daemons, {changes} changes, {restarts} restarts, {ROUNDS} rounds");
    for (kind, bytes) in table {
        println!(
            "{kind}: {} bytes a daemon and round",
            bytes / count / ROUNDS
        );
    }
    let row = row_bytes(&fleet.own(0)) + ROW_BYTES;
    // A daemon that starts again is a change to the others, and has no list itself.
    let rows = (changes + restarts) * count + restarts * count;
    assert!(sent["roster"] <= HOLDERS * rows * row, "{sent:?}");
    let totals = HOLDERS * engines * count * ROUNDS;
    assert!(sent["totals"] <= totals * TOTAL_BYTES, "{sent:?}");
}

/// Gives the daemon at `to` the targets that the one at `from` knows.
fn copy_targets(fleet: &Daemons, from: usize, to: usize) {
    let targets = fleet.nodes[from].view().targets.clone();
    fleet.nodes[to].view().targets = targets;
}

/// Asserts that the daemon at `caller` counts the runs of all others but the holder's,
/// whose board is empty.
fn assert_others_runs(fleet: &Daemons, caller: usize) {
    let now = fleet.nodes[caller].now();
    let targets = fleet.nodes[caller].view().targets.clone();
    assert!(!targets.is_empty());
    for target in targets.keys() {
        let others = (1..fleet.nodes.len()).filter(|i| *i != caller);
        let runs = others.map(|i| fleet.runs_at(i, target)).sum::<usize>();
        let known = fleet.nodes[caller].view().board.total_work(target, now);
        assert_eq!(known.requests as usize, runs, "{target}");
        assert_eq!(known.prefill_tokens as usize, 500 * runs, "{target}");
    }
}

/// Guards against targets that look idle, or as busy as others, to a daemon of either
/// build, and after their holder has started again.
#[tokio::test]
async fn exchange_totals_of_each_target() {
    let mut fleet = Daemons::new(20, 1);
    fleet.start_runs(30, 4);
    let (caller, older) = (18, 19);
    for index in [caller, older] {
        copy_targets(&fleet, 0, index);
    }
    for restart in [false, true] {
        if restart {
            fleet.restart(0);
            copy_targets(&fleet, caller, 0);
        }
        for _ in 0..3 {
            fleet.round(&[older]);
            let answer = fleet.exchange(older, 0, |call| call.roster_boot = 0);
            assert!(answer.total_columns.is_none());
        }
        // The others report between its calls as well.
        fleet.advance(300);
        let answer = fleet.exchange(caller, 0, |_| {});
        assert!(answer.totals.is_empty() && answer.target_numbers.is_empty());
        assert_eq!(answer.total_columns.map_or(0, |c| c.steps.len()), 30);
        assert_others_runs(&fleet, caller);
        assert_others_runs(&fleet, older);
    }
}

/// Guards against a roster that stands still, or is sent whole again, when two daemons
/// hold a lease in turn: the list of the one that comes back is as old as its lease.
#[tokio::test]
async fn exchange_two_holders_in_turn() {
    let mut fleet = Daemons::new(20, 2);
    let (caller, changed) = (19, 18);
    set_engines(&fleet.nodes[changed]);
    for _ in 0..3 {
        fleet.round(&[]);
    }
    let list_bytes = 20 * row_bytes(&fleet.own(0));
    for turn in 1..6 {
        let (holds, pauses) = (turn % 2, (turn + 1) % 2);
        let group = |i: usize| format!("d{i}");
        let now = fleet.nodes[0].now();
        fleet.nodes[pauses].leases.end_handover(&group(pauses));
        fleet.nodes[holds]
            .leases
            .accept_handover(&group(holds), 10 * turn as u64, now);
        lose(&fleet.nodes[changed], turn);
        fleet.take_sent();
        for _ in 0..3 {
            fleet.round(&[]);
        }
        assert_eq!(fleet.known(caller, changed), Some(fleet.own(changed)));
        assert!((0..caller).all(|i| fleet.sees(caller, i)));
        // A row to each daemon, as it changed, and a second one on the way.
        assert!(fleet.take_sent()["roster"] < 3 * list_bytes, "turn {turn}");
    }
}
