//! gRPC connections to engines, plain services, peers and the platform.

use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval and timeout of HTTP/2 keepalive pings.
///
/// A middlebox that lost its connection state can silence a connection for good
/// while new connections work. Without keepalives a stream on it would hang
/// until its deadline; with them the transport notices within a few intervals
/// and the request fails over.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A channel to `addr` that connects on first use. The settings have validated `addr`.
pub fn channel(addr: &str) -> Channel {
    Endpoint::from_shared(format!("http://{addr}"))
        .expect("addresses are validated with the settings")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_INTERVAL)
        .keep_alive_while_idle(true)
        .connect_lazy()
}
