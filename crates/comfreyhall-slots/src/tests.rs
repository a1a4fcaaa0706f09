use std::sync::Arc;

use crate::*;

fn waiter(share: &SlotShare, adapter: &str, arrived_ms: u64) -> SlotWaiter {
    SlotWaiter {
        share: share.clone(),
        adapter: adapter.into(),
        priority: 0,
        arrived_ms,
        start_by_ms: arrived_ms + 60_000,
        returned: false,
    }
}

fn use_of(ledger: &mut SlotLedger, waiting: &[SlotWaiter], now: u64) -> ShareUse {
    ledger.share_use(std::iter::empty(), waiting.iter().map(|w| &w.share), now)
}

#[test]
fn used_ms_halves_each_half_life() {
    let mut ledger = SlotLedger::default();
    let share = SlotShare::workspace("w");
    ledger.add_use(&share, 100.0, 1_000);
    assert_eq!(ledger.used_ms(&share, 3_000), 50.0);
    assert_eq!(ledger.used_ms(&SlotShare::priority(0), 3_000), 0.0);
}

/// Guards against a jump of a share's slot time when a run ends.
#[test]
fn share_use_counts_runs_in_progress() {
    let share = SlotShare::workspace("w");
    let mut ledger = SlotLedger::default();
    let running = ledger.share_use([(&share, 1_000)].into_iter(), std::iter::empty(), 2_500);
    ledger.add_use(&share, slot_time_ms(1_500), 2_500);
    assert!(running.used_ms(&share) > 1_000.0);
    assert_eq!(ledger.used_ms(&share, 2_500), running.used_ms(&share));
}

/// Guards against a workspace within its quota that takes the slots of the
/// others: one of five sends six times as many requests, a slot becomes free
/// every 20 ms, and each of the others must be served as much as without it.
/// By priority and arrival alone they got 14 of 40 each.
#[test]
fn sort_key_rush_of_one_workspace() {
    let shares: Vec<SlotShare> = (0..5)
        .map(|i| SlotShare::workspace(&format!("w{i}")))
        .collect();
    let mut ledger = SlotLedger::default();
    let mut waiting: Vec<SlotWaiter> = Vec::new();
    let mut served = [0; 5];
    for slot in 0..200_u64 {
        let now = 1_000 + slot * 20;
        // The four others together ask for four fifths of the slots.
        let quiet = (slot % 5 != 0).then_some((slot % 5) as usize);
        let rush = [0; 2];
        for (i, share) in quiet.into_iter().chain(rush).enumerate() {
            let adapter = format!("a{slot}/{i}");
            waiting.push(waiter(&shares[share], &adapter, now));
        }
        let used = use_of(&mut ledger, &waiting, now);
        let order = (0..waiting.len()).min_by_key(|i| waiting[*i].sort_key(&used, now));
        let next = waiting.remove(order.unwrap());
        ledger.add_use(&next.share, 500.0, now);
        let index = shares.iter().position(|s| *s == next.share);
        served[index.unwrap()] += 1;
    }
    // Each of the others has asked 40 times; a few of its last requests wait.
    assert!(served[1..].iter().all(|n| *n >= 37), "{served:?}");
    // Nothing stays idle: the rush gets what is left.
    assert_eq!(served.iter().sum::<i32>(), 200);
}

/// Guards against less urgent routes that come before more urgent ones only
/// because they have used less, and against one route that takes all.
#[test]
fn sort_key_priority_yields_only_with_nearly_all() {
    let (urgent, other) = (SlotShare::priority(0), SlotShare::priority(2));
    let first = waiter(&urgent, "a", 10);
    let second = SlotWaiter {
        priority: 2,
        ..waiter(&other, "b", 0)
    };
    let mut ledger = SlotLedger::default();
    ledger.add_use(&urgent, 800.0, 0);
    ledger.add_use(&other, 200.0, 0);
    let used = use_of(&mut ledger, &[], 0);
    assert!(first.sort_key(&used, 0) < second.sort_key(&used, 0));
    ledger.add_use(&urgent, 3_000.0, 0);
    let used = use_of(&mut ledger, &[], 0);
    assert!(second.sort_key(&used, 0) < first.sort_key(&used, 0));
}

/// Guards against a long queue being assumed where many requests wait for the
/// same adapter: they need one slot.
#[test]
fn slots_before_counts_adapters() {
    let share = SlotShare::priority(0);
    let mut list = WaitingList::default();
    for i in 0..9 {
        list.add(waiter(&share, ["a", "b", "c"][i % 3], i as u64));
    }
    let used = ShareUse::default();
    let before = |adapter| list.slots_before(&waiter(&share, adapter, 100), &used, 100);
    assert_eq!(before("d"), 3);
    // It gets the slot of those that wait for the same adapter already.
    assert_eq!(before("b"), 1);
    list.serve("a");
    let number = list.add(waiter(&share, "e", 0));
    list.remove(number);
    assert_eq!(list.slots_before(&waiter(&share, "d", 100), &used, 100), 2);
}

