//! Determines whether a refused or failed call certainly did not run.
//!
//! A caller that gets "not run" may send a billed request again, so the
//! statement must be true. Two things prove it: the target itself says so, with
//! the [`NOT_RUN`] metadata on its status, or no connection could be opened, so
//! nothing was sent. After any other failure (a reset, a timeout, a lost answer)
//! the outcome is unknown, whatever the status code, because transports generate
//! status codes of their own.

use std::error::Error;

use tonic::{ConnectError, Status};

/// Metadata key that a target sets when it refuses a request without running it.
pub const NOT_RUN: &str = "x-not-run";

/// Marks the status of a refused request that did not run.
pub fn not_run(mut status: Status) -> Status {
    let marker = tonic::metadata::MetadataValue::from_static("1");
    status.metadata_mut().insert(NOT_RUN, marker);
    status
}

/// Whether `status` proves that the call did not run.
pub fn proves_not_run(status: &Status) -> bool {
    status.metadata().contains_key(NOT_RUN) || never_connected(status)
}

fn never_connected(status: &Status) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    while let Some(e) = cause {
        if e.is::<ConnectError>() {
            return true;
        }
        cause = e.source();
    }
    false
}
