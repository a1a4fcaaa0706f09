use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_protocol::EngineRun;

use super::{Run, Runs, UNTOLD_MS};

fn adapter() -> AdapterRef {
    AdapterRef {
        model: "m".into(),
        adapter: Some("a".into()),
    }
}

fn run(target: &str, bound: u64) -> Run {
    Run {
        target: target.into(),
        group: "d".into(),
        adapter: Some(adapter()),
        unread_tokens: 100,
        queued_tokens: 300,
        bound_at_ms: bound,
    }
}

fn told(id: u64, target: &str, unread: u64) -> EngineRun {
    EngineRun {
        id,
        target: target.into(),
        adapter: "m/a".into(),
        unread,
    }
}

/// Symptom: an engine that looked idle was given several prompts at once.
/// Events: a holder binds a run; the daemon's next news was made before it had
/// the answer. Cause: the news alone was taken for all that the daemon runs.
#[test]
fn replace_keeps_what_was_just_bound() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    runs.replace(&[told(2, "t", 50)], 1_010);
    let works = runs.works();
    let work = works.get("t").unwrap();
    assert_eq!((work.prefill_tokens, work.requests), (150, 2));
    // News that names neither, and long after: both are gone.
    runs.replace(&[], 1_000 + UNTOLD_MS);
    assert!(runs.works().is_empty());
}

#[test]
fn replace_goes_on_with_known_run() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    runs.replace(&[told(1, "t", 0)], 5_000);
    let read = runs.read(1).unwrap();
    assert_eq!((read.unread_tokens, read.queued_tokens), (0, 300));
    assert_eq!(
        runs.uses().collect::<Vec<_>>(),
        [(&Name::from("t"), &adapter())]
    );
    assert!(runs.end(1).is_some());
    assert!(runs.end(1).is_none());
    assert_eq!(runs.uses().count(), 0);
}

#[test]
fn read_leaves_no_prompt() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    assert_eq!(runs.read(1).map(|r| r.unread_tokens), Some(100));
    let works = runs.works();
    let work = works.get("t").unwrap();
    assert_eq!((work.prefill_tokens, work.requests), (0, 1));
}
