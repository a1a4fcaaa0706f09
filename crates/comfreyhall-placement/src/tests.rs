use std::sync::Arc;

use proptest::prelude::*;

use super::*;

fn engine(id: &str, slots: &[(&str, u32)], load: u32) -> EngineView {
    EngineView {
        id: id.into(),
        slots: slots
            .iter()
            .map(|(k, pins)| SlotView {
                key: (*k).into(),
                pins: *pins,
                loading: false,
            })
            .collect(),
        capacity: 2,
        requests: load,
        batch_width: 4,
        up: true,
    }
}

#[test]
fn route_resident_runs() {
    let view = [engine("e1", &[("a@1", 0)], 0), engine("e2", &[], 0)];
    let mut policy = FrequencyPolicy::new(1_000);
    assert_eq!(policy.route("a@1", &view, 0), Decision::Run { engine: 0 });
}

#[test]
fn route_prefers_free_slot() {
    let view = [
        engine("e1", &[("a@1", 0), ("b@1", 0)], 0),
        engine("e2", &[("c@1", 0)], 3),
    ];
    for mut policy in [
        build_policy(PolicyKind::Frequency, 1_000),
        build_policy(PolicyKind::Lru, 0),
    ] {
        match policy.route("d@1", &view, 10) {
            Decision::Load { engine, .. } => assert_eq!(engine, 1),
            other => panic!("expected a load, got {other:?}"),
        }
    }
}

#[test]
fn route_keeps_hot_adapter() {
    // Guards against a one-off request that evicts the adapter with most
    // traffic: recency alone ranks a hot adapter below a slot that was used a
    // moment later. The frequency policy ranks by decayed rate.
    let view = [engine("e1", &[("hot@1", 0), ("warm@1", 0)], 0)];
    let mut policy = FrequencyPolicy::new(60_000);
    for t in 0..20 {
        policy.route("hot@1", &view, t);
    }
    policy.route("warm@1", &view, 21);
    match policy.route("rare@1", &view, 22) {
        Decision::Load { victims, .. } => assert_eq!(&*victims[0], "warm@1"),
        other => panic!("expected a load, got {other:?}"),
    }
}

#[test]
fn route_counts_reported_requests() {
    // Guards against hot adapters that are evicted and loaded again, as
    // happened with 3,000 adapters: one daemon orders loads for all, and
    // requests that the others serve from resident adapters never reach it, so
    // it knew only its own share of the demand. The others report theirs.
    let view = [engine("e1", &[("hot@1", 0), ("warm@1", 0)], 0)];
    for mut policy in [
        build_policy(PolicyKind::Frequency, 60_000),
        build_policy(PolicyKind::Lru, 0),
    ] {
        policy.route("warm@1", &view, 1);
        policy.record_requests("hot@1", 20, 2);
        match policy.route("rare@1", &view, 3) {
            Decision::Load { victims, .. } => assert_eq!(&*victims[0], "warm@1"),
            other => panic!("expected a load, got {other:?}"),
        }
    }
}

#[test]
fn route_copies_saturated_hot_adapter() {
    let mut view = [engine("e1", &[("hot@1", 0)], 4), engine("e2", &[], 0)];
    view[0].slots[0].pins = 4;
    let mut policy = FrequencyPolicy::new(60_000);
    assert!(matches!(
        policy.route("hot@1", &view, 0),
        Decision::RunAndCopy {
            engine: 0,
            copy: 1,
            ..
        }
    ));
}

#[test]
fn route_copy_spares_last_copy() {
    // Guards against copies that evict the last copy of a colder adapter, which
    // the next request must reload: with 12 adapters in 48 slots, 13.6% of
    // answers still waited for a load. A copy may only take a free slot or a
    // slot whose adapter is resident elsewhere too.
    let mut view = vec![
        engine("e1", &[("hot@1", 0), ("cold@1", 0)], 4),
        engine("e2", &[("cold2@1", 0), ("other@1", 0)], 0),
    ];
    // Enough slots for a copy to be allowed, all of them in use.
    for i in 0..8 {
        let (a, b) = (format!("x{i}@1"), format!("y{i}@1"));
        view.push(engine("busy", &[(&a, 1), (&b, 1)], 4));
    }
    view[0].slots[0].pins = 4;
    let mut policy = FrequencyPolicy::new(60_000);
    for t in 0..10 {
        policy.route("hot@1", &view, t);
    }
    assert_eq!(
        policy.route("hot@1", &view, 11),
        Decision::Run { engine: 0 }
    );
    view[1].slots[1].key = "cold@1".into();
    match policy.route("hot@1", &view, 12) {
        Decision::RunAndCopy {
            copy: 1, victims, ..
        } => assert_eq!(victims, ["cold@1".into()] as [Arc<str>; 1]),
        other => panic!("expected a copy on e2 evicting the spare cold@1, got {other:?}"),
    }
}

