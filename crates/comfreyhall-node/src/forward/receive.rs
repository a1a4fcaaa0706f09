//! Serves requests that other daemons pass on.

use std::{pin::Pin, sync::Arc};

use bytes::Bytes;
use comfreyhall_domain::Answer;
use comfreyhall_protocol::{ForwardPart, ForwardRequest};
use futures::{Stream, StreamExt, stream};
use tonic::Status;

use super::wire;
use crate::{
    node::Node,
    serve::{EventStream, Reply},
};

/// Bytes of a body in one part.
const PART_BYTES: usize = 256 << 10;

/// Retry delay while the bodies of requests hold as much as they may, in ms.
const BODIES_FULL_RETRY_MS: u64 = 500;

/// The parts of an answer.
pub(crate) type PartStream = Pin<Box<dyn Stream<Item = Result<ForwardPart, Status>> + Send>>;

/// Serves a request that another daemon received, and never passes it on.
pub(crate) async fn receive(node: &Arc<Node>, call: ForwardRequest) -> Result<PartStream, Status> {
    let from = call.from.clone();
    let mut request = wire::decode_request(call)?;
    log::debug!(target: "forward", id:% = request.id, from; "request received from a daemon");
    let body = std::mem::take(&mut request.forwarded.body);
    let reply = match node.request_budget().hold(body) {
        Ok(body) => {
            request.forwarded.body = body;
            node.serve_passed_on(request).await
        }
        Err(_) => Reply::Unanswered(Answer::NotRun {
            retry_ms: BODIES_FULL_RETRY_MS,
        }),
    };
    let head = ForwardPart {
        head: Some(wire::encode_head(&reply)),
        ..ForwardPart::default()
    };
    let head = stream::iter([Ok(head)]);
    Ok(match reply {
        Reply::Complete { body, .. } => head.chain(pieces(body)).boxed(),
        Reply::Stream { body, .. } => head.chain(events(body)).boxed(),
        _ => head.boxed(),
    })
}

/// A whole body, in parts that are shorter than a message may be.
fn pieces(body: Bytes) -> impl Stream<Item = Result<ForwardPart, Status>> + Send {
    stream::unfold(Some(body), |body| async {
        let mut body = body?;
        let piece = body.split_to(body.len().min(PART_BYTES));
        let part = ForwardPart {
            data: piece.to_vec(),
            last: body.is_empty(),
            ..ForwardPart::default()
        };
        Some((Ok(part), (!body.is_empty()).then_some(body)))
    })
}

/// The events of a stream, and a last part if it is complete.
fn events(body: EventStream) -> impl Stream<Item = Result<ForwardPart, Status>> + Send {
    stream::unfold(Some(body), |body| async {
        let mut body = body?;
        let (part, rest) = match body.next().await {
            Some(Ok(data)) => {
                let part = ForwardPart {
                    data: data.to_vec(),
                    ..ForwardPart::default()
                };
                (Ok(part), Some(body))
            }
            Some(Err(e)) => (Err(Status::aborted(e)), None),
            None => {
                let end = ForwardPart {
                    last: true,
                    ..ForwardPart::default()
                };
                (Ok(end), None)
            }
        };
        Some((part, rest))
    })
}
