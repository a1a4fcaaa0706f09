use std::{sync::Arc, time::Instant};

use comfreyhall_domain::{AdapterRef, Set};

use crate::{
    leases::state::{Former, HeldLease, Leases},
    view::View,
};

/// A lease as the store last showed it.
struct StoredLease {
    token: Option<u64>,
    expired_token: Option<u64>,
}

impl HeldLease for StoredLease {
    fn token(&self, _: Instant) -> Option<u64> {
        self.token
    }

    fn expired_token(&self) -> Option<u64> {
        self.expired_token
    }
}

fn leases(token: Option<u64>, expired_token: Option<u64>) -> Leases {
    let leases = Leases::default();
    leases.add(
        &"g".into(),
        Arc::new(StoredLease {
            token,
            expired_token,
        }),
    );
    leases
}

/// Guards against loads that stop three seconds into an outage of the store:
/// the lease expires and nobody can take it, but its holder may continue, since
/// engines refuse its commands as soon as another holder takes over.
#[test]
fn token_expired_lease_needs_fencing() {
    let leases = leases(None, Some(2));
    assert!(leases.token("g", true).is_some());
    assert!(leases.token("g", false).is_none());
}

/// Guards against an engine that takes commands from two holders in turn: a
/// holder that learns of a higher fencing token must stop, even if its own
/// lease looks valid.
#[test]
fn token_of_superseded_holder_is_none() {
    let holder = leases(Some(2), Some(2));
    let token = holder.token("g", true).unwrap();
    holder.observe_token("g", token + 1);
    assert_eq!(holder.token("g", true), None);
    let next = leases(Some(3), Some(3));
    next.observe_token("g", token + 1);
    assert!(next.token("g", true).unwrap() > token + 1);
}

/// Guards against loads of a domain that stop for nine seconds when the holder
/// of its lease stops as planned during an outage of the store: it cannot
/// return the lease, so it has to name a successor.
#[test]
fn cede_token_lies_between_holders() {
    let old = leases(None, Some(2));
    let token = old.token("g", true).unwrap();
    let ceded = old.hand_over("g", true).unwrap();
    assert_eq!(old.token("g", true), None);
    let successor = Leases::default();
    successor.accept_handover("g", ceded, 0);
    assert_eq!(successor.token("g", true), Some(ceded));
    assert_eq!(successor.held(true), vec![("g".into(), ceded)]);
    assert!(ceded > token);
    // Whoever takes the lease from the store next is above both.
    assert!(leases(Some(3), Some(3)).token("g", true).unwrap() > ceded);
    assert_eq!(leases(None, Some(2)).hand_over("g", false), None);
}

/// Guards against two holders: a daemon that has released its lease continues under the older
/// token that a former holder handed over to it; and against a group that is given away
/// right after it was handed over.
#[test]
fn end_handover_stops_commands() {
    let successor = Leases::default();
    successor.accept_handover("g", 2_001, 1_000);
    // It is notified again until the former holder ceases to.
    successor.accept_handover("g", 2_001, 5_000);
    assert!(successor.took_over("g", 4_000, 4_500));
    assert!(!successor.took_over("g", 4_000, 5_500));
    successor.end_handover("g");
    assert_eq!(successor.token("g", true), None);
}

/// Guards against two daemons that command a group in turn within a lease term.
#[test]
fn command_pause_ms_after_other_holder() {
    let term_ms = 3_000;
    let first = leases(Some(1), Some(1));
    let token = first.token("g", true).unwrap();
    first.begin_command("g", token, term_ms, 1_000);
    assert_eq!(first.command_pause_ms("g", token, term_ms, 1_100), 0);
    let ceded = first.hand_over("g", true).unwrap();
    // The group comes back from its next holder.
    first.accept_handover("g", ceded + 1, 1_500);
    let back = first.token("g", true).unwrap();
    assert_eq!(first.command_pause_ms("g", back, term_ms, 1_500), 2_500);
    assert_eq!(first.command_pause_ms("g", back, term_ms, 4_000), 0);
    // Its own next token after a handover is no turn.
    let next = leases(Some(2), Some(2));
    next.accept_handover("g", 1_001, 0);
    next.begin_command("g", 1_001, term_ms, 100);
    assert_eq!(next.command_pause_ms("g", 2_000, term_ms, 200), 0);
}

