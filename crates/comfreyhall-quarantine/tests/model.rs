//! A fleet of daemons that tell each other what they find, searched for a
//! sequence of partitions, restarts and lost news in which a deadly request
//! goes on being sent.
//!
//! Time goes by in rounds. In each at most one copy of the deadly request
//! comes, at some daemon, and ends a target if it is sent; ordinary requests
//! lose a target beside it, come again, or run whole. Then daemons that are in
//! touch swap what the other has not confirmed, unless that news is lost.

use std::collections::BTreeSet;

use comfreyhall_quarantine::{
    Evidence, Fingerprint, Observation, Quarantine, Status, SyncPosition,
};
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// Length of a round, in ms: news goes round in it.
const ROUND_MS: u64 = 300;

/// A daemon that was cut off, or has started, for less than this does not count
/// as in touch, in rounds; so long after the third end everybody must know.
const WINDOW: u64 = 10;

/// Sends that the bound allows after that.
const MORE: usize = 3;

/// Ordinary requests that may run beside the deadly one.
const BYSTANDERS: u64 = 3;

/// What happens in one round.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The deadly request comes to a daemon; these bystanders run beside it.
    Deadly(usize, u8),
    /// A target ends with these bystanders, and without the deadly request.
    Crash(usize, u8),
    /// A bystander runs whole.
    Whole(usize, u8),
    /// A daemon is cut off from the others, or is so no more.
    Cut(usize),
    /// A daemon loses all that it knows.
    Restart(usize),
    /// All news from one daemon to another is lost in this round.
    Lost(usize, usize),
    /// Nothing for so many rounds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Deadly(d, b)),
        1 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Crash(d, b)),
        1 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Whole(d, b)),
        1 => daemon().prop_map(Step::Cut),
        1 => daemon().prop_map(Step::Restart),
        2 => (daemon(), daemon()).prop_map(|(a, b)| Step::Lost(a, b)),
        1 => (1u64..200).prop_map(Step::Wait),
    ]
}

/// One daemon.
struct Daemon {
    known: Quarantine,
    /// Which process it is.
    boot: u64,
    /// How far it has heard each other.
    heard: [SyncPosition; DAEMONS],
    cut: bool,
    /// Whether it was cut off or started and has not yet heard of anybody who
    /// was neither: nobody could tell it what the others know.
    behind: bool,
    /// Since which round it is in touch.
    since: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    round: u64,
    targets: u64,
    /// When those in touch knew, together, of three targets that ended under
    /// the deadly request.
    known: Option<u64>,
    /// Sends of it that count.
    late: usize,
}

