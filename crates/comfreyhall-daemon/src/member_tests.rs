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
        members.observe(rows, t + half * k, LEASE);
    }
    assert_eq!(ids(&members), ["a"]);
}

#[test]
fn live_survives_outage() {
    // Symptom: after a long table outage every address answer was empty.
    // Sequence: no beat can be written while the table is down, so by the
    // wall-clock time in the rows everyone's lease had lapsed. Cause: rows
    // were judged between scans. They are now judged only by scans that
    // succeeded, against the reader's own clock.
    let members = Members::default();
    let t = Instant::now();
    members.observe(vec![member("a", 1, false)], t, LEASE);
    assert_eq!(ids(&members), ["a"]);
    // An hour without a scan: the last answer stands.
    assert_eq!(ids(&members), ["a"]);
    // The first scan after the outage may come before anyone's first beat.
    let later = t + Duration::from_secs(3_600);
    members.observe(vec![member("a", 1, false)], later, LEASE);
    assert_eq!(ids(&members), ["a"]);
}

#[test]
fn live_drops_leaving_either_way() {
    let members = Members::default();
    let t = Instant::now();
    let rows = vec![
        member("a", 1, true),
        member("b", 1, false),
        member("c", 1, false),
    ];
    members.observe(rows, t, LEASE);
    members.state().leaving = vec!["b".into()];
    assert_eq!(ids(&members), ["c"]);
}
