//! Passes requests on to another daemon while this one does not reach their targets.
//!
//! A daemon may lose its paths to targets while callers still reach it. It
//! passes their requests on to a daemon that reaches more, in one hop: whoever
//! receives one so serves it or rejects it. The receiver alone reserves credit,
//! counts the request for retries and sends it, so that it runs at most once and
//! its answer is passed back as it is.

mod receive;
mod wire;

pub(crate) use self::receive::receive;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyhall_domain::{Answer, ClientRequest, Name};
use comfreyhall_protocol::{ForwardHead, ForwardOutcome, ForwardPart};
use comfreyhall_relay::EndCause;
use futures::{Stream, StreamExt};
use tokio::time::Instant;
use tonic::{Code, Status};

use crate::{
    collect::Exceeded,
    node::Node,
    serve::{EventStream, Reply},
    stop,
    traffic::Kind,
};

/// The parts of an answer as they arrive.
trait Parts: Stream<Item = Result<ForwardPart, Status>> + Unpin + Send {}

impl<S: Stream<Item = Result<ForwardPart, Status>> + Unpin + Send> Parts for S {}

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
            let cause = match e.code() {
                Code::DeadlineExceeded => EndCause::DeadlinePassed,
                Code::Cancelled => stop::cause_of_drop(node),
                Code::ResourceExhausted => EndCause::TooLarge,
                _ => EndCause::ConnectionClosed,
            };
            node.metrics.answer_ended(cause);
            log::info!(target: "forward", id:% = request.id, to:% = peer, cause = cause.name(), error = e.message(); "request passed on without an answer");
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
    let call = node.metrics.peer_sent(Kind::Forwarded, call);
    log::info!(target: "forward", id:% = request.id, to:% = peer, left = left_ms; "request passed on");
    let answer = async {
        let mut parts = client.forward(call).await?.into_inner();
        let head = next_part(&mut parts).await?.head;
        let head = head.ok_or_else(|| Status::data_loss("the answer has no head"))?;
        read_answer(node, head, parts).await
    };
    let deadline = Instant::now() + Duration::from_millis(left_ms);
    let answer = tokio::time::timeout_at(deadline, answer);
    match stop::before(stop::answer_due(node), answer).await {
        Some(Ok(Ok(Reply::Stream {
            status,
            headers,
            body,
        }))) => Ok(Reply::Stream {
            status,
            headers,
            body: until(deadline, OpenStream::new(node, &request.id), body),
        }),
        Some(Ok(answer)) => answer,
        Some(Err(_)) => Err(Status::deadline_exceeded("no answer in time")),
        None => Err(Status::cancelled("the stop is at its end")),
    }
}

/// A stream that was passed on and has not ended. Dropped as such, it ends for the reason
/// of the drop.
struct OpenStream {
    node: Arc<Node>,
    id: Name,
    is_open: bool,
}

impl OpenStream {
    fn new(node: &Arc<Node>, id: &Name) -> Self {
        Self {
            node: node.clone(),
            id: id.clone(),
            is_open: true,
        }
    }

    /// It has been passed back whole.
    fn complete(mut self) {
        self.is_open = false;
    }

    /// It has ended early.
    fn end(&mut self, cause: EndCause, why: &str) {
        self.is_open = false;
        self.node.metrics.answer_ended(cause);
        log::info!(target: "forward", id:% = self.id, cause = cause.name(), why; "stream that was passed on broke off");
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        if self.is_open {
            self.end(stop::cause_of_drop(&self.node), "it is read no more");
        }
    }
}

/// The events of `body`, which is `open`, until `deadline`.
fn until(deadline: Instant, open: OpenStream, body: EventStream) -> EventStream {
    let pieces = futures::stream::unfold(Some((open, body)), move |rest| async move {
        let (mut open, mut body) = rest?;
        let (cause, why) = match tokio::time::timeout_at(deadline, body.next()).await {
            Ok(Some(Ok(bytes))) => return Some((Ok(bytes), Some((open, body)))),
            Ok(None) => {
                open.complete();
                return None;
            }
            Ok(Some(Err(why))) => (EndCause::ConnectionClosed, why),
            Err(_) => (
                EndCause::DeadlinePassed,
                "the deadline has passed".to_string(),
            ),
        };
        open.end(cause, &why);
        Some((Err(why), None))
    });
    pieces.boxed()
}

async fn next_part(parts: &mut (impl Parts + ?Sized)) -> Result<ForwardPart, Status> {
    let part = parts.next().await;
    part.unwrap_or_else(|| Err(Status::data_loss("the answer ended early")))
}

/// Reads the answer that follows `head`.
async fn read_answer(
    node: &Node,
    head: ForwardHead,
    mut parts: impl Parts + 'static,
) -> Result<Reply, Status> {
    match head.outcome() {
        ForwardOutcome::Answered => {
            let mut collector = node.answer_budget.collector();
            let too_long = |e: Exceeded| Status::resource_exhausted(e.to_string());
            loop {
                let part = tokio::select! {
                    part = next_part(&mut parts) => part?,
                    e = collector.ended() => return Err(too_long(e)),
                };
                collector.push(&part.data).map_err(too_long)?;
                if part.last {
                    break;
                }
            }
            let (status, headers) = wire::decode_head(&head)?;
            let body = collector.finish().map_err(too_long)?;
            Ok(Reply::Complete {
                status,
                headers,
                body,
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
fn event_stream(parts: impl Parts + 'static) -> EventStream {
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

#[cfg(test)]
mod tests;
