//! Attempts to start one request, of which the first that an engine accepts goes on.

use std::time::Duration;

use comfreyhall_protocol::{
    GenerateChunk, GenerateRequest, engine_client::EngineClient, proves_not_run,
};
use comfreyhall_relay::EndCause;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tonic::{Code, Status, Streaming, transport::Channel};

use crate::{
    app::App,
    ends,
    outbound::{self, Target},
    route,
};

/// Why an engine did not start a run.
pub(super) enum StartError {
    /// The adapter is not resident there, and the request did not run.
    NotResident,
    /// The request did not run there.
    NotRun(String),
    /// The request may be running there.
    MayRun(Status),
}

/// How an attempt at an engine ended.
pub(super) struct Ended {
    pub(super) engine: usize,
    /// The engine's boot that was asked.
    pub(super) boot: u64,
    /// The connection on which it was asked.
    pub(super) client: EngineClient<Channel>,
    pub(super) result: Result<Streaming<GenerateChunk>, StartError>,
}

/// Attempts that no engine has answered yet. Those that are left when this is dropped are
/// cancelled.
pub(super) struct Attempts {
    app: App,
    id: String,
    calls: FuturesUnordered<BoxFuture<'static, Ended>>,
    /// Engines of `calls`.
    engines: Vec<usize>,
}

impl Attempts {
    pub(super) fn new(app: &App, id: &str) -> Self {
        Self {
            app: app.clone(),
            id: id.to_string(),
            calls: FuturesUnordered::new(),
            engines: Vec::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Whether `engine` has not answered one of them.
    pub(super) fn includes(&self, engine: usize) -> bool {
        self.engines.contains(&engine)
    }

    /// Sends `command` to `engine`.
    pub(super) fn begin(&mut self, engine: usize, command: GenerateRequest) {
        let app = self.app.clone();
        let boot = app.boot(engine);
        self.engines.push(engine);
        let call = async move {
            let mut client = app.inner.run_links[engine].client();
            let sent_at_ms = app.now_ms();
            let answer = client.generate(command).await;
            let target = Target::Engine(engine);
            let answer = outbound::record_answer(&app, target, Some(sent_at_ms), answer);
            Ended {
                engine,
                boot,
                client,
                result: answer.map(|a| a.into_inner()).map_err(start_error),
            }
        };
        self.calls.push(call.boxed());
    }

    /// The next one that ends; `None` if there is none.
    pub(super) async fn next(&mut self) -> Option<Ended> {
        let ended = self.calls.next().await?;
        if let Some(at) = self.engines.iter().position(|e| *e == ended.engine) {
            self.engines.swap_remove(at);
        }
        Some(ended)
    }

    /// The same within `limit`; an error says that none has ended.
    pub(super) async fn next_within(&mut self, limit: Duration) -> Result<Option<Ended>, ()> {
        let ended = tokio::time::timeout(limit, self.next()).await;
        ended.map_err(|_| ())
    }

    /// Ends those that are left for `cause`, as the run at `kept` goes on, if there is one.
    pub(super) fn end(&mut self, cause: EndCause, kept: Option<usize>) {
        self.calls.clear();
        for engine in std::mem::take(&mut self.engines) {
            ends::record(&self.app, &self.id, cause, "no answer to the order");
            // A cancel names the request: at the same engine it would end both runs.
            if Some(engine) != kept {
                route::cancel(&self.app, engine, &self.id);
            }
        }
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        for engine in &self.engines {
            route::cancel(&self.app, *engine, &self.id);
        }
    }
}

fn start_error(status: Status) -> StartError {
    match (proves_not_run(&status), status.code()) {
        (true, Code::FailedPrecondition) => StartError::NotResident,
        (true, _) => StartError::NotRun(status.message().to_string()),
        (false, _) => StartError::MayRun(status),
    }
}
