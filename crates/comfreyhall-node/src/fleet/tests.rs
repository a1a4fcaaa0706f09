use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Ask, Target};
use comfreyhall_protocol::{Daemon, Holding, News};
use comfreyhall_settings::NodeSettings;
use futures::{FutureExt, future::BoxFuture};

use crate::{
    node::Node,
    ports::{
        Backend, Decoded, Extra, Fact, Facts, Order, OrderReply, Report, Response, SendError,
        Source, SourceError, Topic,
    },
};

/// A platform that never answers.
struct Nothing;

impl Source for Nothing {
    fn read(&self, _: Topic) -> BoxFuture<'_, Result<Facts, SourceError>> {
        std::future::pending().boxed()
    }

    fn changes(&self, _: Topic, _: u64, _: Duration) -> BoxFuture<'_, Result<Facts, SourceError>> {
        std::future::pending().boxed()
    }

    fn decode(&self, _: Topic, _: &Fact) -> Result<Decoded, String> {
        Ok(Decoded::Other)
    }
}

impl Backend for Nothing {
    fn send(
        &self,
        _: Arc<Target>,
        _: Arc<Ask>,
        _: Extra,
    ) -> BoxFuture<'static, Result<Response, SendError>> {
        std::future::pending().boxed()
    }

    fn order(&self, _: Arc<Target>, _: Order) -> BoxFuture<'static, OrderReply> {
        std::future::pending().boxed()
    }

    fn report(&self, _: Arc<Target>) -> BoxFuture<'static, Option<Report>> {
        std::future::pending().boxed()
    }

    fn retain(&self, _: &[Arc<Target>]) {}
}

fn node() -> Arc<Node> {
    let text = r#"{
      id: "n", domain: "d", seeds: [], store: "127.0.0.1:1", cores: 0.1,
      listen: { front: "127.0.0.1:1", ready: "127.0.0.1:1", directory: "127.0.0.1:1", peers: "127.0.0.1:1" },
      bounds: { grace_s: 8, drain_ms: 2000, lease_ms: 3000, apply_ms: 2000, version_ms: 5000, address_s: 5,
                retry_ratio: 0.2, retry_allowance: 54, retry_s: 10, fencing: true, return_s: 2 },
    }"#;
    let settings = NodeSettings::parse(text, "test").unwrap();
    Node::new(settings, Arc::new(Nothing), Arc::new(Nothing))
}

fn daemon(port: u16) -> Daemon {
    Daemon {
        id: format!("n{port}"),
        boot: 1,
        peer: format!("127.0.0.1:{port}"),
        front: format!("127.0.0.1:{port}"),
        domain: "d".into(),
        ready: true,
        millicores: 500,
    }
}

/// News of the holder at port 100 with its roster, or the one it has of us.
fn news(roster_version: u64, roster: Vec<Daemon>) -> News {
    News {
        from: Some(daemon(100)),
        holdings: vec![Holding {
            group: "d".into(),
            token: 1,
        }],
        roster_version,
        roster,
        ..News::default()
    }
}

/// Symptom: callers were sent to a daemon that had been off for seven seconds.
/// Events: in a fleet of 89 a holder tells another that the daemon is alive;
/// the daemon loses power; from then on the first holder only calls the second.
/// Cause: in a call the roster's version is the callee's, and the callee took
/// it for a sign that the caller's last roster still holds.
#[tokio::test]
async fn learn_call_renews_no_roster() {
    let node = node();
    for port in 200..220 {
        node.fleet.meet(&format!("127.0.0.1:{port}"), false);
    }
    let off = daemon(200);
    let named = |node: &Node| node.addresses().0.iter().any(|a| **a == *off.front);
    let roster = vec![daemon(100), off.clone()];
    node.fleet
        .learn(&node, news(5, roster), super::Origin::Answer);
    assert!(named(&node));
    let limit = super::Fleet::alive_ms(21);
    let mut waited = 0;
    while waited <= limit {
        tokio::time::sleep(Duration::from_millis(100)).await;
        waited += 100;
        node.fleet
            .learn(&node, news(7, Vec::new()), super::Origin::Call);
    }
    assert!(!named(&node));
}
