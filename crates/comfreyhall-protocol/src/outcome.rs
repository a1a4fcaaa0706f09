//! Whether a refused or failed call certainly did not run.
//!
//! A caller that is told "not run" may send a billed request again, so that
//! word must be true. Two things prove it: the target says so itself, with
//! the [`NOT_RUN`] metadata on its status, or no connection could be opened,
//! so nothing was ever sent. Everything else (a reset, a time-out, an answer
//! lost on the way) leaves the outcome unknown, whatever its status code:
//! transports make up codes of their own.

use std::error::Error;

use tonic::{ConnectError, Status};

/// Metadata key a target sets on a refusal of a request it did not run.
pub const NOT_RUN: &str = "x-not-run";

/// Marks a refusal as certainly not run.
pub fn not_run(mut status: Status) -> Status {
    let yes = tonic::metadata::MetadataValue::from_static("1");
    status.metadata_mut().insert(NOT_RUN, yes);
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
