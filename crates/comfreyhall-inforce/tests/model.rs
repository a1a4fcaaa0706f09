//! Daemons that learn from a store and from each other, whose messages are delayed,
//! reordered or lost, and that restart in between.
//!
//! Models the fleet around [`SettingsTracker`]: the model knows what was accepted
//! when, and which rows each daemon really has.

use std::collections::BTreeSet;

use comfreyhall_domain::{Name, Revision};
use comfreyhall_inforce::{Freshness, SettingsTracker, Source, Verdict};
use proptest::prelude::*;

const DAEMONS: usize = 4;

fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

/// Time in which an accepted version has to become active, in ms.
const BOUND_MS: u64 = 3_000;

/// Time for reports of peers before a start in an outage, in ms.
const REPORT_MS: u64 = 1_000;

/// One boot (one start of the process) of a daemon.
#[derive(Default)]
struct Daemon {
    tracker: SettingsTracker,
    rows: BTreeSet<u64>,
    started_at_ms: u64,
    boot: u64,
    /// For each peer, its process and its clock in its last gossip message.
    last_gossip: [(u64, u64); DAEMONS],
    /// The newest version that each peer is assumed to have; it is not reset when
    /// the peer restarts.
    assumed_newest: [u64; DAEMONS],
}

impl Daemon {
    fn clock(&self, now_ms: u64) -> u64 {
        now_ms - self.started_at_ms + 1
    }

    fn apply_rows(&mut self, rows: &BTreeSet<u64>, source: &Source, now: u64) {
        for row in rows {
            self.rows.insert(*row);
            self.tracker.apply(rev(*row), source, now, now);
        }
    }
}

/// A message on its way to a daemon.
#[derive(Clone)]
enum Message {
    /// The store's answer to a request made at `requested_ms` of the requester's
    /// clock.
    StoreAnswer {
        boot: u64,
        requested_ms: u64,
        rows: BTreeSet<u64>,
        complete_to: u64,
    },
    /// A peer's gossip message, with the rows after `since` if it carries any.
    Gossip {
        from: usize,
        boot: u64,
        sent_at: u64,
        echoed_boot: u64,
        echoed_at: u64,
        newest: u64,
        age_ms: u64,
        since: u64,
        rows: BTreeSet<u64>,
    },
}

#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    AcceptChange,
    /// A daemon asks the store, which answers at once; the answer is then in
    /// flight.
    AskStore(usize),
    StoreFails(usize),
    /// The first daemon sends gossip to the second, with rows or without.
    Gossip(usize, usize, bool),
    /// The message with this index arrives; it may arrive again later.
    Deliver(usize),
    Drop(usize),
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let d = || 0..DAEMONS;
    prop_oneof![
        4 => (1..1_500u64).prop_map(Op::Wait),
        2 => Just(Op::AcceptChange),
        3 => d().prop_map(Op::AskStore),
        1 => d().prop_map(Op::StoreFails),
        4 => (d(), d(), any::<bool>()).prop_map(|(a, b, rows)| Op::Gossip(a, b, rows)),
        8 => (0..8usize).prop_map(Op::Deliver),
        1 => (0..8usize).prop_map(Op::Drop),
        1 => d().prop_map(Op::Restart),
    ]
}

#[derive(Default)]
struct Fleet {
    now_ms: u64,
    /// When each version was accepted; version numbers have gaps.
    accepted: Vec<(u64, u64)>,
    daemons: [Daemon; DAEMONS],
    in_flight: Vec<(usize, Message)>,
    boots: u64,
}

impl Fleet {
    fn versions(&self) -> BTreeSet<u64> {
        self.accepted.iter().map(|(v, _)| *v).collect()
    }

    fn apply_op(&mut self, op: &Op) {
        match *op {
            Op::Wait(ms) => self.now_ms += ms,
            Op::AcceptChange => {
                let last = self.accepted.last().map_or(1, |(v, _)| *v);
                self.accepted.push((last + 3, self.now_ms));
            }
            Op::AskStore(d) => self.ask_store(d),
            Op::StoreFails(d) => {
                let now = self.daemons[d].clock(self.now_ms);
                self.daemons[d].tracker.store_failed(now);
            }
            Op::Gossip(from, to, rows) if from != to => self.send_gossip(from, to, rows),
            Op::Gossip(..) => {}
            Op::Deliver(index) => {
                if let Some((to, message)) = self.in_flight.get(index).cloned() {
                    self.deliver(to, message);
                }
            }
            Op::Drop(index) if index < self.in_flight.len() => {
                self.in_flight.remove(index);
            }
            Op::Drop(_) => {}
            Op::Restart(d) => {
                self.boots += 1;
                self.daemons[d] = Daemon {
                    started_at_ms: self.now_ms,
                    boot: self.boots,
                    ..Daemon::default()
                };
            }
        }
    }

