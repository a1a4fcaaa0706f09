use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_protocol::Holding;
use comfreyhall_routing::Presence;

use super::{PER_MESSAGE, apply_histories};
use crate::test_node::{node, target};

/// Guards against a successor of the lease holder that started after its
/// engines' loads and fetches from the store what they have cached. Each of
/// eight engines has loaded an adapter and evicted it.
#[tokio::test]
async fn next_histories_tell_later_peer_once() {
    let (holder, successor) = (node(), node());
    let engines: Vec<Name> = (0..8).map(|i| format!("e{i}").into()).collect();
    let adapter = |engine: &Name| AdapterRef {
        model: "m".into(),
        adapter: Some(format!("a-{engine}").into()),
    };
    for engine in &engines {
        for node in [&holder, &successor] {
            let targets = &mut node.view().targets;
            targets.insert(engine.clone(), target(engine).into());
        }
        let residency = &mut holder.view().residency;
        residency.record(&adapter(engine), engine, Presence::Held(1), 1_000);
        residency.record(&adapter(engine), engine, Presence::Absent, 1_100);
    }
    let holdings = [Holding {
        group: "d".into(),
        token: 1,
    }];
    let addr = "127.0.0.1:200";
    holder.fleet.add_peer(addr, false);
    let next = || holder.fleet.next_histories(&holder, &holdings, addr);
    let messages = [next(), next(), next()];
    assert_eq!(messages.each_ref().map(Vec::len), [PER_MESSAGE, 2, 0]);
    for message in &messages {
        apply_histories(&mut successor.view(), message);
    }
    let view = successor.view();
    let known = |e: &&Name| view.residency.has_cached(&adapter(e), e);
    assert_eq!(engines.iter().filter(known).count(), engines.len());
    assert!(holder.fleet.next_histories(&holder, &[], addr).is_empty());
}
