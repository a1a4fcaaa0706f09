//! Keeps each stream at the software version that began it.
//!
//! While several versions of a service may serve, a daemon that begins a stream records
//! its version with [`OWNERS`] other daemons, chosen by the id of the attempt, and a
//! daemon at which the caller resumes the stream asks them. With one version nothing is
//! sent: that version must have begun the stream. What proves a version is decided by
//! `comfreyhall-streams`.

mod find;
mod share;
pub(crate) mod state;
pub(crate) mod stored;
pub(crate) mod versions;
mod wire;

pub(crate) use self::{
    find::{answer, find_version},
    share::{receive, spawn},
    state::RunningStream,
    wire::{decode_version, encode_version},
};

/// Daemons that a record is sent to.
const OWNERS: usize = 2;

/// Longest time for which a record is kept, in ms.
const MAX_RECORD_MS: u64 = 600_000;

/// How much longer than its caller waits for a stream it may be resumed, in ms.
const RESUME_SLACK_MS: u64 = 10_000;

/// When the record of a stream expires whose caller waits until `deadline_ms`.
pub(crate) fn expiry_ms(deadline_ms: u64, now: u64) -> u64 {
    (deadline_ms + RESUME_SLACK_MS).min(now + MAX_RECORD_MS)
}