/// Guards against a holder whose command arrives late, as its path was hung, and that
/// commands the group again less than a term after that arrival.
#[test]
fn command_pause_ms_late_arrival() {
    let term_ms = 3_000;
    let first = leases(Some(1), Some(1));
    let token = first.token("g", true).unwrap();
    first.begin_command("g", token, term_ms, 1_000);
    first.record_arrival("g", 1_780);
    // An answer to an earlier command does not bring the arrival forward.
    first.record_arrival("g", 1_100);
    let ceded = first.hand_over("g", true).unwrap();
    first.accept_handover("g", ceded + 1, 1_500);
    let back = first.token("g", true).unwrap();
    assert_eq!(first.command_pause_ms("g", back, term_ms, 4_000), 780);
    assert_eq!(first.command_pause_ms("g", back, term_ms, 4_780), 0);
}

/// Guards against a command that is sent at once under a new token, as its sender awaited
/// something while the group passed to another holder and back.
#[test]
fn begin_command_after_return() {
    let term_ms = 3_000;
    let first = leases(Some(1), Some(1));
    let token = first.token("g", true).unwrap();
    assert!(first.begin_command("g", token, term_ms, 1_000));
    let ceded = first.hand_over("g", true).unwrap();
    first.accept_handover("g", ceded + 1, 1_500);
    let back = first.token("g", true).unwrap();
    assert!(!first.begin_command("g", back, term_ms, 1_600));
    // The refused command leaves the pause as it is.
    assert_eq!(first.command_pause_ms("g", back, term_ms, 1_700), 2_300);
    assert!(first.begin_command("g", back, term_ms, 4_000));
}

/// Guards against a holder that starts again, does not know that it has just commanded a
/// group, and takes turns with the daemon that went on for it.
#[test]
fn command_pause_ms_restarted_holder() {
    let term_ms = 3_000;
    let restarted = leases(Some(3), Some(3));
    let groups = ["g".to_string()].into_iter().collect();
    restarted.note_former(1_000, Former::Groups(groups));
    let token = restarted.token("g", true).unwrap();
    // Nobody else has commanded the group.
    assert_eq!(restarted.command_pause_ms("g", token, term_ms, 1_100), 0);
    restarted.observe_token("g", token - 999);
    assert_eq!(
        restarted.command_pause_ms("g", token, term_ms, 1_100),
        2_900
    );
    assert_eq!(restarted.command_pause_ms("g", token, term_ms, 4_000), 0);
    let first = leases(Some(3), Some(3));
    first.note_former(1_000, Former::Groups(Set::default()));
    first.observe_token("g", token - 999);
    assert_eq!(first.command_pause_ms("g", token, term_ms, 1_100), 0);
}

/// Guards against a group that is left to its former holder, which has just started again,
/// within a lease term of that one's last command.
#[test]
fn is_newly_held_for_term() {
    let term_ms = 3_000;
    let (leases, group) = (Leases::default(), "g".into());
    leases.note_held(&group, true, 1_000);
    // A renewal is no new start.
    leases.note_held(&group, true, 2_000);
    assert!(leases.is_newly_held("g", term_ms, 3_900));
    assert!(!leases.is_newly_held("g", term_ms, 4_000));
    leases.note_held(&group, false, 5_000);
    leases.note_held(&group, true, 6_000);
    assert!(leases.is_newly_held("g", term_ms, 8_900));
}

/// Guards against callers of all five domains that queue at the engines of one
/// domain while their own idle: a newly hot adapter has few engines, and
/// daemons know the queues only as of a second ago.
#[test]
fn count_bind_frequent_adapter_is_hot() {
    let mut view = View::default();
    let adapter = AdapterRef {
        model: "m".into(),
        adapter: Some("a".into()),
    };
    // One in 200 ms is what one engine handles beside others.
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
fn count_bind_one_group_is_never_hot() {
    let mut view = View::default();
    let hot = (0..500)
        .filter(|i| view.count_bind("m/a", 1, 1_000 + i * 2))
        .count();
    assert_eq!(hot, 0);
}