#[test]
fn route_copy_waits_for_loads() {
    // Guards against copies that delay loads: with 40 adapters in 48 slots the
    // frequency policy answered 559 requests where LRU answered 1,065, because
    // the weight store served copies of hot adapters in turn with the first
    // loads that requests waited for.
    let mut view = [
        engine("e1", &[("hot@1", 4)], 4),
        engine("e2", &[], 0),
        engine("e3", &[("cold@1", 0)], 0),
    ];
    view[2].slots[0].loading = true;
    let mut policy = FrequencyPolicy::new(60_000);
    assert_eq!(policy.route("hot@1", &view, 0), Decision::Run { engine: 0 });
    view[2].slots[0].loading = false;
    let next = policy.route("hot@1", &view, 1);
    assert!(matches!(next, Decision::RunAndCopy { .. }), "{next:?}");
}

#[test]
fn route_copies_leave_room() {
    // Guards against unbounded copies: with 40 adapters in 48 slots, 2.9% of
    // answers stalled for as long as the load lasted, where LRU had none,
    // because copies of hot adapters filled the free slots and cold adapters
    // then evicted each other.
    let mut view: Vec<EngineView> = (0..10).map(|_| engine("e", &[], 4)).collect();
    for e in &mut view[..3] {
        e.slots.push(SlotView {
            key: "hot@1".into(),
            pins: 4,
            loading: false,
        });
    }
    let mut policy = FrequencyPolicy::new(60_000);
    // 20 slots and two spare copies: no third.
    let next = policy.route("hot@1", &view, 0);
    assert!(matches!(next, Decision::Run { .. }), "{next:?}");
    view[2].slots.clear();
    let next = policy.route("hot@1", &view, 1);
    assert!(matches!(next, Decision::RunAndCopy { .. }), "{next:?}");
}

#[test]
fn route_all_pinned_is_busy() {
    let view = [engine("e1", &[("a@1", 1), ("b@1", 2)], 3)];
    for mut policy in [
        build_policy(PolicyKind::Frequency, 1_000),
        build_policy(PolicyKind::Lru, 0),
    ] {
        assert_eq!(policy.route("c@1", &view, 0), Decision::Busy);
    }
}

fn arb_view() -> impl Strategy<Value = Vec<EngineView>> {
    let slot = (0u8..6, 0u32..3, any::<bool>()).prop_map(|(k, pins, loading)| SlotView {
        key: Arc::from(format!("a{k}@1")),
        pins,
        loading,
    });
    let eng = (
        proptest::collection::vec(slot, 0..4),
        0u32..10,
        any::<bool>(),
    )
        .prop_map(|(mut slots, load, up)| {
            slots.sort_by(|a, b| a.key.cmp(&b.key));
            slots.dedup_by(|a, b| a.key == b.key);
            EngineView {
                id: "e".into(),
                capacity: 3.max(slots.len() as u32),
                slots,
                requests: load,
                batch_width: 4,
                up,
            }
        });
    proptest::collection::vec(eng, 1..5)
}

