//! Model test of a fleet that exchanges evidence. Searches for a sequence of
//! partitions, restarts and lost messages after which a deadly request is still
//! sent.
//!
//! Time passes in rounds. In each at most one copy of the deadly request
//! arrives at some daemon, and ends a target if it is sent; ordinary requests
//! lose a target beside it, are retried, or complete. Then connected daemons
//! exchange what the other has not confirmed, unless that message is lost.

use std::collections::BTreeSet;

use comfreyhall_quarantine::{
    Evidence, Feature, Fingerprint, Observation, Quarantine, Status, SyncPosition,
};
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// Length of a round, in which a message reaches every daemon.
const ROUND_MS: u64 = 300;

/// Rounds after a partition or a start before a daemon counts as connected, and
/// after the third end before every daemon must know.
const SYNC_ROUNDS: u64 = 10;

/// Sends allowed after that.
const MAX_LATE_SENDS: usize = 3;

/// Ordinary requests that may run beside the deadly one.
const BYSTANDERS: u64 = 3;

/// What happens in one round.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The deadly request arrives at a daemon; these bystanders run beside it.
    Deadly(usize, u8),
    /// A target ends with these bystanders, and without the deadly request.
    Crash(usize, u8),
    /// A bystander completes.
    Complete(usize, u8),
    /// A daemon is partitioned from the others, or connected again.
    Partition(usize),
    /// A daemon loses all that it knows.
    Restart(usize),
    /// All messages from one daemon to another are lost in this round.
    Lost(usize, usize),
    /// Nothing for this many rounds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Deadly(d, b)),
        1 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Crash(d, b)),
        1 => (daemon(), 0u8..8).prop_map(|(d, b)| Step::Complete(d, b)),
        1 => daemon().prop_map(Step::Partition),
        1 => daemon().prop_map(Step::Restart),
        2 => (daemon(), daemon()).prop_map(|(a, b)| Step::Lost(a, b)),
        1 => (1u64..200).prop_map(Step::Wait),
    ]
}

/// One daemon.
struct Daemon {
    quarantine: Quarantine,
    /// Identifies its process.
    boot: u64,
    /// How much it has received from each other daemon.
    received: [SyncPosition; DAEMONS],
    partitioned: bool,
    /// Whether it was partitioned or started and has not yet received anything from any
    /// daemon that was neither, so none could send it what the others know.
    behind: bool,
    /// Round since which it is connected.
    connected_since: u64,
}

struct Fleet {
    daemons: Vec<Daemon>,
    round: u64,
    targets: u64,
    /// When the connected daemons knew, together, of three targets that ended
    /// under the deadly request.
    known_since: Option<u64>,
    /// Sends of the deadly request that count against the bound.
    late_sends: usize,
}

