//! Daemons that are stopped in turn while requests wait for a slot for their adapter.
//!
//! Runs hold their slots for seconds, and callers ask for more adapters than there are slots,
//! on connections that stay open until the process is gone. The oracle: no request that was
//! read ends without an answer, whether it waited or ran.
//!
//! CI runs [`SEEDS`]. To run others: `STOPS_SEEDS=2100..2110 STOPS_SECONDS=40 cargo test -p
//! comfreyhall --test soak stops:: -- --nocapture`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    Fleet, GRACE, MAX_UNREAD, ONE_RUN, Recovery,
    emulator::{
        caller::{Caller, Kind, Outcome, is_ready},
        config,
    },
    silence::number,
};

/// From this seed on, daemons are stopped in turn while requests wait.
pub const STOPS_FROM: u64 = 2_100;

/// Seeds that CI runs. 2100 fails where a wait does not know of the stop.
const SEEDS: [u64; 1] = [2_100];

/// Interval between the events of a stream: a run takes some 3 s, and ends in time if it
/// begins while callers may still know the address.
pub const LONG_INTERVAL_MS: u64 = 500;

/// How long daemons are stopped in one run.
const RUN_SECONDS: u64 = 20;

const DAEMONS: usize = 2;

/// Callers with one request at a time, for more adapters than engines have slots for.
const CALLERS: usize = 40;
const ADAPTERS: u32 = 80;

/// Time that a caller has, in ms: far more than a stop lasts.
const LIMIT_MS: u64 = 20_000;

/// Pause between two stops, in ms.
const PAUSE_MS: std::ops::Range<u64> = 500..2_000;

/// The configuration of a version, in which streams may wait and run for long.
pub fn long_config(version: u64) -> serde_json::Value {
    let mut config = config(version, "/g/");
    config["routes"][2]["timeout-ms"] = LIMIT_MS.into();
    config
}

/// A request that ended without an answer.
#[derive(Debug)]
struct Lost {
    _id: String,
    _after: Duration,
    _error: String,
}

/// Sends one stream after another until `stop` is set; returns those without an answer, and
/// the number of those that were rejected and answered.
async fn stream(front: String, mut rng: StdRng, stop: Arc<AtomicBool>) -> (Vec<Lost>, u32, u32) {
    let mut caller = Caller::default();
    caller.limit_ms = Some(LIMIT_MS);
    let (mut lost, mut rejected, mut answered) = (Vec::new(), 0, 0);
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let adapter = format!("a{}", rng.random_range(0..ADAPTERS));
        let id = format!("w{front}-{}-{i}", rng.random::<u32>());
        let began = Instant::now();
        match caller.send(&front, Kind::Stream, &id, &adapter).await {
            Outcome::Truncated(error) if began.elapsed() > MAX_UNREAD => lost.push(Lost {
                _id: id,
                _after: began.elapsed(),
                _error: error,
            }),
            Outcome::NotRun => rejected += 1,
            Outcome::Answered => answered += 1,
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
    (lost, rejected, answered)
}

async fn run_seed(seed: u64, seconds: u64) {
    println!("seed {seed}");
    let mut fleet = Fleet::start(seed, DAEMONS).await;
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = fleet.daemons.iter().map(|d| d.front.clone()).cycle();
    let callers: Vec<_> = fronts
        .take(CALLERS)
        .enumerate()
        .map(|(i, front)| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + i as u64);
            tokio::spawn(stream(front, rng, stop.clone()))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let began = Instant::now();
    for turn in 0.. {
        if began.elapsed() >= Duration::from_secs(seconds) {
            break;
        }
        let i = turn % DAEMONS;
        if is_ready(&fleet.daemons[i].ready).await {
            fleet.daemons[i].signal(Signal::SIGTERM);
            fleet.begin_fault(Instant::now(), 2 * GRACE, Recovery::AwaitStop(i));
        }
        fleet.await_daemons().await;
        let pause = fleet.random_duration(PAUSE_MS);
        tokio::time::sleep(pause).await;
    }
    stop.store(true, Ordering::SeqCst);
    let (mut lost, mut rejected, mut answered) = (Vec::new(), 0, 0);
    for caller in callers {
        let (l, r, a) = caller.await.unwrap();
        lost.extend(l);
        rejected += r;
        answered += a;
    }
    println!(
        "seed {seed}: {answered} answered, {rejected} rejected, {} lost",
        lost.len()
    );
    assert!(
        lost.is_empty(),
        "seed {seed}, logs in {}: {lost:#?}",
        fleet.dir.display()
    );
    assert!(answered > 0, "seed {seed}: nothing was answered");
}

/// Guards against requests that wait for a slot in a planned stop and are dropped without an
/// answer, and against runs that it begins and cuts.
#[test]
fn run_seed_stops_answer_all() {
    let _alone = ONE_RUN.lock().unwrap_or_else(|e| e.into_inner());
    let seeds = match std::env::var("STOPS_SEEDS") {
        Ok(text) => {
            let (from, to) = text.split_once("..").expect("STOPS_SEEDS is FROM..TO");
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let seconds = number("STOPS_SECONDS", RUN_SECONDS);
    for seed in seeds {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(run_seed(seed, seconds));
        runtime.shutdown_background();
    }
}
