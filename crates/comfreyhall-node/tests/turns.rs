//! Holders that stop, start again or lose their engines while commands lie at silent ones.

mod engines;
mod support;

use std::time::Duration;

use comfreyhall_domain::Name;
use engines::*;
use tokio::net::TcpListener;

/// How long engines are silent: less than sound ones may be.
const SILENCE: Duration = Duration::from_millis(1_300);

/// When in that time their holder is stopped.
const STOP_AFTER: Duration = Duration::from_millis(150);

/// Longest time until a daemon commands the group.
const TAKEOVER_WITHIN: Duration = Duration::from_secs(10);

/// Time in which a daemon serves requests for adapters that are not loaded.
const SERVE_TIME: Duration = Duration::from_millis(400);

/// One engine, so that each command of a holder comes after one of the holder before.
const PLAN: Plan = Plan {
    daemons: 2,
    engines: 1,
    fencing: false,
};

/// Two daemons, whose engine does not check tokens, and which of them commands.
async fn start_pair() -> (Fleet, usize) {
    let fleet = start_fleet(PLAN).await;
    let holder = await_holder(&fleet, None, None).await;
    let first = position(&fleet, &holder);
    (fleet, first)
}

/// The daemon that commands the group, once it is another one than `before`; `except` serves
/// nothing.
async fn await_holder(fleet: &Fleet, except: Option<usize>, before: Option<&Name>) -> Name {
    let began = tokio::time::Instant::now();
    for i in 0.. {
        let name = format!("until{i}-{except:?}-{:?}", began);
        fleet.serve_new(except, &name, SERVE_TIME).await;
        if let Some(holder) = fleet.holder().filter(|h| Some(h) != before) {
            return holder;
        }
        assert!(began.elapsed() < TAKEOVER_WITHIN, "nobody commands");
    }
    unreachable!()
}

fn position(fleet: &Fleet, id: &Name) -> usize {
    let mut nodes = fleet.nodes.iter();
    let found = nodes.rposition(|n| n.settings().id == *id);
    found.expect("it is a daemon of the fleet")
}

/// Makes the engines silent with commands of the daemon at `holder` in flight, and stops
/// that daemon as planned if `stop`.
async fn silence(fleet: &Fleet, holder: usize, stop: bool) {
    fleet.silence(true);
    let other = fleet.nodes.len() - 1 - holder;
    fleet.serve_new(Some(other), "late", STOP_AFTER).await;
    if stop {
        let node = fleet.nodes[holder].clone();
        tokio::spawn(async move { comfreyhall_node::drain(&node, || {}).await });
    }
    tokio::time::sleep(SILENCE - STOP_AFTER).await;
    fleet.silence(false);
}

fn check(fleet: &Fleet) {
    let turns = fleet.turns();
    assert!(turns.is_empty(), "holders took turns: {turns:#?}");
    let lower = fleet.lower_tokens();
    assert!(
        lower.is_empty(),
        "lower token after a higher one: {lower:#?}"
    );
}

/// Guards against a holder that stops as planned with commands at a silent engine, starts
/// again, and takes turns with the daemon that went on for it.
#[tokio::test]
async fn serve_stopped_holder_takes_no_turn() {
    let (mut fleet, first) = start_pair().await;
    let id = fleet.nodes[first].settings().id.clone();
    silence(&fleet, first, true).await;
    let next = await_holder(&fleet, Some(first), Some(&id)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.start_daemon(&id, listener);
    // The next one stops as well, so that only the restarted one is left.
    let stopping = position(&fleet, &next);
    let node = fleet.nodes[stopping].clone();
    tokio::spawn(async move { comfreyhall_node::drain(&node, || {}).await });
    let last = await_holder(&fleet, Some(stopping), Some(&next)).await;
    assert_eq!(last, id);
    check(&fleet);
}