proptest! {
    // Whatever the view and history, a decision never names a pinned or
    // loading slot as a victim, runs only where the adapter is held, and
    // loads only on an engine that is up and does not hold it yet.
    #[test]
    fn route_never_names_pinned_victim(
        view in arb_view(),
        requested in proptest::collection::vec(0u8..8, 1..30),
        lru in any::<bool>(),
    ) {
        let mut policy = build_policy(if lru { PolicyKind::Lru } else { PolicyKind::Frequency }, 500);
        for (t, k) in requested.iter().enumerate() {
            let key = format!("a{k}@1");
            match policy.route(&key, &view, t as u64 * 10) {
                Decision::Run { engine } => {
                    prop_assert!(view[engine].up && view[engine].holds(&key));
                }
                Decision::RunAndCopy { engine, copy, victims } => {
                    prop_assert!(view[engine].up && view[engine].holds(&key));
                    let e = &view[copy];
                    prop_assert!(e.up && !e.holds(&key));
                    for v in &victims {
                        let slot = e.slots.iter().find(|s| s.key == *v).unwrap();
                        prop_assert!(slot.evictable());
                    }
                }
                Decision::Load { engine, victims } => {
                    let e = &view[engine];
                    prop_assert!(e.up && !e.holds(&key));
                    prop_assert!(e.has_free() || !victims.is_empty());
                    for v in &victims {
                        let slot = e.slots.iter().find(|s| s.key == *v).unwrap();
                        prop_assert!(slot.evictable());
                    }
                }
                Decision::Busy => {}
            }
        }
    }
}

fn eviction_candidate(
    key: &'static str,
    score: f64,
    pins: u32,
) -> crate::EvictionCandidate<&'static str> {
    crate::EvictionCandidate {
        key,
        score,
        other_copies: 0,
        pins,
        age_ms: 10_000,
    }
}

#[test]
fn select_victim_lowest_score_unpinned() {
    let all = [
        eviction_candidate("hot", 9.0, 0),
        eviction_candidate("used", 1.0, 1),
        eviction_candidate("warm", 2.0, 0),
    ];
    assert_eq!(crate::select_victim(&all).unwrap().key, "warm");
    assert!(crate::select_victim(&all[1..2]).is_none());
}

/// Guards against adapters that keep their slots after popularity has moved on:
/// the decayed count of an adapter that had been requested ten times a second,
/// and then not at all, stayed above that of new ones for 40 s, while rare
/// adapters queued for slots.
#[test]
fn score_idle_adapter_drops() {
    let mut demand = crate::Demand::new(6_000);
    for at in (0..10_000).step_by(100) {
        demand.record("hot", 1, at);
    }
    demand.record("new", 1, 14_000);
    assert!(demand.score("hot", 10_000) > 40.0);
    assert!(demand.score("hot", 14_000) < 8.0);
    assert!(demand.score("hot", 36_000) < 1.0);
}

/// Simulates a store that serves `at_once` loads at full speed, for `daemons`
/// that always want more; returns the mean load duration in ms and the loads a
/// second.
fn simulate_store(at_once: f64, daemons: usize, fixed: Option<u32>) -> (f64, f64) {
    simulate_store_during(at_once, daemons, fixed, 10_000..30_000)
}

/// The same in `span` (ms since the start).
fn simulate_store_during(
    at_once: f64,
    daemons: usize,
    fixed: Option<u32>,
    span: std::ops::Range<u64>,
) -> (f64, f64) {
    simulate_store_with_outliers(at_once, daemons, fixed, span, 0)
}

/// The same where one load in `slow_every` takes twice as long because of its
/// engine; 0 for none.
fn simulate_store_with_outliers(
    at_once: f64,
    daemons: usize,
    fixed: Option<u32>,
    span: std::ops::Range<u64>,
    slow_every: usize,
) -> (f64, f64) {
    let mut started = 0;
    let mut windows = vec![crate::LoadWindow::default(); daemons];
    let mut loads: Vec<(usize, u64, f64)> = Vec::new();
    let (mut total, mut ended) = (0.0, 0.0);
    for now in 0..span.end {
        for (i, window) in windows.iter().enumerate() {
            let size = fixed.unwrap_or(window.size()) as usize;
            let mine = loads.iter().filter(|l| l.0 == i).count();
            for _ in mine..size {
                started += 1;
                let slow = slow_every > 0 && started % slow_every == 0;
                loads.push((i, now, if slow { 500.0 } else { 250.0 }));
            }
        }
        let speed = (at_once / loads.len() as f64).min(1.0);
        loads.iter_mut().for_each(|l| l.2 -= speed);
        let done: Vec<_> = loads.extract_if(.., |l| l.2 <= 0.0).collect();
        for (i, began, _) in done {
            windows[i].record_load(now - began, true, now);
            if span.contains(&now) {
                total += (now - began) as f64;
                ended += 1.0;
            }
        }
    }
    let seconds = (span.end - span.start) as f64 / 1_000.0;
    (total / ended, ended / seconds)
}

