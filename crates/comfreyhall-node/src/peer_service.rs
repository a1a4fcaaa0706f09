//! The service that answers the other daemons.

use std::sync::Arc;

use comfreyhall_protocol::{
    BindReply, BindRequest, CapCall, CapReply, ForwardRequest, News, ProgressReply, ProgressReport,
    ReachQuery, ReachReply, SettingsAsk, StreamFinding, StreamQuery, StreamRecordBatch,
    StreamRecordReply,
    fleet_server::{self, FleetServer},
    link,
};
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use crate::{
    bind,
    fleet::{self, ChunkStream},
    forward,
    node::Node,
    quarantine::reach,
    quotas, streams,
};

/// Longest message of another daemon, in bytes: a request that it passes on, with its body.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Answers the other daemons.
struct PeerService(Arc<Node>);

#[tonic::async_trait]
impl fleet_server::Fleet for PeerService {
    async fn exchange(&self, req: Request<News>) -> Result<Response<News>, Status> {
        let gossip = fleet::answer(&self.0, req.into_inner());
        Ok(Response::new(gossip))
    }

    async fn bind(&self, req: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        Ok(Response::new(bind::answer(&self.0, req.into_inner()).await))
    }

    type ForwardStream = forward::PartStream;

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<forward::PartStream>, Status> {
        let parts = forward::receive(&self.0, req.into_inner()).await?;
        Ok(Response::new(parts))
    }

    type FetchStream = ChunkStream;

    async fn fetch(&self, req: Request<SettingsAsk>) -> Result<Response<ChunkStream>, Status> {
        fleet::send_settings(&self.0, &req.into_inner()).map(Response::new)
    }

    async fn settle(&self, req: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        Ok(Response::new(quotas::answer(&self.0, req.into_inner())))
    }

    async fn record_streams(
        &self,
        req: Request<StreamRecordBatch>,
    ) -> Result<Response<StreamRecordReply>, Status> {
        streams::receive(&self.0, req.into_inner());
        Ok(Response::new(StreamRecordReply::default()))
    }

    async fn find_stream(
        &self,
        req: Request<StreamQuery>,
    ) -> Result<Response<StreamFinding>, Status> {
        Ok(Response::new(streams::answer(&self.0, req.get_ref())))
    }

    async fn reach(&self, req: Request<ReachQuery>) -> Result<Response<ReachReply>, Status> {
        Ok(Response::new(reach::answer(&self.0, req.get_ref()).await))
    }

    async fn progress(
        &self,
        req: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        self.0.fleet.apply_progress(&self.0, &req.into_inner());
        Ok(Response::new(ProgressReply::default()))
    }
}

/// Answers the other daemons on `listener` for as long as the process runs.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) -> eyre::Result<()> {
    let service = FleetServer::new(PeerService(node)).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(link::PING_INTERVAL))
        .http2_keepalive_timeout(Some(link::ANSWER_SILENCE))
        .add_service(service)
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}
