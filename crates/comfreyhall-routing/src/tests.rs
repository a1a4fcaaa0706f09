use comfreyhall_domain::{AdapterRef, Name, Part};

use crate::{pick::Choice, *};

fn name(s: &str) -> Name {
    s.into()
}

fn choice(id: &str, wait_ms: f64, load_ms: f64) -> Choice {
    Choice {
        id: id.into(),
        near: true,
        wait_ms,
        load_ms,
        evicts: false,
        health: 1.0,
        tried: false,
    }
}

fn adapter() -> AdapterRef {
    AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    }
}

/// Symptom: during an outage each failure was sent again and the targets
/// got twice their load. Events: every answer fails for a window. Cause:
/// repeats were not bounded by the requests.
#[test]
fn repeat_bounded_by_requests() {
    let mut b = Budget::new(10_000, 0.2, 14.0);
    for i in 0..100 {
        b.request(i);
    }
    let granted = (0..100).filter(|_| b.repeat(100, 7)).count();
    assert_eq!(granted, 15);
    assert!(b.repeat(20_000, 1));
}

#[test]
fn best_copy_beats_long_queue() {
    let choices = [choice("hot", 600.0, 0.0), choice("idle", 100.0, 250.0)];
    assert_eq!(&*pick::best(&choices, 500.0, 0).unwrap().id, "idle");
    let choices = [choice("hot", 300.0, 0.0), choice("idle", 100.0, 250.0)];
    assert_eq!(&*pick::best(&choices, 500.0, 0).unwrap().id, "hot");
}

#[test]
fn best_equal_spread_by_draw() {
    let choices = [choice("a", 100.0, 0.0), choice("b", 104.0, 0.0)];
    let at = |draw| pick::best(&choices, 500.0, draw).unwrap().id.clone();
    assert_ne!(at(0), at(1));
}

#[test]
fn best_tried_only_when_alone() {
    let mut tried = choice("a", 1.0, 0.0);
    tried.tried = true;
    let other = choice("b", 900.0, 0.0);
    let both = [tried.clone(), other];
    assert_eq!(&*pick::best(&both, 500.0, 0).unwrap().id, "b");
    assert_eq!(&*pick::best(&[tried], 500.0, 0).unwrap().id, "a");
}

/// Symptom: all requests waited while every engine was up. Events: all
/// targets failed half of their requests for some seconds. Cause: ejection
/// that could take out every target.
#[test]
fn health_never_takes_all_out() {
    let mut board = Board::default();
    let t = name("t");
    for i in 0..50 {
        board.note(&t, false, 1.0, i);
    }
    assert!(board.health(&t, 50) < 0.2);
    assert!(board.health(&t, 30_000) > 0.95);
}

#[test]
fn work_sums_own_and_fresh_peers() {
    let mut board = Board::default();
    let t = name("t");
    board.begin(&t, 100);
    let told = Work {
        prefill: 50,
        running: 1,
    };
    board.peer(&t, &name("p"), told, 1_000);
    assert_eq!(board.work(&t, 1_500).prefill, 150);
    assert_eq!(board.work(&t, 5_000).prefill, 100);
    board.read(&t, 100);
    board.end(&t);
    assert_eq!(board.own().count(), 0);
}

#[test]
fn kept_counts_unbroken_chain() {
    let mut p = Prefixes::default();
    let part = |id, tokens| Part { id, tokens };
    let t = name("t");
    p.note(&adapter(), &[part(1, 300), part(2, 200)], &t, 0);
    let same = [part(1, 300), part(2, 200), part(9, 50)];
    assert_eq!(p.kept(&adapter(), &same, &t), 500);
    let other = [part(3, 300), part(2, 200)];
    assert_eq!(p.kept(&adapter(), &other, &t), 0);
    assert_eq!(p.kept(&adapter(), &same, &name("u")), 0);
}

/// Symptom: an adapter that had just been loaded was ordered again.
/// Events: the load ends; the target's list from before it arrives. Cause:
/// the older list replaced the newer evidence.
#[test]
fn publish_old_list_keeps_fresh_evidence() {
    let mut r = Residency::default();
    let t = name("t");
    r.note(&adapter(), &t, Standing::Held(2), 1_000);
    let list = comfreyhall_domain::Target {
        id: t.clone(),
        service: "s".into(),
        addr: "a".into(),
        domain: "d".into(),
        stage: comfreyhall_domain::Stage::Ready,
        slots: 1,
        held: Vec::new(),
        sequence: 0,
        version: 0,
    };
    r.publish(&list, 1_500);
    assert_eq!(r.version(&adapter(), &t), Some(2));
    r.publish(&list, 9_000);
    assert_eq!(r.version(&adapter(), &t), None);
}

#[test]
fn refuse_lower_rank_sooner() {
    assert!(!admission::refuse(600.0, 1_000, 0));
    assert!(admission::refuse(600.0, 1_000, 2));
}

#[test]
fn retry_within_third_of_left() {
    assert_eq!(admission::retry_ms(5_000.0, 900, 7), 300);
    let (a, b) = (
        admission::retry_ms(1_000.0, 60_000, 1),
        admission::retry_ms(1_000.0, 60_000, 400),
    );
    assert!(a != b && a >= 1_000 && b <= 1_500);
}