/// Guards against a wait of unknown length where all slots are in use: their
/// runs' ages and the usual duration show when each becomes free.
#[test]
fn wait_ms_all_slots_in_use() {
    let began = [500, 900, 700, 100];
    let schedule = SlotSchedule::new(4, began.into_iter(), 800.0, 1_000);
    let pace = GrantPace::default();
    // 100 is overdue and ends in the middle of the next 800 ms.
    let waits: Vec<u64> = (0..4).map(|n| schedule.wait_ms(n, &pace, 1_000)).collect();
    assert_eq!(waits, [300, 400, 500, 700]);
    assert_eq!(schedule.wait_ms(5, &pace, 1_000), 700 + 400);
    let one_free = SlotSchedule::new(5, began.into_iter(), 800.0, 1_000);
    assert_eq!(one_free.wait_ms(0, &pace, 1_000), 0);
    assert_eq!(one_free.wait_ms(1, &pace, 1_000), 300);
}

/// Guards against an estimate that counts on slots that resident adapters take
/// without waiting: what was seen lately counts where it is slower.
#[test]
fn wait_ms_follows_slow_grants() {
    let schedule = SlotSchedule::new(2, [0, 0].into_iter(), 1_000.0, 100);
    let mut pace = GrantPace::default();
    pace.begin(100);
    pace.grant(1_300);
    assert_eq!(schedule.wait_ms(1, &pace, 1_300), 2_400);
    // Nothing was seen for long: the runs alone count.
    assert!(schedule.wait_ms(1, &pace, 9_000) < 1_000);
}

/// Guards against rejected callers that return together and are rejected
/// again.
#[test]
fn promise_spreads_and_is_kept() {
    let mut returns = ReturnSchedule::default();
    let mut promise = |id, priority, now| returns.promise(id, priority, (500, 900), 100.0, now);
    assert_eq!(promise(1, 1, 0), 500);
    assert_eq!(promise(2, 1, 0), 600);
    // A more urgent one does not wait for them, a less urgent one does.
    assert_eq!(promise(3, 0, 0), 500);
    assert_eq!(promise(4, 2, 0), 800);
    assert_eq!(promise(5, 2, 0), 900);
    assert!(!returns.is_due(2, 300), "too early");
    assert!(returns.is_due(1, 470));
    returns.remove(1);
    assert!(!returns.is_due(1, 480), "only once");
    assert!(!returns.is_due(9, 480), "never rejected");
    // A caller back at its time is served before a new one, not before a more
    // urgent one.
    let share: Arc<SlotShare> = Arc::new(SlotShare::priority(1));
    let new = waiter(&share, "a", 0);
    let back = SlotWaiter {
        returned: true,
        ..waiter(&share, "b", 470)
    };
    let used = ShareUse::default();
    assert!(back.sort_key(&used, 500) < new.sort_key(&used, 500));
    let urgent_back = SlotWaiter {
        priority: 1,
        ..back
    };
    assert!(new.sort_key(&used, 500) < urgent_back.sort_key(&used, 500));
}

/// Guards against a burst in which nearly every stream starts late, because
/// slots are given out in order of arrival and each request waits past its
/// objective. With one slot every 100 ms and a request every 50 ms for 4 s, in
/// order of arrival 19 of 80 requests begin within 900 ms; with those in time
/// first 49 do.
#[test]
fn sort_key_burst_in_time_first() {
    fn count_in_time<K: Ord>(by: impl Fn(&SlotWaiter, u64) -> K) -> usize {
        let mut queue: Vec<SlotWaiter> = Vec::new();
        let mut in_time = 0;
        for now in (0..8_000).step_by(50) {
            if now < 4_000 {
                queue.push(SlotWaiter {
                    priority: 1,
                    start_by_ms: now + 900,
                    ..waiter(&SlotShare::priority(1), "a", now)
                });
            }
            if now % 100 == 0 && !queue.is_empty() {
                queue.sort_by_key(|w| by(w, now));
                in_time += usize::from(queue.remove(0).start_by_ms >= now);
            }
        }
        in_time
    }
    let by_arrival = count_in_time(|w, _| (false, 0, w.arrived_ms));
    let in_time_first = count_in_time(|w, now| w.sort_key(&ShareUse::default(), now));
    assert_eq!((by_arrival, in_time_first), (19, 49));
}

/// Guards against a freed slot that goes to a load from the store while a
/// request waits whose weights the engine has cached; one that is more urgent,
/// or may still be on time, keeps its turn.
#[test]
fn slot_key_prefers_cached_among_equals() {
    let request = |priority, arrived_ms, start_by_ms| SlotWaiter {
        priority,
        start_by_ms,
        ..waiter(&SlotShare::priority(0), "a", arrived_ms)
    };
    let mut queue = [
        ("late cached", request(0, 10, 400), true),
        ("store", request(1, 20, 2_000), false),
        ("cached", request(1, 30, 2_000), true),
        ("urgent store", request(0, 40, 2_000), false),
    ];
    queue.sort_by_cached_key(|(_, r, cached)| r.slot_key(&ShareUse::default(), *cached, 500));
    let order = queue.map(|(name, ..)| name);
    assert_eq!(order, ["urgent store", "cached", "store", "late cached"]);
}
