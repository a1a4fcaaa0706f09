//! Daemons and a target whose answers come late, in any order, or never.
//!
//! The target names limits that change, asks single daemons for rest, and in the
//! end leaves; daemons freeze and restart. Each daemon asks its gates before each
//! send, and what the target got is held against what it had told.

use comfreyhall_backpressure::{Notice, Rate, TargetSignals};
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// So many ms go by.
    Pass(u64),
    /// A daemon sends, if it may; the answer takes so long, or is lost.
    Send(usize, Option<u64>),
    /// The target names another limit, in tenths a second, or none.
    Limit(Option<u8>),
    /// The target turns the next request away and asks its daemon for rest.
    Rest(u64),
    Leave,
    /// A daemon reads nothing for so long.
    Freeze(usize, u64),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (1u64..400).prop_map(Step::Pass),
        12 => (daemon(), prop::option::weighted(0.9, 0u64..900))
            .prop_map(|(d, ms)| Step::Send(d, ms)),
        2 => prop::option::of(1u8..200).prop_map(Step::Limit),
        2 => (100u64..3_000).prop_map(Step::Rest),
        1 => Just(Step::Leave),
        1 => (daemon(), 100u64..3_000).prop_map(|(d, ms)| Step::Freeze(d, ms)),
        1 => daemon().prop_map(Step::Restart),
    ]
}

/// An answer on its way to a daemon.
struct Answer {
    daemon: usize,
    boot: u64,
    sent: u64,
    arrives: u64,
    notice: Notice,
}

#[derive(Default)]
struct Daemon {
    gates: TargetSignals,
    boot: u64,
    frozen_until: u64,
    /// Until when it was told, and has read, to leave the target alone.
    rest_until: u64,
    told_leaving: bool,
}

#[derive(Default)]
struct World {
    now: u64,
    daemons: [Daemon; DAEMONS],
    answers: Vec<Answer>,
    limit: Option<Rate>,
    rest_ms: Option<u64>,
    leaving: bool,
}

impl World {
    /// Daemons read what has arrived; the order among it is that of sending.
    fn read(&mut self) {
        let now = self.now;
        let daemons = &mut self.daemons;
        self.answers.retain(|answer| {
            let daemon = &mut daemons[answer.daemon];
            if answer.boot != daemon.boot {
                return false;
            }
            if answer.arrives > now || now < daemon.frozen_until {
                return true;
            }
            let sent = Some(answer.sent);
            daemon
                .gates
                .record_notice(&"t".into(), &answer.notice, sent, now);
            if let Some(ms) = answer.notice.cooldown_ms {
                daemon.rest_until = daemon.rest_until.max(now + ms);
            }
            daemon.told_leaving |= answer.notice.draining;
            false
        });
    }

    /// Whether the daemon `at` sends; what the target had told it is checked.
    fn send(&mut self, at: usize, answer_ms: Option<u64>) -> Result<(), TestCaseError> {
        let now = self.now;
        let daemon = &self.daemons[at];
        if now < daemon.frozen_until {
            return Ok(());
        }
        let rests = daemon.gates.cooldown_ms("t", now) > 0;
        if rests || daemon.gates.is_draining("t", now) {
            return Ok(());
        }
        prop_assert!(now >= daemon.rest_until, "sent within a rest");
        prop_assert!(!daemon.told_leaving, "sent to one that leaves");
        let notice = Notice {
            limit: self.limit,
            cooldown_ms: self.rest_ms.take(),
            draining: self.leaving,
            ..Notice::default()
        };
        if let Some(ms) = answer_ms {
            self.answers.push(Answer {
                daemon: at,
                boot: daemon.boot,
                sent: now,
                arrives: now + ms,
                notice,
            });
        }
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Pass(ms) => self.now += ms,
            Step::Send(at, ms) => self.send(at, ms)?,
            Step::Limit(tenths) => {
                self.limit = tenths.and_then(|t| Rate::from_per_s(f64::from(t) / 10.0));
            }
            Step::Rest(ms) => self.rest_ms = Some(ms),
            Step::Leave => self.leaving = true,
            Step::Freeze(at, ms) => self.daemons[at].frozen_until = self.now + ms,
            Step::Restart(at) => {
                let boot = self.daemons[at].boot + 1;
                self.daemons[at] = Daemon {
                    boot,
                    ..Daemon::default()
                };
            }
        }
        self.read();
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(30),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against sends within a rest or to one that leaves, and against a
    /// limit that is not the last one, in whatever order answers are read.
    #[test]
    fn gates_keep_what_was_told(steps in prop::collection::vec(step(), 10..120)) {
        let mut world = World::default();
        for step in &steps {
            world.step(step)?;
        }
        // The target is quiet; each daemon that may send hears the last word.
        world.rest_ms = None;
        world.now += 10_000;
        world.read();
        // What was read just now may have asked for rest.
        world.now += 10_000;
        let limit = world.limit;
        for at in 0..DAEMONS {
            world.send(at, Some(1))?;
        }
        world.now += 1;
        world.read();
        for daemon in world.daemons.iter().filter(|d| !d.told_leaving) {
            prop_assert_eq!(daemon.gates.limit("t", world.now), limit);
        }
    }
}
