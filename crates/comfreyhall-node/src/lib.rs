//! The core of the daemon: decisions, state and recovery, independent of any
//! wire format.
//!
//! [`Node`] holds the state of one daemon. [`Node::serve`] takes a caller's
//! request through routing, admission, placement and sending. Background tasks
//! follow the active settings and the targets, exchange gossip with peers, hold
//! leases, and send commands to engines. The environment is reached only
//! through the traits of [`ports`]; a driver implements them for each wire
//! format.

mod active_send;
mod adapter_key;
mod bind;
mod choose;
mod clock;
pub mod collect;
mod criteria;
mod departed;
mod engine_control;
mod fleet;
mod follow;
mod forward;
mod leases;
mod log_limit;
mod members;
mod metrics;
mod node;
mod outbound;
mod paces;
mod peer_service;
pub mod ports;
mod quarantine;
mod quotas;
mod reach;
mod records;
mod relay;
mod rows;
mod serve;
mod slots;
mod source;
mod stop;
mod streams;
mod traffic;
mod view;
mod weights;

pub use node::Node;
pub use peer_service::serve_peers;
pub use serve::{EventStream, Reply};
pub use stop::drain;

use std::sync::Arc;

use comfreyhall_catalog::Rows;

/// Starts all background tasks of `node`; `rows` stores leases and members.
pub fn spawn<R: Rows>(node: &Arc<Node>, rows: R) {
    follow::spawn(node);
    fleet::spawn(node);
    members::spawn(node, rows.clone());
    leases::spawn(node, rows.clone());
    engine_control::spawn(node);
    quarantine::spawn(node, rows);
    quotas::spawn(node);
    reach::spawn(node);
    streams::spawn(node);
}

#[cfg(test)]
mod border_tests;
#[cfg(test)]
mod settings_tests;
#[cfg(test)]
mod test_node;
#[cfg(test)]
mod tests;
