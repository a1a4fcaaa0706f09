//! Passes requests on to another daemon while this one does not reach their targets.
//!
//! A daemon may lose its paths to targets while callers still reach it. It
//! passes their requests on to a daemon that reaches more, in one hop: whoever
//! receives one so serves it or rejects it. The receiver alone reserves credit,
//! counts the request for retries and sends it, so that it runs at most once and
//! its answer is passed back as it is.

mod receive;
mod wire;

pub(crate) use self::receive::{PartStream, receive};

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::{Answer, ClientRequest, Name};
use comfreyhall_protocol::{ForwardHead, ForwardOutcome, ForwardPart};
use futures::StreamExt;
use tonic::{Status, Streaming};

use crate::{
    node::Node,
    serve::{EventStream, Reply},
};

/// Passes `request`, which has `remaining_ms` left, on to the daemon at `peer`.
///
/// It goes to one daemon only: after a call without an answer it may have run, so a
/// second daemon's rejection would not mean "not run", and nobody would count the
/// repeat.
pub(crate) async fn pass_on(
    node: &Arc<Node>,
    request: &ClientRequest,
    peer: &Name,
    remaining_ms: u64,
) -> Reply {
    match pass_to(node, request, peer, remaining_ms).await {
        Ok(answer) => {
            node.metrics.forward("answered");
            answer
        }
        Err(e) => {
            node.metrics.forward("failed");
            log::info!(target: "forward", id:% = request.id, to:% = peer, error = e.message(); "request passed on without an answer");
            Reply::Unanswered(Answer::Unknown)
        }
    }
}

/// Passes a request on to the daemon at `peer` and awaits the head of its answer.
async fn pass_to(
    node: &Arc<Node>,
    request: &ClientRequest,
    peer: &Name,
    left_ms: u64,
) -> Result<Reply, Status> {
    let unreachable = || Status::unavailable("the daemon is not known any more");
    let mut client = node.fleet.answer_client(peer).ok_or_else(unreachable)?;
    let call = wire::encode_request(&node.settings().id, request, left_ms);
    log::info!(target: "forward", id:% = request.id, to:% = peer, left = left_ms; "request passed on");
    let answer = async {
        let mut parts = client.forward(call).await?.into_inner();
        let head = next_part(&mut parts).await?.head;
        let head = head.ok_or_else(|| Status::data_loss("the answer has no head"))?;
        read_answer(head, parts).await
    };
    match tokio::time::timeout(Duration::from_millis(left_ms), answer).await {
        Ok(answer) => answer,
        Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    }
}

async fn next_part(parts: &mut Streaming<ForwardPart>) -> Result<ForwardPart, Status> {
    let part = parts.message().await?;
    part.ok_or_else(|| Status::data_loss("the answer ended early"))
}

/// Reads the answer that follows `head`.
async fn read_answer(
    head: ForwardHead,
    mut parts: Streaming<ForwardPart>,
) -> Result<Reply, Status> {
    match head.outcome() {
        ForwardOutcome::Answered => {
            let mut body = BytesMut::new();
            loop {
                let part = next_part(&mut parts).await?;
                body.extend_from_slice(&part.data);
                if part.last {
                    break;
                }
            }
            let (status, headers) = wire::decode_head(&head)?;
            Ok(Reply::Complete {
                status,
                headers,
                body: body.freeze(),
            })
        }
        ForwardOutcome::Stream => {
            let (status, headers) = wire::decode_head(&head)?;
            let body = event_stream(parts);
            Ok(Reply::Stream {
                status,
                headers,
                body,
            })
        }
        _ => wire::decode_rejection(&head),
    }
}

/// The events of a stream, which ends with an error if its last part is missing.
fn event_stream(parts: Streaming<ForwardPart>) -> EventStream {
    let pieces = futures::stream::unfold(Some(parts), |parts| async {
        let mut parts = parts?;
        match next_part(&mut parts).await {
            Ok(part) if part.last => None,
            Ok(part) => Some((Ok(Bytes::from(part.data)), Some(parts))),
            Err(e) => Some((Err(e.message().to_string()), None)),
        }
    });
    pieces.boxed()
}
