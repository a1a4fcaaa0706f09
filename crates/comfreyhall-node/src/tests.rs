use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_domain::{AdapterRef, Set};
use comfreyhall_lease::Wait;

use crate::{
    clock,
    leases::state::{Former, HeldLease, Leases, Outgoing},
    view::View,
};

/// A lease as the store last showed it.
struct StoredLease {
    token: Option<u64>,
    expired_token: Option<u64>,
    is_return: bool,
}

impl HeldLease for StoredLease {
    fn token(&self, _: Instant) -> Option<u64> {
        self.token
    }

    fn expired_token(&self) -> Option<u64> {
        self.expired_token
    }

    fn is_return(&self) -> bool {
        self.is_return
    }
}

/// Lease term of the tests.
const TERM: Duration = Duration::from_millis(3_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn leases(token: Option<u64>, expired_token: Option<u64>) -> Leases {
    let leases = Leases::default();
    store(&leases, token, expired_token, false);
    leases
}

/// Replaces the lease of group `g` as `leases` knows it.
fn store(leases: &Leases, token: Option<u64>, expired_token: Option<u64>, is_return: bool) {
    let lease = StoredLease {
        token,
        expired_token,
        is_return,
    };
    leases.add(&"g".into(), Arc::new(lease));
}

/// Begins the tenure that `leases` allows at `now`, and returns how long engine `e` is to be
/// left alone.
fn pause(leases: &Leases, now: Duration) -> Duration {
    leases.begin_tenure("g", true, now);
    leases.command_pause("g", "e", TERM, now)
}

/// Sends a command that changes the number of engine `e` at `now`.
fn send(leases: &Leases, now: Duration) -> Result<(), Wait> {
    let command = Outgoing {
        target: "e".into(),
        token: leases.token("g", true).expect("the group is held"),
        sequence: 1,
        advances: true,
    };
    leases.begin_tenure("g", true, now);
    leases.begin_command("g", &command, TERM, now)
}

/// Records that the command to engine `e` was accepted.
fn accept(leases: &Leases, now: Duration) {
    leases.update_turns("g", |turns| {
        let token = turns.token();
        turns.accept(&"e".into(), token, 1, now);
    });
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
fn command_pause_after_other_holder() {
    let first = leases(Some(1), Some(1));
    send(&first, ms(1_000)).unwrap();
    accept(&first, ms(1_000));
    // The time of an earlier answer does not bring the last one forward.
    first.update_turns("g", |turns| turns.reject("e", ms(900)));
    assert_eq!(pause(&first, ms(1_100)), ms(0));
    let ceded = first.hand_over("g", true).unwrap();
    // The group comes back from its next holder.
    first.accept_handover("g", ceded + 1, 1_500);
    assert_eq!(pause(&first, ms(1_500)), ms(2_500));
    assert_eq!(pause(&first, ms(4_000)), ms(0));
    // Its own next token after a handover is no turn.
    let next = leases(Some(2), Some(2));
    next.accept_handover("g", 1_001, 0);
    send(&next, ms(100)).unwrap();
    accept(&next, ms(100));
    assert_eq!(pause(&next, ms(200)), ms(0));
}

/// Guards against a pause that ends a part of a ms early.
#[test]
fn command_pause_is_exact() {
    let first = leases(Some(1), Some(1));
    let answered = Duration::from_micros(1_000_900);
    send(&first, answered).unwrap();
    accept(&first, answered);
    let ceded = first.hand_over("g", true).unwrap();
    first.accept_handover("g", ceded + 1, 1_500);
    assert_eq!(pause(&first, ms(4_000)), Duration::from_micros(900));
}

/// Guards against the same for times that are whole ms already when a pause is counted.
#[test]
fn time_has_parts_of_ms() {
    let mut times = (0..1_000).map(|_| clock::time());
    assert!(times.any(|t| t.subsec_nanos() % 1_000_000 != 0));
}

/// Guards against a holder whose command is carried out seconds after it was sent, while
/// the next holder commands, and that commands the group again less than a term after that.
#[test]
fn command_pause_unanswered_command() {
    let first = leases(Some(1), Some(1));
    send(&first, ms(1_000)).unwrap();
    let ceded = first.hand_over("g", true).unwrap();
    first.accept_handover("g", ceded + 1, 60_000);
    assert_eq!(pause(&first, ms(60_000)), ms(3_000));
    // A report that comes later proves no more than that it has been carried out by now.
    first.update_turns("g", |turns| turns.report(&"e".into(), 3, ms(61_000)));
    assert_eq!(pause(&first, ms(62_000)), ms(1_000));
    assert_eq!(pause(&first, ms(63_000)), ms(0));
}

/// Guards against a command that is sent at once under a new token, as its sender awaited
/// something while the group passed to another holder and back.
#[test]
fn begin_command_after_return() {
    let first = leases(Some(1), Some(1));
    send(&first, ms(1_000)).unwrap();
    accept(&first, ms(1_000));
    let ceded = first.hand_over("g", true).unwrap();
    first.accept_handover("g", ceded + 1, 1_500);
    assert_eq!(send(&first, ms(1_600)), Err(Wait::Pause(ms(2_400))));
    // The refused command leaves the pause as it is.
    assert_eq!(pause(&first, ms(1_700)), ms(2_300));
    assert_eq!(send(&first, ms(4_000)), Ok(()));
}

/// Guards against a holder that starts again, does not know that it has just commanded a
/// group, and takes turns with the daemon that went on for it.
#[test]
fn command_pause_restarted_holder() {
    let restarted = leases(Some(3), Some(3));
    let groups = ["g".to_string()].into_iter().collect();
    restarted.set_former(Former::Groups(groups));
    let token = restarted.token("g", true).unwrap();
    // Nobody else has commanded the group.
    assert_eq!(pause(&restarted, ms(1_000)), ms(0));
    restarted.observe_token("g", token - 999);
    assert_eq!(pause(&restarted, ms(1_100)), ms(2_900));
    assert_eq!(pause(&restarted, ms(4_000)), ms(0));
    let first = leases(Some(3), Some(3));
    first.set_former(Former::Groups(Set::default()));
    first.observe_token("g", token - 999);
    assert_eq!(pause(&first, ms(1_100)), ms(0));
}

/// Guards against a holder that stops as planned and releases its lease, starts again, gets
/// the lease back from the next one, and does not know that it is no new holder.
#[test]
fn command_pause_returning_process() {
    let restarted = Leases::default();
    restarted.set_former(Former::Unknown);
    store(&restarted, Some(3), Some(3), true);
    assert_eq!(pause(&restarted, ms(1_000)), ms(3_000));
    assert_eq!(send(&restarted, ms(3_999)), Err(Wait::Pause(ms(1))));
    // The next one has released it as settled.
    let settled = Leases::default();
    settled.set_former(Former::Unknown);
    settled.observe_token("g", 2_000);
    store(&settled, Some(3), Some(3), false);
    assert_eq!(pause(&settled, ms(1_000)), ms(0));
}

/// Guards against a holder that stops and keeps its lease for an answer of an engine that has
/// ended.
#[test]
fn is_awaiting_listed_engine() {
    let leases = leases(Some(1), Some(1));
    send(&leases, ms(1_000)).unwrap();
    assert!(leases.is_awaiting("g", |_| true));
    assert!(!leases.is_awaiting("g", |id| id != "e"));
    accept(&leases, ms(1_100));
    assert!(!leases.is_awaiting("g", |_| true));
}

/// Guards against a group that is left to its former holder, which has just started again,
/// within a lease term of that one's last command.
#[test]
fn is_settled_after_term() {
    let leases = leases(Some(1), Some(1));
    leases.begin_tenure("g", true, ms(1_000));
    // A renewal is no new start.
    leases.begin_tenure("g", true, ms(2_000));
    assert!(!leases.is_settled("g", TERM, ms(3_999)));
    assert!(leases.is_settled("g", TERM, ms(4_000)));
    // An engine that has not answered may carry out what the former holder sent.
    send(&leases, ms(4_000)).unwrap();
    assert!(!leases.is_settled("g", TERM, ms(9_000)));
    accept(&leases, ms(9_000));
    assert!(!leases.is_settled("g", TERM, ms(11_999)));
    assert!(leases.is_settled("g", TERM, ms(12_000)));
    store(&leases, Some(2), Some(2), false);
    leases.begin_tenure("g", true, ms(13_000));
    assert!(!leases.is_settled("g", TERM, ms(15_999)));
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
