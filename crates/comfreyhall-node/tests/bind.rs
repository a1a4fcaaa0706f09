//! Binding of runs to engines by the holder of a group's lease.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_domain::{AdapterRef, ClientRequest, Name, RouteKind, TokenCounts};
use comfreyhall_fakes::FakeTable;
use comfreyhall_lease::Lease;
use comfreyhall_node::Node;
use comfreyhall_protocol::{
    BindReply, BindRequest, CapCall, CapReply, Daemon, ForwardPart, ForwardRequest, Holding, Map,
    News, ProgressReply, ProgressReport, ReachQuery, ReachReply, SettingsAsk, SettingsPart,
    StreamFinding, StreamQuery, StreamRecordBatch, StreamRecordReply,
    fleet_server::{Fleet, FleetServer},
};
use support::*;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// A lease holder that announces its lease and answers nothing else, or ends
/// while requests wait.
struct Silent {
    daemon: Daemon,
    ends: bool,
}

#[tonic::async_trait]
impl Fleet for Silent {
    type ForwardStream = futures::stream::Empty<Result<ForwardPart, Status>>;

    async fn forward(
        &self,
        _: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        Err(Status::unimplemented("scripted"))
    }

    type FetchStream = futures::stream::Empty<Result<SettingsPart, Status>>;

    async fn fetch(&self, _: Request<SettingsAsk>) -> Result<Response<Self::FetchStream>, Status> {
        Err(Status::unimplemented("scripted"))
    }

    async fn exchange(&self, _: Request<News>) -> Result<Response<News>, Status> {
        let holding = Holding {
            group: "d".into(),
            token: 1_000,
        };
        Ok(Response::new(News {
            from: Some(self.daemon.clone()),
            holdings: vec![holding],
            ..News::default()
        }))
    }

    async fn bind(&self, _: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        if self.ends {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return Err(Status::unavailable("scripted end"));
        }
        std::future::pending().await
    }

    async fn record_streams(
        &self,
        _: Request<StreamRecordBatch>,
    ) -> Result<Response<StreamRecordReply>, Status> {
        std::future::pending().await
    }

    async fn find_stream(
        &self,
        _: Request<StreamQuery>,
    ) -> Result<Response<StreamFinding>, Status> {
        std::future::pending().await
    }

    async fn settle(&self, _: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        std::future::pending().await
    }

    async fn reach(&self, _: Request<ReachQuery>) -> Result<Response<ReachReply>, Status> {
        std::future::pending().await
    }

    async fn progress(
        &self,
        _: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        std::future::pending().await
    }
}

/// Starts the unresponsive holder; returns its address for peers.
async fn silent(ends: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let daemon = Daemon {
        id: "h".into(),
        boot: 1,
        peer: peer.clone(),
        front: peer.clone(),
        domain: "d".into(),
        isolated: false,
        ready: true,
        millicores: 250,
        ..Daemon::default()
    };
    let server =
        tonic::transport::Server::builder().add_service(FleetServer::new(Silent { daemon, ends }));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    peer
}

