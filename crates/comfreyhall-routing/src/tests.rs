use comfreyhall_domain::{AdapterRef, Map, Name, PromptSegment};

use crate::{
    selection::{Candidate, Spread},
    *,
};

fn name(s: &str) -> Name {
    s.into()
}

fn candidate(id: &str, wait_ms: f64, load_ms: f64) -> Candidate {
    Candidate {
        id: id.into(),
        same_domain: true,
        wait_ms,
        load_ms,
        from_store: false,
        evicts: false,
        interference_ms: 0.0,
        success_rate: 1.0,
        tried: false,
    }
}

fn adapter() -> AdapterRef {
    AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    }
}

/// Guards against a retry storm: in an outage every failure was sent again and
/// the targets got twice their load, because retries were not bounded by the
/// number of requests.
#[test]
fn try_retry_bounded_by_requests() {
    let mut budget = RetryBudget::new(10_000, 0.2, 14.0, 0);
    for i in 20_000..20_100 {
        budget.record_request(i);
    }
    let granted = (0..100)
        .filter(|_| budget.try_retry(20_100, Some(7)))
        .count();
    assert_eq!(granted, 11);
    assert!(budget.try_retry(40_000, Some(1)));
}

/// Guards against daemons that each take the whole allowance because they see
/// nobody else.
#[test]
fn try_retry_unknown_members_no_allowance() {
    let mut budget = RetryBudget::new(10_000, 0.2, 52.0, 0);
    assert!(!budget.try_retry(20_000, None));
    assert!(budget.try_retry(20_000, Some(6)));
}

/// Guards against a process that spends what an earlier one of its instance has
/// spent in the same window.
#[test]
fn try_retry_new_process_has_small_share() {
    let mut budget = RetryBudget::new(10_000, 0.2, 52.0, 20_000);
    let granted =
        |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_retry(now, Some(6))).count();
    assert_eq!(granted(&mut budget, 21_000), 1);
    assert_eq!(granted(&mut budget, 40_000), 5);
}

/// Guards against needless loads from the weight store: a third of them brought
/// back adapters that an engine had evicted shortly before, because a queue 200
/// ms longer than another's outweighed the duration of the load alone.
#[test]
fn select_cached_beats_store() {
    let cached = candidate("kept", 300.0, 25.0);
    let from_store_only = Candidate {
        from_store: true,
        ..candidate("other", 100.0, 250.0)
    };
    let both = [cached, from_store_only];
    let best = selection::select(&both, 500.0, Spread::Equal, 0).unwrap();
    assert_eq!(&*best.id, "kept");
}

/// Guards against engines that process the same shared prompts again, 12 in 100
/// of all they processed, when two engines hold a hot adapter and six daemons
/// each know only the prompts that they sent themselves. Here 600 requests
/// share 34 prompts of 6,300 tokens; without agreement each engine processes
/// each of them.
#[test]
fn prefix_engine_each_prompt_processed_once() {
    let holders = [name("e1"), name("e2")];
    let segments = |i: u64| [i % 34, 1_000 + i].map(|id| PromptSegment { id, tokens: 6_300 });
    let reads = |to: &dyn Fn(u64) -> Name| {
        let read: std::collections::HashSet<(u64, Name)> =
            (0..600).map(|i| (i % 34, to(i))).collect();
        read.len()
    };
    let alternating = reads(&|i| holders[(i / 34 % 2) as usize].clone());
    let agreed = reads(&|i| {
        let reader = selection::prefix_engine("m/a1", &segments(i), holders.iter());
        reader.unwrap().clone()
    });
    assert_eq!((alternating, agreed), (68, 34));
    // Both engines take part.
    let first = |i| selection::prefix_engine("m/a1", &segments(i), holders.iter());
    assert!((0..34).any(|i| first(i) != first(0)));
    assert_eq!(
        selection::prefix_engine("m/a1", &segments(0)[..1], holders.iter()),
        None
    );
}

