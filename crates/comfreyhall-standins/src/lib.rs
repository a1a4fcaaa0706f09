//! Stand-ins for the platform that comfreyhall runs on.
//!
//! A real deployment uses model engines, plain services, a rate-limited
//! weight store, a transactional table service, an object store and a list
//! of instances that lags. On loopback and in tests these small servers
//! replace them. They serve the gRPC services of `comfreyhall-protocol` and
//! behave as the real ones are specified: engines batch continuously and
//! have a few adapter slots, the weight store allows a few loads per second,
//! one at a time, and the table service commits conditionally. The `Fault`
//! call of each stand-in makes it unavailable, slow or silent for a time, or makes it
//! lose replies or fail loads, so that tests can inject failures.

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
pub use table::{TableCopy, TableStandin};
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

/// Interval and timeout of HTTP/2 keepalives on the stand-ins' connections.
///
/// A daemon whose machine is lost does not reset its connections. Without
/// keepalives its runs would pin their slots forever.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// A stand-in server, which runs until its stop future resolves.
pub type ServerFuture = BoxFuture<'static, Result<(), tonic::transport::Error>>;

/// Serves `routes` on `addr` until `stop` resolves.
pub async fn serve(
    addr: SocketAddr,
    routes: Routes,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_routes(routes)
        .serve_with_shutdown(addr, stop)
        .await
}

/// Serves a new, empty table stand-in on `addr` until `stop` resolves.
pub async fn serve_table(
    addr: SocketAddr,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    serve_table_of(TableStandin::default(), addr, stop).await
}

/// The same for the rows of `table`.
pub async fn serve_table_of(
    table: TableStandin,
    addr: SocketAddr,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    serve(addr, Routes::new(TableServer::new(table)), stop).await
}

/// Creates the servers of those stand-ins of a deployment whose names `wanted` accepts.
///
/// The names are `table`, `weights`, `objects`, `instances` and the ids of
/// engines and plain services. Must be called within a tokio runtime.
pub fn deployment<S>(
    settings: &Settings,
    wanted: impl Fn(&str) -> bool,
    stop: impl Fn() -> S,
) -> Vec<ServerFuture>
where
    S: Future<Output = ()> + Send + 'static,
{
    let mut server_futures: Vec<ServerFuture> = Vec::new();
    let mut add = |name: &str, addr: &str, routes: &dyn Fn() -> Routes| {
        if wanted(name) {
            server_futures.push(Box::pin(serve(socket_addr(addr), routes(), stop())));
        }
    };
    let platform = &settings.platform;
    add("table", &platform.table, &|| {
        Routes::new(TableServer::new(TableStandin::default()))
    });
    add("weights", &platform.weights, &|| {
        Routes::new(WeightsServer::new(WeightsStandin::new(
            platform.loads_per_sec,
        )))
    });
    add("objects", &platform.objects, &|| {
        Routes::new(ObjectsServer::new(ObjectsStandin::default()))
    });
    add("instances", &platform.instances, &|| {
        let ids = settings.instances.iter().map(|i| i.id.to_string());
        Routes::new(InstancesServer::new(InstancesStandin::new(ids)))
    });
    for engine in &settings.engines {
        add(&engine.id, &engine.listen, &|| {
            let crash_prompt = platform.deadly_prompt.clone();
            let standin = EngineStandin::start(
                &engine.id,
                engine.slots,
                engine.width,
                engine.fencing,
                &platform.weights,
                crash_prompt,
            );
            Routes::new(EngineServer::new(standin))
        });
    }
    for service in &settings.services {
        add(&service.id, &service.listen, &|| {
            Routes::new(PlainServer::new(PlainStandin::default()))
        });
    }
    server_futures
}
