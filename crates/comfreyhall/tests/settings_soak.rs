//! A soak of settings: many real daemons, changes that callers can see, and an
//! oracle that says which versions may answer.
//!
//! A seed decides how many daemons there are, how large the settings, how fast
//! the ways to the store, and what happens: changes singly, in series and
//! invalid; daemons killed singly and in herds, stopped one after the other,
//! frozen; a store that refuses, falls silent, resets or is slow for all or for
//! some daemons. Callers ask every daemon all the while on routes that tell
//! versions apart, and each answer is held against the versions that may be in
//! force at its moment.
//!
//! CI plays [`SEEDS`]. By hand: `SETTINGS_SEEDS=100..150 SETTINGS_DAEMONS=30
//! SETTINGS_KB=400 SETTINGS_SECONDS=30 cargo test --release -p comfreyhall --test
//! settings_soak -- --nocapture`. `SETTINGS_PROGRAM` names another build of the
//! daemon, `SETTINGS_BUSY` a number of threads that keep the machine busy.

mod support;

#[path = "../../../platform/tests/emulator/mod.rs"]
mod emulator;

#[path = "settings_soak/fleet.rs"]
mod fleet;
#[path = "settings_soak/history.rs"]
mod history;
#[path = "settings_soak/link.rs"]
mod link;
#[path = "settings_soak/oracle.rs"]
mod oracle;
#[path = "settings_soak/oracle_tests.rs"]
mod oracle_tests;
#[path = "settings_soak/probe.rs"]
mod probe;
#[path = "settings_soak/trouble.rs"]
mod trouble;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use fleet::{Fleet, Size};
use oracle::Answer;
use rand::{Rng, SeedableRng, rngs::StdRng};
use trouble::Mood;

/// Seeds that CI plays, and those that failed.
const SEEDS: [u64; 2] = [1, 2];

/// Seconds of faults in one run.
const SECONDS: u64 = 12;

/// Daemons in CI.
const DAEMONS: usize = 3;

/// Size of the settings in CI, in KB.
const KB: usize = 300;

/// Speed of each daemon's way to the store, in KB a second: 10 Mbit/s.
const LINK_KB: u64 = 1_250;

/// Time after the last fault until everything has to be as it should.
const CALM: Duration = Duration::from_secs(10);

/// Broken promises that are printed.
const SHOWN: usize = 40;

fn number<T: std::str::FromStr>(name: &str, otherwise: T) -> T {
    let text = std::env::var(name).ok();
    text.map_or(otherwise, |t| t.parse().ok().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SETTINGS_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = text.split_once("..").expect("SETTINGS_SEEDS is FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Keeps `threads` cores busy until told to stop.
fn keep_busy(threads: usize, stop: &Arc<AtomicBool>) {
    for _ in 0..threads {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        });
    }
}

async fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let size = Size {
        daemons: number("SETTINGS_DAEMONS", DAEMONS),
        kb: number("SETTINGS_KB", KB),
        link_kb: number("SETTINGS_LINK_KB", LINK_KB),
    };
    let mood = Mood::of(seed);
    println!("seed {seed}: {size:?}, {mood:?}");
    let mut fleet = Fleet::start(seed, size).await;
    let stop = Arc::new(AtomicBool::new(false));
    keep_busy(number("SETTINGS_BUSY", 0), &stop);
    let callers = probe::spawn(&fleet, seed, &stop);
    let begun = Instant::now();
    let lasts = Duration::from_secs(number("SETTINGS_SECONDS", SECONDS));
    while begun.elapsed() < lasts {
        let pause = rng.random_range(50..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        fleet.end_due(false).await;
        let ms = begun.elapsed().as_millis() as u64;
        trouble::next(&mut fleet, &mut rng, mood, ms);
    }
    while !fleet.calm() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.end_due(true).await;
    }
    tokio::time::sleep(CALM).await;
    stop.store(true, Ordering::SeqCst);
    let mut answers: Vec<Answer> = Vec::new();
    for caller in callers {
        answers.extend(caller.await.unwrap());
    }
    let broken = oracle::judge(&fleet.record(), &answers);
    println!(
        "{} answers, {} versions, {} faults, {} broken, {}",
        answers.len(),
        fleet.versions(),
        fleet.faults(),
        broken.len(),
        fleet.traffic()
    );
    for one in broken.iter().take(SHOWN) {
        println!("{one}");
    }
    assert!(
        broken.is_empty(),
        "seed {seed}, logs in {}: {:?}",
        fleet.dir.display(),
        oracle::count(&broken)
    );
}

#[test]
fn settings_in_force_everywhere() {
    for seed in seeds() {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(play(seed));
        runtime.shutdown_background();
    }
}
