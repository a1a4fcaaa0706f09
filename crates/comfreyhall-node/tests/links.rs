//! Answers that another daemon passes on, over a path that carries nothing for a while.

mod support;

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, RouteKind, Target};
use comfreyhall_node::{Node, ports::*};
use futures::{FutureExt, StreamExt, future::BoxFuture};
use support::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Targets whose answers begin after `delay` and whose events are `gap` apart.
struct PacedBackend {
    scripted: ScriptedBackend,
    delay: Duration,
    gap: Duration,
}

impl Backend for PacedBackend {
    fn send(
        &self,
        target: Arc<Target>,
        request: Arc<ClientRequest>,
        options: SendOptions,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        let (delay, gap) = (self.delay, self.gap);
        let sent = self.scripted.send(target, request, options);
        async move {
            tokio::time::sleep(delay).await;
            let response = sent.await?;
            let body = response.body.then(move |piece| async move {
                tokio::time::sleep(gap).await;
                piece
            });
            Ok(Response {
                body: body.boxed(),
                ..response
            })
        }
        .boxed()
    }

    fn command(
        &self,
        target: Arc<Target>,
        command: Command,
    ) -> BoxFuture<'static, TargetReply<CommandReply>> {
        self.scripted.command(target, command)
    }

    fn report(
        &self,
        target: Arc<Target>,
    ) -> BoxFuture<'static, TargetReply<Result<Report, ReportError>>> {
        self.scripted.report(target)
    }

    fn probe(&self, target: Arc<Target>) -> BoxFuture<'static, TargetReply<ProbeResult>> {
        self.scripted.probe(target)
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

/// Forwards connections of `listener` to `to` while `open` is true, and holds all bytes back
/// meanwhile.
async fn forward_while_open(listener: TcpListener, to: String, open: watch::Receiver<bool>) {
    loop {
        let (from, _) = listener.accept().await.unwrap();
        let to = TcpStream::connect(&to).await.unwrap();
        let (from_in, from_out) = from.into_split();
        let (to_in, to_out) = to.into_split();
        for (mut input, mut output) in [(from_in, to_out), (to_in, from_out)] {
            let mut open = open.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 64 << 10];
                while let Ok(read @ 1..) = input.read(&mut buf).await {
                    open.wait_for(|open| *open).await.unwrap();
                    if output.write_all(&buf[..read]).await.is_err() {
                        return;
                    }
                }
            });
        }
    }
}

/// A daemon that reaches no target, and the path to its peer.
struct CutDaemon {
    node: Arc<Node>,
    open: watch::Sender<bool>,
    _peer: Arc<Node>,
}

async fn start(kind: RouteKind, answer: Behavior, delay: Duration, gap: Duration) -> CutDaemon {
    let mut route = route(kind, 1, kind == RouteKind::Stream);
    route.timeout_ms = 8_000;
    let mut source = scripted_source(route, None);
    let only = Arc::get_mut(&mut source).expect("the source has one owner");
    only.targets.push(target("c"));
    let table = comfreyhall_fakes::FakeTable::default();
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addrs: Vec<String> = listeners
        .iter()
        .map(|l| l.local_addr().unwrap().to_string())
        .collect();
    let [own, advertised, peer] = <[TcpListener; 3]>::try_from(listeners).unwrap();
    let (open_tx, open) = watch::channel(true);
    tokio::spawn(forward_while_open(advertised, addrs[2].clone(), open));

    let unreachable = ScriptedBackend::default();
    *unreachable.default_behavior.lock().unwrap() = Some(Behavior::Unreachable);
    let scripted = ScriptedBackend::default();
    *scripted.default_behavior.lock().unwrap() = Some(answer);
    let paced = PacedBackend {
        scripted,
        delay,
        gap,
    };
    let backends: [Arc<dyn Backend>; 2] = [Arc::new(unreachable), Arc::new(paced)];
    let mut nodes = Vec::new();
    let places = [("n1", &addrs[0], own), ("n2", &addrs[1], peer)];
    for ((id, addr, listener), backend) in places.into_iter().zip(backends) {
        let settings = settings_of(id, addr, &addrs[..2], 0.25);
        let node = Node::new(settings, source.clone(), backend);
        comfreyhall_node::spawn(&node, table.clone());
        tokio::spawn(comfreyhall_node::serve_peers(node.clone(), listener));
        nodes.push(node);
    }
    let [node, peer] = <[Arc<Node>; 2]>::try_from(nodes).ok().unwrap();
    while node.addresses().0.len() < 2 || peer.addresses().0.len() < 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    CutDaemon {
        node,
        open: open_tx,
        _peer: peer,
    }
}

/// Serves a request while the path to the peer carries nothing for 3 s, from 500 ms after the
/// request on.
async fn serve_over_silent_path(daemon: CutDaemon) -> CallerResult {
    let mut request = ask("r");
    request.remaining_ms = Some(8_000);
    let open = daemon.open;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(500)).await;
        open.send_replace(false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        open.send_replace(true);
        open.closed().await;
    });
    caller_result(daemon.node.serve(request).await).await
}

/// Guards against a stream that ends because the daemon that relays it is silent for a while:
/// pings of its connection got no answer.
#[tokio::test]
async fn serve_passed_on_stream_survives_silent_peer() {
    let events: Vec<u64> = (1..=10).collect();
    let answer = Behavior::Stream(events.clone(), true);
    let gap = Duration::from_millis(100);
    let daemon = start(RouteKind::Stream, answer, Duration::ZERO, gap).await;
    let result = serve_over_silent_path(daemon).await;
    assert_eq!(result, CallerResult::Stream(events, true));
}

/// Guards against "unknown" about a request that its peer has run, for the same reason.
#[tokio::test]
async fn serve_passed_on_answer_survives_silent_peer() {
    let delay = Duration::from_millis(1_000);
    let answer = Behavior::Answer(200, 0);
    let daemon = start(RouteKind::NonIdempotent, answer, delay, Duration::ZERO).await;
    let result = serve_over_silent_path(daemon).await;
    assert_eq!(result, CallerResult::Complete(200));
}
