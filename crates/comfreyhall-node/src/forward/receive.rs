//! Serves requests that other daemons pass on.

use std::{pin::Pin, sync::Arc};

use comfreyhall_protocol::{ForwardPart, ForwardRequest};
use futures::{Stream, StreamExt, stream};
use tonic::Status;

use super::wire;
use crate::{
    node::Node,
    serve::{EventStream, Reply},
};

/// The parts of an answer.
pub(crate) type PartStream = Pin<Box<dyn Stream<Item = Result<ForwardPart, Status>> + Send>>;

/// Serves a request that another daemon received, and never passes it on.
pub(crate) async fn receive(node: &Arc<Node>, call: ForwardRequest) -> Result<PartStream, Status> {
    let from = call.from.clone();
    let request = wire::decode_request(call)?;
    log::debug!(target: "forward", id:% = request.id, from; "request received from a daemon");
    let reply = node.serve_passed_on(request).await;
    let head = ForwardPart {
        head: Some(wire::encode_head(&reply)),
        ..ForwardPart::default()
    };
    let head = stream::iter([Ok(head)]);
    Ok(match reply {
        Reply::Complete { body, .. } => {
            let whole = ForwardPart {
                data: body.to_vec(),
                last: true,
                ..ForwardPart::default()
            };
            head.chain(stream::iter([Ok(whole)])).boxed()
        }
        Reply::Stream { body, .. } => head.chain(events(body)).boxed(),
        _ => head.boxed(),
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
