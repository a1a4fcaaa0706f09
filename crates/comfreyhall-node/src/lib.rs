//! The core of the daemon: it decides, keeps state and recovers, over ports.
//!
//! [`Node`] holds what one daemon knows. [`Node::serve`] takes a caller's
//! request through routing, admission, placement and sending; duties (each a
//! task) follow the settings in force and the targets, tell other daemons
//! what is known, hold leases, and give orders to engines. The world is met
//! through the traits of [`ports`] only: a driver fills them for each wire.

mod bind;
mod caps;
mod choose;
mod clock;
mod events;
mod facts;
mod fleet;
mod flight;
mod flood;
mod follow;
mod keeper;
mod leases;
mod members;
mod metrics;
mod node;
mod outbound;
pub mod ports;
mod quarantine;
mod relay;
mod serve;
mod stop;

pub use fleet::serve_peers;
pub use node::Node;
pub use serve::{EventStream, Reply};
pub use stop::drain;

use std::sync::Arc;

use comfreyhall_catalog::Rows;

/// Starts every duty of `node`; `rows` keeps leases and members.
pub fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    follow::spawn(node);
    fleet::spawn(node);
    members::spawn(node, rows.clone());
    leases::spawn(node, rows);
    keeper::spawn(node);
    quarantine::spawn(node);
    caps::spawn(node);
}

#[cfg(test)]
mod test_node;
#[cfg(test)]
mod tests;
