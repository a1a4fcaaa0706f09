//! Tests that the oracle finds each kind of violation and accepts correct daemons.

use std::time::{Duration, Instant};

use super::{
    history::{Outcome, Path, Service},
    oracle::{Answer, Disturbance, Record, Scope, Version, ViolationKind, find_violations},
};

/// A run with versions 1 to 4 at 0, 10, 20 and 30 s, and one daemon that started at 0 s.
struct Run {
    start: Instant,
    record: Record,
}

impl Run {
    fn new() -> Self {
        let start = Instant::now() + Duration::from_secs(100);
        let at = |s: u64| start + Duration::from_secs(s);
        let versions = (1..=4).map(|number| Version {
            number,
            sent: at(10 * (number - 1)),
            acked: at(10 * (number - 1)),
        });
        let record = Record {
            versions: versions.collect(),
            starts: vec![(0, start)],
            disturbances: Vec::new(),
        };
        Self { start, record }
    }

    fn at(&self, s: f64) -> Instant {
        self.start + Duration::from_secs_f64(s)
    }

    fn disturb(&mut self, scope: Scope, from: f64, to: f64) {
        let span = self.at(from)..self.at(to);
        self.record.disturbances.push(Disturbance { scope, span });
    }

    fn answer(&self, s: f64, path: Path, outcome: Outcome) -> Answer {
        Answer {
            daemon: 0,
            path,
            outcome,
            sent: self.at(s),
            ended: self.at(s + 0.01),
        }
    }

    fn violations(&self, answers: &[Answer]) -> Vec<ViolationKind> {
        let found = find_violations(&self.record, answers);
        found.iter().map(|v| v.kind).collect()
    }
}

#[test]
fn find_violations_none_for_correct_daemon() {
    let run = Run::new();
    let answers = [
        run.answer(8.0, Path::Moved, Outcome::AnsweredBy(Service::Alt)),
        run.answer(12.0, Path::Moved, Outcome::AnsweredBy(Service::Alt)),
        run.answer(12.5, Path::Moved, Outcome::AnsweredBy(Service::App)),
        run.answer(14.0, Path::Added(2), Outcome::AnsweredBy(Service::App)),
        run.answer(34.0, Path::Added(1), Outcome::NotFound),
        run.answer(35.0, Path::Absent, Outcome::NotFound),
    ];
    assert_eq!(run.violations(&answers), []);
}

#[test]
fn find_violations_stale_answer_of_undisturbed_daemon() {
    let run = Run::new();
    let late = run.answer(13.1, Path::Moved, Outcome::AnsweredBy(Service::Alt));
    assert_eq!(run.violations(&[late]), [ViolationKind::Stale]);
    let not_found = run.answer(13.1, Path::Added(2), Outcome::NotFound);
    assert_eq!(run.violations(&[not_found]), [ViolationKind::Stale]);
}

#[test]
fn find_violations_disturbed_daemon_may_be_stale_but_not_answer_404() {
    let mut run = Run::new();
    run.disturb(Scope::Daemon(0), 9.0, 16.0);
    let ran = run.answer(15.0, Path::Moved, Outcome::AnsweredBy(Service::Alt));
    let not_found = run.answer(15.0, Path::Added(2), Outcome::NotFound);
    assert_eq!(run.violations(&[ran, not_found]), [ViolationKind::NotFound]);
    run.disturb(Scope::Daemon(1), 17.0, 30.0);
    let back = run.answer(20.5, Path::Added(2), Outcome::NotFound);
    assert_eq!(run.violations(&[back]), [ViolationKind::Stale]);
}

#[test]
fn find_violations_older_version_after_newer() {
    let mut run = Run::new();
    run.disturb(Scope::All, 9.0, 31.0);
    let new = run.answer(10.5, Path::Added(2), Outcome::AnsweredBy(Service::App));
    let old = run.answer(11.0, Path::Moved, Outcome::AnsweredBy(Service::Alt));
    assert_eq!(run.violations(&[new, old]), [ViolationKind::Regressed]);
    run.record.starts.push((0, run.at(10.7)));
    assert_eq!(run.violations(&[new, old]), []);
}

#[test]
fn find_violations_answer_that_no_version_allows() {
    let run = Run::new();
    let absent = run.answer(8.0, Path::Absent, Outcome::AnsweredBy(Service::App));
    let wrong = run.answer(8.0, Path::Added(1), Outcome::AnsweredBy(Service::Alt));
    let early = run.answer(8.0, Path::Added(2), Outcome::AnsweredBy(Service::App));
    assert_eq!(
        run.violations(&[absent, wrong, early]),
        [ViolationKind::Impossible; 3]
    );
}

#[test]
fn find_violations_repeated_rejections_of_undisturbed_daemon() {
    let mut run = Run::new();
    let rejected = |s| run.answer(s, Path::Moved, Outcome::Rejected);
    let unsure = run.answer(8.05, Path::Added(2), Outcome::Rejected);
    let added = run.answer(18.0, Path::Added(2), Outcome::Rejected);
    let three = [rejected(8.0), unsure, rejected(8.1), rejected(8.2), added];
    assert_eq!(run.violations(&three), [ViolationKind::Rejected; 2]);
    let served = run.answer(8.15, Path::Moved, Outcome::AnsweredBy(Service::Alt));
    assert_eq!(
        run.violations(&[rejected(8.0), rejected(8.1), served, rejected(8.2)]),
        []
    );
    run.disturb(Scope::All, 6.0, 7.0);
    assert_eq!(run.violations(&three), [ViolationKind::Rejected]);
}
