use comfreyhall_domain::{AdapterRef, Map, Name, PromptSegment};

use crate::{
    selection::{Candidate, Spread},
    *,
};

fn name(s: &str) -> Name {
    s.into()
}

fn choice(id: &str, wait_ms: f64, load_ms: f64) -> Candidate {
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

/// Symptom: during an outage each failure was sent again and the targets
/// got twice their load. Events: every answer fails for a window. Cause:
/// repeats were not bounded by the requests.
#[test]
fn repeat_bounded_by_requests() {
    let mut b = RetryBudget::new(10_000, 0.2, 14.0);
    for i in 0..100 {
        b.record_request(i);
    }
    let granted = (0..100).filter(|_| b.try_retry(100, 7)).count();
    assert_eq!(granted, 15);
    assert!(b.try_retry(20_000, 1));
}

/// Symptom: a third of the loads from the weight store brought back what some
/// engine had given up shortly before. Events: its engine has a queue that is
/// 200 ms longer than another's. Cause: the time of a load was all it cost.
#[test]
fn best_at_hand_beats_store() {
    let kept = choice("kept", 300.0, 25.0);
    let stored = Candidate {
        from_store: true,
        ..choice("other", 100.0, 250.0)
    };
    let both = [kept, stored];
    let best = selection::select(&both, 500.0, Spread::Equal, 0).unwrap();
    assert_eq!(&*best.id, "kept");
}

/// Symptom: engines read the same shared prompts again, 12 in 100 of all they
/// read. Events: two engines hold a hot adapter, six daemons send to both.
/// Cause: each daemon knew only of the prompts that it had sent itself. Here
/// 600 requests share 34 prompts of 6,300 tokens; without agreement each
/// engine reads each of them.
#[test]
fn reader_one_engine_reads_each_prompt() {
    let holders = [name("e1"), name("e2")];
    let parts = |i: u64| [i % 34, 1_000 + i].map(|id| PromptSegment { id, tokens: 6_300 });
    let reads = |to: &dyn Fn(u64) -> Name| {
        let read: std::collections::HashSet<(u64, Name)> =
            (0..600).map(|i| (i % 34, to(i))).collect();
        read.len()
    };
    let by_draw = reads(&|i| holders[(i / 34 % 2) as usize].clone());
    let agreed = reads(&|i| {
        let reader = selection::prefix_engine("m/a1", &parts(i), holders.iter());
        reader.unwrap().clone()
    });
    assert_eq!((by_draw, agreed), (68, 34));
    // Both take part.
    let first = |i| selection::prefix_engine("m/a1", &parts(i), holders.iter());
    assert!((0..34).any(|i| first(i) != first(0)));
    assert_eq!(
        selection::prefix_engine("m/a1", &parts(0)[..1], holders.iter()),
        None
    );
}

#[test]
fn best_copy_beats_long_queue() {
    let choices = [choice("hot", 600.0, 0.0), choice("idle", 100.0, 250.0)];
    assert_eq!(
        &*selection::select(&choices, 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "idle"
    );
    let choices = [choice("hot", 300.0, 0.0), choice("idle", 100.0, 250.0)];
    assert_eq!(
        &*selection::select(&choices, 500.0, Spread::Equal, 0)
            .unwrap()
            .id,
        "hot"
    );
}

#[test]
fn best_equal_spread_by_draw() {
    let choices = [choice("a", 100.0, 0.0), choice("b", 104.0, 0.0)];
    let at = |draw| {
        selection::select(&choices, 500.0, Spread::Equal, draw)
            .unwrap()
            .id
            .clone()
    };
    assert_ne!(at(0), at(1));
}

/// Mean ms that `COPIES` engines keep requests waiting which 60 times a
/// second bring 125 ms of prompt each, sent by daemons that see the queues as
/// they were at the last news.
fn play_stale_news(spread: Spread) -> f64 {
    const COPIES: usize = 11;
    const NEWS_MS: u64 = 500;
    let mut queues = [0.0_f64; COPIES];
    let mut seen = queues;
    let mut draw = 7_u64;
    let (mut waited, mut count) = (0.0, 0.0);
    for now in 0..30_000_u64 {
        if now % NEWS_MS == 0 {
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
        let choices: Vec<Candidate> = seen
            .iter()
            .enumerate()
            .map(|(i, wait)| choice(&i.to_string(), *wait, 0.0))
            .collect();
        let mixed = draw.rotate_left(17).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let to = selection::select(&choices, 500.0, spread, mixed).unwrap();
        let to: usize = to.id.parse().unwrap();
        waited += queues[to];
        count += 1.0;
        queues[to] += 125.0;
    }
    waited / count
}

/// Symptom: a third of the requests for the most wanted adapter were late
/// although eleven engines held it. Events: 89 daemons learn of the engines'
/// queues twice a second and send what comes meanwhile to the engine whose
/// queue was shortest. Cause: they all choose the same one.
#[test]
fn best_stale_news_shares() {
    let (equal, shared) = (
        play_stale_news(Spread::Equal),
        play_stale_news(Spread::Stale(150.0)),
    );
    assert!(equal > 350.0, "{equal}");
    assert!(shared < 200.0, "{shared}");
}

#[test]
fn best_stale_prefers_no_load() {
    let choices = [choice("held", 300.0, 0.0), choice("idle", 60.0, 250.0)];
    for draw in [0, u64::MAX / 2, u64::MAX] {
        let best = selection::select(&choices, 500.0, Spread::Stale(150.0), draw).unwrap();
        assert_eq!(&*best.id, "held");
    }
}

#[test]
fn best_tried_only_when_alone() {
    let mut tried = choice("a", 1.0, 0.0);
    tried.tried = true;
    let other = choice("b", 900.0, 0.0);
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

/// Symptom: all requests waited while every engine was up. Events: all
/// targets failed half of their requests for some seconds. Cause: ejection
/// that could take out every target.
#[test]
fn health_never_takes_all_out() {
    let mut board = TargetStats::default();
    let t = name("t");
    for i in 0..50 {
        board.record_outcome(&t, false, 1.0, i);
    }
    assert!(board.health(&t, 50) < 0.2);
    assert!(board.health(&t, 30_000) > 0.95);
}

#[test]
fn work_sums_own_and_fresh_peers() {
    let mut board = TargetStats::default();
    let t = name("t");
    board.request_sent(&t, 100);
    let told = Work {
        waiting_tokens: 0,
        prefill_tokens: 50,
        requests: 1,
    };
    let works = |w: &[(Name, Work)]| w.iter().cloned().collect::<Map<Name, Work>>();
    board.set_peer_work(&name("p"), &works(&[(t.clone(), told)]), 2_000);
    assert_eq!(board.total_work(&t, 1_500).prefill_tokens, 150);
    assert_eq!(board.total_work(&t, 5_000).prefill_tokens, 100);
    board.set_peer_work(&name("p"), &works(&[(t.clone(), told)]), 7_000);
    board.set_peer_work(&name("p"), &works(&[]), 7_100);
    assert_eq!(
        board.total_work(&t, 6_100).prefill_tokens,
        100,
        "it ended there"
    );
    board.set_others_work(&t, told, 7_000);
    assert_eq!(board.total_work(&t, 6_900).prefill_tokens, 150);
    assert_eq!(board.total_work(&t, 7_001).prefill_tokens, 100);
    board.prompt_read(&t, 100);
    board.request_ended(&t);
    assert_eq!(board.own_work().count(), 0);
}

#[test]
fn peer_more_counts_until_less() {
    let mut board = TargetStats::default();
    let (p, t) = (name("p"), name("t"));
    let work = |prefill, running| Work {
        prefill_tokens: prefill,
        requests: running,
        waiting_tokens: 0,
    };
    board.add_peer_work(&p, &t, work(300, 1), 1_000);
    board.add_peer_work(&p, &t, work(200, 1), 1_500);
    assert_eq!(board.total_work(&t, 1_400), work(500, 2));
    board.subtract_peer_work(&p, &t, work(300, 0));
    board.subtract_peer_work(&p, &t, work(0, 1));
    assert_eq!(board.total_work(&t, 1_400), work(200, 1));
    // Work that was told of and ended meanwhile is not counted below none.
    board.subtract_peer_work(&p, &t, work(900, 9));
    assert_eq!(board.total_work(&t, 1_400), work(0, 0));
    assert_eq!(board.total_work(&t, 1_501), work(0, 0));
}

#[test]
fn kept_counts_unbroken_chain() {
    let mut p = PrefixIndex::default();
    let part = |id, tokens| PromptSegment { id, tokens };
    let t = name("t");
    p.record(&adapter(), &[part(1, 300), part(2, 200)], &t, 0);
    let same = [part(1, 300), part(2, 200), part(9, 50)];
    assert_eq!(p.cached_tokens(&adapter(), &same, &t), 500);
    let other = [part(3, 300), part(2, 200)];
    assert_eq!(p.cached_tokens(&adapter(), &other, &t), 0);
    assert_eq!(p.cached_tokens(&adapter(), &same, &name("u")), 0);
}

/// Symptom: an adapter that had just been loaded was ordered again.
/// Events: the load ends; the target's list from before it arrives. Cause:
/// the older list replaced the newer evidence.
#[test]
fn count_and_copies_follow_what_is_held() {
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
        "it is at hand there"
    );
    r.remove(&b);
    assert_eq!((r.copy_count(&adapter()), r.adapter_count(&b)), (0, 0));
}

#[test]
fn publish_old_list_keeps_fresh_evidence() {
    let mut r = Residency::default();
    let t = name("t");
    r.record(&adapter(), &t, Presence::Held(2), 1_000);
    let list = comfreyhall_domain::Target {
        id: t.clone(),
        name: t.clone(),
        started_at_ms: 0,
        service: "s".into(),
        addr: "a".into(),
        failure_domain: "d".into(),
        stage: comfreyhall_domain::Stage::Ready,
        max_running: 1,
        loaded: Vec::new(),
        accepted_commands: 0,
        row_version: 0,
    };
    r.apply_report(&list, 1_500);
    assert_eq!(r.held_version(&adapter(), &t), Some(2));
    r.apply_report(&list, 9_000);
    assert_eq!(r.held_version(&adapter(), &t), None);
}

#[test]
fn refuse_lower_rank_sooner() {
    assert!(!admission::should_refuse(600.0, 1_000, 1_000, 0));
    assert!(admission::should_refuse(600.0, 1_000, 1_000, 2));
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

/// Symptom: adapters were loaded a second time although the engine that held
/// them would have answered in time. Events: most prompts come alone and take
/// 190 ms for 1,500 tokens; then a queue of 10,000 forms. Cause: the rate of
/// lone prompts was taken for the rate at which a queue is read.
#[test]
fn prefill_ms_long_queue_not_overrated() {
    let (engine, slow) = (name("e"), name("slow"));
    let mut board = TargetStats::default();
    let took = |tokens: u64| 115 + tokens / 25;
    for i in 0..400 {
        let tokens = 1_000 + 50 * (i % 20);
        board.record_first_token(&engine, tokens, took(tokens));
        if i % 10 == 0 {
            board.record_first_token(&engine, 8_000, took(8_000));
            board.record_first_token(&slow, 2_000, 4 * took(2_000));
        }
    }
    let expect = |target, tokens| board.prefill_ms(target, tokens, 0);
    let queue = expect(&engine, 10_000);
    assert!((420.0..650.0).contains(&queue), "{queue}");
    let alone = expect(&engine, 1_500);
    assert!((150.0..260.0).contains(&alone), "{alone}");
    let ill = expect(&slow, 1_500);
    assert!(ill > 2.5 * alone, "{ill} against {alone}");
}

/// Symptom: a daemon that had just met an engine took it for twice as slow as
/// it is. Events: in a fleet of 89 a daemon has a sample of each engine every
/// quarter of a minute. Cause: each engine's speed was learned by itself.
#[test]
fn prefill_ms_unknown_engine_like_others() {
    let mut board = TargetStats::default();
    for i in 0..600_u64 {
        let tokens = 500 + 37 * (i % 200);
        board.record_first_token(&name("e"), tokens, 60 + tokens / 50);
    }
    let known = board.prefill_ms(&name("e"), 4_000, 0);
    let new = board.prefill_ms(&name("new"), 4_000, 0);
    assert!((new - known).abs() < 0.1 * known, "{new} {known}");
}

/// Guards against a daemon that refuses plain requests for good after one slow answer
/// of each target.
#[test]
fn plain_ms_slow_answer_is_forgotten() {
    let mut board = TargetStats::default();
    let target = "t".into();
    board.record_duration(&target, 2_000);
    let aim_ms = 300;
    let minute = 60_000;
    let wait_ms = board.plain_ms(&target, 8, minute);
    assert!(
        !admission::should_refuse(wait_ms, 2_000, aim_ms, 0),
        "{wait_ms}"
    );
}
