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
//! CI plays [`CASES`]; those of [`LARGE`] failed once, at sizes that CI has no time
//! for: `SETTINGS_CASES=large`. By hand: `SETTINGS_SEEDS=100..150
//! SETTINGS_DAEMONS=30 SETTINGS_KB=400 SETTINGS_SECONDS=30 cargo test --release -p
//! comfreyhall --test settings_soak -- --nocapture`. `SETTINGS_PROGRAM` names another
//! build of the daemon. With `SETTINGS_MIXED` (any non-empty value) as well, daemons
//! with an even index start first with that build and the others with this one, and
//! each further start of a daemon takes the other of the two. `SETTINGS_BUSY` is a
//! number of threads that keep the machine busy.

mod support;

#[path = "../../../platform/tests/emulator/mod.rs"]
mod emulator;

#[path = "settings_soak/fleet.rs"]
mod fleet;
#[path = "settings_soak/history.rs"]
mod history;
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

/// A run.
#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    size: Size,
    /// Seconds of faults.
    seconds: u64,
}

const fn case(seed: u64, daemons: usize, kb: usize, link_kb: u64, seconds: u64) -> Case {
    let size = Size {
        daemons,
        kb,
        link_kb,
    };
    Case {
        seed,
        size,
        seconds,
    }
}

/// Speed of each daemon's way to the store, in KB a second: 10 Mbit/s.
const LINK_KB: u64 = 1_250;

/// Runs of CI: a small fleet, and one large enough to report to holders of leases
/// whose ways are slow.
const CASES: [Case; 2] = [case(2, 3, 300, LINK_KB, 12), case(42, 20, 400, 500, 14)];

/// Runs that failed: by 404 of daemons cut off or just started (10, 21, 22), by
/// answers that were never in time (41, 31), by ages that were too young and by
/// unreadable settings (42).
const LARGE: [Case; 6] = [
    case(10, 30, 300, LINK_KB, 20),
    case(21, 90, 400, LINK_KB, 30),
    case(22, 90, 400, LINK_KB, 30),
    case(31, 60, 800, 600, 30),
    case(41, 40, 500, 500, 30),
    case(42, 40, 500, 500, 30),
];

/// Time after the last fault until everything has to be as it should.
const CALM: Duration = Duration::from_secs(10);

/// Broken promises that are printed.
const SHOWN: usize = 40;

fn number<T: std::str::FromStr>(name: &str, otherwise: T) -> T {
    let text = std::env::var(name).ok();
    text.map_or(otherwise, |t| t.parse().ok().expect("a number"))
}

fn cases() -> Vec<Case> {
    if std::env::var("SETTINGS_CASES").is_ok_and(|c| c == "large") {
        return LARGE.to_vec();
    }
    let Ok(text) = std::env::var("SETTINGS_SEEDS") else {
        return CASES.to_vec();
    };
    let (from, to) = text.split_once("..").expect("SETTINGS_SEEDS is FROM..TO");
    let seeds: std::ops::Range<u64> = from.parse().unwrap()..to.parse().unwrap();
    let daemons = number("SETTINGS_DAEMONS", 3);
    let (kb, link_kb) = (
        number("SETTINGS_KB", 300),
        number("SETTINGS_LINK_KB", LINK_KB),
    );
    let seconds = number("SETTINGS_SECONDS", 12);
    seeds
        .map(|seed| case(seed, daemons, kb, link_kb, seconds))
        .collect()
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

async fn play(case: Case) {
    let Case {
        seed,
        size,
        seconds,
    } = case;
    let mut rng = StdRng::seed_from_u64(seed);
    let mood = Mood::of(seed);
    println!("seed {seed}: {size:?}, {mood:?}");
    let mut fleet = Fleet::start(seed, size).await;
    let stop = Arc::new(AtomicBool::new(false));
    keep_busy(number("SETTINGS_BUSY", 0), &stop);
    let callers = probe::spawn(&fleet, seed, &stop);
    let starved = tokio::spawn(probe::starved(stop.clone()));
    let begun = Instant::now();
    let lasts = Duration::from_secs(seconds);
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
    let mut record = fleet.record();
    record.disturbances.extend(starved.await.unwrap());
    let broken = oracle::judge(&record, &answers);
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
    for case in cases() {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(play(case));
        runtime.shutdown_background();
    }
}
