//! Quarantine for requests that crash the targets that run them.
//!
//! Some requests crash every target that starts to run them. Without quarantine
//! such a request is sent to the next target, its caller retries it, and it
//! arrives again at other daemons; target after target ends, and everything
//! that runs beside it is lost each time. The symptom is engines that end one
//! after the other, some ms after they started the same request.
//!
//! Every daemon keeps a [`Quarantine`]: under which requests, identified by
//! their [`Fingerprint`], targets ended. Daemons send each other what they
//! observe ([`Evidence`]); all of them quarantine a request with enough
//! evidence. Everything here takes the time as an argument, in ms of a
//! monotonic clock, and does no I/O.

mod attribution;
mod case;
mod fingerprint;
mod moment;
mod quarantine;
mod wire;

pub use case::{Evidence, Observation, TargetEnd};
pub use fingerprint::Fingerprint;
pub use quarantine::{Change, Quarantine, Status, SyncPosition};

#[cfg(test)]
mod tests;
