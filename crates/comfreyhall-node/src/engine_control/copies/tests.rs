use comfreyhall_domain::{AdapterRef, LoadedModel, Map, Name, Target};
use comfreyhall_routing::Presence;

use super::missing_copies;
use crate::{node::View, test_node::target};

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
