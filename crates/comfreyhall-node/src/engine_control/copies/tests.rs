use comfreyhall_domain::{AdapterRef, LoadedModel, Map, Name, Target};
use comfreyhall_routing::Presence;

use super::{due_recoveries, missing_copies};
use crate::{test_node::target, view::View};

fn engine(id: &str) -> Target {
    Target {
        loaded: vec![LoadedModel {
            model: "m".into(),
            adapters: Vec::new(),
        }],
        ..target(id)
    }
}

/// State of a holder with six engines, the first of which holds the adapter
/// that was requested `requests` times in the last second.
fn view(requests: u32, adapter: &AdapterRef) -> View {
    let targets = ["a", "b", "c", "d", "e", "f"].map(|id| (Name::from(id), engine(id).into()));
    let mut view = View {
        targets: targets.into_iter().collect(),
        mean_prompt: 2_000.0,
        ..View::default()
    };
    let held = Presence::Held(1);
    view.residency.record(adapter, &"a".into(), held, 1_000);
    for i in 0..requests {
        let at = 1_000 + u64::from(i) * 1_000 / u64::from(requests);
        view.count_demand("m/a1", 1, at);
    }
    view
}

/// Guards against copies of a hot adapter that are loaded only after a request
/// has found all queues too long: for four seconds after demand moved, most
/// requests for the adapter were late. It is requested 20 times a second, each
/// time with 100 ms of prompt, and one engine holds it.
#[test]
fn missing_copies_hot_adapter_on_several_engines() {
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    };
    let none = Map::default();
    let copies = missing_copies(&view(20, &adapter), &none, true, 2_000);
    assert!((2..=4).contains(&copies.len()), "{}", copies.len());
    assert!(copies.iter().all(|c| c.adapter == adapter));
    assert!(copies.iter().all(|c| &*c.target.id != "a"));
    assert!(missing_copies(&view(2, &adapter), &none, true, 2_000).is_empty());
}

/// Guards against engines' adapters that nobody loads after a loss until a
/// request waits for each, and against two loads of one. Two of six engines are
/// lost with the adapters `a10` to `a17`, of which the later ones are asked for
/// more; `a13` has been loaded elsewhere meanwhile, and each call has room for
/// three.
#[test]
fn due_recoveries_by_demand_and_once() {
    let adapter = |id: u32| AdapterRef {
        model: "m".into(),
        adapter: Some(format!("a{id}").into()),
    };
    let mut view = view(0, &adapter(1));
    for id in 10..18 {
        let engine: Name = if id % 2 == 0 { "a" } else { "b" }.into();
        let held = Presence::Held(1);
        view.residency.record(&adapter(id), &engine, held, 1_000);
        view.count_demand(&format!("m/a{id}"), id, 2_000);
    }
    for engine in ["a", "b"].map(Name::from) {
        view.targets.remove(&engine);
        view.residency.remove(&engine, 2_000);
    }
    view.residency
        .record(&adapter(13), &"c".into(), Presence::Held(1), 2_050);
    let mut calls = Vec::new();
    for _ in 0..4 {
        let due = due_recoveries(&mut view, 3, |_| true, true, 2_100);
        assert!(due.iter().all(|c| view.targets.contains_key(&c.target.id)));
        calls.push(due.into_iter().map(|c| c.adapter).collect::<Vec<_>>());
    }
    let expected: [Vec<AdapterRef>; 4] = [
        vec![adapter(17), adapter(16), adapter(15)],
        vec![adapter(14), adapter(12), adapter(11)],
        vec![adapter(10)],
        Vec::new(),
    ];
    assert_eq!(calls, expected);
    assert!(due_recoveries(&mut view, 3, |_| false, true, 2_100).is_empty());
}