    fn ask_store(&mut self, d: usize) {
        let rows = self.versions();
        // The counter is shared by all tables, so it is past the newest row.
        let complete_to = rows.last().map_or(1, |v| v + 1);
        let daemon = &self.daemons[d];
        let answer = Message::StoreAnswer {
            boot: daemon.boot,
            requested_ms: daemon.clock(self.now_ms),
            rows,
            complete_to,
        };
        self.in_flight.insert(0, (d, answer));
    }

    fn send_gossip(&mut self, from: usize, to: usize, with_rows: bool) {
        let sender = &self.daemons[from];
        let now = sender.clock(self.now_ms);
        let since = sender.assumed_newest[to];
        let rows = sender.rows.iter().filter(|v| with_rows && **v > since);
        let (echoed_boot, echoed_at) = sender.last_gossip[to];
        let gossip = Message::Gossip {
            from,
            boot: sender.boot,
            sent_at: now,
            echoed_boot,
            echoed_at,
            newest: sender.tracker.newest().number(),
            age_ms: sender.tracker.age_ms(now),
            since,
            rows: rows.copied().collect(),
        };
        self.in_flight.insert(0, (to, gossip));
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let daemon = &mut self.daemons[to];
        let now = daemon.clock(self.now_ms);
        match message {
            Message::StoreAnswer {
                boot,
                requested_ms,
                rows,
                complete_to,
            } => {
                if boot == daemon.boot {
                    daemon.apply_rows(&rows, &Source::Store, now);
                    daemon
                        .tracker
                        .store_confirmed(rev(complete_to), requested_ms);
                }
            }
            Message::Gossip {
                from,
                boot,
                sent_at,
                echoed_boot,
                echoed_at,
                newest,
                age_ms,
                since,
                rows,
            } => {
                let name: Name = format!("n{from}").into();
                if daemon.tracker.is_contiguous(rev(since)) {
                    daemon.apply_rows(&rows, &Source::Peer(name.clone()), now);
                }
                let known = echoed_boot == daemon.boot && echoed_at > 0 && age_ms != u64::MAX;
                let confirmed_at_ms = known.then(|| echoed_at.checked_sub(age_ms)).flatten();
                daemon
                    .tracker
                    .peer_reported(&name, rev(newest), confirmed_at_ms, now);
                daemon.last_gossip[from] = (boot, sent_at);
                daemon.assumed_newest[from] = newest;
            }
        }
    }

    /// Checks the invariants.
    fn check(&self, newest_before: &[(u64, u64); DAEMONS]) {
        for (daemon, before) in self.daemons.iter().zip(newest_before) {
            let complete_up_to = |v: u64| {
                let mut versions = self.accepted.iter().map(|(v, _)| *v);
                versions.all(|known| known > v || daemon.rows.contains(&known))
            };
            assert!(
                complete_up_to(daemon.tracker.complete_to().number()),
                "a row before complete_to is missing"
            );
            if before.0 == daemon.boot {
                assert!(
                    daemon.tracker.newest().number() >= before.1,
                    "the newest version decreased"
                );
            }
            let now = daemon.clock(self.now_ms);
            let due = self
                .accepted
                .iter()
                .filter(|(_, at)| at + BOUND_MS < self.now_ms);
            let due = due.map(|(v, _)| *v).max().unwrap_or(0);
            if daemon.tracker.freshness(now, BOUND_MS) == Freshness::Current {
                assert!(complete_up_to(due), "current without a version that is due");
            }
            let tracker = &daemon.tracker;
            let outage = tracker.store_down_since().is_some() && tracker.newer_version().is_none();
            if tracker.verdict(now, BOUND_MS) == Verdict::Serve && !outage {
                assert!(complete_up_to(due), "serves without a version that is due");
            }
            if tracker.may_start(now, BOUND_MS, REPORT_MS) && !outage {
                assert!(complete_up_to(due), "starts without a version that is due");
            }
        }
    }

    fn newest(&self) -> [(u64, u64); DAEMONS] {
        let all: Vec<_> = self
            .daemons
            .iter()
            .map(|d| (d.boot, d.tracker.newest().number()))
            .collect();
        all.try_into().expect("one entry for each daemon")
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against versions that decrease, gaps, and old versions that count as
    /// current.
    #[test]
    fn tracker_never_regresses_skips_or_misses_bound(ops in prop::collection::vec(op(), 1..120)) {
        let mut fleet = Fleet::default();
        for op in &ops {
            let before = fleet.newest();
            fleet.apply_op(op);
            fleet.check(&before);
        }
    }
}
