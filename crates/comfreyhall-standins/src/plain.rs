//! The plain service stand-in, whose calls must not be repeated.

use std::time::Duration;

use comfreyhall_protocol::{
    CallReply, CallRequest, FaultOrder, FaultReply, RunsQuery, RunsReply, plain_server::Plain,
};
use tonic::{Request, Response, Status};

use crate::{Faults, runs::Runs};

/// Time that one call takes.
const CALL_DURATION: Duration = Duration::from_millis(20);

/// A plain service that echoes each call and counts its runs by request id.
#[derive(Clone, Default)]
pub struct PlainStandin {
    runs: Runs,
    faults: Faults,
}

#[tonic::async_trait]
impl Plain for PlainStandin {
    async fn call(&self, req: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.faults.delay_or_fail().await?;
        self.faults.check_cooldown()?;
        let req = req.into_inner();
        self.runs.start(&req.request_id, false);
        tokio::time::sleep(CALL_DURATION).await;
        self.faults.wait_heard().await;
        self.runs.end(&req.request_id);
        if self.faults.loses_reply() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        let reply = Response::new(CallReply {
            request_id: req.request_id,
            body: req.body,
        });
        self.faults.add_notices(Ok(reply))
    }

    async fn runs(&self, _: Request<RunsQuery>) -> Result<Response<RunsReply>, Status> {
        Ok(Response::new(self.runs.list(self.faults.rejected())))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