/// Guards against a window that opens slowly: for the first four seconds most
/// requests of a large deployment were late, because every adapter had to come
/// from a weight store that serves dozens at once, and the windows of three
/// lease holders grew by one load a round trip.
#[test]
fn record_load_window_opens_fast() {
    for (at_once, daemons) in [(48.0, 3), (8.0, 3), (8.0, 1), (64.0, 4)] {
        let (duration_ms, rate) = simulate_store_during(at_once, daemons, None, 0..2_000);
        let best = at_once * 4.0;
        assert!(rate > 0.55 * best, "{rate}/s of {best} at {at_once}");
        assert!(duration_ms < 480.0, "{duration_ms} ms at {at_once}");
    }
}

/// Guards against a fixed window that is too large for the store: each load
/// took several times its own time although the store served no more loads for
/// it.
#[test]
fn record_load_window_finds_capacity() {
    for (at_once, daemons) in [(8.0, 3), (48.0, 3), (8.0, 1)] {
        let (duration_ms, rate) = simulate_store(at_once, daemons, None);
        let best = at_once * 4.0;
        assert!(duration_ms < 360.0, "{duration_ms} ms at {at_once}");
        assert!(rate > 0.85 * best, "{rate}/s of {best} at {at_once}");
    }
    let (duration_ms, _) = simulate_store(8.0, 3, Some(16));
    assert!(duration_ms > 1_400.0, "{duration_ms}");
}

/// Guards against a window that shrinks on single slow loads: half of all loads
/// waited for the weight store, which had capacity for twice as many, because
/// one load in twelve that was long for a reason of its engine or its command
/// counted as a sign of a busy store.
#[test]
fn record_load_window_tolerates_outliers() {
    let (_, rate) = simulate_store_with_outliers(48.0, 3, None, 5_000..30_000, 12);
    let best = 48.0 * 4.0 * 12.0 / 13.0;
    assert!(rate > 0.8 * best, "{rate}/s of {best}");
}

/// Guards against model loads beyond the weight store's rate when many engines
/// restart at once: each of 30 engines had its model loaded at once.
#[test]
fn try_start_restarts_keep_to_rate() {
    let mut limit = crate::LoadRateLimit::default();
    let started = |limit: &mut crate::LoadRateLimit, now| {
        (0..30).filter(|_| limit.try_start(2.8, 0.5, now)).count()
    };
    assert_eq!(started(&mut limit, 0), 7);
    assert_eq!(started(&mut limit, 4_999), 0);
    assert_eq!(started(&mut limit, 5_000), 7);
    assert!(limit.try_start(0.01, 0.1, 20_000));
}

/// Guards against long prompts processed beside many streams: three quarters of
/// all slot time went to one route, whose tokens came at less than half their
/// pace, because an engine full of streams looked as good as an idle one.
#[test]
fn read_cost_ms_positive_when_slots_are_scarce() {
    let mut hold = HoldTime::default();
    for _ in 0..500 {
        hold.record(2_000);
    }
    let scarce = SlotTimePrice::new(60, 60, hold, 1_000);
    // 300 ms beside eight streams: 2.4 s of slot time, a little over one run.
    let beside = scarce.read_cost_ms(300.0, 8);
    assert!((1_150.0..1_250.0).contains(&beside), "{beside}");
    assert_eq!(scarce.read_cost_ms(300.0, 0), 0.0);
    let plenty = SlotTimePrice::new(30, 60, hold, 1_000);
    assert_eq!(plenty.read_cost_ms(300.0, 8), 0.0);
    let none = SlotTimePrice::new(0, 0, hold, 1_000);
    assert_eq!(none.read_cost_ms(300.0, 8), 0.0);
}

/// Guards against an initial window that ignores the size of the fleet: in the
/// first second of 156 empty engines, the lease holders ordered 200 loads where
/// the weight store can do 290, as each began with three loads at once.
#[test]
fn init_for_scales_with_engines() {
    let mut window = LoadWindow::default();
    window.init_for(4);
    assert_eq!(window.size(), 3);
    window.init_for(31);
    assert_eq!(window.size(), 12);
    // Measured loads take precedence.
    window.record_load(250, true, 1_000);
    let learned = window.size();
    window.init_for(200);
    assert_eq!(window.size(), learned);
}
