use super::{CacheDepth, LoadOrder, cache_id};
use crate::{Presence, Residency};
use comfreyhall_domain::{AdapterRef, Name};

fn adapter(id: u32) -> AdapterRef {
    AdapterRef {
        model: "m".into(),
        adapter: Some(format!("a{id}").into()),
    }
}

/// Plays `loads` of an engine that keeps the last `kept` adapters, and loads
/// one in fifteen late; returns the learned depth.
fn learned_depth(kept: usize, loads: u32) -> usize {
    let mut depth = CacheDepth::default();
    let mut order = LoadOrder::default();
    let mut seed = 1_u64;
    for i in 0..loads {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let draw = (seed >> 33) as f64 / (1_u64 << 31) as f64;
        let id = (200.0_f64.powf(draw)) as u32;
        let age = order.age(id);
        let late_ms = if i % 15 == 0 { 160 } else { 0 };
        let load_ms = match age.is_some_and(|a| a < kept) {
            true => 40 + u64::from(i % 70),
            false => 290 + u64::from(i % 30),
        };
        depth.record(age, load_ms + late_ms);
        order.push(id);
    }
    depth.depth()
}

/// Guards against an assumed size of engines' caches: with a fixed one, an
/// engine that keeps fewer is asked without result, and what one with more has is
/// fetched from the store.
#[test]
fn cache_depth_follows_engines() {
    assert!(
        (8..=13).contains(&learned_depth(10, 600)),
        "{}",
        learned_depth(10, 600)
    );
    assert!(
        (36..=46).contains(&learned_depth(40, 1_500)),
        "{}",
        learned_depth(40, 1_500)
    );
}

/// Guards against a late command that makes a cached load slow, after which
/// nothing would count as cached any more.
#[test]
fn cache_depth_survives_late_commands() {
    let mut depth = CacheDepth::default();
    depth.record(Some(3), 400);
    depth.record(Some(1), 400);
    assert!(depth.depth() > 3);
}

/// Guards against a successor of a lease holder that fetches from the store what
/// its engines have cached: it has only the histories of its peers, and loads
/// reported to it since.
#[test]
fn merge_loads_tells_successor() {
    let (mut old, mut new) = (Residency::default(), Residency::default());
    let engine: Name = "e".into();
    for id in 0..20 {
        old.record(&adapter(id), &engine, Presence::Held(1), 1_000);
        old.record(&adapter(id), &engine, Presence::Absent, 1_100);
    }
    new.record(&adapter(30), &engine, Presence::Held(1), 60_000);
    new.merge_loads(&engine, &old.last_loads(&engine, 40));
    assert!((0..20).all(|id| new.has_cached(&adapter(id), &engine)));
    assert_eq!(new.load_age(&adapter(30), &engine), Some(0));
    assert_eq!(new.load_age(&adapter(19), &engine), Some(1));
    new.merge_loads(&engine, &[cache_id(&adapter(40))]);
    assert!(
        !new.has_cached(&adapter(40), &engine),
        "a peer that knows less"
    );
}

/// Guards against adapters that nobody loads again after the loss of their
/// engine, and against copies of those that other engines still hold.
#[test]
fn lost_names_adapters_without_copy() {
    let mut r = Residency::default();
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    for (id, engine) in [(1, &a), (2, &a), (2, &b), (3, &a)] {
        r.record(&adapter(id), engine, Presence::Held(1), 1_000);
    }
    r.record(&adapter(3), &a, Presence::Absent, 1_500);
    r.remove(&a, 2_000);
    assert_eq!(r.lost(2_100), [adapter(1)]);
    assert!(!r.has_cached(&adapter(1), &a));
    r.record(&adapter(1), &b, Presence::Held(1), 2_200);
    assert!(r.lost(2_300).is_empty());
}
