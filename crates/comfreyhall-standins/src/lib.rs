//! Stand-ins for the platform comfreyhall runs on.
//!
//! The real deployment meets model engines, plain services, a rate-limited
//! weight store, a transactional table service, an object store and a list
//! of instances that lags. On loopback and in tests these small servers take
//! their place. They speak the gRPC services of `comfreyhall-protocol`,
//! behave like the brief says the real ones do (engines batch continuously
//! with a few adapter slots, the weight store allows a few loads a second one
//! at a time, the table service commits conditionally), and each can be told
//! through its `Fault` call to be down, slow, to lose answers or to fail
//! loads, so failure tests can drive them.

mod engine;
mod faults;
mod instances;
mod objects;
mod plain;
mod runs;
mod table;
mod text;
mod weights;

pub use engine::EngineStandin;
pub use faults::Faults;
pub use instances::InstancesStandin;
pub use objects::ObjectsStandin;
pub use plain::PlainStandin;
pub use table::TableStandin;
pub use text::expected_text;
pub use weights::WeightsStandin;

use std::{net::SocketAddr, time::Duration};

use comfreyhall_protocol::{
    engine_server::EngineServer, instances_server::InstancesServer, objects_server::ObjectsServer,
    plain_server::PlainServer, table_server::TableServer, weights_server::WeightsServer,
};
use comfreyhall_settings::{Settings, socket_addr};
use futures::future::BoxFuture;
use tonic::{service::Routes, transport::Server};

/// Keepalive period of the stand-ins' connections.
///
/// A daemon whose machine is gone sends no reset: without keepalives its
/// runs would keep their slots pinned for good.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// One stand-in server, running until its stop future resolves.
pub type Serving = BoxFuture<'static, Result<(), tonic::transport::Error>>;

/// Serves `routes` on `addr` until `stop` resolves.
pub async fn serve(
    addr: SocketAddr,
    routes: Routes,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_routes(routes)
        .serve_with_shutdown(addr, stop)
        .await
}

/// Serves a fresh table stand-in on `addr` until `stop` resolves.
pub async fn serve_table(
    addr: SocketAddr,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let table = TableServer::new(TableStandin::default());
    serve(addr, Routes::new(table), stop).await
}

/// Every stand-in of a deployment that `wanted` names, ready to be awaited.
///
/// Names are `table`, `weights`, `objects`, `instances` and the ids of
/// engines and plain services. Must be called inside a tokio runtime.
pub fn deployment<S>(
    s: &Settings,
    wanted: impl Fn(&str) -> bool,
    stop: impl Fn() -> S,
) -> Vec<Serving>
where
    S: Future<Output = ()> + Send + 'static,
{
    let mut all: Vec<Serving> = Vec::new();
    let mut add = |name: &str, addr: &str, routes: &dyn Fn() -> Routes| {
        if wanted(name) {
            all.push(Box::pin(serve(socket_addr(addr), routes(), stop())));
        }
    };
    let p = &s.platform;
    add("table", &p.table, &|| {
        Routes::new(TableServer::new(TableStandin::default()))
    });
    add("weights", &p.weights, &|| {
        Routes::new(WeightsServer::new(WeightsStandin::new(p.loads_per_sec)))
    });
    add("objects", &p.objects, &|| {
        Routes::new(ObjectsServer::new(ObjectsStandin::default()))
    });
    add("instances", &p.instances, &|| {
        let ids = s.instances.iter().map(|i| i.id.to_string());
        Routes::new(InstancesServer::new(InstancesStandin::new(ids)))
    });
    for e in &s.engines {
        add(&e.id, &e.listen, &|| {
            let deadly = p.deadly_prompt.clone();
            let engine =
                EngineStandin::start(&e.id, e.slots, e.width, e.fencing, &p.weights, deadly);
            Routes::new(EngineServer::new(engine))
        });
    }
    for v in &s.services {
        add(&v.id, &v.listen, &|| {
            Routes::new(PlainServer::new(PlainStandin::default()))
        });
    }
    all
}
