//! Daemons that reach some of the targets only.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, ClientRequest, RouteKind, Target};
use comfreyhall_fakes::FakeTable;
use comfreyhall_node::Node;
use support::*;
use tokio::{net::TcpListener, time::Instant};

/// Time after a cut in which a group's loads go on: one lease term of these daemons.
const MOVED_WITHIN: Duration = Duration::from_millis(3_000);

/// Requests in a row that are passed on once a daemon knows what it has lost, and the time
/// until then: two probes, a gossip period, and these requests.
const IN_A_ROW: usize = 20;
const LEARNED_WITHIN: Duration = Duration::from_millis(3_000);

/// Longest time for which a target stays lost after its path is back.
const MAX_LOST: Duration = Duration::from_millis(1_200);

/// A daemon with its own paths to the targets of its fleet.
struct Daemon {
    node: Arc<Node>,
    backend: Arc<ScriptedBackend>,
}

impl Daemon {
    fn start(
        source: &Arc<ScriptedSource>,
        table: &FakeTable,
        id: &str,
        listener: TcpListener,
        seeds: &[String],
    ) -> Self {
        let addr = listener.local_addr().unwrap().to_string();
        let backend = Arc::new(ScriptedBackend::default());
        backend.finish_loads.store(true, Ordering::SeqCst);
        *backend.default_behavior.lock().unwrap() = Some(match source.config.routes[0].kind {
            RouteKind::Stream => Behavior::Stream(vec![1], true),
            _ => Behavior::Answer(200, 0),
        });
        let settings = settings_of(id, &addr, seeds, 0.25);
        let node = Node::new(settings, source.clone(), backend.clone());
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        Self { node, backend }
    }

    fn cut(&self, targets: &[&str]) {
        let names = targets.iter().map(|t| (*t).into());
        *self.backend.cut_targets.lock().unwrap() = names.collect();
    }

    async fn serve(&self, request: ClientRequest) -> CallerResult {
        caller_result(self.node.serve(request).await).await
    }

    fn commands(&self) -> usize {
        self.backend.commands.lock().unwrap().len()
    }

    fn sends_to(&self, targets: &[&str]) -> usize {
        let sent = self.backend.sent.lock().unwrap();
        sent.iter()
            .filter(|s| targets.contains(&&*s.target))
            .count()
    }
}

/// Two daemons of one fleet before the given targets.
async fn start_pair(mut source: Arc<ScriptedSource>, targets: Vec<Target>) -> [Daemon; 2] {
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets.extend(targets);
    let table = FakeTable::default();
    let first = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let second = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seeds = [&first, &second].map(|l| l.local_addr().unwrap().to_string());
    let pair = [
        Daemon::start(&source, &table, "n1", first, &seeds),
        Daemon::start(&source, &table, "n2", second, &seeds),
    ];
    for daemon in &pair {
        while daemon.node.addresses().0.len() < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    pair
}

fn adapter_request(id: &str, adapter: &str) -> ClientRequest {
    ClientRequest {
        adapter: Some(AdapterRef {
            model: "m".into(),
            adapter: Some(adapter.into()),
        }),
        remaining_ms: Some(2_000),
        ..ask(id)
    }
}

/// Sends requests for adapters that are not loaded until one is served; returns whether
/// that was soon enough.
async fn serve_new_adapter(daemon: &Daemon, prefix: &str) -> bool {
    let began = Instant::now();
    let mut served = false;
    for i in 0.. {
        if served || began.elapsed() > MOVED_WITHIN {
            break;
        }
        let name = format!("{prefix}{i}");
        let result = daemon.serve(adapter_request(&name, &name)).await;
        served = result == CallerResult::Stream(vec![1], true);
    }
    served && began.elapsed() < MOVED_WITHIN
}

/// Guards against a lease holder that has lost its engines and keeps their group: no
/// adapter is loaded until its paths are back, though another daemon reaches the engines.
#[tokio::test]
async fn serve_lost_group_moves_to_reaching_daemon() {
    let long = route(RouteKind::Stream, 2, false);
    let engines = ["c", "d"].map(|id| Target {
        loaded: vec![held("m")],
        ..target(id)
    });
    let source = scripted_source(long, Some(engine()));
    let pair = start_pair(source, engines.to_vec()).await;
    while !serve_new_adapter(&pair[0], "before").await {}
    let (holder, other) = match pair[0].commands() > 0 {
        true => (&pair[0], &pair[1]),
        false => (&pair[1], &pair[0]),
    };
    holder.cut(&["a", "b", "c", "d"]);
    assert!(serve_new_adapter(other, "other").await);
    assert!(serve_new_adapter(holder, "holder").await);
    assert!(other.commands() > 0);
}

/// Guards against a daemon that has lost most targets of a service and sends all its
/// requests to the few that are left.
#[tokio::test]
async fn serve_most_targets_lost_passes_requests_on() {
    let route = route(RouteKind::NonIdempotent, 2, false);
    let others = ["c", "d"].map(target).to_vec();
    let [cut, peer] = start_pair(scripted_source(route, None), others).await;
    cut.cut(&["a", "b", "c"]);
    let began = Instant::now();
    let mut passed_on = 0;
    for i in 0.. {
        let before = cut.sends_to(&["a", "b", "c", "d"]);
        let result = cut.serve(ask(&format!("q{i}"))).await;
        assert_eq!(result, CallerResult::Complete(200));
        tokio::time::sleep(Duration::from_millis(25)).await;
        passed_on = match cut.sends_to(&["a", "b", "c", "d"]) == before {
            true => passed_on + 1,
            false => 0,
        };
        if passed_on == IN_A_ROW {
            break;
        }
        assert!(began.elapsed() < LEARNED_WITHIN, "{passed_on}");
    }
    assert!(peer.sends_to(&["a", "b", "c", "d"]) >= IN_A_ROW);
}

/// Guards against requests that wait again and again for a path that is known to be cut,
/// and against a target that is left out after its path is back.
#[tokio::test]
async fn serve_lost_target_waits_for_probe() {
    let route = route(RouteKind::NonIdempotent, 2, false);
    let (node, backend) = start_node(route, Vec::new()).await;
    let cut = |target: &str| *backend.cut_targets.lock().unwrap() = vec![target.into()];
    let sends_to_a = || {
        let sent = backend.sent.lock().unwrap();
        sent.iter().filter(|s| &*s.target == "a").count()
    };
    cut("a");
    for i in 0..100 {
        let result = caller_result(node.serve(ask(&format!("q{i}"))).await).await;
        assert_eq!(result, CallerResult::Complete(200));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(sends_to_a() <= 1, "{}", sends_to_a());
    cut("b");
    tokio::time::sleep(MAX_LOST).await;
    let result = caller_result(node.serve(ask("r")).await).await;
    assert_eq!(result, CallerResult::Complete(200));
}
