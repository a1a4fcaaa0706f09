//! How often ordinary requests are held back while engines crash in a row.

use std::collections::{BTreeMap, BTreeSet};

use comfreyhall_quarantine::{Evidence, Fingerprint, Observation, Quarantine, Status};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};

const ENGINES: usize = 9;

/// Pause between two ordinary requests, and how long one runs, in ms.
const ARRIVAL_MS: u64 = 16;
const RUN_MS: u64 = 1_500;

/// When its first event comes, and how long after that it counts as having just
/// begun, in ms.
const FIRST_MS: u64 = 400;
const EARLY_MS: u64 = 300;

/// Crashes in one series, and the pause between two, in ms; an engine is away
/// for so long.
const CRASHES: u64 = 12;
const PAUSE_MS: u64 = 700;
const AWAY_MS: u64 = 3_000;

/// How often an ordinary request is sent in good faith: within its attempts,
/// by its caller, and by a caller that comes again.
const SENDS: u32 = 6;

/// Pause before it is sent again, in ms, and when its caller is held back.
const AGAIN_MS: u64 = 200;
const HELD_AGAIN_MS: u64 = 1_000;

/// How long the deadly request runs before its engine ends, in ms.
const DEADLY_MS: u64 = 50;

/// How long a series is played, and for how long requests arrive, in ms.
const PLAYED_MS: u64 = 60_000;
const ARRIVE_MS: u64 = 20_000;

/// When the first engine ends, in ms.
const BEGIN_MS: u64 = 5_000;

/// One request on its way.
#[derive(Clone, Copy)]
struct Run {
    fingerprint: Fingerprint,
    deadly: bool,
    engine: usize,
    /// When its first event comes, and when it ends.
    answers: u64,
    ends: u64,
    sends: u32,
}

impl Run {
    fn new(number: u64, deadly: bool) -> Self {
        Self {
            fingerprint: Fingerprint::of([&number.to_le_bytes()[..]]),
            deadly,
            engine: 0,
            answers: 0,
            ends: 0,
            sends: 0,
        }
    }
}

/// What series came to.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    ordinary: u64,
    /// Ordinary requests that lost an engine.
    hit: u64,
    /// Ordinary requests that were held back at some time.
    held: u64,
    /// Longest that one was, in ms.
    longest: u64,
    /// Engines that ended under the deadly request, at most.
    deadly: u64,
}

struct Series {
    rng: SmallRng,
    known: Quarantine,
    /// Which boot of each engine is there, and when it is back.
    boots: [u64; ENGINES],
    back: [u64; ENGINES],
    runs: Vec<Run>,
    /// Requests that come again, by when.
    again: BTreeMap<u64, Vec<Run>>,
    hit: BTreeSet<Fingerprint>,
    /// Since when ordinary requests were held back.
    held: BTreeMap<Fingerprint, u64>,
    now: u64,
    tally: Tally,
}

