//! A run beside one whose connection is silent.

use std::time::Duration;

use comfreyhall_protocol::{GenerateChunk, StatusQuery, engine_client::EngineClient};
use futures::StreamExt;
use tonic::transport::Channel;

use super::check_item;
use crate::{
    app::App,
    ends,
    error::RouteError,
    outbound::{self, Target},
    quarantine::{self, SuspectTarget},
    route::{self, RoutedRequest, StartedRun},
};

/// Time without a token after which the connection of a run is probed.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// Time without an answer to the probe after which the connection counts as silent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until the connection of `client` to `engine` is silent: no answer to a probe comes.
/// An engine that is only slow answers probes.
pub(super) async fn silence(app: &App, engine: usize, mut client: EngineClient<Channel>) {
    let target = Target::Engine(engine);
    loop {
        tokio::time::sleep(PROBE_DELAY).await;
        // An engine that asks for a cooldown gets no calls.
        if outbound::unavailable_ms(app, target) > 0 {
            continue;
        }
        let probe = tokio::time::timeout(PROBE_TIMEOUT, client.status(StatusQuery {}));
        match probe.await {
            Ok(answer) => drop(outbound::record_answer(app, target, None, answer)),
            Err(_) => {
                app.inner.run_links[engine].renew();
                return;
            }
        }
    }
}

/// A run that has not brought a token yet; cancelled if it is dropped.
struct Beside<'a> {
    app: &'a App,
    request: &'a RoutedRequest,
    /// Engine of the run that is open besides.
    open: usize,
    run: Option<StartedRun>,
}

impl Drop for Beside<'_> {
    fn drop(&mut self) {
        // A cancel names the request: at the same engine it would end both runs.
        if let Some(run) = self.run.take().filter(|r| r.engine != self.open) {
            route::cancel(self.app, run.engine, &self.request.command.request_id);
        }
    }
}

/// Starts the rest of the answer while a run at the engine `open` is silent; returns the run
/// with its first token.
pub(super) async fn begin(
    app: &App,
    request: &RoutedRequest,
    open: usize,
) -> Result<(StartedRun, GenerateChunk), RouteError> {
    let run = route::start(app, request).await?;
    let (engine, boot) = (run.engine, run.boot);
    let mut beside = Beside {
        app,
        request,
        open,
        run: Some(run),
    };
    while let Some(run) = &mut beside.run {
        match check_item(request, run.stream.next().await) {
            Ok(Some(chunk)) => {
                let run = beside.run.take().expect("it is polled");
                return Ok((run, chunk));
            }
            Ok(None) => {}
            Err(ended) => {
                let at = SuspectTarget::Engine(engine, boot);
                quarantine::record_broken_run(app, at, request.fingerprint, true);
                let id = &request.command.request_id;
                ends::record(app, id, ended.cause, &ended.reason);
                return Err(RouteError::OutcomeUnknown(ended.reason));
            }
        }
    }
    Err(RouteError::Busy)
}
