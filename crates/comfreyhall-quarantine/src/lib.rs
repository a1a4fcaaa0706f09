//! Quarantine for what crashes the targets that run it.
//!
//! Some requests crash every target that starts to run them, and so do some prompt
//! segments, whatever request they are part of. Without quarantine such a request is
//! sent to the next target, its caller retries it, and it or another one with the
//! segment arrives at other daemons; target after target ends, and everything that
//! runs beside it is lost each time. The symptom is engines that end one after the
//! other, some ms after they started the same request or segment.
//!
//! Every daemon keeps a [`Quarantine`]: under which requests and segments, each a
//! [`Feature`], targets ended. Daemons send each other what they observe
//! ([`Evidence`]); all of them quarantine a feature with enough evidence. Everything here takes the time as an argument, in ms of a
//! monotonic clock, and does no I/O.

mod attribution;
mod case;
mod end_check;
mod end_times;
mod feature;
mod fingerprint;
mod probe;
mod quarantine;
mod wire;

pub use case::{Evidence, Observation, TargetEnd};
pub use end_check::{EndCheck, Finding, PeerAnswers, ProbeResult};
pub use feature::{Feature, FeatureKind};
pub use fingerprint::Fingerprint;
pub use probe::MAX_PROBE_WAIT_MS;
pub use quarantine::{Change, Quarantine, Status, SyncPosition, process_time};

#[cfg(test)]
mod tests;
