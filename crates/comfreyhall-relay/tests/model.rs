//! A relay between scripted targets and one caller, in steps of 50 ms.
//!
//! Targets send events, are silent for any time, go on late, send events again, leave some
//! out, send without end, or end. The model cancels runs as a relay does and compares what
//! the caller gets with what single runs made.

use std::collections::VecDeque;

use bytes::Bytes;
use comfreyhall_relay::*;
use proptest::{prelude::*, test_runner::RngSeed};

const STEP_MS: u64 = 50;

const DEADLINE_MS: u64 = 12_000;

const SILENT_AFTER_MS: u64 = 1_200;

/// Events of a whole stream.
const EVENTS: u64 = 12;

/// The bytes of each event that is sent without end.
static LONG_EVENT: [u8; 256 << 10] = [0; 256 << 10];

/// What a target does in one step.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Sends nothing for so many steps.
    Silent(u8),
    Event,
    /// Sends the first event again.
    Repeat,
    /// Leaves one event out.
    Leave,
    /// Sends the first event again, and again without end.
    Endless,
    End(EndCause),
}

/// One run at one target.
#[derive(Debug, Clone)]
struct Run {
    tag: usize,
    next: u64,
    acts: Vec<Act>,
    silent: u8,
}

/// What a run brings in one step.
enum Brought {
    Nothing,
    Event(Event),
    Complete,
    End(EndCause),
}

impl Run {
    fn new(tag: usize, next: u64, acts: Vec<Act>) -> Self {
        Self {
            tag,
            next,
            acts,
            silent: 0,
        }
    }

    fn event(&self, id: u64, bytes: Bytes) -> Brought {
        Brought::Event(Event {
            kind: EventKind::Numbered(id),
            doubtful: false,
            bytes,
        })
    }

    fn step(&mut self) -> Brought {
        if self.silent > 0 {
            self.silent -= 1;
            return Brought::Nothing;
        }
        // A script that has run out goes on without a pause.
        match self.acts.pop().unwrap_or(Act::Event) {
            Act::Silent(steps) => {
                self.silent = steps;
                Brought::Nothing
            }
            Act::Event if self.next > EVENTS => Brought::Complete,
            Act::Event => {
                self.next += 1;
                self.event(self.next - 1, Bytes::new())
            }
            Act::Repeat => self.event(1, Bytes::new()),
            Act::Leave => {
                self.next += 2;
                self.event(self.next - 1, Bytes::new())
            }
            Act::Endless => {
                self.acts.push(Act::Endless);
                self.event(1, Bytes::from_static(&LONG_EVENT))
            }
            Act::End(cause) => Brought::End(cause),
        }
    }

    /// Whether it brings every event in time if it is left alone.
    fn is_sound(&self) -> bool {
        let steps = self.acts.iter().map(|a| match a {
            Act::Silent(steps) => u64::from(*steps) + 1,
            Act::Event => 1,
            _ => DEADLINE_MS,
        });
        (steps.sum::<u64>() + EVENTS + 2) * STEP_MS < DEADLINE_MS
    }
}

/// Another answer that is sought: after how many steps there is one, or none.
#[derive(Debug, Clone)]
struct Sought {
    steps: u8,
    found: Option<Vec<Act>>,
}

fn act() -> impl Strategy<Value = Act> {
    let causes = [
        EndCause::ConnectionClosed,
        EndCause::Broken,
        EndCause::TargetEnded,
        EndCause::TooLarge,
    ];
    prop_oneof![
        6 => Just(Act::Event),
        3 => (1..60u8).prop_map(Act::Silent),
        1 => Just(Act::Repeat),
        1 => Just(Act::Leave),
        1 => Just(Act::Endless),
        1 => prop::sample::select(causes.to_vec()).prop_map(Act::End),
    ]
}

fn drop_cause() -> impl Strategy<Value = EndCause> {
    prop::sample::select(vec![EndCause::CallerLeft, EndCause::GraceEnded])
}

fn sound_act() -> impl Strategy<Value = Act> {
    prop_oneof![3 => Just(Act::Event), 1 => (1..60u8).prop_map(Act::Silent)]
}

fn sought() -> impl Strategy<Value = Sought> {
    let acts = prop::collection::vec(act(), 0..20);
    (0..80u8, prop::option::of(acts)).prop_map(|(steps, found)| Sought { steps, found })
}

/// A relay, its caller, and the runs that are open.
struct Relay {
    merge: Merge,
    now: u64,
    open: Option<Run>,
    /// Another answer that is sought, and its run and order once it has begun.
    beside: Option<(Sought, Option<(Run, EventOrder)>)>,
    others: std::vec::IntoIter<Sought>,
    tag: usize,
    /// Id of each event that the caller got, and tag of the run that made it.
    events: Vec<(u64, usize)>,
    /// Causes with which open answers ended.
    causes: Vec<EndCause>,
    /// When the caller leaves or the process ends.
    dropped: Option<(u64, EndCause)>,
}

impl Relay {
    fn new(first: Vec<Act>, policy: SeekPolicy, others: Vec<Sought>) -> Self {
        Self {
            merge: Merge::new(EventOrder::after(Some(1)), policy, SILENT_AFTER_MS, 0),
            now: 0,
            open: Some(Run::new(0, 2, first)),
            beside: None,
            others: others.into_iter(),
            tag: 0,
            events: vec![(1, 0)],
            causes: Vec::new(),
            dropped: None,
        }
    }

