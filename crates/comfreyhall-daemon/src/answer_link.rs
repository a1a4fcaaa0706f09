//! Connections on which answers are awaited until their deadline.

use std::sync::Mutex;

use comfreyhall_protocol::link;
use tonic::transport::Channel;

/// A client `C` of one target, whose connection can be replaced while answers are due on it.
pub(crate) struct AnswerLink<C> {
    addr: String,
    open: fn(Channel) -> C,
    client: Mutex<C>,
}

impl<C: Clone> AnswerLink<C> {
    /// A client of the target at `addr`, which `open` makes of a channel.
    pub(crate) fn new(addr: &str, open: fn(Channel) -> C) -> Self {
        Self {
            addr: addr.to_string(),
            open,
            client: Mutex::new(open(link::answer_channel(addr))),
        }
    }

    /// The client for the next call.
    pub(crate) fn client(&self) -> C {
        let client = self.client.lock();
        client.expect("no holder of this lock panics").clone()
    }

    /// Gives the next calls a new connection, as this one is silent. The answers that are due
    /// on it may still come.
    pub(crate) fn renew(&self) {
        let client = (self.open)(link::answer_channel(&self.addr));
        *self.client.lock().expect("no holder of this lock panics") = client;
    }
}