impl Series {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            known: Quarantine::default(),
            boots: [0; ENGINES],
            back: [0; ENGINES],
            runs: Vec::new(),
            again: BTreeMap::new(),
            hit: BTreeSet::new(),
            held: BTreeMap::new(),
            now: 1,
            tally: Tally::default(),
        }
    }

    fn up(&mut self) -> Option<usize> {
        let up = (0..ENGINES).filter(|e| self.back[*e] <= self.now);
        up.choose(&mut self.rng)
    }

    fn later(&mut self, run: Run, pause: u64) {
        self.again.entry(self.now + pause).or_default().push(run);
    }

    /// Sends a request to an engine that is there, unless it is held back.
    fn send(&mut self, mut run: Run) {
        let status = self.known.status(&run.fingerprint, 0, self.now);
        if matches!(status, Status::Quarantined { .. }) {
            if !run.deadly {
                self.held.entry(run.fingerprint).or_insert(self.now);
                self.later(run, HELD_AGAIN_MS);
            }
            return;
        }
        if let Some(since) = self.held.get(&run.fingerprint) {
            self.tally.longest = self.tally.longest.max(self.now - since);
        }
        let Some(engine) = self.up() else {
            return self.later(run, AGAIN_MS);
        };
        let takes = match run.deadly {
            true => DEADLY_MS,
            false => self.rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2),
        };
        run.engine = engine;
        run.sends += 1;
        run.answers = self.now + FIRST_MS;
        run.ends = self.now + takes;
        self.runs.push(run);
    }

    /// An engine ends, with all that runs there.
    fn crash(&mut self, engine: usize) {
        let boot = format!("e{engine}-{}", self.boots[engine]);
        self.boots[engine] += 1;
        self.back[engine] = self.now + AWAY_MS;
        let runs = std::mem::take(&mut self.runs);
        let (lost, left) = runs.into_iter().partition(|r| r.engine == engine);
        self.runs = left;
        let lost: Vec<Run> = lost;
        for run in lost {
            let early = self.now < run.answers + EARLY_MS;
            let target = boot.as_str().into();
            self.learn(run.fingerprint, Observation::TargetEnded { target, early });
            if !run.deadly {
                self.hit.insert(run.fingerprint);
            }
            if run.deadly || run.sends < SENDS {
                self.later(run, AGAIN_MS);
            }
        }
    }

    fn learn(&mut self, fingerprint: Fingerprint, finding: Observation) {
        let evidence = Evidence {
            fingerprint,
            observation: finding,
            at_ms: self.now,
            observer: "n".into(),
        };
        self.known.record(evidence, self.now);
    }

    /// Ends the runs whose time has come.
    fn end_runs(&mut self) {
        while let Some(at) = self.runs.iter().position(|r| r.ends <= self.now) {
            let run = self.runs[at];
            if run.deadly {
                self.tally.deadly += 1;
                self.crash(run.engine);
                continue;
            }
            self.runs.swap_remove(at);
            if self.known.is_suspect(&run.fingerprint) {
                self.learn(run.fingerprint, Observation::Completed);
            }
        }
    }

    /// Plays a series of crashes, by chance or by a deadly request.
    fn play(mut self, deadly: bool) -> Tally {
        while self.now < PLAYED_MS {
            self.end_runs();
            for run in self.again.remove(&self.now).unwrap_or_default() {
                self.send(run);
            }
            if self.now < ARRIVE_MS && self.now.is_multiple_of(ARRIVAL_MS) {
                self.tally.ordinary += 1;
                self.send(Run::new(self.tally.ordinary, false));
            }
            let turn = self.now.wrapping_sub(BEGIN_MS);
            let due = turn < CRASHES * PAUSE_MS && turn.is_multiple_of(PAUSE_MS);
            if due
                && !deadly
                && let Some(engine) = self.up()
            {
                self.crash(engine);
            }
            // Two copies of the deadly request are on their way at once.
            if deadly && (turn == 0 || turn == PAUSE_MS) {
                self.send(Run::new(0, true));
            }
            self.now += 1;
        }
        self.tally.hit = self.hit.len() as u64;
        self.tally.held = self.held.len() as u64;
        self.tally
    }
}

fn play_all(deadly: bool) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..50 {
        let tally = Series::new(seed).play(deadly);
        sum.ordinary += tally.ordinary;
        sum.hit += tally.hit;
        sum.held += tally.held;
        sum.longest = sum.longest.max(tally.longest);
        sum.deadly = sum.deadly.max(tally.deadly);
    }
    println!("deadly {deadly}, 50 series: {sum:?}");
    sum
}

/// Symptom: ordinary requests are held back though they harm nobody. Events:
/// engines are killed in a row; requests are sent on from one that ends to the
/// next one that does, and their callers send them again. Cause: that a target
/// ended under a request proves little. Aim: of the requests that lost an engine
/// fewer than one in a hundred is held back, for no longer than the first trial
/// takes to let it go.
#[test]
fn status_crash_series_holds_few() {
    let sum = play_all(false);
    assert!(sum.hit > 1_000, "{sum:?}");
    assert!(sum.held * 100 < sum.hit, "{sum:?}");
    assert!(sum.longest <= 35_000, "{sum:?}");
}

/// The same while one request ends engine after engine, until it is stopped.
#[test]
fn status_beside_deadly_request_holds_few() {
    let sum = play_all(true);
    assert!(sum.hit > 1_000, "{sum:?}");
    assert!(sum.held * 100 < sum.hit, "{sum:?}");
    assert!(sum.longest <= 35_000, "{sum:?}");
    assert!(sum.deadly <= 7, "{sum:?}");
}