fn fingerprint_of(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

impl Fleet {
    fn new() -> Self {
        let daemon = |i| Daemon {
            known: Quarantine::default(),
            boot: 1 + i as u64,
            heard: Default::default(),
            cut: false,
            behind: false,
            since: 0,
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            round: WINDOW,
            targets: 0,
            known: None,
            late: 0,
        }
    }

    fn now(&self) -> u64 {
        self.round * ROUND_MS
    }

    fn in_touch(&self, daemon: usize) -> bool {
        let d = &self.daemons[daemon];
        !d.cut && !d.behind && self.round >= d.since + WINDOW
    }

    fn learn(&mut self, daemon: usize, fingerprint: Fingerprint, finding: Observation) {
        let now = self.now();
        let evidence = Evidence {
            fingerprint,
            observation: finding,
            at_ms: now,
            observer: format!("n{daemon}").as_str().into(),
        };
        self.daemons[daemon].known.record(evidence, now);
    }

    /// A target ends under these requests; each was sent by some daemon.
    fn end_target(&mut self, first: usize, fingerprints: &[Fingerprint]) {
        self.targets += 1;
        let target = format!("t{}", self.targets);
        for (i, fingerprint) in fingerprints.iter().enumerate() {
            let finding = Observation::TargetEnded {
                target: target.as_str().into(),
                early: true,
            };
            self.learn((first + i) % DAEMONS, *fingerprint, finding);
        }
    }

    fn free(&self, daemon: usize, fingerprint: Fingerprint) -> bool {
        let status = self.daemons[daemon]
            .known
            .status(&fingerprint, daemon, self.now());
        !matches!(status, Status::Quarantined { .. })
    }

    /// Those of `chosen` that their daemon does not hold back.
    fn beside(&self, daemon: usize, chosen: u8) -> Vec<Fingerprint> {
        let all = (1..=BYSTANDERS).filter(|b| chosen & (1 << (b - 1)) != 0);
        let free = all.map(fingerprint_of).filter(|p| self.free(daemon, *p));
        free.collect()
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Deadly(daemon, beside) if self.free(daemon, fingerprint_of(0)) => {
                let known = self.known.is_some_and(|r| self.round > r + WINDOW);
                self.late += usize::from(known && self.in_touch(daemon));
                let mut fingerprints = vec![fingerprint_of(0)];
                fingerprints.extend(self.beside(daemon, beside));
                self.end_target(daemon, &fingerprints);
            }
            Step::Deadly(..) => {}
            Step::Crash(daemon, beside) => {
                let fingerprints = self.beside(daemon, beside);
                self.end_target(daemon, &fingerprints);
            }
            Step::Whole(daemon, bystander) => {
                let fingerprint = fingerprint_of(1 + u64::from(bystander) % BYSTANDERS);
                if self.daemons[daemon].known.is_suspect(&fingerprint) {
                    self.learn(daemon, fingerprint, Observation::Completed);
                }
            }
            Step::Cut(daemon) => {
                let d = &mut self.daemons[daemon];
                d.cut = !d.cut;
                d.behind = true;
                d.since = self.round;
            }
            // What nobody in touch knows any more is forgotten.
            Step::Restart(daemon) if self.others_in_touch(daemon) => {
                let d = &mut self.daemons[daemon];
                d.known = Quarantine::default();
                d.heard = Default::default();
                d.boot += DAEMONS as u64;
                d.behind = true;
                d.since = self.round;
            }
            Step::Restart(_) | Step::Lost(..) | Step::Wait(_) => {}
        }
    }

    fn others_in_touch(&self, daemon: usize) -> bool {
        (0..DAEMONS).any(|o| o != daemon && self.in_touch(o))
    }

    /// All who are in touch swap news; what goes from `lost.0` to `lost.1` is
    /// lost.
    fn swap(&mut self, lost: Option<(usize, usize)>) {
        for from in 0..DAEMONS {
            for to in 0..DAEMONS {
                let cut = self.daemons[from].cut || self.daemons[to].cut;
                if from == to || cut || lost == Some((from, to)) {
                    continue;
                }
                self.tell(from, to);
            }
        }
        self.note_known();
        self.round += 1;
    }

    /// What a daemon knows that is cut off, or was lost with it, nobody can act
    /// on.
    fn note_known(&mut self) {
        let in_touch = (0..DAEMONS).filter(|d| self.in_touch(*d));
        let ends = in_touch.flat_map(|d| self.daemons[d].known.target_ends(&fingerprint_of(0)));
        let ends: BTreeSet<&str> = ends.map(|e| &*e.target).collect();
        if ends.len() >= 3 {
            self.known.get_or_insert(self.round);
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let now = self.now();
        let heard = self.daemons[to].heard[from];
        let boot = self.daemons[from].boot;
        let after = match heard.boot == boot {
            true => heard.serial,
            false => 0,
        };
        let (told, serial) = self.daemons[from].known.evidence_since(after);
        for evidence in told {
            self.daemons[to].known.record(evidence, now);
        }
        self.daemons[to].heard[from] = SyncPosition { boot, serial };
        if self.daemons[to].behind && !self.daemons[from].behind {
            self.daemons[to].behind = false;
            self.daemons[to].since = self.round;
        }
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.take(*step);
            let lost = match step {
                Step::Lost(from, to) => Some((*from, *to)),
                _ => None,
            };
            self.swap(lost);
            if let Step::Wait(rounds) = step {
                (0..*rounds).for_each(|_| self.swap(None));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Symptom: a request that has ended three targets goes on being sent.
    /// Events: daemons are cut off, start again, and news is lost. Cause: what
    /// one of them learned does not reach the others, or not again.
    #[test]
    fn status_deadly_request_is_bounded(steps in proptest::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new();
        fleet.run(&steps);
        prop_assert!(fleet.late <= MORE, "sent {} times more", fleet.late);
    }

    /// The bystanders are free again in the end, once they run whole.
    #[test]
    fn status_bystander_ran_whole_is_free(steps in proptest::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::new();
        fleet.run(&steps);
        let cut: Vec<usize> = (0..DAEMONS).filter(|d| fleet.daemons[*d].cut).collect();
        cut.into_iter().for_each(|d| fleet.take(Step::Cut(d)));
        fleet.swap(None);
        for bystander in 0..BYSTANDERS {
            (0..DAEMONS).for_each(|d| fleet.take(Step::Whole(d, bystander as u8)));
        }
        fleet.swap(None);
        for bystander in 1..=BYSTANDERS {
            prop_assert!((0..DAEMONS).all(|d| fleet.free(d, fingerprint_of(bystander))));
        }
    }
}
