use comfreyhall_domain::Name;

use super::*;
use crate::test_node::{node, target};

/// Guards against gossip about a daemon whose share of lost targets goes up and down
/// around a step, as under overload: each change is reported to the whole fleet.
#[tokio::test]
async fn describe_flicker_is_reported_once() {
    let node = node();
    let ids: Vec<Name> = (0..11).map(|i| format!("t{i}").as_str().into()).collect();
    for id in &ids {
        node.view().targets.insert(id.clone(), target(id).into());
    }
    let lose = |lost: usize| {
        for (i, id) in ids.iter().enumerate() {
            let mut view = node.view();
            match i < lost {
                true => view.contacts.record_lost(id, 1),
                false => view.contacts.record_answer(id),
            }
        }
        let mut about = Daemon::default();
        describe(&node, &mut about);
        assert_eq!(about.lost_percent, node.lost_percent());
        about.lost_percent
    };
    // 9 and 18 percent.
    let told = [1, 2, 1, 2, 1].map(lose);
    assert_eq!(told, [0, 10, 10, 10, 10]);
    // 36 and 27 percent: what was lost in addition is reported at once.
    let told = [4, 3, 4, 0, 1].map(lose);
    assert_eq!(told, [30, 30, 30, 0, 0]);
}