    /// Relays the stream to its end.
    fn run(&mut self) -> Result<(), EndCause> {
        loop {
            self.now += STEP_MS;
            if let Some((_, cause)) = self.dropped.filter(|(at, _)| *at <= self.now) {
                // Dropped with all runs that are open.
                return Err(cause);
            }
            match self.merge.next(self.now, DEADLINE_MS) {
                Next::GiveUp(cause) => return Err(cause),
                Next::Seek => {
                    assert!(self.beside.is_none(), "one other answer at a time");
                    self.merge.seek_began();
                    let none = Sought {
                        steps: 1,
                        found: None,
                    };
                    self.beside = Some((self.others.next().unwrap_or(none), None));
                }
                Next::Wait { until_ms } => assert!(until_ms > self.now),
            }
            if self.step_open() {
                return Ok(());
            }
            self.step_beside();
        }
    }

    /// Lets the open answer go on for a step; returns whether it is complete.
    fn step_open(&mut self) -> bool {
        let Some(run) = &mut self.open else {
            return false;
        };
        match run.step() {
            Brought::Nothing => {}
            Brought::Complete => return true,
            Brought::End(cause) => self.end_open(cause),
            Brought::Event(event) => {
                let mut ready = VecDeque::new();
                match self.merge.event(event, &mut ready, self.now) {
                    Ok(true) => {
                        let ids = ready.iter().map(|e| (e.id().unwrap(), run.tag));
                        self.events.extend(ids);
                        self.beside = None;
                    }
                    Ok(false) => {}
                    Err(_) => self.end_open(EndCause::Broken),
                }
            }
        }
        false
    }

    fn end_open(&mut self, cause: EndCause) {
        self.merge.ended(cause, self.now);
        self.causes.push(cause);
        self.open = None;
    }

    /// Lets the answer that is sought go on for a step.
    fn step_beside(&mut self) {
        let Some((sought, begun)) = &mut self.beside else {
            return;
        };
        if sought.steps > 0 {
            sought.steps -= 1;
            return;
        }
        let Some(acts) = &sought.found else {
            return self.fail_beside();
        };
        let last = self.merge.last();
        let (run, order) = begun.get_or_insert_with(|| {
            self.tag += 1;
            let run = Run::new(self.tag, last.unwrap_or(0) + 1, acts.clone());
            (run, EventOrder::after(last))
        });
        match run.step() {
            Brought::Nothing => {}
            Brought::Event(event) => {
                let mut ready = VecDeque::new();
                match order.accept(event, &mut ready) {
                    Ok(()) if order.has_begun() => {
                        let ids = ready.iter().map(|e| (e.id().unwrap(), run.tag));
                        self.events.extend(ids);
                        self.merge.switch(order.clone(), self.now);
                        let (_, begun) = self.beside.take().unwrap();
                        self.open = begun.map(|(run, _)| run);
                    }
                    Ok(()) => {}
                    Err(_) => self.fail_beside(),
                }
            }
            Brought::Complete | Brought::End(_) => self.fail_beside(),
        }
    }

    fn fail_beside(&mut self) {
        self.merge.seek_failed(self.now);
        self.beside = None;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(55),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against missing or repeated events, parts of two runs in turn, and ends
    /// without a cause.
    #[test]
    fn merge_keeps_order_and_causes(
        first in prop::collection::vec(act(), 0..30),
        others in prop::collection::vec(sought(), 0..8),
        dropped in prop::option::of((0..2 * DEADLINE_MS, drop_cause())),
    ) {
        let mut relay = Relay::new(first, SeekPolicy::BesideSilent, others);
        relay.dropped = dropped;
        let end = relay.run();
        let ids: Vec<u64> = relay.events.iter().map(|e| e.0).collect();
        prop_assert_eq!(&ids, &(1..=ids.len() as u64).collect::<Vec<_>>());
        prop_assert!(relay.events.is_sorted_by_key(|e| e.1), "{:?}", relay.events);
        match end {
            Ok(()) => prop_assert_eq!(ids.len() as u64, EVENTS),
            Err(EndCause::DeadlinePassed) => {}
            Err(cause) if dropped.is_some_and(|d| d.1 == cause) => {
                prop_assert!(!cause.is_target_failure());
            }
            Err(cause) => {
                prop_assert_eq!(relay.causes.last(), Some(&cause));
                prop_assert!(relay.open.is_none() && relay.beside.is_none(), "given up too early");
            }
        }
    }

    /// Guards against a sound stream that is given up, however silent its target is in
    /// between, while no other target takes it.
    #[test]
    fn merge_silence_ends_nothing(
        first in prop::collection::vec(sound_act(), 0..30),
        others in prop::collection::vec(sought(), 0..8),
        beside in any::<bool>(),
    ) {
        prop_assume!(Run::new(0, 2, first.clone()).is_sound());
        let others = others.into_iter().map(|o| Sought { found: None, ..o }).collect();
        let policy = if beside { SeekPolicy::BesideSilent } else { SeekPolicy::AfterEnd };
        let mut relay = Relay::new(first, policy, others);
        prop_assert_eq!(relay.run(), Ok(()));
        prop_assert!(relay.events.iter().all(|e| e.1 == 0));
    }

    /// Guards against a request that may run once and is sent again.
    #[test]
    fn merge_seeks_nothing_for_single_runs(first in prop::collection::vec(act(), 0..30)) {
        let found = Sought { steps: 0, found: Some(Vec::new()) };
        let mut relay = Relay::new(first, SeekPolicy::Never, vec![found; 4]);
        let _ = relay.run();
        prop_assert!(relay.events.iter().all(|e| e.1 == 0));
    }
}
