use comfreyhall_slots::SlotShare;

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_protocol::EngineRun;

use super::{Run, Runs, UNREPORTED_MS};

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
        share: SlotShare::priority(0),
        began_at_ms: 0,
        bound_at_ms: bound,
    }
}

fn reported(id: u64, target: &str, unread: u64) -> EngineRun {
    EngineRun {
        id,
        target: target.into(),
        adapter: "m/a".into(),
        unread,
        ..EngineRun::default()
    }
}

/// Guards against an engine that looks idle and gets several prompts at once. A
/// holder binds a run, and the daemon's next message was made before it had the
/// answer: the message alone does not list all that the daemon runs.
#[test]
fn reconcile_keeps_recently_bound() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    runs.reconcile(&[reported(2, "t", 50)], 1_010);
    let totals = runs.work_by_target();
    let work = totals.get("t").unwrap();
    assert_eq!((work.prefill_tokens, work.requests), (150, 2));
    // A message without either run, after the limit: both are removed.
    runs.reconcile(&[], 1_000 + UNREPORTED_MS);
    assert!(runs.work_by_target().is_empty());
}

#[test]
fn reconcile_keeps_known_run() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    runs.reconcile(&[reported(1, "t", 0)], 5_000);
    let read = runs.mark_prompt_read(1).unwrap();
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
fn mark_prompt_read_clears_prompt() {
    let mut runs = Runs::default();
    runs.begin(1, run("t", 1_000));
    assert_eq!(runs.mark_prompt_read(1).map(|r| r.unread_tokens), Some(100));
    let totals = runs.work_by_target();
    let work = totals.get("t").unwrap();
    assert_eq!((work.prefill_tokens, work.requests), (0, 1));
}
