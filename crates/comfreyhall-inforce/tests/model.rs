//! Daemons that learn from a store and from each other, whose messages come late,
//! in any order or never, and that start again in between.
//!
//! A model of the fleet around [`SettingsTracker`]: it knows what was accepted when, and
//! which rows each daemon really has.

use std::collections::BTreeSet;

use comfreyhall_domain::Name;
use comfreyhall_inforce::{Freshness, SettingsTracker, Source};
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// Ms in which an accepted version has to be in force.
const BOUND: u64 = 3_000;

/// One start of a daemon.
#[derive(Default)]
struct Daemon {
    known: SettingsTracker,
    rows: BTreeSet<u64>,
    start: u64,
    boot: u64,
    /// Of each peer: its process and its clock in its last news.
    heard: [(u64, u64); DAEMONS],
    /// What it takes each peer to have; it does not ask whether it started again.
    held: [u64; DAEMONS],
}

impl Daemon {
    fn clock(&self, t: u64) -> u64 {
        t - self.start + 1
    }

    fn take(&mut self, rows: &BTreeSet<u64>, way: &Source, now: u64) {
        for row in rows {
            self.rows.insert(*row);
            self.known.apply(*row, way, now, now);
        }
    }
}

/// Something on its way to a daemon.
#[derive(Clone)]
enum Message {
    /// The store's answer to a question of this moment of the asker's clock.
    Answer {
        boot: u64,
        asked: u64,
        rows: BTreeSet<u64>,
        covers: u64,
    },
    /// What a peer told, with rows after `since` if it bears some.
    News {
        from: usize,
        boot: u64,
        sent_at: u64,
        heard_boot: u64,
        echoed_at: u64,
        newest: u64,
        age: u64,
        since: u64,
        rows: BTreeSet<u64>,
    },
}

#[derive(Debug, Clone)]
enum Op {
    Pass(u64),
    Change,
    /// A daemon asks the store, which answers at once; the answer is on its way.
    Ask(usize),
    StoreFails(usize),
    /// The first tells the second, with rows or without.
    Tell(usize, usize, bool),
    /// The message of this number arrives, now or once more.
    Deliver(usize),
    Drop(usize),
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let d = || 0..DAEMONS;
    prop_oneof![
        4 => (1..1_500u64).prop_map(Op::Pass),
        2 => Just(Op::Change),
        3 => d().prop_map(Op::Ask),
        1 => d().prop_map(Op::StoreFails),
        4 => (d(), d(), any::<bool>()).prop_map(|(a, b, rows)| Op::Tell(a, b, rows)),
        8 => (0..8usize).prop_map(Op::Deliver),
        1 => (0..8usize).prop_map(Op::Drop),
        1 => d().prop_map(Op::Restart),
    ]
}

#[derive(Default)]
struct Fleet {
    t: u64,
    /// When each version was accepted; versions are uneven.
    accepted: Vec<(u64, u64)>,
    daemons: [Daemon; DAEMONS],
    flying: Vec<(usize, Message)>,
    boots: u64,
}

impl Fleet {
    fn versions(&self) -> BTreeSet<u64> {
        self.accepted.iter().map(|(v, _)| *v).collect()
    }

    fn play(&mut self, op: &Op) {
        match *op {
            Op::Pass(ms) => self.t += ms,
            Op::Change => {
                let last = self.accepted.last().map_or(1, |(v, _)| *v);
                self.accepted.push((last + 3, self.t));
            }
            Op::Ask(d) => self.ask(d),
            Op::StoreFails(d) => {
                let now = self.daemons[d].clock(self.t);
                self.daemons[d].known.store_failed(now);
            }
            Op::Tell(from, to, rows) if from != to => self.tell(from, to, rows),
            Op::Tell(..) => {}
            Op::Deliver(at) => {
                if let Some((to, message)) = self.flying.get(at).cloned() {
                    self.arrive(to, message);
                }
            }
            Op::Drop(at) if at < self.flying.len() => {
                self.flying.remove(at);
            }
            Op::Drop(_) => {}
            Op::Restart(d) => {
                self.boots += 1;
                self.daemons[d] = Daemon {
                    start: self.t,
                    boot: self.boots,
                    ..Daemon::default()
                };
            }
        }
    }