fn fingerprint_of(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

impl Fleet {
    fn new() -> Self {
        let daemon = |i| Daemon {
            quarantine: Quarantine::default(),
            boot: 1 + i as u64,
            received: Default::default(),
            partitioned: false,
            behind: false,
            connected_since: 0,
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            round: SYNC_ROUNDS,
            targets: 0,
            known_since: None,
            late_sends: 0,
        }
    }

    fn now(&self) -> u64 {
        self.round * ROUND_MS
    }

    fn is_connected(&self, daemon: usize) -> bool {
        let d = &self.daemons[daemon];
        !d.partitioned && !d.behind && self.round >= d.connected_since + SYNC_ROUNDS
    }

    fn record(&mut self, daemon: usize, fingerprint: Fingerprint, observation: Observation) {
        let now = self.now();
        let evidence = Evidence {
            feature: Feature::request(fingerprint),
            observation,
            at_ms: now,
            observer: format!("n{daemon}").as_str().into(),
        };
        self.daemons[daemon].quarantine.record(evidence, now);
    }

    /// A target ends under these requests, each sent by a different daemon.
    fn end_target(&mut self, first: usize, fingerprints: &[Fingerprint]) {
        self.targets += 1;
        let target = format!("t{}", self.targets);
        for (i, fingerprint) in fingerprints.iter().enumerate() {
            let observation = Observation::TargetEnded {
                target: target.as_str().into(),
                early: true,
            };
            self.record((first + i) % DAEMONS, *fingerprint, observation);
        }
    }

    fn is_allowed(&self, daemon: usize, fingerprint: Fingerprint) -> bool {
        let status = self.daemons[daemon]
            .quarantine
            .status(&fingerprint, daemon, self.now());
        !matches!(status, Status::Quarantined { .. })
    }

    /// Those of `chosen` that their daemon does not quarantine.
    fn allowed_bystanders(&self, daemon: usize, chosen: u8) -> Vec<Fingerprint> {
        let all = (1..=BYSTANDERS).filter(|b| chosen & (1 << (b - 1)) != 0);
        let free = all
            .map(fingerprint_of)
            .filter(|p| self.is_allowed(daemon, *p));
        free.collect()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Deadly(daemon, bystanders) if self.is_allowed(daemon, fingerprint_of(0)) => {
                let known = self
                    .known_since
                    .is_some_and(|r| self.round > r + SYNC_ROUNDS);
                self.late_sends += usize::from(known && self.is_connected(daemon));
                let mut fingerprints = vec![fingerprint_of(0)];
                fingerprints.extend(self.allowed_bystanders(daemon, bystanders));
                self.end_target(daemon, &fingerprints);
            }
            Step::Deadly(..) => {}
            Step::Crash(daemon, bystanders) => {
                let fingerprints = self.allowed_bystanders(daemon, bystanders);
                self.end_target(daemon, &fingerprints);
            }
            Step::Complete(daemon, bystander) => {
                let fingerprint = fingerprint_of(1 + u64::from(bystander) % BYSTANDERS);
                if self.daemons[daemon].quarantine.is_suspect(&fingerprint) {
                    self.record(daemon, fingerprint, Observation::Completed);
                }
            }
            Step::Partition(daemon) => {
                let d = &mut self.daemons[daemon];
                d.partitioned = !d.partitioned;
                d.behind = true;
                d.connected_since = self.round;
            }
            // Evidence that no connected daemon has is lost.
            Step::Restart(daemon) if self.others_connected(daemon) => {
                let d = &mut self.daemons[daemon];
                d.quarantine = Quarantine::default();
                d.received = Default::default();
                d.boot += DAEMONS as u64;
                d.behind = true;
                d.connected_since = self.round;
            }
            Step::Restart(_) | Step::Lost(..) | Step::Wait(_) => {}
        }
    }

    fn others_connected(&self, daemon: usize) -> bool {
        (0..DAEMONS).any(|o| o != daemon && self.is_connected(o))
    }

    /// All connected daemons exchange evidence; what goes from `lost.0` to
    /// `lost.1` is lost.
    fn exchange(&mut self, lost: Option<(usize, usize)>) {
        for from in 0..DAEMONS {
            for to in 0..DAEMONS {
                let partitioned = self.daemons[from].partitioned || self.daemons[to].partitioned;
                if from == to || partitioned || lost == Some((from, to)) {
                    continue;
                }
                self.send_evidence(from, to);
            }
        }
        self.update_known();
        self.round += 1;
    }

    /// Evidence that only a partitioned daemon has, or that was lost with one,
    /// cannot be acted on.
    fn update_known(&mut self) {
        let connected = (0..DAEMONS).filter(|d| self.is_connected(*d));
        let ends =
            connected.flat_map(|d| self.daemons[d].quarantine.target_ends(&fingerprint_of(0)));
        let ends: BTreeSet<&str> = ends.map(|e| &*e.target).collect();
        if ends.len() >= 3 {
            self.known_since.get_or_insert(self.round);
        }
    }

    fn send_evidence(&mut self, from: usize, to: usize) {
        let now = self.now();
        let received = self.daemons[to].received[from];
        let boot = self.daemons[from].boot;
        let after = match received.boot == boot {
            true => received.serial,
            false => 0,
        };
        let (evidence_list, serial) = self.daemons[from].quarantine.evidence_since(after);
        for evidence in evidence_list {
            self.daemons[to].quarantine.record(evidence, now);
        }
        self.daemons[to].received[from] = SyncPosition { boot, serial };
        if self.daemons[to].behind && !self.daemons[from].behind {
            self.daemons[to].behind = false;
            self.daemons[to].connected_since = self.round;
        }
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.apply(*step);
            let lost = match step {
                Step::Lost(from, to) => Some((*from, *to)),
                _ => None,
            };
            self.exchange(lost);
            if let Step::Wait(rounds) = step {
                (0..*rounds).for_each(|_| self.exchange(None));
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

    /// Guards against a deadly request that is still sent after it has ended
    /// three targets, because after partitions, restarts and lost messages
    /// evidence does not reach the other daemons, or not again.
    #[test]
    fn status_deadly_request_is_bounded(steps in proptest::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new();
        fleet.run(&steps);
        prop_assert!(fleet.late_sends <= MAX_LATE_SENDS, "sent {} times more", fleet.late_sends);
    }

    /// The bystanders are allowed again in the end, once they complete.
    #[test]
    fn status_completed_bystander_is_allowed(steps in proptest::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::new();
        fleet.run(&steps);
        let partitioned: Vec<usize> = (0..DAEMONS).filter(|d| fleet.daemons[*d].partitioned).collect();
        partitioned.into_iter().for_each(|d| fleet.apply(Step::Partition(d)));
        fleet.exchange(None);
        for bystander in 0..BYSTANDERS {
            (0..DAEMONS).for_each(|d| fleet.apply(Step::Complete(d, bystander as u8)));
        }
        fleet.exchange(None);
        for bystander in 1..=BYSTANDERS {
            prop_assert!((0..DAEMONS).all(|d| fleet.is_allowed(d, fingerprint_of(bystander))));
        }
    }
}
