//! The service that answers the other daemons.

use std::{pin::Pin, sync::Arc};

use comfreyhall_protocol::{
    BindReply, BindRequest, CapCall, CapReply, ForwardPart, ForwardRequest, News, ProgressReply,
    ProgressReport, ReachQuery, ReachReply, SettingsAsk, SettingsPart, StreamFinding, StreamQuery,
    StreamRecordBatch, StreamRecordReply,
    fleet_server::{self, FleetServer},
    link,
};
use futures::{Stream, StreamExt, TryStreamExt};
use prost::Message;
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use crate::{bind, fleet, forward, node::Node, quarantine::reach, quotas, streams, traffic::Kind};

/// Longest message of another daemon, in bytes: a request that it passes on, with its body.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// An answer in parts.
type PartStream<M> = Pin<Box<dyn Stream<Item = Result<M, Status>> + Send>>;

/// Answers the other daemons.
struct PeerService(Arc<Node>);

impl PeerService {
    /// Counts an answer, or a part of one.
    fn count<M: Message>(&self, kind: Kind, answer: M) -> Response<M> {
        Response::new(self.0.metrics.peer_sent(kind, answer))
    }

    /// Counts the parts of an answer as they are sent.
    fn count_parts<M: Message + 'static>(
        &self,
        kind: Kind,
        parts: impl Stream<Item = Result<M, Status>> + Send + 'static,
    ) -> Response<PartStream<M>> {
        let node = self.0.clone();
        let counted = parts.map_ok(move |part| node.metrics.peer_sent(kind, part));
        Response::new(counted.boxed())
    }
}

#[tonic::async_trait]
impl fleet_server::Fleet for PeerService {
    async fn exchange(&self, req: Request<News>) -> Result<Response<News>, Status> {
        let gossip = fleet::answer(&self.0, req.into_inner());
        Ok(Response::new(gossip))
    }

    async fn bind(&self, req: Request<BindRequest>) -> Result<Response<BindReply>, Status> {
        let answer = bind::answer(&self.0, req.into_inner()).await;
        Ok(self.count(Kind::Bind, answer))
    }

    type ForwardStream = PartStream<ForwardPart>;

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let parts = forward::receive(&self.0, req.into_inner()).await?;
        Ok(self.count_parts(Kind::Forwarded, parts))
    }

    type FetchStream = PartStream<SettingsPart>;

    async fn fetch(
        &self,
        req: Request<SettingsAsk>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        let chunks = fleet::send_settings(&self.0, &req.into_inner())?;
        Ok(self.count_parts(Kind::Settings, chunks))
    }

    async fn settle(&self, req: Request<CapCall>) -> Result<Response<CapReply>, Status> {
        let answer = quotas::answer(&self.0, req.into_inner());
        Ok(self.count(Kind::Quotas, answer))
    }

    async fn record_streams(
        &self,
        req: Request<StreamRecordBatch>,
    ) -> Result<Response<StreamRecordReply>, Status> {
        streams::receive(&self.0, req.into_inner());
        Ok(self.count(Kind::Versions, StreamRecordReply::default()))
    }

    async fn find_stream(
        &self,
        req: Request<StreamQuery>,
    ) -> Result<Response<StreamFinding>, Status> {
        let answer = streams::answer(&self.0, req.get_ref());
        Ok(self.count(Kind::Versions, answer))
    }

    async fn reach(&self, req: Request<ReachQuery>) -> Result<Response<ReachReply>, Status> {
        let answer = reach::answer(&self.0, req.get_ref()).await;
        Ok(self.count(Kind::Reach, answer))
    }

    async fn progress(
        &self,
        req: Request<ProgressReport>,
    ) -> Result<Response<ProgressReply>, Status> {
        self.0.fleet.apply_progress(&self.0, &req.into_inner());
        Ok(self.count(Kind::Progress, ProgressReply::default()))
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