#[test]
fn select_copy_beats_long_queue() {
    let candidates = [
        candidate("hot", 600.0, 0.0),
        candidate("idle", 100.0, 250.0),
    ];
    assert_eq!(
        &*selection::select(&candidates, 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "idle"
    );
    let candidates = [
        candidate("hot", 300.0, 0.0),
        candidate("idle", 100.0, 250.0),
    ];
    assert_eq!(
        &*selection::select(&candidates, 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "hot"
    );
}

#[test]
fn select_equal_costs_share_requests() {
    let candidates = [candidate("a", 100.0, 0.0), candidate("b", 104.0, 0.0)];
    let at = |draw| {
        selection::select(&candidates, 500.0, Spread::Equal, draw)
            .unwrap()
            .id
            .clone()
    };
    assert_ne!(at(0), at(1));
}

/// Mean wait in ms at `COPIES` engines. 60 times a second a request with 125 ms
/// of prompt arrives, sent by daemons that see the queues as they were at the
/// last report.
fn simulate_stale_reports(spread: Spread) -> f64 {
    const COPIES: usize = 11;
    const REPORT_INTERVAL_MS: u64 = 500;
    let mut queues = [0.0_f64; COPIES];
    let mut seen = queues;
    let mut draw = 7_u64;
    let (mut waited, mut count) = (0.0, 0.0);
    for now in 0..30_000_u64 {
        if now % REPORT_INTERVAL_MS == 0 {
            seen = queues;
        }
        queues.iter_mut().for_each(|q| *q = (*q - 1.0).max(0.0));
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let arrives = (draw >> 11) as f64 / (1_u64 << 53) as f64 <= 0.060;
        if !arrives {
            continue;
        }
        let candidates: Vec<Candidate> = seen
            .iter()
            .enumerate()
            .map(|(i, wait)| candidate(&i.to_string(), *wait, 0.0))
            .collect();
        let mixed = draw.rotate_left(17).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let to = selection::select(&candidates, 500.0, spread, mixed).unwrap();
        let to: usize = to.id.parse().unwrap();
        waited += queues[to];
        count += 1.0;
        queues[to] += 125.0;
    }
    waited / count
}

/// Guards against a thundering herd: a third of the requests for the most
/// requested adapter were late although eleven engines held it, because 89
/// daemons learned of the queues twice a second and in between all chose the
/// engine whose queue had been shortest.
#[test]
fn select_stale_reports_shares_requests() {
    let (equal, shared) = (
        simulate_stale_reports(Spread::Equal),
        simulate_stale_reports(Spread::Stale(150.0)),
    );
    assert!(equal > 350.0, "{equal}");
    assert!(shared < 200.0, "{shared}");
}

#[test]
fn select_stale_prefers_no_load() {
    let candidates = [
        candidate("held", 300.0, 0.0),
        candidate("idle", 60.0, 250.0),
    ];
    for draw in [0, u64::MAX / 2, u64::MAX] {
        let best = selection::select(&candidates, 500.0, Spread::Stale(150.0), draw).unwrap();
        assert_eq!(&*best.id, "held");
    }
}

#[test]
fn select_tried_only_when_alone() {
    let mut tried = candidate("a", 1.0, 0.0);
    tried.tried = true;
    let other = candidate("b", 900.0, 0.0);
    let both = [tried.clone(), other];
    assert_eq!(
        &*selection::select(&both, 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "b"
    );
    assert_eq!(
        &*selection::select(&[tried], 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "a"
    );
}

/// Guards against ejecting every target: when all targets failed half of their
/// requests for some seconds, all requests waited although every engine was up.
#[test]
fn health_failing_targets_recover() {
    let mut stats = TargetStats::default();
    let t = name("t");
    for i in 0..50 {
        stats.record_outcome(&t, false, 1.0, i);
    }
    assert!(stats.health(&t, 50) < 0.2);
    assert!(stats.health(&t, 30_000) > 0.95);
}

#[test]
fn total_work_sums_own_and_fresh_peers() {
    let mut stats = TargetStats::default();
    let t = name("t");
    stats.request_sent(&t, 100);
    let report = Work {
        waiting_tokens: 0,
        prefill_tokens: 50,
        requests: 1,
    };
    let works = |w: &[(Name, Work)]| w.iter().cloned().collect::<Map<Name, Work>>();
    stats.set_peer_work(&name("p"), &works(&[(t.clone(), report)]), 2_000);
    assert_eq!(stats.total_work(&t, 1_500).prefill_tokens, 150);
    assert_eq!(stats.total_work(&t, 5_000).prefill_tokens, 100);
    stats.set_peer_work(&name("p"), &works(&[(t.clone(), report)]), 7_000);
    stats.set_peer_work(&name("p"), &works(&[]), 7_100);
    assert_eq!(
        stats.total_work(&t, 6_100).prefill_tokens,
        100,
        "the request ended there"
    );
    stats.set_others_work(&t, report, 7_000);
    assert_eq!(stats.total_work(&t, 6_900).prefill_tokens, 150);
    assert_eq!(stats.total_work(&t, 7_001).prefill_tokens, 100);
    stats.prompt_read(&t, 100);
    stats.request_ended(&t);
    assert_eq!(stats.own_work().count(), 0);
}

#[test]
fn add_peer_work_counts_until_subtracted() {
    let mut stats = TargetStats::default();
    let (p, t) = (name("p"), name("t"));
    let work = |prefill, running| Work {
        prefill_tokens: prefill,
        requests: running,
        waiting_tokens: 0,
    };
    stats.add_peer_work(&p, &t, work(300, 1), 1_000);
    stats.add_peer_work(&p, &t, work(200, 1), 1_500);
    assert_eq!(stats.total_work(&t, 1_400), work(500, 2));
    stats.subtract_peer_work(&p, &t, work(300, 0));
    stats.subtract_peer_work(&p, &t, work(0, 1));
    assert_eq!(stats.total_work(&t, 1_400), work(200, 1));
    // Subtracting more than was reported does not go below zero.
    stats.subtract_peer_work(&p, &t, work(900, 9));
    assert_eq!(stats.total_work(&t, 1_400), work(0, 0));
    assert_eq!(stats.total_work(&t, 1_501), work(0, 0));
}

#[test]
fn cached_tokens_counts_unbroken_chain() {
    let mut p = PrefixIndex::default();
    let segment = |id, tokens| PromptSegment { id, tokens };
    let t = name("t");
    p.record(&adapter(), &[segment(1, 300), segment(2, 200)], &t, 0);
    let same = [segment(1, 300), segment(2, 200), segment(9, 50)];
    assert_eq!(p.cached_tokens(&adapter(), &same, &t), 500);
    let other = [segment(3, 300), segment(2, 200)];
    assert_eq!(p.cached_tokens(&adapter(), &other, &t), 0);
    assert_eq!(p.cached_tokens(&adapter(), &same, &name("u")), 0);
}

/// Guards against counts that drift from the recorded evidence.
#[test]
fn copy_count_follows_evidence() {
    let mut r = Residency::default();
    let (a, b) = (name("a"), name("b"));
    r.record(&adapter(), &a, Presence::Held(1), 1_000);
    r.record(&adapter(), &a, Presence::Held(2), 1_100);
    r.record(&adapter(), &b, Presence::Held(1), 1_200);
    assert_eq!(
        (
            r.copy_count(&adapter()),
            r.adapter_count(&a),
            r.adapter_count(&b)
        ),
        (2, 1, 1)
    );
    r.record(&adapter(), &a, Presence::Absent, 1_300);
    r.record(&adapter(), &a, Presence::Absent, 1_400);
    assert_eq!((r.copy_count(&adapter()), r.adapter_count(&a)), (1, 0));
    assert!(
        r.likely_cached(&adapter(), &a, 1_500),
        "it is still cached there"
    );
    r.remove(&b, 1_600);
    assert_eq!((r.copy_count(&adapter()), r.adapter_count(&b)), (0, 0));
}

/// Guards against a published list that replaces newer evidence: an adapter that
/// had just been loaded was loaded again, because the target's list from before
/// the load arrived after it.
#[test]
fn apply_report_keeps_fresher_evidence() {
    let mut r = Residency::default();
    let t = name("t");
    r.record(&adapter(), &t, Presence::Held(2), 1_000);
    let list = comfreyhall_domain::Target {
        id: t.clone(),
        name: t.clone(),
        started_at_ms: 0,
        service: "s".into(),
        software: None,
        addr: "a".into(),
        failure_domain: "d".into(),
        stage: comfreyhall_domain::Stage::Ready,
        max_running: 1,
        loaded: Vec::new(),
        accepted_commands: 0,
        row_version: comfreyhall_domain::Revision::ZERO,
    };
    r.apply_report(&list, 1_500);
    assert_eq!(r.held_version(&adapter(), &t), Some(2));
    r.apply_report(&list, 9_000);
    assert_eq!(r.held_version(&adapter(), &t), None);
}

#[test]
fn should_refuse_lower_priority_sooner() {
    assert!(!admission::should_refuse(600.0, 1_000, 1_000, 0));
    assert!(admission::should_refuse(600.0, 1_000, 1_000, 2));
}

#[test]
fn retry_ms_within_third_of_time_left() {
    assert_eq!(admission::retry_ms(5_000.0, 900, 7), 300);
    let (a, b) = (
        admission::retry_ms(1_000.0, 60_000, 1),
        admission::retry_ms(1_000.0, 60_000, 400),
    );
    assert!(a != b && a >= 1_000 && b <= 1_500);
}

/// Guards against overestimated queues: adapters were loaded a second time
/// although the engine that held them would have answered in time, because the
/// rate of lone prompts (190 ms for 1,500 tokens) was taken for the rate at
/// which a queue of 10,000 is processed.
#[test]
fn prefill_ms_long_queue_not_overestimated() {
    let (engine, slow) = (name("e"), name("slow"));
    let mut stats = TargetStats::default();
    let latency_ms = |tokens: u64| 115 + tokens / 25;
    for i in 0..400 {
        let tokens = 1_000 + 50 * (i % 20);
        stats.record_first_token(&engine, tokens, latency_ms(tokens));
        if i % 10 == 0 {
            stats.record_first_token(&engine, 8_000, latency_ms(8_000));
            stats.record_first_token(&slow, 2_000, 4 * latency_ms(2_000));
        }
    }
    let expect = |target, tokens| stats.prefill_ms(target, tokens, 0);
    let queue = expect(&engine, 10_000);
    assert!((420.0..650.0).contains(&queue), "{queue}");
    let alone = expect(&engine, 1_500);
    assert!((150.0..260.0).contains(&alone), "{alone}");
    let of_slow = expect(&slow, 1_500);
    assert!(of_slow > 2.5 * alone, "{of_slow} against {alone}");
}

/// Guards against a wrong first estimate of an engine: in a fleet of 89 a
/// daemon has a sample of each engine every quarter of a minute, and a daemon
/// that learned each engine's speed separately took a new one for twice as slow
/// as it is.
#[test]
fn prefill_ms_unknown_engine_like_others() {
    let mut stats = TargetStats::default();
    for i in 0..600_u64 {
        let tokens = 500 + 37 * (i % 200);
        stats.record_first_token(&name("e"), tokens, 60 + tokens / 50);
    }
    let known = stats.prefill_ms(&name("e"), 4_000, 0);
    let new = stats.prefill_ms(&name("new"), 4_000, 0);
    assert!((new - known).abs() < 0.1 * known, "{new} {known}");
}

/// Guards against a daemon that rejects plain requests permanently after one slow
/// answer of each target.
#[test]
fn plain_ms_slow_answer_is_forgotten() {
    let mut stats = TargetStats::default();
    let target = "t".into();
    stats.record_duration(&target, 2_000);
    let objective_ms = 300;
    let minute = 60_000;
    let wait_ms = stats.plain_ms(&target, 8, minute);
    assert!(
        !admission::should_refuse(wait_ms, 2_000, objective_ms, 0),
        "{wait_ms}"
    );
}

/// Guards against a daemon that takes one unresponsive target, or a moment without an
/// answer, for the loss of all its paths.
#[test]
fn record_failure_one_silent_target_is_no_cut() {
    let mut reach = Reachability::default();
    reach.record_answer(1_000);
    for at in [1_100, 1_500, 2_500] {
        assert_eq!(reach.record_failure(&"a".into(), 9, at), None);
    }
    reach.record_answer(2_600);
    for target in ["a", "b", "c"] {
        assert_eq!(reach.record_failure(&target.into(), 9, 2_700), None);
    }
    assert_eq!(reach.isolated_since(), None);
}

/// Guards against a daemon that does not notice that it has lost all its paths, or
/// that it has them back.
#[test]
fn record_failure_three_targets_isolate_until_answer() {
    let mut reach = Reachability::default();
    reach.record_answer(1_000);
    reach.record_failure(&"a".into(), 9, 1_300);
    reach.record_failure(&"b".into(), 9, 1_350);
    let change = reach.record_failure(&"c".into(), 9, 1_400);
    assert!(matches!(change, Some(ReachChange::Isolated(failed)) if failed.len() == 3));
    assert_eq!(reach.record_failure(&"a".into(), 9, 1_500), None);
    assert_eq!(reach.record_answer(2_000), Some(ReachChange::Restored(600)));
    assert_eq!(reach.isolated_since(), None);
}
