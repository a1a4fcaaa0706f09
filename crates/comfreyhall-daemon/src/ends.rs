//! Names the cause of each answer that ends early, in the log and a counter.

use std::error::Error;

use comfreyhall_life::Stage;
use comfreyhall_relay::EndCause;
use tonic::Status;

use crate::app::App;

/// Records that the answer of a target to the request `id` ended for `cause`.
pub(crate) fn record(app: &App, id: &str, cause: EndCause, why: &str) {
    app.inner.metrics.count_ended(cause);
    log::info!(target: "relay", "{id} ended early ({}): {why}", cause.name());
}

/// The cause of an answer that ended with `status`.
pub(crate) fn cause_of(status: &Status) -> EndCause {
    // A status that the target has sent has no source.
    match status.source().is_some() {
        true => EndCause::ConnectionClosed,
        false => EndCause::Broken,
    }
}

/// A caller's answer that is not complete. Dropped as such, it ends for the reason of the
/// drop.
pub(crate) struct OpenAnswer {
    app: App,
    id: String,
    is_open: bool,
}

impl OpenAnswer {
    pub(crate) fn new(app: &App, id: &str) -> Self {
        Self {
            app: app.clone(),
            id: id.to_string(),
            is_open: true,
        }
    }

    /// It is complete, or its end has been recorded.
    pub(crate) fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (cause, why) = match self.app.inner.lifecycle.stage() {
            Stage::Stopped => (EndCause::GraceEnded, "the planned stop is at its end"),
            _ => (EndCause::CallerLeft, "it is read no more"),
        };
        record(&self.app, &self.id, cause, why);
    }
}
