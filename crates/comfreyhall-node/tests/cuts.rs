//! Engines that some daemons reach and others do not, in changing combinations.

mod engines;
mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_fakes::CallOutcome;
use engines::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{net::TcpListener, time::Instant};

const DAEMONS: usize = 4;
const ENGINES: usize = 6;

const PLAN: Plan = Plan {
    daemons: DAEMONS,
    engines: ENGINES,
    fencing: true,
};

/// Adapters that are requested.
const ADAPTERS: usize = 60;

/// How long cuts come and go.
const CUT_TIME: Duration = Duration::from_millis(9_000);

/// Longest time after the last cut until every daemon serves adapters that are not loaded.
const HEALED_WITHIN: Duration = Duration::from_millis(4_000);

/// Guards against engines that are ordered to load more than they have slots for while
/// their group passes from daemon to daemon, against holders that take turns, and against groups that stay without loads
/// after the last cut.
#[tokio::test]
async fn serve_changing_cuts_never_overfill() {
    let mut rng = StdRng::seed_from_u64(46);
    let fleet = Arc::new(start_fleet(PLAN).await);
    let began = Instant::now();
    let mut next_change = began;
    let mut sent = 0;
    while began.elapsed() < CUT_TIME {
        if Instant::now() >= next_change {
            fleet.change_cuts(&mut rng);
            next_change += Duration::from_millis(rng.random_range(300..1_500));
        }
        let daemon = rng.random_range(0..DAEMONS);
        let adapter = format!("a{}", rng.random_range(0..ADAPTERS));
        let (to, id) = (fleet.clone(), format!("q{sent}"));
        tokio::spawn(async move { to.serve(daemon, id, adapter).await });
        sent += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.heal();
    let healed = Instant::now();
    for daemon in 0..DAEMONS {
        for i in 0.. {
            let name = format!("h{daemon}-{i}");
            if fleet.serve(daemon, name.clone(), name).await {
                break;
            }
            assert!(healed.elapsed() < HEALED_WITHIN, "daemon {daemon}");
        }
    }
    let turns = fleet.turns();
    assert!(turns.is_empty(), "holders took turns: {turns:#?}");
    let overfilled = |e: &Mutex<Engine>| e.lock().unwrap().overfilled;
    let overfilled: Vec<usize> = fleet.engines.values().map(overfilled).collect();
    assert_eq!(overfilled, [0; ENGINES]);
    let commands = fleet.engines.values().map(|e| e.lock().unwrap().sequence);
    assert!(commands.sum::<u64>() > 100);
}

/// Time in which a daemon that stops ends, and its successor begins to command the group.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Calls that the store refuses to a daemon that stops.
const REFUSED_CALLS: usize = 100;

/// Guards against a holder that hands its group on when it stops, as the store is away,
/// starts again and takes the group back within a lease term of its last command: it has
/// forgotten that command.
#[tokio::test]
async fn serve_restarted_holder_takes_no_turn() {
    let mut fleet = start_fleet(PLAN).await;
    fleet.serve_new(None, "first", STOP_TIME).await;
    let holder = loop {
        match fleet.holder() {
            Some(holder) => break holder,
            None => fleet.serve_new(None, "next", STOP_TIME).await,
        }
    };
    let ids = fleet.nodes.iter().map(|n| n.settings().id.clone());
    let stopping = ids.into_iter().position(|id| *id == *holder).unwrap();
    let refused = std::iter::repeat_n(CallOutcome::Unsent, REFUSED_CALLS);
    fleet.tables[stopping].script(refused);
    let node = fleet.nodes[stopping].clone();
    tokio::spawn(async move { comfreyhall_node::drain(&node, || {}).await });
    fleet.serve_new(Some(stopping), "beside", STOP_TIME).await;
    let successor = fleet.holder();
    assert!(successor.is_some_and(|s| s != holder), "nobody went on");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.start_daemon(&holder, listener);
    let time = LEASE_TERM - STOP_TIME;
    fleet.serve_new(Some(stopping), "again", time).await;
    let turns = fleet.turns();
    assert!(turns.is_empty(), "holders took turns: {turns:#?}");
}
