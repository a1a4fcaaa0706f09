use crate::*;

fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        path_prefix: prefix.into(),
        kind,
        timeout_ms: 1_000,
        objective_ms: 300,
        gap_objective_ms: None,
        priority: 1,
        shares: vec![
            TrafficShare {
                service: "a".into(),
                weight: 90,
            },
            TrafficShare {
                service: "b".into(),
                weight: 10,
            },
        ],
        max_attempts: 2,
        resumable: false,
        public: false,
    }
}

fn config(routes: Vec<Route>) -> Config {
    Config {
        version: 1,
        routes,
        services: Map::default(),
        limits: RequestLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: None,
    }
}

#[test]
fn match_route_longest_prefix_wins() {
    let config = config(vec![
        route("/a/", RouteKind::Idempotent),
        route("/a/b/", RouteKind::Idempotent),
    ]);
    assert_eq!(
        &*config.match_route("h", "/a/b/c").unwrap().path_prefix,
        "/a/b/"
    );
    assert_eq!(
        &*config.match_route("h", "/a/c").unwrap().path_prefix,
        "/a/"
    );
    assert!(config.match_route("h", "/b").is_none());
    assert!(config.match_route("other", "/a/b/c").is_none());
}

#[test]
fn pick_service_follows_weights() {
    let r = route("/", RouteKind::Idempotent);
    let hits = (0..100)
        .filter(|d| &**r.pick_service(*d).unwrap() == "b")
        .count();
    assert_eq!(hits, 10);
}

/// Guards against a "not run" answer to a request that may have run. A send
/// gets no answer and a second target refuses; if the last refusal alone
/// decided the answer, the client would repeat a request that had already run.
#[test]
fn answer_for_uncertain_send_outlasts_refusal() {
    let mut history = SendHistory::default();
    history.record(Outcome::Indeterminate);
    assert!(!history.may_send(false, 3));
    assert!(history.may_send(true, 3));
    history.record(Outcome::Refused(Refusal::Full));
    assert_eq!(answer_for(&history, false, 5), Answer::Unknown);
    assert_eq!(answer_for(&history, true, 5), Answer::TimedOut);
}

#[test]
fn answer_for_unsent_is_not_run() {
    let mut history = SendHistory::default();
    history.record(Outcome::NotSent);
    history.record(Outcome::Refused(Refusal::WrongTarget));
    assert_eq!(history.sends, 1);
    assert_eq!(
        answer_for(&history, true, 7),
        Answer::NotRun { retry_ms: 7 }
    );
}

fn workspaces() -> comfreyhall_workspace::Workspaces {
    use comfreyhall_workspace::{KeyHasher, Salt, WorkspaceEntry, read_entries};
    let hasher = KeyHasher::new(Salt::new([1; 32]));
    let entry = WorkspaceEntry {
        name: "w".to_string(),
        keys: vec![hasher.hash(b"k1")],
        ..WorkspaceEntry::default()
    };
    read_entries(hasher, vec![entry]).0
}

#[test]
fn resolve_caller_returns_workspace_of_key() {
    let key = |text: &str| comfreyhall_workspace::PresentedKey::new(text.as_bytes());
    let mut config = config(vec![route("/a/", RouteKind::Idempotent)]);
    let closed = config.routes[0].clone();
    assert_eq!(
        config.resolve_caller(&closed, None),
        Some(Caller::Anonymous)
    );
    config.workspaces = Some(workspaces());
    let known = config.resolve_caller(&closed, Some(&key("k1"))).unwrap();
    assert_eq!(&*known.workspace().unwrap().name, "w");
    assert_eq!(config.resolve_caller(&closed, Some(&key("k2"))), None);
    assert_eq!(config.resolve_caller(&closed, None), None);
    let public = Route {
        public: true,
        ..closed
    };
    assert_eq!(
        config.resolve_caller(&public, Some(&key("k1"))),
        Some(Caller::Anonymous)
    );
}

/// Guards against rows of a store's new history that count as old for their lower
/// numbers, on the wire as well.
#[test]
fn revision_era_comes_first() {
    let old = crate::Revision::new(1, 306);
    let new = crate::Revision::new(2, 257);
    assert!(new > old);
    assert!(new.to_wire() > old.to_wire());
    assert_eq!(crate::Revision::from_wire(new.to_wire()), new);
    // A peer of an older build sends the plain number.
    assert_eq!(
        crate::Revision::from_wire(306),
        crate::Revision::new(0, 306)
    );
}

/// Guards against a time that somebody states and that no clock can add.
#[test]
fn stated_time_is_bounded() {
    use std::time::Instant;
    let mut times: Vec<StatedTime> = [0, 1, u64::MAX / 1_000, u64::MAX - 1, u64::MAX]
        .into_iter()
        .flat_map(|n| [StatedTime::from_ms(n), StatedTime::from_secs(n)])
        .collect();
    let floats = [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300];
    times.extend(floats.map(StatedTime::from_ms_f64));
    for time in times {
        assert!(Instant::now().checked_add(time.duration()).is_some());
        assert!(time.ms() <= 86_400_000);
    }
    assert_eq!(StatedTime::from_secs(4).ms(), 4_000);
    assert_eq!(StatedTime::from_ms_f64(-5.0).ms(), 0);
}
