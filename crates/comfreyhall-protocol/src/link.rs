//! gRPC connections to engines, plain services, peers and the platform.
//!
//! A middlebox that lost its connection state can silence a connection for good
//! while new connections work. Pings notice it. How long one may stay unanswered
//! depends on what waits: a process that is stopped for a few seconds, or a path that
//! holds bytes back, answers pings late and goes on with its answers.

use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of HTTP/2 pings.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Longest silence after a ping where each call has a short timeout of its own.
const CALL_SILENCE: Duration = Duration::from_secs(1);

/// Longest silence after a ping where answers are awaited until their deadline. It is longer
/// than callers wait for the rest of an answer.
pub const ANSWER_SILENCE: Duration = Duration::from_secs(10);

/// A channel to `addr` for calls with short timeouts. It connects on first use. The settings
/// have validated `addr`.
pub fn channel(addr: &str) -> Channel {
    open(addr, CALL_SILENCE)
}

/// The same, for calls whose answers take as long as callers wait.
pub fn answer_channel(addr: &str) -> Channel {
    open(addr, ANSWER_SILENCE)
}

fn open(addr: &str, silence: Duration) -> Channel {
    Endpoint::from_shared(format!("http://{addr}"))
        .expect("addresses are validated with the settings")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(silence)
        .keep_alive_while_idle(true)
        .connect_lazy()
}
