//! Daemons that begin and resume streams while versions come, go and come back.
//!
//! Models a fleet around the crate: the model knows which version began each stream.
//! Daemons read the list of targets at different times, send each other records that
//! get lost, arrive late or twice, and restart with nothing.

use std::collections::BTreeSet;

use comfreyhall_domain::Name;
use comfreyhall_streams::*;
use proptest::prelude::*;

const DAEMONS: usize = 4;

/// Records of a stream besides the one of the daemon that began it.
const COPIES: usize = 2;

const TIMING: Timing = Timing {
    horizon_ms: 60_000,
    max_age_ms: 2_000,
};

/// How long a caller holds a stream, in ms.
const STREAM_MS: u64 = 15_000;

#[derive(Debug, Clone)]
struct Target {
    version: usize,
    ready: bool,
    listed: bool,
    alive: bool,
}

#[derive(Debug, Clone)]
struct Stream {
    id: Name,
    version: usize,
    began_ms: u64,
}

#[derive(Debug)]
struct Daemon {
    history: VersionHistory,
    records: StreamRecords,
    /// Running streams, recorded once versions are mixed.
    running: Vec<Stream>,
    /// Targets as last listed: index and version.
    targets: Vec<(usize, usize)>,
    /// Whether it runs.
    is_up: bool,
    /// The versions that it is about to store.
    unsent: Option<Vec<Stored>>,
    /// The versions in its stored record, which outlives it.
    stored: Option<Row>,
}

/// A daemon's stored record.
#[derive(Debug, Clone)]
struct Row {
    versions: Vec<Stored>,
    /// Whether its daemon knew all versions that may have had streams.
    is_complete: bool,
    /// Era of the store in which it was written.
    era: u32,
}

#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    /// A target of this version starts.
    Start(usize),
    /// The target with this index drains.
    Drain(usize),
    /// It is no longer listed, but still serves.
    Unlist(usize),
    End(usize),
    List(usize),
    Begin(usize, usize),
    /// The daemon resumes the stream; it reaches the daemons of the mask.
    Resume(usize, usize, u8),
    Deliver(usize),
    /// The message with this index is lost.
    Lose(usize),
    Restart(usize),
    RestartAll,
    /// The record that the daemon was about to store is written.
    Write(usize),
    /// All daemons are lost; each starts again later.
    KillAll,
    Up(usize),
    /// A copy of the store is made, or the store comes back from the last one.
    Copy,
    Restore,
}

fn op() -> impl Strategy<Value = Op> {
    let d = || 0..DAEMONS;
    let any_index = || 0..64usize;
    prop_oneof![
        4 => (1..1_500u64).prop_map(Op::Wait),
        2 => (0..3usize).prop_map(Op::Start),
        1 => any_index().prop_map(Op::Drain),
        1 => any_index().prop_map(Op::Unlist),
        1 => any_index().prop_map(Op::End),
        6 => d().prop_map(Op::List),
        8 => (d(), any_index()).prop_map(|(a, b)| Op::Begin(a, b)),
        8 => (d(), any_index(), any::<u8>()).prop_map(|(a, b, c)| Op::Resume(a, b, c)),
        8 => any_index().prop_map(Op::Deliver),
        1 => any_index().prop_map(Op::Lose),
        1 => d().prop_map(Op::Restart),
        1 => Just(Op::RestartAll),
        6 => d().prop_map(Op::Write),
        1 => Just(Op::KillAll),
        3 => d().prop_map(Op::Up),
        1 => Just(Op::Copy),
        1 => Just(Op::Restore),
    ]
}

fn name(version: usize) -> Name {
    format!("v{version}").into()
}

fn record(stream: &Stream) -> StreamRecord {
    StreamRecord {
        service: "s".into(),
        software: name(stream.version),
        expires_ms: stream.began_ms + STREAM_MS,
    }
}

impl Daemon {
    fn answer(&self, id: &str, now: u64) -> Answer {
        if let Some((record, age_ms)) = self.records.find(id, now) {
            return Answer::Recorded {
                service: record.service.clone(),
                software: record.software.clone(),
                age_ms,
            };
        }
        match self.history.only_version(&TIMING, now) {
            Some(software) => Answer::Only {
                software: software.clone(),
                age_ms: self.history.age_ms(now),
                span_ms: self.history.span_ms(now),
            },
            None => Answer::Unknown,
        }
    }

    /// Records running streams once another version may serve.
    fn record_running(&mut self, now: u64) -> Vec<Stream> {
        if !self.history.is_mixed() {
            return Vec::new();
        }
        for stream in &self.running {
            self.records.insert(&stream.id, record(stream), now);
        }
        std::mem::take(&mut self.running)
    }
}

struct Fleet {
    now_ms: u64,
    targets: Vec<Target>,
    daemons: Vec<Daemon>,
    streams: Vec<Stream>,
    in_flight: Vec<(usize, Stream)>,
    /// Whether records are written as soon as they change.
    writes_at_once: bool,
    /// Era of the store, and the records in its last copy.
    era: u32,
    copy: Vec<Option<Row>>,
    /// Resumptions that went on, and those that were rejected.
    resumed: usize,
    rejected: usize,
}