/// Waits until `what` holds; fails after a minute.
async fn until(what: impl Fn() -> bool) {
    let looks = async {
        while !what() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(Duration::from_secs(60), looks).await;
    ended.expect("it never came to this");
}

fn model_ask(id: &str, adapter: Option<&str>) -> ClientRequest {
    ClientRequest {
        adapter: Some(AdapterRef {
            model: "m".into(),
            adapter: adapter.map(Name::from),
        }),
        // Long enough for one more prompt to rule out a tie between engines.
        tokens: Some(TokenCounts {
            prompt: 1_000,
            max_output: 20,
        }),
        ..ask(id)
    }
}

/// Guards against a failure domain whose requests are late or refused for five
/// seconds although its engines have their adapters: the lease holder freezes
/// with its connections open, and each request must not wait for its answer
/// until the deadline.
#[tokio::test]
async fn serve_silent_holder_sends_directly() {
    let holder = silent(false).await;
    let table = FakeTable::default();
    let theirs = Lease::new(table.clone(), "d", "h".into(), Duration::from_secs(3));
    theirs.step(Instant::now, true).await.unwrap();
    let mut source = scripted_source(route(RouteKind::Stream, 1, false), Some(engine()));
    let targets = &mut Arc::get_mut(&mut source).unwrap().targets;
    targets[0].loaded[0].adapters = vec![("a1".into(), 1)];
    let backend = Arc::new(ScriptedBackend::default());
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let settings = settings_of("n", "127.0.0.1:1", &[holder], 0.25);
    let node = Node::new(settings, source, backend.clone());
    comfreyhall_node::spawn(&node, table);
    until(|| node.ready() && node.addresses().0.len() == 2).await;
    let reply = node.serve(model_ask("q", Some("a1"))).await;
    assert_eq!(
        caller_result(reply).await,
        CallerResult::Stream(vec![1], true)
    );
    assert_eq!(&*backend.sent.lock().unwrap()[0].target, "a");
}

/// Guards against daemons that send to the same engines while others idle: four
/// daemons send a request each before they learn of the others' by gossip, so
/// the lease holder has to choose the engine.
#[tokio::test]
async fn serve_runs_of_all_daemons_are_counted() {
    let source = scripted_source(route(RouteKind::Stream, 1, false), Some(engine()));
    let backend = Arc::new(ScriptedBackend::default());
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Hang);
    let table = FakeTable::default();
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addr = |l: &TcpListener| l.local_addr().unwrap().to_string();
    let seeds = vec![addr(&listeners[0])];
    let mut nodes = Vec::new();
    for (i, listener) in listeners.into_iter().enumerate() {
        let settings = settings_of(&format!("n{i}"), &addr(&listener), &seeds, 0.25);
        let node = Node::new(settings, source.clone(), backend.clone());
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        nodes.push(node);
    }
    for node in &nodes {
        until(|| node.ready() && node.addresses().0.len() == 4).await;
    }
    // Lets every daemon learn who holds the lease.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut calls = Vec::new();
    for i in 0..12 {
        let node = nodes[i % 4].clone();
        let call =
            async move { caller_result(node.serve(model_ask(&format!("q{i}"), None)).await).await };
        calls.push(tokio::spawn(call));
        until(|| backend.sent.lock().unwrap().len() > i).await;
    }
    let mut counts: Map<Name, usize> = Map::default();
    for seen in backend.sent.lock().unwrap().iter() {
        *counts.entry(seen.target.clone()).or_default() += 1;
    }
    assert_eq!(counts.get("a"), Some(&6), "{counts:?}");
    assert_eq!(counts.get("b"), Some(&6), "{counts:?}");
    calls.iter().for_each(|c| c.abort());
}

/// Guards against requests that are lost with the lease holder at which they
/// wait for a slot: they go on to another group, and none is refused.
#[tokio::test]
async fn serve_holder_lost_while_requests_wait() {
    let holder = silent(true).await;
    let table = FakeTable::default();
    let theirs = Lease::new(table.clone(), "d", "h".into(), Duration::from_secs(60));
    theirs.step(Instant::now, true).await.unwrap();
    let mut long = route(RouteKind::Stream, 1, false);
    long.objective_ms = 3_000;
    let mut source = scripted_source(long, Some(engine()));
    let targets = &mut Arc::get_mut(&mut source).unwrap().targets;
    targets[1].failure_domain = "e".into();
    let backend = Arc::new(ScriptedBackend::default());
    backend
        .finish_loads
        .store(true, std::sync::atomic::Ordering::SeqCst);
    *backend.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let settings = settings_of("n", "127.0.0.1:1", &[holder], 0.25);
    let node = Node::new(settings, source, backend.clone());
    comfreyhall_node::spawn(&node, table);
    until(|| node.ready() && node.addresses().0.len() == 2).await;
    // Its first reports show that it holds the lease of the other group.
    let reports = &backend.report_count;
    until(|| reports.load(std::sync::atomic::Ordering::SeqCst) > 0).await;
    let calls = (0..3).map(|i| {
        let node = node.clone();
        let ask = model_ask(&format!("q{i}"), Some("a1"));
        tokio::spawn(async move { caller_result(node.serve(ask).await).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap(), CallerResult::Stream(vec![1], true));
    }
    let sent = backend.sent.lock().unwrap();
    assert!(sent.len() == 3 && sent.iter().all(|s| &*s.target == "b"));
}
