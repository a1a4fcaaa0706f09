use super::*;

fn member(id: &str, beat: u64, leaving: bool) -> Member {
    Member {
        id: id.into(),
        domain: "ikeja".into(),
        address: format!("{id}:1"),
        leaving,
        boot: 1,
        beat,
    }
}

fn ids(members: &Members) -> Vec<String> {
    let mut ids: Vec<String> = members.live(LEASE).into_iter().map(|m| m.id).collect();
    ids.sort();
    ids
}

const LEASE: Duration = Duration::from_secs(2);

#[test]
fn live_drops_silent_member() {
    let members = Members::default();
    let t = Instant::now();
    let half = LEASE / 2;
    for k in 0..3 {
        let rows = vec![member("a", u64::from(k), false), member("b", 1, false)];
        members.record_scan(rows, t + half * k, LEASE);
    }
    assert_eq!(ids(&members), ["a"]);
}

#[test]
fn live_survives_outage() {
    // Guards against empty address answers after a long table outage: no
    // heartbeat can be written while the table is down, so every lease lapses
    // by the times in the rows. Members are judged only by successful scans,
    // against the reader's own clock.
    let members = Members::default();
    let t = Instant::now();
    members.record_scan(vec![member("a", 1, false)], t, LEASE);
    assert_eq!(ids(&members), ["a"]);
    // An hour without a scan: the last answer stands.
    assert_eq!(ids(&members), ["a"]);
    // The first scan after the outage may come before any member's first
    // heartbeat.
    let later = t + Duration::from_secs(3_600);
    members.record_scan(vec![member("a", 1, false)], later, LEASE);
    assert_eq!(ids(&members), ["a"]);
}

#[test]
fn live_drops_draining_either_way() {
    let members = Members::default();
    let t = Instant::now();
    let rows = vec![
        member("a", 1, true),
        member("b", 1, false),
        member("c", 1, false),
    ];
    members.record_scan(rows, t, LEASE);
    members.state().leaving = vec!["b".into()];
    assert_eq!(ids(&members), ["c"]);
}
