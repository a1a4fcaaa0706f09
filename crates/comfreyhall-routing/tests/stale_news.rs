//! What callers wait when engines are chosen by old news, and when by one
//! place that knows of every run.
//!
//! The load played is that of one failure domain of a large fleet: 31 engines,
//! 40 daemons, 150 prompts a second of up to 7,000 tokens each, which is 60% of
//! what the engines can read.

use std::collections::VecDeque;

use comfreyhall_domain::{Map, Name};
use comfreyhall_routing::{
    TargetStats, Work,
    selection::{Candidate, Spread, select},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENGINES: usize = 31;
const DAEMONS: usize = 40;
const REQUESTS_PER_S: f64 = 150.0;
/// Prompt tokens that an engine reads in a ms.
const SPEED: f64 = 19.2;
/// Ms between two sums of what all daemons have at the engines.
const NEWS_MS: u64 = 1_000;
/// Ms for which requests come.
const LENGTH_MS: u64 = 40_000;
/// Tokens of the shortest and of the longest prompt; short ones are common.
const PROMPTS: (f64, f64) = (300.0, 7_000.0);

/// A prompt that waits at an engine.
struct Prompt {
    daemon: usize,
    tokens: u64,
    left: f64,
    came: u64,
}

/// Who knows what of the engines.
#[derive(Clone, Copy, PartialEq)]
enum View {
    /// Each daemon knows its own prompts, and the sums of a second ago.
    News,
    /// One daemon knows all prompts.
    Bound,
}

fn name(prefix: &str, i: usize) -> Name {
    format!("{prefix}{i}").into()
}

/// Ms from arrival to the end of reading, sorted.
fn play(view: View, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engines: Vec<Name> = (0..ENGINES).map(|i| name("e", i)).collect();
    let mut boards: Vec<TargetStats> = (0..DAEMONS).map(|_| TargetStats::default()).collect();
    let mut queues: Vec<VecDeque<Prompt>> = (0..ENGINES).map(|_| VecDeque::new()).collect();
    let mut waits = Vec::new();
    for now in 0..LENGTH_MS {
        for (e, queue) in queues.iter_mut().enumerate() {
            let Some(first) = queue.front_mut() else {
                continue;
            };
            first.left -= SPEED;
            if first.left <= 0.0 {
                let done = queue.pop_front().unwrap();
                boards[done.daemon].prompt_read(&engines[e], done.tokens);
                boards[done.daemon].request_ended(&engines[e]);
                waits.push(now - done.came);
            }
        }
        if view == View::News && now % NEWS_MS == 0 {
            tell(&mut boards, &engines, now);
        }
        if !rng.random_bool(REQUESTS_PER_S / 1_000.0) {
            continue;
        }
        let daemon = match view {
            View::News => rng.random_range(0..DAEMONS),
            View::Bound => 0,
        };
        let share: f64 = rng.random();
        let tokens = (PROMPTS.0 + (PROMPTS.1 - PROMPTS.0) * share.powi(3)) as u64;
        let board = &mut boards[daemon];
        let choice = |id: &Name| Candidate {
            id: id.clone(),
            same_domain: true,
            wait_ms: board.prefill_ms(id, tokens, now),
            load_ms: 0.0,
            from_store: false,
            evicts: false,
            interference_ms: 0.0,
            success_rate: 1.0,
            tried: false,
        };
        let choices: Vec<Candidate> = engines.iter().map(choice).collect();
        let spread = match view {
            View::News => Spread::Stale(150.0),
            View::Bound => Spread::Equal,
        };
        let chosen = select(&choices, 1_000.0, spread, rng.random()).unwrap();
        let e = engines.iter().position(|id| *id == chosen.id).unwrap();
        board.request_sent(&engines[e], tokens);
        queues[e].push_back(Prompt {
            daemon,
            tokens,
            left: tokens as f64,
            came: now,
        });
    }
    waits.sort_unstable();
    waits
}

/// Gives every daemon the sums of what all others have.
fn tell(boards: &mut [TargetStats], engines: &[Name], now: u64) {
    let own = |b: &TargetStats| b.own_work().map(|(id, w)| (id.clone(), w)).collect();
    let works: Vec<Map<Name, Work>> = boards.iter().map(own).collect();
    for (d, board) in boards.iter_mut().enumerate() {
        for engine in engines {
            let others = works.iter().enumerate().filter(|(i, _)| *i != d);
            let sum = others.filter_map(|(_, w)| w.get(engine));
            let sum = sum.fold(Work::default(), |sum, w| sum.plus(*w));
            board.set_others_work(engine, sum, now + 2 * NEWS_MS);
        }
    }
}

fn at(waits: &[u64], percent: usize) -> u64 {
    waits[(waits.len() - 1) * percent / 100]
}

/// Symptom: in a fleet of 195 a first event took 670 ms in the middle, where an
/// idle engine takes 215, although engines read half of what they could. Events:
/// each daemon sends to the engines that looked idle a second ago. Cause: the
/// queues of an engine come and go within that second.
#[test]
fn best_one_place_knows_all() {
    for seed in 1..=3 {
        let (news, bound) = (play(View::News, seed), play(View::Bound, seed));
        let (p50, p99) = (
            (at(&news, 50), at(&bound, 50)),
            (at(&news, 99), at(&bound, 99)),
        );
        println!("seed {seed}: ms until read, by news and bound: p50 {p50:?}, p99 {p99:?}");
        assert!(2 * p50.1 <= p50.0, "p50 {p50:?}");
        assert!(2 * p99.1 <= p99.0, "p99 {p99:?}");
    }
}
