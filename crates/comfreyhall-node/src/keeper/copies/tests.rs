use comfreyhall_domain::{AdapterRef, LoadedModel, Map, Name, Target};
use comfreyhall_routing::Presence;

use super::due;
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

/// What a holder knows of six engines, the first of which has the adapter
/// that was asked for `requests` times in the last second.
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

/// Symptom: for four seconds after demand moved, most requests for the adapter
/// that had become hot were late. Events: it is asked for 20 times a second,
/// each time with 100 ms of prompt, and one engine has it. Cause: every copy
/// was ordered by a request that had found all queues too long.
#[test]
fn due_hot_adapter_on_several_engines() {
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a1".into()),
    };
    let none = Map::default();
    let copies = due(&view(20, &adapter), &none, 2_000);
    assert!((2..=4).contains(&copies.len()), "{}", copies.len());
    assert!(copies.iter().all(|c| c.adapter == adapter));
    assert!(copies.iter().all(|c| &*c.target.id != "a"));
    assert!(due(&view(2, &adapter), &none, 2_000).is_empty());
}
