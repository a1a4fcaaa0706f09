//! Connections to engines, services, peers and the platform.

use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Keepalive period.
///
/// A connection can go silent for good while new ones work, because a box
/// between the two ends lost track of it. Without keepalives a stream on it
/// would hang until its deadline; with them the transport notices within a
/// few periods and the request fails over.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// A lazily connecting channel to `addr`, an address checked in settings.
pub fn channel(addr: &str) -> Channel {
    Endpoint::from_shared(format!("http://{addr}"))
        .expect("addresses were checked in settings")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE)
        .keep_alive_while_idle(true)
        .connect_lazy()
}
