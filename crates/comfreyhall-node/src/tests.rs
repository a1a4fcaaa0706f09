use std::{sync::Arc, time::Instant};

use comfreyhall_domain::AdapterRef;

use crate::{
    events::Events,
    leases::{HeldLease, Leases},
    node::View,
};

#[test]
fn next_whole_events_only() {
    let mut e = Events::default();
    e.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(e.next().unwrap().id, Some(1));
    assert!(e.next().is_none());
    assert!(e.partial());
    e.push(b"ta: b\n");
    assert!(e.next().is_none());
    e.push(b"\n");
    let event = e.next().unwrap();
    assert_eq!(event.id, Some(2));
    assert_eq!(&event.bytes[..], b"id: 2\ndata: b\n\n");
    assert!(!e.partial());
}

/// A lease as the store last showed it.
struct Shown {
    token: Option<u64>,
    lapsed: Option<u64>,
}

impl HeldLease for Shown {
    fn token(&self, _: Instant) -> Option<u64> {
        self.token
    }

    fn expired_token(&self) -> Option<u64> {
        self.lapsed
    }
}

fn leases(token: Option<u64>, lapsed: Option<u64>) -> Leases {
    let leases = Leases::default();
    leases.add(&"g".into(), Arc::new(Shown { token, lapsed }));
    leases
}

/// Symptom: every load stopped three seconds into an outage of the store.
/// Events: the lease lapses, nobody can take it. Cause: its holder stopped
/// although engines would refuse it the moment another one took over.
#[test]
fn token_lapsed_only_where_engines_check() {
    let leases = leases(None, Some(2));
    assert!(leases.token("g", true).is_some());
    assert!(leases.token("g", false).is_none());
}

/// Symptom: an engine took orders from two holders in turn. Events: a holder
/// hears of a higher token and goes on. Cause: it believed its own lease.
#[test]
fn token_beaten_stops() {
    let holder = leases(Some(2), Some(2));
    let token = holder.token("g", true).unwrap();
    holder.observe_token("g", token + 1);
    assert_eq!(holder.token("g", true), None);
    let next = leases(Some(3), Some(3));
    next.observe_token("g", token + 1);
    assert!(next.token("g", true).unwrap() > token + 1);
}

/// Symptom: loads of a domain stood still for nine seconds. Events: the store
/// is away, the holder of the domain's lease is stopped as planned. Cause: it
/// could not give the lease back and named no successor.
#[test]
fn cede_successor_between_holders() {
    let old = leases(None, Some(2));
    let token = old.token("g", true).unwrap();
    let ceded = old.hand_over("g", true).unwrap();
    assert_eq!(old.token("g", true), None);
    let successor = Leases::default();
    successor.accept_handover("g", ceded);
    assert_eq!(successor.token("g", true), Some(ceded));
    assert_eq!(successor.held(true), vec![("g".into(), ceded)]);
    assert!(ceded > token);
    // Whoever takes the lease from the store next is above both.
    assert!(leases(Some(3), Some(3)).token("g", true).unwrap() > ceded);
    assert_eq!(leases(None, Some(2)).hand_over("g", false), None);
}

/// Symptom: callers of all five domains queued at the engines of one, while
/// those of their own domains idled. Events: an adapter becomes hot; what the
/// daemons know of the queues is a second old. Cause: its first engines drew
/// all of its requests.
#[test]
fn asked_often_is_hot_for_a_while() {
    let mut view = View::default();
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a".into()),
    };
    // One in 200 ms is what one engine does beside others.
    let mut at = 1_000;
    for _ in 0..10 {
        at += 200;
        assert!(!view.count_bind("m/a", 5, at));
    }
    // 50 a second need an engine in each of five groups.
    let hot = (0..100)
        .filter(|i| view.count_bind("m/a", 5, at + i * 20))
        .count();
    assert!(hot > 50, "{hot}");
    assert!(!view.count_bind("m/b", 5, at));
    view.mark_hot(&adapter, at);
    assert!(view.is_hot(&adapter, at + 4_000));
    assert!(!view.is_hot(&adapter, at + 6_000));
}

#[test]
fn asked_one_group_is_never_hot() {
    let mut view = View::default();
    let hot = (0..500)
        .filter(|i| view.count_bind("m/a", 1, 1_000 + i * 2))
        .count();
    assert_eq!(hot, 0);
}
