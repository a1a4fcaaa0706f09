//! Model test of daemons and a target whose answers arrive late, in any order,
//! or never.
//!
//! The target reports limits that change, asks single daemons for a cooldown,
//! and in the end drains; daemons freeze and restart. Each daemon checks its
//! signals before each send, and what the target receives is compared with what
//! it had reported.

use comfreyhall_backpressure::{Notice, Rate, TargetSignals};
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// This many ms go by.
    Wait(u64),
    /// A daemon sends, if it may; the answer takes this long, or is lost.
    Send(usize, Option<u64>),
    /// The target reports another limit, in tenths of a request a second, or
    /// none.
    Limit(Option<u8>),
    /// The target rejects the next request and asks its daemon for a cooldown.
    Cooldown(u64),
    Drain,
    /// A daemon reads nothing for this long.
    Freeze(usize, u64),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (1u64..400).prop_map(Step::Wait),
        12 => (daemon(), prop::option::weighted(0.9, 0u64..900))
            .prop_map(|(d, ms)| Step::Send(d, ms)),
        2 => prop::option::of(1u8..200).prop_map(Step::Limit),
        2 => (100u64..3_000).prop_map(Step::Cooldown),
        1 => Just(Step::Drain),
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
    signals: TargetSignals,
    boot: u64,
    frozen_until: u64,
    /// End of the longest cooldown that it has read.
    cooldown_end_ms: u64,
    knows_draining: bool,
}

#[derive(Default)]
struct Simulation {
    now: u64,
    daemons: [Daemon; DAEMONS],
    answers: Vec<Answer>,
    limit: Option<Rate>,
    cooldown_ms: Option<u64>,
    draining: bool,
}

impl Simulation {
    /// Daemons read the answers that have arrived, in the order of sending.
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
                .signals
                .record_notice(&"t".into(), &answer.notice, sent, now);
            if let Some(ms) = answer.notice.cooldown_ms {
                daemon.cooldown_end_ms = daemon.cooldown_end_ms.max(now + ms);
            }
            daemon.knows_draining |= answer.notice.draining;
            false
        });
    }

    /// The daemon `index` sends if it may; fails if the target had asked it not
    /// to.
    fn send(&mut self, index: usize, answer_ms: Option<u64>) -> Result<(), TestCaseError> {
        let now = self.now;
        let daemon = &self.daemons[index];
        if now < daemon.frozen_until {
            return Ok(());
        }
        let cooling_down = daemon.signals.cooldown_ms("t", now) > 0;
        if cooling_down || daemon.signals.is_draining("t", now) {
            return Ok(());
        }
        prop_assert!(now >= daemon.cooldown_end_ms, "sent within a cooldown");
        prop_assert!(!daemon.knows_draining, "sent to a draining target");
        let notice = Notice {
            limit: self.limit,
            cooldown_ms: self.cooldown_ms.take(),
            draining: self.draining,
            ..Notice::default()
        };
        if let Some(ms) = answer_ms {
            self.answers.push(Answer {
                daemon: index,
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
            Step::Wait(ms) => self.now += ms,
            Step::Send(index, ms) => self.send(index, ms)?,
            Step::Limit(tenths) => {
                self.limit = tenths.and_then(|t| Rate::from_per_s(f64::from(t) / 10.0));
            }
            Step::Cooldown(ms) => self.cooldown_ms = Some(ms),
            Step::Drain => self.draining = true,
            Step::Freeze(index, ms) => self.daemons[index].frozen_until = self.now + ms,
            Step::Restart(index) => {
                let boot = self.daemons[index].boot + 1;
                self.daemons[index] = Daemon {
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

    /// Guards against sends within a cooldown or to a draining target, and
    /// against a limit that is not the last one, in whatever order answers are
    /// read.
    #[test]
    fn target_signals_match_last_notice(steps in prop::collection::vec(step(), 10..120)) {
        let mut simulation = Simulation::default();
        for step in &steps {
            simulation.step(step)?;
        }
        // The target is idle; each daemon that may send receives the last
        // notice.
        simulation.cooldown_ms = None;
        simulation.now += 10_000;
        simulation.read();
        // What was read just now may have asked for a cooldown.
        simulation.now += 10_000;
        let limit = simulation.limit;
        for index in 0..DAEMONS {
            simulation.send(index, Some(1))?;
        }
        simulation.now += 1;
        simulation.read();
        for daemon in simulation.daemons.iter().filter(|d| !d.knows_draining) {
            prop_assert_eq!(daemon.signals.limit("t", simulation.now), limit);
        }
    }
}
