//! Stand-ins for the platform comfreyhall runs on.
//!
//! The real deployment meets model engines, a rate-limited weight store and a
//! transactional table service. On loopback and in tests these small servers
//! take their place. They speak the gRPC services of `comfreyhall-protocol`,
//! behave like the brief says the real ones do (engines batch continuously
//! with a few adapter slots, the weight store allows a few loads a second one
//! at a time, the table service commits conditionally), and each can be told
//! through its `Fault` call to be down, slow, to lose answers or to fail
//! loads, so failure tests can drive them.

mod engine;
mod faults;
mod table;
mod text;
mod weights;

pub use engine::EngineStandin;
pub use faults::Faults;
pub use table::TableStandin;
pub use text::expected_text;
pub use weights::WeightsStandin;

use std::net::SocketAddr;

use comfreyhall_protocol::{
    engine_server::EngineServer, table_server::TableServer, weights_server::WeightsServer,
};
use tonic::transport::Server;

/// Serves the table stand-in on `addr` until `stop` resolves.
pub async fn serve_table(
    addr: SocketAddr,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(TableServer::new(TableStandin::default()))
        .serve_with_shutdown(addr, stop)
        .await
}

/// Serves the weight store stand-in on `addr` until `stop` resolves.
pub async fn serve_weights(
    addr: SocketAddr,
    loads_per_sec: f64,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(WeightsServer::new(WeightsStandin::new(loads_per_sec)))
        .serve_with_shutdown(addr, stop)
        .await
}

/// Serves an engine stand-in on `addr` until `stop` resolves.
pub async fn serve_engine(
    addr: SocketAddr,
    engine: EngineStandin,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(EngineServer::new(engine))
        .serve_with_shutdown(addr, stop)
        .await
}
