use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::*;

fn daemon(index: usize, lost_percent: u32) -> Daemon {
    Daemon {
        peer: format!("127.0.0.1:{index}"),
        lost_percent,
        ..Daemon::default()
    }
}

fn daemons(count: usize) -> Vec<Daemon> {
    (0..count).map(|i| daemon(i, 0)).collect()
}

/// The list of `boot` with `rows`.
fn roster(boot: u64, rows: &[Daemon]) -> Roster {
    let mut roster = Roster::new(boot);
    roster.update(rows.iter());
    roster
}

fn list(roster: &Roster) -> ListVersion {
    ListVersion {
        boot: roster.boot,
        version: roster.version(),
    }
}

/// Guards against full lists to everybody after each change of one daemon.
#[test]
fn changes_since_only_changed_rows() {
    let mut rows = daemons(30);
    let mut roster = roster(7, &rows);
    let before = list(&roster);
    roster.update(rows.iter());
    assert_eq!(list(&roster), before, "nothing has changed");
    assert_eq!(roster.changes_since(before), None);
    for lost in [10, 20] {
        rows[3] = daemon(3, lost);
        roster.update(rows.iter());
    }
    let gone = rows.remove(9);
    roster.update(rows.iter());
    let lacking = Changes {
        since: before.version,
        rows: vec![daemon(3, 20)],
        removed: vec![gone.peer.clone()],
    };
    assert_eq!(roster.changes_since(before), Some(lacking));
    // It comes back, and is a changed row.
    rows.push(gone);
    roster.update(rows.iter());
    let lacking = roster.changes_since(before).expect("rows have changed");
    assert_eq!((lacking.rows.len(), lacking.removed.len()), (2, 0));
}

/// Guards against a caller that misses rows: one without a list, with one of an earlier
/// process of the holder, of an older build, or that lacks a removal that is forgotten.
#[test]
fn changes_since_full_list_after_gap() {
    let mut rows = daemons(30 + MAX_REMOVED);
    let mut roster = roster(7, &rows);
    let first = list(&roster);
    rows.pop();
    roster.update(rows.iter());
    let second = list(&roster);
    let is_full = |roster: &Roster, known| {
        let changes = roster.changes_since(known).expect("the caller lacks rows");
        changes.since == 0 && changes.rows.len() == roster.rows.len()
    };
    let known = |boot, version| ListVersion { boot, version };
    let version = second.version;
    for other in [
        known(0, 0),
        known(7, 0),
        known(8, version),
        known(7, version + 1),
    ] {
        assert!(is_full(&roster, other), "{other:?}");
    }
    // An older build takes each list for a full one, but knows that it has this one.
    assert!(is_full(&roster, known(0, first.version)));
    assert_eq!(roster.changes_since(known(0, version)), None);
    assert!(!is_full(&roster, first));
    rows.truncate(rows.len() - MAX_REMOVED);
    roster.update(rows.iter());
    assert!(is_full(&roster, first));
    assert!(!is_full(&roster, second));
}

/// Guards against versions of two processes of a holder that a caller of an older build
/// takes for the same list.
#[test]
fn new_versions_differ_by_boot() {
    let versions = [1, u64::MAX / 3, u64::MAX].map(|boot| Roster::new(boot).version());
    assert!(versions.windows(2).all(|v| v[0] + 1_000_000 < v[1]));
    assert!(versions[0] > 0);
}

/// Guards against rows that are lost, or go back, when answers arrive late.
#[test]
fn apply_answers_in_any_order() {
    let mut rows = daemons(3);
    let mut roster = roster(7, &rows);
    let first = list(&roster);
    let full = roster.changes_since(ListVersion::default()).unwrap();
    let mut steps = Vec::new();
    for lost in [10, 20] {
        rows[0] = daemon(0, lost);
        roster.update(rows.iter());
        steps.push((list(&roster), roster.changes_since(first).unwrap()));
    }
    let mut known = KnownRoster::default();
    let (late, step) = steps[1].clone();
    assert!(!known.apply(late, step.clone()), "rows are missing");
    assert_eq!(known.list(), ListVersion::default());
    assert!(known.apply(first, full));
    assert!(known.apply(late, step));
    let (early, step) = steps[0].clone();
    assert!(known.apply(early, step));
    assert_eq!(known.list(), late);
    assert_eq!(known.members["127.0.0.1:0"].lost_percent, 20);
    // Of another process it is no change of this list.
    let other = ListVersion { boot: 8, ..late };
    let change = Changes {
        since: first.version,
        ..Changes::default()
    };
    assert!(!known.apply(other, change));
}

/// Guards against a caller whose list differs from its holder's, whatever answers are
/// lost, late or of an earlier process.
#[test]
fn apply_lists_converge() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut rows = daemons(80);
        let mut roster = roster(1, &rows);
        let mut known: [KnownRoster; 3] = Default::default();
        for step in 0..200 {
            match rng.random_range(0..20) {
                0 => rows.truncate(rng.random_range(1..=rows.len())),
                1..4 => rows = daemons(rng.random_range(rows.len()..=80)),
                _ => {
                    let index = rng.random_range(0..rows.len());
                    rows[index] = daemon(index, step);
                }
            }
            if rng.random_bool(0.02) {
                roster = Roster::new(step.into());
            }
            roster.update(rows.iter());
            for known in &mut known {
                let asked = known.list();
                // Two calls at once, of which none, either or both are answered.
                for _ in 0..rng.random_range(0..3) {
                    let changes = roster.changes_since(asked);
                    let until = list(&roster);
                    let recent = known.apply(until, changes.unwrap_or_default());
                    assert!(recent, "seed {seed}");
                    let full = roster.rows.values().map(|r| (&r.daemon.peer, &r.daemon));
                    assert_eq!(known.members.iter().collect::<Map<_, _>>(), full.collect());
                }
            }
        }
    }
}