    fn ask(&mut self, d: usize) {
        let rows = self.versions();
        // The counter is of all tables: it is past the newest row.
        let covers = rows.last().map_or(1, |v| v + 1);
        let daemon = &self.daemons[d];
        let answer = Message::Answer {
            boot: daemon.boot,
            asked: daemon.clock(self.t),
            rows,
            covers,
        };
        self.flying.insert(0, (d, answer));
    }

    fn tell(&mut self, from: usize, to: usize, bear: bool) {
        let sender = &self.daemons[from];
        let now = sender.clock(self.t);
        let since = sender.held[to];
        let rows = sender.rows.iter().filter(|v| bear && **v > since);
        let (heard_boot, echoed_at) = sender.heard[to];
        let news = Message::News {
            from,
            boot: sender.boot,
            sent_at: now,
            heard_boot,
            echoed_at,
            newest: sender.known.newest(),
            age: sender.known.age_ms(now),
            since,
            rows: rows.copied().collect(),
        };
        self.flying.insert(0, (to, news));
    }

    fn arrive(&mut self, to: usize, message: Message) {
        let daemon = &mut self.daemons[to];
        let now = daemon.clock(self.t);
        match message {
            Message::Answer {
                boot,
                asked,
                rows,
                covers,
            } => {
                if boot == daemon.boot {
                    daemon.take(&rows, &Source::Store, now);
                    daemon.known.store_confirmed(covers, asked);
                }
            }
            Message::News {
                from,
                boot,
                sent_at,
                heard_boot,
                echoed_at,
                newest,
                age,
                since,
                rows,
            } => {
                let name: Name = format!("n{from}").into();
                if daemon.known.is_contiguous(since) {
                    daemon.take(&rows, &Source::Peer(name.clone()), now);
                }
                let known = heard_boot == daemon.boot && echoed_at > 0 && age != u64::MAX;
                let as_of = known.then(|| echoed_at.checked_sub(age)).flatten();
                daemon.known.peer_reported(&name, newest, as_of, now);
                daemon.heard[from] = (boot, sent_at);
                daemon.held[from] = newest;
            }
        }
    }

    /// What must hold now.
    fn check(&self, newest_before: &[(u64, u64); DAEMONS]) {
        for (daemon, before) in self.daemons.iter().zip(newest_before) {
            let all_up_to = |v: u64| {
                let mut versions = self.accepted.iter().map(|(v, _)| *v);
                versions.all(|known| known > v || daemon.rows.contains(&known))
            };
            assert!(all_up_to(daemon.known.complete_to()), "a gap");
            if before.0 == daemon.boot {
                assert!(daemon.known.newest() >= before.1, "went back");
            }
            let now = daemon.clock(self.t);
            if daemon.known.freshness(now, BOUND) == Freshness::Current {
                let due = self.accepted.iter().filter(|(_, at)| at + BOUND < self.t);
                let due = due.map(|(v, _)| *v).max().unwrap_or(0);
                assert!(all_up_to(due), "current without what is due");
            }
        }
    }

    fn newest(&self) -> [(u64, u64); DAEMONS] {
        let all: Vec<_> = self
            .daemons
            .iter()
            .map(|d| (d.boot, d.known.newest()))
            .collect();
        all.try_into().expect("one for each daemon")
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against going back, gaps, and old versions that count as current.
    #[test]
    fn in_force_keeps_what_was_promised(ops in prop::collection::vec(op(), 1..120)) {
        let mut fleet = Fleet::default();
        for op in &ops {
            let before = fleet.newest();
            fleet.play(op);
            fleet.check(&before);
        }
    }
}
