//! Engines found by the holder of a group's lease.

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
    BindReply, BindRequest, CapCall, CapReply, Daemon, Holding, Map, News, ProgressReply,
    ProgressReport, SettingsAsk, SettingsPart,
    fleet_server::{Fleet, FleetServer},
};
use support::*;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// A holder of the lease that tells of it and answers nothing else.
struct Silent(Daemon);

#[tonic::async_trait]
impl Fleet for Silent {
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
            from: Some(self.0.clone()),
            holdings: vec![holding],
            ..News::default()
        }))
    }

    async fn bind(&self, _: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        std::future::pending().await
    }

    async fn settle(&self, _: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        std::future::pending().await
    }

    async fn progress(
        &self,
        _: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        std::future::pending().await
    }
}

/// Starts the silent holder; the address of its peers' port.
async fn silent() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let daemon = Daemon {
        id: "h".into(),
        boot: 1,
        peer: peer.clone(),
        front: peer.clone(),
        domain: "d".into(),
        ready: true,
        millicores: 250,
    };
    let server = tonic::transport::Server::builder().add_service(FleetServer::new(Silent(daemon)));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    peer
}

/// Waits for `what`; a test whose daemons never get there ends all the same.
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
        // Long enough that one prompt more is no equal choice.
        tokens: Some(TokenCounts {
            prompt: 1_000,
            max_output: 20,
        }),
        ..ask(id)
    }
}

/// Symptom: for five seconds every request of a failure domain was late or
/// refused, though the engines there had its adapters. Events: the holder of
/// the lease freezes, and its connections stay open. Cause: each request waited
/// for an engine to be named until its time was up.
#[tokio::test]
async fn serve_silent_holder_done_without() {
    let holder = silent().await;
    let table = FakeTable::default();
    let theirs = Lease::new(table.clone(), "d", "h".into(), Duration::from_secs(3));
    theirs.step(Instant::now, true).await.unwrap();
    let mut world = scripted_source(route(RouteKind::Stream, 1, false), Some(engine()));
    let targets = &mut Arc::get_mut(&mut world).unwrap().targets;
    targets[0].loaded[0].adapters = vec![("a1".into(), 1)];
    let script = Arc::new(ScriptedBackend::default());
    *script.default_behavior.lock().unwrap() = Some(Behavior::Stream(vec![1], true));
    let settings = settings_of("n", "127.0.0.1:1", &[holder], 0.25);
    let node = Node::new(settings, world, script.clone());
    comfreyhall_node::spawn(&node, table);
    until(|| node.ready() && node.addresses().0.len() == 2).await;
    let reply = node.serve(model_ask("q", Some("a1"))).await;
    assert_eq!(
        caller_result(reply).await,
        CallerResult::Stream(vec![1], true)
    );
    assert_eq!(&*script.sent.lock().unwrap()[0].target, "a");
}

/// Symptom: engines that looked idle got several prompts at once while others
/// had none. Events: four daemons send a request each before they hear of the
/// others'. Cause: each chose the engine by the news that it had.
#[tokio::test]
async fn serve_runs_of_all_daemons_counted() {
    let world = scripted_source(route(RouteKind::Stream, 1, false), Some(engine()));
    let script = Arc::new(ScriptedBackend::default());
    *script.default_behavior.lock().unwrap() = Some(Behavior::Hang);
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
        let node = Node::new(settings, world.clone(), script.clone());
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        nodes.push(node);
    }
    for node in &nodes {
        until(|| node.ready() && node.addresses().0.len() == 4).await;
    }
    // All know who holds the lease.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut calls = Vec::new();
    for i in 0..12 {
        let node = nodes[i % 4].clone();
        let call =
            async move { caller_result(node.serve(model_ask(&format!("q{i}"), None)).await).await };
        calls.push(tokio::spawn(call));
        until(|| script.sent.lock().unwrap().len() > i).await;
    }
    let mut counts: Map<Name, usize> = Map::default();
    for seen in script.sent.lock().unwrap().iter() {
        *counts.entry(seen.target.clone()).or_default() += 1;
    }
    assert_eq!(counts.get("a"), Some(&6), "{counts:?}");
    assert_eq!(counts.get("b"), Some(&6), "{counts:?}");
    calls.iter().for_each(|c| c.abort());
}
