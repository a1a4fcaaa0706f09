//! The plain service stand-in: calls that may not be repeated.

use std::time::Duration;

use comfreyhall_protocol::{
    CallReply, CallRequest, FaultOrder, FaultReply, RunsQuery, RunsReply, plain_server::Plain,
};
use tonic::{Request, Response, Status};

use crate::{Faults, runs::Runs};

/// Time one call takes.
const WORK: Duration = Duration::from_millis(20);

/// A plain service that echoes each call and counts it by request id.
#[derive(Clone, Default)]
pub struct PlainStandin {
    runs: Runs,
    faults: Faults,
}

#[tonic::async_trait]
impl Plain for PlainStandin {
    async fn call(&self, req: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.faults.gate().await?;
        self.faults.turn_away()?;
        let req = req.into_inner();
        self.runs.start(&req.request_id, false);
        tokio::time::sleep(WORK).await;
        self.runs.end(&req.request_id);
        if self.faults.loses_answer() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        let reply = Response::new(CallReply {
            request_id: req.request_id,
            body: req.body,
        });
        self.faults.say(Ok(reply))
    }

    async fn runs(&self, _: Request<RunsQuery>) -> Result<Response<RunsReply>, Status> {
        Ok(Response::new(self.runs.list(self.faults.turned())))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