impl Fleet {
    fn new(versions: &[usize]) -> Self {
        let daemon = |_| Daemon {
            history: VersionHistory::new(ListTimes::new(true)),
            records: StreamRecords::default(),
            running: Vec::new(),
            targets: Vec::new(),
            is_up: true,
            unsent: None,
            stored: None,
        };
        let mut fleet = Self {
            now_ms: 1,
            targets: Vec::new(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            streams: Vec::new(),
            in_flight: Vec::new(),
            writes_at_once: true,
            era: 0,
            copy: vec![None; DAEMONS],
            resumed: 0,
            rejected: 0,
        };
        versions.iter().for_each(|v| fleet.start_target(*v));
        (0..DAEMONS).for_each(|d| fleet.list(d));
        fleet
    }

    fn start_target(&mut self, version: usize) {
        self.targets.push(Target {
            version,
            ready: true,
            listed: true,
            alive: true,
        });
    }

    fn list(&mut self, d: usize) {
        let listed = self.targets.iter().enumerate();
        let listed = listed.filter(|(_, t)| t.listed);
        let listing = |(i, t): (usize, &Target)| Listing {
            boot: format!("t{i}").into(),
            software: Some(name(t.version)),
            ready: t.ready,
        };
        let listings: Vec<Listing> = listed.map(listing).collect();
        let ready = self.targets.iter().enumerate();
        let ready = ready.filter(|(_, t)| t.listed && t.ready);
        let daemon = &mut self.daemons[d];
        daemon.targets = ready.map(|(i, t)| (i, t.version)).collect();
        daemon.history.observe(&listings, &TIMING, self.now_ms);
        daemon.history.confirm(self.now_ms, &TIMING);
        let reports = daemon.history.report(self.now_ms);
        let stored = reports.map(|r| Stored {
            software: r.software,
            established: r.established,
        });
        daemon.unsent = Some(stored.collect());
        if self.writes_at_once {
            self.write(d);
        }
        let daemon = &mut self.daemons[d];
        let begun = daemon.record_running(self.now_ms);
        self.send_records(d, begun);
    }

    /// Writes what the daemon was about to store.
    fn write(&mut self, d: usize) {
        let daemon = &mut self.daemons[d];
        let Some(versions) = daemon.unsent.take() else {
            return;
        };
        let stored: Vec<Software> = versions.iter().map(|s| s.software.clone()).collect();
        daemon.history.mark_stored(&stored);
        daemon.stored = Some(Row {
            versions,
            is_complete: daemon.history.is_complete(&TIMING, self.now_ms),
            era: self.era,
        });
    }

    fn send_records(&mut self, from: usize, streams: Vec<Stream>) {
        for stream in streams {
            for copy in 1..=COPIES {
                let to = (from + copy) % DAEMONS;
                self.in_flight.push((to, stream.clone()));
            }
        }
    }

    fn begin(&mut self, d: usize, choice: usize) {
        let now = self.now_ms;
        let rule = self.daemons[d].history.begin_rule(&TIMING, now);
        let allowed =
            |(i, v): &&(usize, usize)| rule.allows(&Some(name(*v))) && self.targets[*i].alive;
        let targets: Vec<_> = self.daemons[d].targets.iter().filter(allowed).collect();
        let Some((_, version)) = targets.get(choice % targets.len().max(1)) else {
            return;
        };
        let stream = Stream {
            id: format!("r{}", self.streams.len()).into(),
            version: *version,
            began_ms: now,
        };
        self.streams.push(stream.clone());
        self.daemons[d].running.push(stream);
        let begun = self.daemons[d].record_running(now);
        self.send_records(d, begun);
    }

    /// Resumes a stream; fails if it continues at another version.
    fn resume(&mut self, d: usize, index: usize, reached: u8) -> Result<(), TestCaseError> {
        let now = self.now_ms;
        let Some(stream) = self.streams.get(index % self.streams.len().max(1)) else {
            return Ok(());
        };
        if now - stream.began_ms >= STREAM_MS {
            return Ok(());
        }
        let mut answers = vec![self.daemons[d].answer(&stream.id, now)];
        if answers[0] == Answer::Unknown {
            let peers = (0..DAEMONS)
                .filter(|p| *p != d && reached & (1 << p) != 0 && self.daemons[*p].is_up);
            answers = peers
                .map(|p| self.daemons[p].answer(&stream.id, now))
                .collect();
        }
        let Some(proof) = conclude(&answers) else {
            self.rejected += 1;
            return Ok(());
        };
        let mut targets = self.daemons[d].targets.iter();
        let continues = targets.any(|(i, v)| name(*v) == proof.software && self.targets[*i].alive);
        if continues {
            self.resumed += 1;
            prop_assert_eq!(&*proof.software, &*name(stream.version), "{:?}", proof);
        }
        Ok(())
    }

    fn restart(&mut self, d: usize, asks_peer: bool) {
        let now = self.now_ms;
        self.daemons[d].history = VersionHistory::new(ListTimes::new(false));
        self.daemons[d].records = StreamRecords::default();
        self.daemons[d].running.clear();
        self.daemons[d].is_up = true;
        self.daemons[d].unsent = None;
        let rows: Vec<&Row> = self
            .daemons
            .iter()
            .filter_map(|d| d.stored.as_ref())
            .collect();
        // As a daemon that starts: nothing is learned if a row names nothing, or was written
        // before the store came back from a copy.
        let is_complete = |row: &&Row| row.is_complete && row.era == self.era;
        if !rows.is_empty() && rows.iter().all(is_complete) {
            let stored = rows.iter().flat_map(|r| r.versions.clone());
            let stored: Vec<Stored> = stored.collect();
            self.daemons[d].history.learn_stored(&stored, now);
        }
        self.list(d);
        if !asks_peer {
            return;
        }
        let peer = (d + 1) % DAEMONS;
        if !self.daemons[peer].is_up {
            return;
        }
        let reports: Vec<Reported> = self.daemons[peer].history.report(now).collect();
        for reported in &reports {
            self.daemons[d].history.learn(reported, now);
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        let targets = self.targets.len().max(1);
        match *op {
            Op::Wait(ms) => self.now_ms += ms,
            Op::Start(version) => self.start_target(version),
            Op::Drain(i) => self.targets[i % targets].ready = false,
            Op::Unlist(i) => self.targets[i % targets].listed = false,
            Op::End(i) => {
                self.targets[i % targets].listed = false;
                self.targets[i % targets].alive = false;
            }
            Op::List(d) if self.daemons[d].is_up => self.list(d),
            Op::Begin(d, choice) if self.daemons[d].is_up => self.begin(d, choice),
            Op::Resume(d, index, reached) if self.daemons[d].is_up => {
                self.resume(d, index, reached)?;
            }
            Op::Write(d) if self.daemons[d].is_up => self.write(d),
            Op::List(_) | Op::Begin(..) | Op::Resume(..) | Op::Write(_) => {}
            Op::KillAll => {
                self.in_flight.clear();
                self.daemons.iter_mut().for_each(|d| d.is_up = false);
            }
            Op::Up(d) if !self.daemons[d].is_up => self.restart(d, true),
            Op::Up(_) => {}
            Op::Copy => self.copy = self.daemons.iter().map(|d| d.stored.clone()).collect(),
            Op::Restore => {
                self.era += 1;
                for (daemon, row) in self.daemons.iter_mut().zip(&self.copy) {
                    daemon.stored = row.clone();
                }
            }
            // A delivered message may arrive again.
            Op::Deliver(i) => {
                if let Some((to, stream)) = self.in_flight.get(i).cloned() {
                    let daemon = &mut self.daemons[to];
                    daemon
                        .records
                        .insert(&stream.id, record(&stream), self.now_ms);
                }
            }
            Op::Lose(i) => {
                if i < self.in_flight.len() {
                    self.in_flight.remove(i);
                }
            }
            Op::Restart(d) => self.restart(d, true),
            Op::RestartAll => {
                self.in_flight.clear();
                (0..DAEMONS).for_each(|d| self.restart(d, false));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, ..ProptestConfig::default() })]

    /// Guards against a stream that holds events of two versions.
    #[test]
    fn resume_keeps_version(ops in prop::collection::vec(op(), 1..150), writes_at_once: bool) {
        let mut fleet = Fleet::new(&[0, 0]);
        fleet.writes_at_once = writes_at_once;
        for op in &ops {
            fleet.apply(op)?;
        }
    }

    /// Guards against rejected resumptions where every message arrives and every list
    /// is recent, during a rollout by halves in either direction.
    #[test]
    fn resume_goes_on_in_touch(
        backwards in any::<bool>(),
        choices in prop::collection::vec((0..DAEMONS, 0..64usize, 0..DAEMONS), 200),
    ) {
        let (old, new) = if backwards { (1, 0) } else { (0, 1) };
        let mut fleet = Fleet::new(&[old, old, old, old]);
        for (i, (begins, choice, resumes)) in choices.iter().enumerate() {
            if i == 40 {
                fleet.start_target(new);
                fleet.start_target(new);
            }
            fleet.begin(*begins, i + *choice % 2);
            while let Some((to, stream)) = fleet.in_flight.pop() {
                let now = fleet.now_ms;
                fleet.daemons[to].records.insert(&stream.id, record(&stream), now);
            }
            fleet.now_ms += 50;
            fleet.resume(*resumes, fleet.streams.len().saturating_sub(1), u8::MAX)?;
            (0..DAEMONS).for_each(|d| if (i + d) % 4 == 0 { fleet.list(d) });
        }
        let shares: BTreeSet<usize> = fleet.streams.iter().map(|s| s.version).collect();
        prop_assert_eq!(shares.len(), 2, "streams begin at both versions");
        prop_assert!(fleet.rejected * 100 <= fleet.resumed, "{} of {}", fleet.rejected, fleet.resumed);
    }
}
