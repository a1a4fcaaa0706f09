//! Requests that end the targets that run them.
//!
//! Some requests crash every target that begins to run them. What goes wrong
//! without this crate: such a request is sent to the next target, its caller
//! repeats it, and it comes again at other daemons; target after target ends,
//! and everything that runs beside it is lost each time. One notices engines
//! that end one after the other, some ms after they began the same request.
//!
//! Every daemon keeps a [`Quarantine`]: under which requests, told apart by
//! their [`Fingerprint`], targets ended. Daemons tell each other what they
//! find ([`Evidence`]); a request with enough evidence is held back by all.
//! Everything here takes the time as an argument, in ms of a steady clock, and
//! touches no network.

mod case;
mod fingerprint;
mod quarantine;
mod weigh;
mod wire;

pub use case::{Evidence, Observation, TargetEnd};
pub use fingerprint::Fingerprint;
pub use quarantine::{Change, Quarantine, Status, SyncPosition};

#[cfg(test)]
mod tests;
